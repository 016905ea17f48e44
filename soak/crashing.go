package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// crashingBody is the body of a request that crashes each server that begins to run it.
const crashingBody = "deadly"

// crasher is a caller that repeatedly sends a request that crashes servers, to any daemon.
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
	a := Request{
		ID: fmt.Sprintf("deadly%d-%d", d.seed, n), Kind: standin.Streaming, Service: modelStream, Method: http.MethodPost,
		Target: streamRoute + "deadly", Key: keyName(0), Body: crashingBody, Limit: streamLimit, Daemon: to.number, Process: to.processNumber(), Sent: time.Now(),
	}
	call := standin.Call{ID: a.ID, Method: a.Method, Host: host, Target: a.Target, Key: a.Key, Body: a.Body, Wait: a.Limit + callerGrace, Model: "*"}
	a.Reply = call.Send(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, to.callers.Addr())
	a.Ended, a.ProcessAfter = time.Now(), to.processNumber()
	d.cluster.recorder.answered(a)
}

// crashByRequest crashes the server as a crashing request does, and restarts it later.
func (b *backend) crashByRequest() {
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
	b.link.Reset()
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
		if r.Run.Body != crashingBody || ended[of] {
			continue
		}
		ended[of] = true
		if len(ended) == crashThreshold {
			c.afterThird(r.At)
			return
		}
	}
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
