package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/platform/standin"
)

const (
	// memoryLimit is memory_mb of the machines of a small site.
	memoryLimit = 284.0
	// memoryCheck is the time between two looks at the memory of a process, restartAfter how long the
	// platform takes to start a process again.
	memoryCheck  = 10 * time.Millisecond
	restartAfter = 200 * time.Millisecond
	// In windows of garbleFor, one every garbleEvery, a third of the runners spoil garbleShare of their answers.
	garbleFor    = 5500 * time.Millisecond
	garbleEvery  = 8 * time.Second
	garbleShare  = 0.02
	spoilers     = 4
	zerosPlayed  = 88 * time.Second
	zerosRunners = 12
	// linkRate is the link of a machine, 1,000 Mbit/s, in bytes a second: all spoiled answers share it.
	linkRate = 125e6
	// The streams: their consumers, the time to the first event and between events.
	zerosConsumers = 12
	zerosEvents    = 5
	zerosPrefill   = 60 * time.Millisecond
	zerosGap       = 20 * time.Millisecond
	zerosDeadline  = 8 * time.Second
	zerosPause     = 800 * time.Millisecond
	// A rule is broken if processes of brokenMachines machines end brokenEnds times each.
	brokenMachines, brokenEnds = 2, 3
)

// zerosCase: a few answers of a few runners are zero bytes in place of an answer. The platform kills
// a process that takes more memory than its machine has, and starts it again.
func zerosCase(r *run) (int, error) {
	g := &garbler{record: r.record}
	d, err := startDeployment(r.program, func(s *standin.Store) error {
		for i := range zerosRunners {
			one, err := startRunner(fmt.Sprintf("i-7f3a91%02x", i), 0, r.record)
			if err != nil {
				return err
			}
			one.setServe(g.serve(one, i%3 == 0))
			if err := enter(s, one, "ladder-llm", zones[i%len(zones)], modelSlots); err != nil {
				return err
			}
		}
		streaming := route("digest", "/digest/", "streaming", "ladder-llm", zerosDeadline)
		streaming["sizes"] = models
		c := config([]string{"ladder-llm"}, streaming)
		c["services"].([]map[string]any)[0]["engine"] = modelEngine()
		return s.Set("op", "config", c)
	})
	defer d.stop()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), zerosPlayed)
	defer cancel()
	if r.trouble {
		go g.play(ctx)
	}
	ends := make([]int, len(d.daemons))
	var all sync.WaitGroup
	var sent, whole, lost atomic.Int64
	for n, one := range d.daemons {
		all.Add(1)
		go func() {
			defer all.Done()
			ends[n] = watchMemory(ctx, r.record, one)
		}()
		for w := range zerosConsumers {
			all.Add(1)
			go func() {
				defer all.Done()
				c := &consumer{front: one.front}
				defer c.close()
				for i := 0; ctx.Err() == nil; i++ {
					sleep(ctx, time.Duration(rand.Float64()*2*float64(zerosPause)))
					id := fmt.Sprintf("%x%x%012x", n, w, i)
					sent.Add(1)
					got := c.do("POST", "/digest/month", id, zerosDeadline, "digest "+id, "X-Model: *", "X-Token-Usage: 9190,40", fmt.Sprintf("X-Prompt-Prefix: 5c%x%02x:6300,%s:2890", n, i%16, id))
					r.record.add("consumer got for %s from %s: %d, %d bytes, error %v", id, one.id, got.status, len(got.body), got.err)
					switch {
					case got.err == nil && got.status == http.StatusOK:
						whole.Add(1)
					case got.err != nil && !errors.Is(got.err, errNoChannel):
						lost.Add(1)
					}
				}
			}()
		}
	}
	all.Wait()
	machines := 0
	for n, times := range ends {
		r.record.add("processes of %s have ended %d times for their memory", d.daemons[n].id, times)
		if times >= brokenEnds {
			machines++
		}
	}
	summary := fmt.Sprintf("requests %d, whole %d, channel ended without a whole answer %d; spoiled answers %d; ends for memory by machine %v", sent.Load(), whole.Load(), lost.Load(), g.spoiled.Load(), ends)
	r.record.add("%s", summary)
	fmt.Println(summary)
	if whole.Load() < sent.Load()/2 {
		return 0, errors.New("too few streams were answered whole")
	}
	if machines < brokenMachines {
		return 0, nil
	}
	return machines, nil
}

// garbler spoils answers.
type garbler struct {
	record  *record
	on      atomic.Bool
	active  atomic.Int64
	spoiled atomic.Int64
}

// play turns the trouble on and off until ctx ends.
func (g *garbler) play(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, garbleEvery-garbleFor)
		g.on.Store(true)
		g.record.add("garble begins")
		sleep(ctx, garbleFor)
		g.on.Store(false)
		g.record.add("garble ends")
	}
}

// serve returns how a runner answers: with a short stream, or with zeros.
func (g *garbler) serve(one *runner, faulty bool) func(*runnerChannel, *http.Request, []byte) bool {
	return func(c *runnerChannel, q *http.Request, _ []byte) bool {
		one.begin(c, q)
		if faulty && g.on.Load() && rand.Float64() < garbleShare {
			g.zeros(one, c, q)
			return false
		}
		id := q.Header.Get("X-Attempt-Id")
		time.Sleep(zerosPrefill)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nX-Confidence: 99\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, one.proof(id))
		first := 1
		if n, failed := strconv.Atoi(q.Header.Get("Last-Event-Id")); failed == nil {
			first = n + 1
		}
		for n := first; n <= zerosEvents && err == nil; n++ {
			time.Sleep(zerosGap)
			piece := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
		}
		if err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		return err == nil
	}
}

// zeros sends zero bytes in place of an answer until the deadline of the request or until the daemon
// closes the channel, no faster than a link carries.
func (g *garbler) zeros(one *runner, c *runnerChannel, q *http.Request) {
	g.spoiled.Add(1)
	g.active.Add(1)
	defer g.active.Add(-1)
	left, _ := strconv.Atoi(q.Header.Get("X-Deadline-Ms"))
	begun, sent, chunk := time.Now(), 0, make([]byte, 256<<10)
	for time.Since(begun) < time.Duration(left)*time.Millisecond {
		if _, err := c.Write(chunk); err != nil {
			break
		}
		sent += len(chunk)
		time.Sleep(time.Duration(float64(len(chunk)) * float64(g.active.Load()) / linkRate * float64(time.Second)))
	}
	g.record.add("runner %s channel %d: sent %d MB of zeros for %s in %v", one.id, c.number, sent>>20, q.Header.Get("X-Attempt-Id"), time.Since(begun).Round(time.Millisecond))
}

// watchMemory kills the process of a machine whenever it takes more memory than the machine has, and
// starts it again. It returns how often.
func watchMemory(ctx context.Context, rec *record, one *daemon) int {
	ends := 0
	for ctx.Err() == nil {
		if mb := memoryOf(one.cmd.Process.Pid); mb > memoryLimit {
			ends++
			rec.add("%s takes %.0f MB of %.0f MB: killed", one.id, mb, memoryLimit)
			if err := one.restart(restartAfter); err != nil {
				rec.add("%s could not be started again: %v", one.id, err)
				return ends
			}
		}
		sleep(ctx, memoryCheck)
	}
	return ends
}

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}
