package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// chatEvents and chatGap are the events of a stream and the time between two of them.
	chatEvents = 56
	chatGap    = 100 * time.Millisecond
)

const (
	// roundLength is the time between two crashes. In the last windowLength before each of them half of the
	// servers send unframedShare of their answers without a length.
	roundLength   = 16 * time.Second
	windowLength  = 5 * time.Second
	unframedShare = 0.05
	// startLength is the time until the first round begins.
	startLength = 5 * time.Second
)

// inWindow reports whether answers without a length are sent at a time since the case began.
func inWindow(at time.Duration) bool {
	return at >= startLength && (at-startLength)%roundLength >= roundLength-windowLength
}

// unframed: servers send some answers without a length; such an answer ends with its connection. Then a
// quarter of the servers crash for two seconds. Rule ORDER: no stream may end as complete before its last
// piece.
func unframed(s *site, trouble bool) (int, error) {
	const (
		servers   = 12
		crashed   = 3 // a quarter
		rounds    = 5
		downFor   = 2 * time.Second
		interval  = 25 * time.Millisecond
		streamFor = 25 * time.Second
	)
	var all []*child
	for i := range servers {
		name := fmt.Sprintf("i-model%d", i)
		if i%2 == 1 {
			name += framedSuffix
		}
		c, err := s.startChild(name, halls[i%len(halls)])
		if err != nil {
			return 0, err
		}
		all = append(all, c)
	}
	s.store.set("op", "config", config(7))
	if err := s.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(s.base.Add(startLength)))
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, whole, brokenOff, refused, bad := 0, 0, 0, 0, 0
	begun, round := s.base.Add(startLength), 0
	var back []time.Time
	var gone []int
	for time.Since(begun) < rounds*roundLength+time.Second {
		if trouble && round < rounds && time.Since(begun) >= time.Duration(round+1)*roundLength {
			for _, i := range rand.Perm(servers)[:crashed] {
				all[i].kill()
				gone, back = append(gone, i), append(back, time.Now().Add(downFor))
			}
			round++
		}
		for len(back) > 0 && time.Now().After(back[0]) {
			i := gone[0]
			gone, back = gone[1:], back[1:]
			// A server that starts again has a new id.
			id := fmt.Sprintf("i-model%d-%d", i, round)
			if i%2 == 1 {
				id += framedSuffix
			}
			c, err := s.startChild(id, halls[i%len(halls)])
			if err != nil {
				return 0, err
			}
			all[i] = c
		}
		c := chat(streamFor)
		d := s.daemons[rand.IntN(len(s.daemons))]
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.record.printf("request %s sent to %s", c.id, d.name)
			o := c.send(d.callers)
			n := pieces(o.body)
			s.record.printf("request %s: %s; %d pieces in order", c.id, o.text(), n)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.status != http.StatusOK:
				refused++
			case !o.whole:
				brokenOff++
			case n == chatEvents:
				whole++
			default:
				bad++
				s.record.say("ORDER: the stream of request %s ended as complete after %d of %d pieces, signature %s", c.id, n, chatEvents, o.header.Get("X-Response-Signature"))
			}
		}()
		time.Sleep(interval)
	}
	wg.Wait()
	s.record.say("%d streams: %d whole, %d broken off, %d with another status, %d ended as complete before their last piece", sent, whole, brokenOff, refused, bad)
	if whole < sent/2 {
		return 0, fmt.Errorf("only %d of %d were served", whole, sent)
	}
	return bad, nil
}

// framedSuffix ends the ids of servers that send all answers with framing.
const framedSuffix = "f"

// pieces returns how many events of a stream came, or -1 if one is missing or came twice.
func pieces(body string) int {
	n := 0
	for event := range strings.SplitSeq(body, "\n\n") {
		id, ok := strings.CutPrefix(strings.SplitN(event, "\n", 2)[0], "id: ")
		if !ok {
			continue
		}
		n++
		if got, err := strconv.Atoi(id); err != nil || got != n {
			return -1
		}
	}
	return n
}
