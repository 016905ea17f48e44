package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

const (
	// crashingBody is the body of a request that crashes each server that begins to run it.
	crashingBody = "deadly"
	// crashingPart is a part of prompts that does the same whatever else the request holds, commonPart one
	// that all prompts share.
	crashingPart = "deadbeef"
	commonPart   = "c0c0"
)

// promptOf returns the parts of a prompt as they are sent.
func promptOf(parts ...string) string {
	return strings.Join(parts, ":10,") + ":10"
}

// crashes reports whether a run crashes its server.
func crashes(r standin.Run) bool { return r.Body == crashingBody || hasCrashingPart(r) }

func hasCrashingPart(r standin.Run) bool { return strings.Contains(r.Prompt, crashingPart) }

// crashTime is when a run crashes its server.
type crashTime int

const (
	spared crashTime = iota
	atStart
	afterAnswer
)

// crashAfterAnswer is how long after its response a server crashes by some seeds.
const crashAfterAnswer = 30 * time.Millisecond

// crashes returns when a run that has just started crashes its server. Of the odd seeds one in three has
// the request answered through each daemon before it begins to crash servers, and one in three has servers
// crash after the answers of the larger model: that of the smaller one is dropped.
func (s *cluster) crashes(r standin.Run) crashTime {
	switch {
	case !crashes(r):
		return spared
	case hasCrashingPart(r):
		return atStart
	case s.answersFirst() && !s.armed.Load():
		return spared
	case !s.crashesAfterAnswers():
		return atStart
	case r.Model == largeModel:
		return afterAnswer
	}
	return spared
}

func (s *cluster) answersFirst() bool { return s.seed/2%3 == 1 }

func (s *cluster) crashesAfterAnswers() bool { return s.seed/2%3 == 2 }

// crasher is a caller that repeatedly sends requests that crash servers, to any daemon: by odd seeds the
// same one, by even seeds different ones that share one part of their prompts.
type crasher struct {
	cluster *cluster
	seed    uint64
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// crashInterval is the longest pause between two attempts.
	crashInterval = 500 * time.Millisecond
	// crashStream is the random stream of the crasher.
	crashStream = 5000
	// restartFloor and restartSpan bound the time until a crashed server is restarted.
	restartFloor, restartSpan = time.Second, 1500 * time.Millisecond
)

func newCrasher(s *cluster, seed uint64) *crasher {
	return &crasher{cluster: s, seed: seed, random: newRand(seed, crashStream)}
}

func (d *crasher) start(ctx context.Context) {
	d.running.Go(func() {
		for n := 0; !d.stopped.Load() && ctx.Err() == nil; n++ {
			d.send(ctx, n)
			clock.Wait(ctx, time.Duration(d.random.Int64N(int64(crashInterval))))
		}
	})
}

func (d *crasher) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}

func (d *crasher) send(ctx context.Context, n int) {
	to := d.cluster.daemons[d.random.IntN(len(d.cluster.daemons))]
	if d.cluster.answersFirst() && n < len(d.cluster.daemons) {
		to = d.cluster.daemons[n]
	}
	d.cluster.armed.Store(n >= len(d.cluster.daemons))
	a := Request{
		ID: fmt.Sprintf("deadly%d-%d", d.seed, n), Kind: standin.Streaming, Service: modelStream, Method: http.MethodPost,
		Target: streamRoute + "deadly", Key: keyName(0), Body: crashingBody, Limit: streamLimit, Daemon: to.number, Process: to.processNumber(), Sent: time.Now(),
	}
	prompt := ""
	if d.seed%2 == 0 {
		parts := []string{commonPart, crashingPart}
		d.random.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		a.Target, a.Body, a.Key, a.CrashingPart = streamRoute+a.ID, "prompt of "+a.ID, keyName(d.random.IntN(keys)), true
		prompt = promptOf(append(parts, "own-"+a.ID)...)
	}
	call := standin.Call{ID: a.ID, Method: a.Method, Host: host, Target: a.Target, Key: a.Key, Body: a.Body, Wait: a.Limit + callerGrace, Model: "*", Prompt: prompt}
	a.Reply = call.Send(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, to.callers.Addr())
	a.Ended, a.ProcessAfter = time.Now(), to.processNumber()
	d.cluster.recorder.answered(a)
}

