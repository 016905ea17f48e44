package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/platform/standin"
)

// The faulty runner: one of three, for five seconds, behind 3 in 100 of its answers.
const (
	surplusPlayed = 14 * time.Second
	surplusFrom   = 4 * time.Second
	surplusFor    = 5 * time.Second
	surplusShare  = 0.03
	// callersPerDaemon is how many consumers call each daemon on kept channels.
	callersPerDaemon = 2
	callPause        = 30 * time.Millisecond
	callDeadline     = time.Second
)

// surplusBytes is the answer to a request without an id. It carries no id either.
const surplusBytes = "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// surplusCase: one runner sends more bytes behind some of its whole answers, late, when the next
// request is on the channel. The requests may run at most once.
func surplusCase(r *run) (int, error) {
	var runners []*runner
	d, err := startDeployment(r.program, func(s *standin.Store) (err error) {
		runners, err = brokers(s, r.record)
		if err != nil {
			return err
		}
		return s.Set("op", "config", config([]string{"lic-broker"}, route("checkout", "/checkout/", "unsafe", "lic-broker", callDeadline)))
	})
	defer d.stop()
	if err != nil {
		return 0, err
	}
	begun, surplus := time.Now(), atomic.Int64{}
	faulty := runners[0]
	faulty.setServe(func(c *runnerChannel, q *http.Request, body []byte) bool {
		open := faulty.answer(c, q, body)
		since := time.Since(begun) - surplusFrom
		if r.trouble && since > 0 && since < surplusFor && rand.Float64() < surplusShare {
			c.before = func() {
				surplus.Add(1)
				r.record.add("runner %s channel %d: surplus bytes behind its answer to %s", faulty.id, c.number, q.Header.Get("X-Attempt-Id"))
				_, _ = io.WriteString(c, surplusBytes)
			}
		}
		return open
	})
	ctx, cancel := context.WithTimeout(context.Background(), surplusPlayed)
	defer cancel()
	var answered, sent atomic.Int64
	var all sync.WaitGroup
	for n, one := range d.daemons {
		for w := range callersPerDaemon {
			all.Add(1)
			go func() {
				defer all.Done()
				c := &consumer{front: one.front}
				defer c.close()
				for i := 0; ctx.Err() == nil; i++ {
					id := fmt.Sprintf("%x%x%012x", n, w, i)
					sent.Add(1)
					r.record.add("consumer sends %s to %s", id, one.id)
					got := c.do("POST", "/checkout/seat", id, callDeadline, "seat for "+id)
					r.record.add("consumer got for %s: %d, proof %q, error %v", id, got.status, got.header.Get("X-Response-Signature"), got.err)
					if got.err == nil && got.status == http.StatusOK {
						answered.Add(1)
					}
					sleep(ctx, callPause)
				}
			}()
		}
	}
	all.Wait()
	twice := 0
	for id, times := range runsOf(runners) {
		if times > 1 {
			twice++
			r.record.add("TWICE: runners have begun %s %d times", id, times)
		}
	}
	summary := fmt.Sprintf("sent %d, answered with 200 %d, surplus %d, run more than once %d", sent.Load(), answered.Load(), surplus.Load(), twice)
	r.record.add("%s", summary)
	fmt.Println(summary)
	if answered.Load() < sent.Load()/2 {
		return 0, fmt.Errorf("only %d of %d requests were answered", answered.Load(), sent.Load())
	}
	return twice, nil
}

// brokers starts one runner of a plain service in each zone, as in the small sites.
func brokers(s *standin.Store, rec *record) (out []*runner, err error) {
	for i, zone := range zones {
		one, err := startRunner(fmt.Sprintf("i-7f3a91c%d", i), 15*time.Millisecond, rec)
		if err != nil {
			return nil, err
		}
		if err := enter(s, one, "lic-broker", zone, 6); err != nil {
			return nil, err
		}
		out = append(out, one)
	}
	return out, nil
}

// runsOf adds up how often the runners have begun each request.
func runsOf(runners []*runner) map[string]int {
	out := map[string]int{}
	for _, one := range runners {
		one.mu.Lock()
		for id, n := range one.runs {
			out[id] += n
		}
		one.mu.Unlock()
	}
	return out
}
