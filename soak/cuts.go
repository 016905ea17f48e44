package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
)

// cutter cuts some daemons from all backend servers, one time after the other. Callers, the store
// and the other daemons still reach them.
type cutter struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

// ServerCut is a time in which some daemons reached no backend server.
type ServerCut struct {
	Daemons map[int]bool
	Mode    string
	From    time.Time
	To      time.Time
}

const (
	// cutStream is the random stream of the cutter.
	cutStream = 9100
	// cutPause is the longest pause between two cuts; cutMin and cutSpan bound their length.
	cutPause        = 2 * time.Second
	cutMin, cutSpan = 3500 * time.Millisecond, 3 * time.Second
)

// cutModes are the ways in which paths fail.
var cutModes = []string{"silent", "refused", "reset"}

func newCutter(s *cluster, seed uint64) *cutter {
	return &cutter{cluster: s, random: newRand(seed, cutStream)}
}

func (d *cutter) start(ctx context.Context) {
	d.running.Go(func() {
		for !d.stopped.Load() && ctx.Err() == nil {
			clock.Wait(ctx, time.Duration(d.random.Int64N(int64(cutPause))))
			d.cut(ctx)
		}
	})
}

// cut cuts one daemon, some, all but one or all of them.
func (d *cutter) cut(ctx context.Context) {
	all := d.cluster.daemons
	counts := []int{1, (len(all) + 1) / 2, len(all) - 1, len(all) - 1, len(all)}
	c := ServerCut{Daemons: map[int]bool{}, Mode: cutModes[d.random.IntN(len(cutModes))]}
	for _, n := range d.random.Perm(len(all))[:counts[d.random.IntN(len(counts))]] {
		c.Daemons[n] = true
	}
	length := cutMin + time.Duration(d.random.Int64N(int64(cutSpan)))
	c.From = time.Now()
	for n := range c.Daemons {
		end := d.cluster.recorder.beginFault(n, CutServers, c.From)
		defer func() { end(time.Now()) }()
	}
	d.set(c, c.Mode)
	clock.Wait(ctx, length)
	c.To = time.Now()
	d.set(c, "")
	d.cluster.recorder.update(func(s *Observations) { s.Cuts = append(s.Cuts, c) })
}

func (d *cutter) set(c ServerCut, mode string) {
	for n := range c.Daemons {
		if err := d.cluster.daemons[n].setPath(mode); err != nil {
			d.cluster.recorder.found("SOAK", err.Error())
		}
	}
}

func (d *cutter) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}

// The bounds of the users' platform on requests of daemons that are cut from all servers: once the
// cut has lasted for contactTime, they are served at least servedFraction as often as those of
// other daemons, unless fewer than cutFailures and cutFailureFraction of all requests fail there.
const (
	contactTime        = 3 * time.Second
	servedFraction     = 2.0 / 3
	cutFailures        = 10
	cutFailureFraction = 1.0 / 50
)

// servedWhileCut checks that daemons that are cut from all servers serve their callers through the
// others.
func (c *checker) servedWhileCut(cut ServerCut) {
	var served, sent [2]float64
	failed := 0.0
	for _, a := range c.seen.Requests {
		if a.Sent.Sub(cut.From) < contactTime || a.Ended.After(cut.To) || !c.undisturbed(a.Daemon, a.Sent, a.Ended, append([]FaultKind{CutServers}, harmless...)...) {
			continue
		}
		if _, gone := c.seen.Revoked[a.Key]; gone || a.Added > 0 {
			continue
		}
		side, good := 0, a.Reply.Status == http.StatusOK && a.Reply.Complete
		if cut.Daemons[a.Daemon] {
			side = 1
			if !good {
				failed++
			}
		}
		sent[side]++
		if good {
			served[side]++
		}
	}
	if sent[0] == 0 || sent[1] == 0 || failed <= cutFailures+cutFailureFraction*(sent[0]+sent[1]) {
		return
	}
	if served[1]/sent[1] < servedFraction*served[0]/sent[0] {
		c.found("RECOVER", "daemons that were cut from all servers (%s) served %.0f of %.0f requests, the others %.0f of %.0f", cut.Mode, served[1], sent[1], served[0], sent[0])
	}
}
