package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// endlessServers has some of the servers answer with bytes without end at times, in one form after the
// other, and checks what that costs the daemons.
type endlessServers struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

const (
	// endlessStream is the random stream of endlessServers.
	endlessStream = 9300
	// endlessFor is how long one time lasts, endlessPause the longest pause between two.
	endlessFor   = 1500 * time.Millisecond
	endlessPause = time.Second
	// endlessShare is one in how many servers sends bytes without end, endlessEvery one in how many of
	// its answers, and endlessRate how many bytes a second one has.
	endlessShare, endlessEvery = 3, 4
	endlessRate                = 50 << 20
	// baselineFor is how long the load without such answers is observed before each time.
	baselineFor = 500 * time.Millisecond
	// memoryLimit and processorShare are what the smallest site gives a daemon, in bytes and cores. The
	// soak's load takes more than that site's, so that the share applies to what the bytes add.
	memoryLimit    = 284 << 20
	processorShare = 0.4
	memoryEvery    = 50 * time.Millisecond
)

func newEndlessServers(s *cluster, seed uint64) *endlessServers {
	return &endlessServers{cluster: s, random: newRand(seed, endlessStream)}
}

func (d *endlessServers) start(ctx context.Context) {
	d.running.Go(func() {
		for !d.stopped.Load() && ctx.Err() == nil {
			clock.Wait(ctx, time.Duration(d.random.Int64N(int64(endlessPause))))
			d.send(ctx)
		}
	})
}

// send has some servers send bytes without end for a while.
func (d *endlessServers) send(ctx context.Context) {
	calm := d.usages()
	clock.Wait(ctx, baselineFor)
	end := d.cluster.recorder.beginFault(allDaemons, EndlessAnswers, time.Now())
	defer func() { end(time.Now()) }()
	e := standin.Endless{Form: standin.EndlessForms[d.random.IntN(len(standin.EndlessForms))], Every: endlessEvery, Rate: endlessRate}
	first := d.random.IntN(endlessShare)
	for i, b := range d.cluster.initialServers() {
		if i%endlessShare == first && (b.service == modelStream || !e.Form.OfStream()) {
			b.setEndless(e)
		}
	}
	before, began := d.usages(), time.Now()
	for time.Since(began) < endlessFor && ctx.Err() == nil {
		for _, each := range d.cluster.daemons {
			if u := each.usage(); u.memory > memoryLimit {
				d.cluster.recorder.found("MEMORY", fmt.Sprintf("daemon %d takes %d MB while servers send bytes without end (form %d)", each.number, u.memory>>20, e.Form))
			}
		}
		clock.Wait(ctx, memoryEvery)
	}
	for number, u := range d.usages() {
		share, known := u.share(before[number], time.Since(began))
		if usual, ok := before[number].share(calm[number], baselineFor); known && ok && share > usual+processorShare {
			d.cluster.recorder.found("PROCESSOR", fmt.Sprintf("daemon %d took %.2f of a core while servers sent bytes without end (form %d), %.2f before", number, share, e.Form, usual))
		}
	}
	for _, b := range d.cluster.initialServers() {
		b.setEndless(standin.Endless{})
	}
}

// usages returns what the daemons' processes use, by the daemons' numbers.
func (d *endlessServers) usages() map[int]usage {
	out := map[int]usage{}
	for _, each := range d.cluster.daemons {
		out[each.number] = each.usage()
	}
	return out
}

func (d *endlessServers) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}

// usage is what a daemon's process uses.
type usage struct {
	process int
	// memory is the resident memory in bytes.
	memory    int64
	processor time.Duration
}

// share returns the share of a core that the process has used since an earlier usage; ok is false if it is
// another process.
func (u usage) share(was usage, within time.Duration) (share float64, ok bool) {
	return (u.processor - was.processor).Seconds() / within.Seconds(), u.process == was.process && u.process != 0
}

// usage returns what the running process uses, or a zero usage.
func (d *daemon) usage() usage {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	if cmd == nil {
		return usage{}
	}
	u := usage{process: cmd.Process.Pid}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", u.process))
	if err != nil {
		return usage{}
	}
	if fields := strings.Fields(string(statm)); len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64)
		u.memory = pages * int64(os.Getpagesize())
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", u.process))
	if err != nil {
		return usage{}
	}
	// The name of the program, in brackets, may hold spaces. User and system time are the twelfth and
	// thirteenth fields behind it, in hundredths of a second.
	_, rest, _ := strings.Cut(string(stat), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 {
		for _, field := range fields[11:13] {
			ticks, _ := strconv.ParseInt(field, 10, 64)
			u.processor += time.Duration(ticks) * 10 * time.Millisecond
		}
	}
	return u
}
