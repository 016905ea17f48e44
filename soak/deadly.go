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

// deadlyBody is the body of a request that ends each server that begins to run it.
const deadlyBody = "deadly"

// deadly is a caller that comes again and again with one such request, at any daemon.
type deadly struct {
	site    *site
	seed    uint64
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// deadlyEvery is the longest pause between two of its attempts.
	deadlyEvery = 500 * time.Millisecond
	// deadlyPart tells its draws from those of others.
	deadlyPart = 5000
	// backAfter and backSpan bound the time after which a server that it has ended is back.
	backAfter, backSpan = time.Second, 1500 * time.Millisecond
)

func newDeadly(s *site, seed uint64) *deadly {
	return &deadly{site: s, seed: seed, random: newRand(seed, deadlyPart)}
}

func (d *deadly) start(ctx context.Context) {
	d.running.Go(func() {
		for n := 0; !d.stopped.Load() && ctx.Err() == nil; n++ {
			d.ask(ctx, n)
			clock.Wait(ctx, time.Duration(d.random.Int64N(int64(deadlyEvery))))
		}
	})
}

func (d *deadly) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}

func (d *deadly) ask(ctx context.Context, n int) {
	to := d.site.daemons[d.random.IntN(len(d.site.daemons))]
	a := Ask{
		ID: fmt.Sprintf("deadly%d-%d", d.seed, n), Kind: standin.Streaming, Service: modelStream, Method: http.MethodPost,
		Target: streamRoute + "deadly", Key: keyName(0), Body: deadlyBody, Limit: streamLimit, Daemon: to.number, Life: to.process(), Sent: time.Now(),
	}
	call := standin.Call{ID: a.ID, Method: a.Method, Host: host, Target: a.Target, Key: a.Key, Body: a.Body, Wait: a.Limit + patience, Model: "*"}
	a.Reply = call.Send(ctx, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, to.callers.Addr())
	a.Ended, a.LifeAfter = time.Now(), to.process()
	d.site.oracle.answered(a)
}

// die ends the server as a deadly request does, and has it back after a while.
func (b *backend) die() {
	b.mu.Lock()
	if !b.present || b.retired {
		b.mu.Unlock()
		return
	}
	b.present = false
	b.mu.Unlock()
	if err := b.link.Down(true); err != nil {
		b.site.oracle.found("SOAK", err.Error())
	}
	b.link.Reset()
	random := newRand(b.site.seed, deadlyPart+b.deaths.Add(1))
	after, again := backAfter+time.Duration(random.Int64N(int64(backSpan))), random.IntN(2) == 0
	time.AfterFunc(after, func() {
		if err := b.link.Down(false); err != nil {
			b.site.oracle.found("SOAK", err.Error())
			return
		}
		b.beginAgain(again)
	})
}

// beginAgain has the server back under its id, or else under a new one.
func (b *backend) beginAgain(sameID bool) {
	if !sameID {
		b.renew()
		return
	}
	b.mu.Lock()
	b.again = true
	b.mu.Unlock()
	if err := b.begin(); err != nil {
		b.site.oracle.found("SOAK", err.Error())
	}
}

const (
	// contactTime is how long after the third server has ended daemons have to know.
	contactTime = 3*time.Second + machineSlack
	// deadlyServers and deadlyRetries are how many servers may end before they must know,
	// and how many the request may reach afterwards.
	deadlyServers, deadlyRetries = 3, 3
)

// confined checks that calm daemons send a request no more under which servers have ended.
func (c *checker) confined() {
	type start struct {
		server string
		number int
	}
	ended := map[start]bool{}
	for _, r := range c.seen.Runs {
		of := start{r.Server, r.Start}
		if r.Run.Body != deadlyBody || ended[of] {
			continue
		}
		ended[of] = true
		if len(ended) == deadlyServers {
			c.afterThird(r.At)
			return
		}
	}
}

func (c *checker) afterThird(third time.Time) {
	var late []string
	for _, a := range c.seen.Asks {
		if a.Body == deadlyBody && a.Sent.Sub(third) > contactTime && c.calm(a.Daemon, a.Sent, a.Ended, harmless...) {
			for _, r := range c.runs[a.ID] {
				late = append(late, fmt.Sprintf("%s by daemon %d to %s", a.ID, a.Daemon, r.Server))
			}
		}
	}
	if len(late) > deadlyRetries {
		c.found("BUDGET", "a request under which servers had ended was sent to %d more: %v", len(late), late)
	}
}