// crashByRequest crashes the server as a crashing request does, and restarts it later. Its connections are
// reset, or with orderly closed as by a system whose process has received all that was sent.
func (b *backend) crashByRequest(orderly bool) {
	b.mu.Lock()
	if !b.present || b.retired {
		b.mu.Unlock()
		return
	}
	b.present = false
	b.cluster.recorder.crashed(Incarnation{Server: b.runner.ID, Start: b.starts}, time.Now())
	b.mu.Unlock()
	if err := b.link.SetDown(true); err != nil {
		b.cluster.recorder.found("SOAK", err.Error())
	}
	if orderly {
		b.link.CloseConnections()
	} else {
		b.link.Reset()
	}
	random := newRand(b.cluster.seed, crashStream+b.crashes.Add(1))
	after, sameID := restartFloor+time.Duration(random.Int64N(int64(restartSpan))), random.IntN(2) == 0
	time.AfterFunc(after, func() {
		if err := b.link.SetDown(false); err != nil {
			b.cluster.recorder.found("SOAK", err.Error())
			return
		}
		b.restart(sameID)
	})
}

// restart restarts the server, under its id or a new one.
func (b *backend) restart(sameID bool) {
	if !sameID {
		b.replace()
		return
	}
	b.mu.Lock()
	b.keepID = true
	b.mu.Unlock()
	if err := b.launch(); err != nil {
		b.cluster.recorder.found("SOAK", err.Error())
	}
}

const (
	// quarantineBound is how long after the third crashed server daemons may take to quarantine
	// the request.
	quarantineBound = 3*time.Second + machineSlack
	// crashThreshold is the number of servers that may crash before daemons must quarantine the
	// request, maxLateAttempts how often it may reach servers after quarantineBound.
	crashThreshold, maxLateAttempts = 3, 3
	// partCrashThreshold is the number of servers that may crash under one part of prompts.
	partCrashThreshold = 5
)

// quarantined checks that undisturbed daemons stop sending a request that has crashed servers.
func (c *checker) quarantined() {
	type start struct {
		server string
		number int
	}
	ended := map[start]bool{}
	for _, r := range c.seen.Runs {
		of := start{r.Server, r.Start}
		if !crashes(r.Run) || r.Spared || ended[of] {
			continue
		}
		ended[of] = true
		switch {
		case hasCrashingPart(r.Run) && len(ended) == partCrashThreshold:
			c.afterFifth(r.At)
			return
		case !hasCrashingPart(r.Run) && len(ended) == crashThreshold:
			c.afterThird(r.At)
			return
		}
	}
}

// afterFifth checks the requests behind the fifth crash under one part of their prompts: daemons stop
// those with the part, and serve those that share the other parts as before.
func (c *checker) afterFifth(fifth time.Time) {
	var late []string
	var last time.Time
	for _, a := range c.seen.Requests {
		if !a.CrashingPart {
			continue
		}
		if a.Sent.After(last) {
			last = a.Sent
		}
		if a.Sent.Sub(fifth) > quarantineBound && c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
			for _, r := range c.runs[a.ID] {
				late = append(late, fmt.Sprintf("%s by daemon %d to %s", a.ID, a.Daemon, r.Server))
			}
		}
	}
	if len(late) > maxLateAttempts {
		c.found("BUDGET", "requests with a part under which servers had ended were sent to %d more: %v", len(late), late)
	}
	before, after := c.streams(time.Time{}, fifth.Add(-quietPeriod)), c.streams(fifth.Add(2*quarantineBound), last)
	if after.sent >= minStreams && before.sent >= minStreams && 2*after.fraction() < before.fraction() {
		c.found("LOST", "%d of %d streams that share parts with crashing requests were answered, %d of %d before", after.answered, after.sent, before.answered, before.sent)
	}
}

// minStreams is how many streams a comparison takes.
const minStreams = 20

// share counts requests and how many of them were answered.
type share struct{ sent, answered int }

func (s share) fraction() float64 { return float64(s.answered) / float64(s.sent) }

// streams counts the streams that undisturbed daemons were sent between two times, without crashing ones.
func (c *checker) streams(from, to time.Time) (out share) {
	for _, a := range c.seen.Requests {
		if a.Kind != standin.Streaming || a.CrashingPart || a.Body == crashingBody || a.Sent.Before(from) || a.Sent.After(to) || !c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
			continue
		}
		out.sent++
		if a.Reply.Status == http.StatusOK {
			out.answered++
		}
	}
	return out
}

func (c *checker) afterThird(third time.Time) {
	var late []string
	for _, a := range c.seen.Requests {
		if a.Body == crashingBody && a.Sent.Sub(third) > quarantineBound && c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
			for _, r := range c.runs[a.ID] {
				late = append(late, fmt.Sprintf("%s by daemon %d to %s", a.ID, a.Daemon, r.Server))
			}
		}
	}
	if len(late) > maxLateAttempts {
		c.found("BUDGET", "a request under which servers had ended was sent to %d more: %v", len(late), late)
	}
}
