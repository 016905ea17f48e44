package scenario_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/standin"
	"ladderridge.example/daemon/wire"
)

// chaos runs callers of all kinds against a cluster while faults are injected one after another.
type chaos struct {
	*cluster
	t       *testing.T
	stop    chan struct{}
	wg      sync.WaitGroup
	nextKey atomic.Int64

	mu sync.Mutex
	// completed has the ids of the requests with a complete answer.
	completed []string
	counts    chaosCounts
}

// chaosCounts counts the injected faults and the outcomes of requests.
type chaosCounts struct {
	faults, answered, refused, interrupted            int
	duplicated, falselyNotRun, moved, unbilled, wrong int
}

func (c *chaos) count(f func(*chaosCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.counts)
}

// runCaller calls caller repeatedly in the background until c.stop is closed.
func (c *chaos) runCaller(seed uint64, caller func(*rand.Rand)) {
	rng := rand.New(rand.NewPCG(seed, 9))
	c.wg.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			default:
				caller(rng)
			}
		}
	})
}

func (c *chaos) anyDaemon(rng *rand.Rand) string {
	return fmt.Sprintf("entry-%d", rng.IntN(len(c.daemons)))
}

var shortDeadline = header{wire.HeaderDeadline, "2000"}

// sendCheckout sends a non-repeatable call through random daemons until its outcome is known
// or reported as unknown.
func (c *chaos) sendCheckout(rng *rand.Rand) {
	key := fmt.Sprintf("chaos-%d", c.nextKey.Add(1))
	for range 20 {
		a := c.do(c.anyDaemon(rng), http.MethodPost, checkout, key, header{wire.HeaderKey, key}, shortDeadline)
		ran := c.broker.Runs()[key]
		switch {
		case ran > 1:
			c.count(func(t *chaosCounts) { t.duplicated++ })
			return
		case a.err == nil && a.run() == "not_run" && ran > 0:
			c.t.Logf("%s ran, but request %s reports that it did not: %d %s", key, a.header.Get(wire.HeaderRequest), a.status, a.code())
			c.count(func(t *chaosCounts) { t.falselyNotRun++ })
			return
		case a.err == nil && a.run() == "done" && ran == 1:
			c.count(func(t *chaosCounts) { t.answered++ })
			return
		case a.err == nil && a.code() == "outcome_unknown":
			c.count(func(t *chaosCounts) { t.refused++ })
			return
		case a.err == nil && a.run() == "done":
			c.count(func(t *chaosCounts) { t.wrong++ })
			return
		}
		c.waitToRetry(rng)
	}
	c.count(func(t *chaosCounts) { t.refused++ })
}

// waitToRetry waits 20 to 100 ms before a refused caller tries again.
func (c *chaos) waitToRetry(rng *rand.Rand) {
	select {
	case <-clock.After(time.Duration(20+rng.IntN(80)) * time.Millisecond):
	case <-c.stop:
	}
}

// sendChat sends a chat request, at random streamed or not.
func (c *chaos) sendChat(rng *rand.Rand) {
	stream := rng.IntN(2) == 0
	a := c.do(c.anyDaemon(rng), http.MethodPost, wire.PathChat, chatBody("roster", stream, 8), shortDeadline)
	ref := v1
	if a.err == nil && a.header.Get(wire.HeaderVersion) == v2.String() {
		ref = v2
	}
	id := ""
	if a.err == nil {
		id = a.header.Get(wire.HeaderRequest)
	}
	switch {
	case a.err != nil || (a.status == http.StatusOK && stream && checkStream(a, ref, 8) != nil):
		c.count(func(t *chaosCounts) { t.interrupted++ })
	case a.status != http.StatusOK:
		c.count(func(t *chaosCounts) { t.refused++ })
		c.waitToRetry(rng)
	case !strings.Contains(a.body, id):
		c.count(func(t *chaosCounts) { t.wrong++ })
	default:
		c.mu.Lock()
		c.completed = append(c.completed, id)
		c.counts.answered++
		c.mu.Unlock()
	}
}

// runSession sends the requests of one session and counts changes of its version.
func (c *chaos) runSession(rng *rand.Rand) {
	token, version := "", ""
	for range 30 {
		h := header{wire.HeaderSession, wire.SessionNew}
		if token != "" {
			h = header{wire.HeaderPin, token}
		}
		a := c.chat(c.anyDaemon(rng), "roster", h, shortDeadline)
		if a.err != nil || a.status != http.StatusOK {
			c.waitToRetry(rng)
			continue
		}
		now := a.header.Get(wire.HeaderVersion)
		if version != "" && now != version {
			c.count(func(t *chaosCounts) { t.moved++ })
		}
		token, version = a.header.Get(wire.HeaderPin), now
	}
}

// injectFault injects one random fault and ends it.
func (c *chaos) injectFault(rng *rand.Rand) {
	id := c.anyDaemon(rng)
	engine := fmt.Sprintf("engine-%d", rng.IntN(4))
	switch rng.IntN(7) {
	case 0:
		c.kill(id)
		c.startDaemon(id)
		c.awaitServing(id)
	case 1:
		c.signal(id, syscall.SIGSTOP)
		c.keepFault(4 * time.Second)
		c.signal(id, syscall.SIGCONT)
	case 2:
		c.platform.SetFault(platform.Fault{Service: "table", Down: true})
		c.keepFault(2 * time.Second)
		c.platform.SetFault(platform.Fault{Service: "table"})
	case 3:
		c.platform.SetFault(platform.Fault{Service: "table", LoseAnswers: 10})
		c.keepFault(time.Second)
		c.platform.SetFault(platform.Fault{Service: "table"})
	case 4:
		c.engines[engine].SetFault(standin.EngineFault{CutAfter: 3, MismatchAnswers: 3})
		c.keepFault(time.Second)
		c.engines[engine].SetFault(standin.EngineFault{})
	case 5:
		c.broker.SetFault(standin.ServiceFault{CutAnswers: 5})
		c.keepFault(time.Second)
	case 6:
		edited := baseTable()
		edited.Allows[0].Weight = rng.IntN(10)
		c.apply(table.New(*edited))
		c.keepFault(time.Second)
	}
	c.count(func(t *chaosCounts) { t.faults++ })
}

// keepFault keeps a fault active for d while the callers run.
func (c *chaos) keepFault(d time.Duration) {
	end := time.NewTimer(d)
	defer end.Stop()
	<-end.C
}

// runChaos runs callers while it injects faults, waits until all bills are written, and
// returns what became of the requests.
func runChaos(t *testing.T, seed uint64, faults int) chaosCounts {
	c := &chaos{cluster: newCluster(t, 4), t: t, stop: make(chan struct{})}
	for i := range uint64(4) {
		c.runCaller(seed+10*i, c.sendCheckout)
		c.runCaller(seed+10*i+1, c.sendChat)
		c.runCaller(seed+10*i+2, c.runSession)
	}
	rng := rand.New(rand.NewPCG(seed, 8))
	for range faults {
		c.injectFault(rng)
	}
	close(c.stop)
	c.wg.Wait()
	for id := range c.daemons {
		c.await(id+" has no pending bill", func() bool {
			d, err := c.dump(id)
			return err == nil && d.Control.PendingBills == 0 && d.Control.CopiesHeld == 0
		})
	}
	c.checkBills()
	c.cluster.stop()
	return c.counts
}

func (c *chaos) checkBills() {
	billed := map[string]bool{}
	for _, e := range c.platform.Keys(control.BillPrefix) {
		billed[e.Key] = true
	}
	for _, id := range c.completed {
		if !billed[control.BillPrefix+"voluntas/"+id] {
			c.counts.unbilled++
			c.t.Logf("request %s was answered completely but not billed", id)
		}
	}
	for key, n := range c.broker.Runs() {
		if n > 1 {
			c.counts.duplicated++
			c.t.Logf("%s ran %d times", key, n)
		}
	}
}

// TestChaos checks the guarantees to callers of all kinds while faults are injected: no
// call runs twice or is wrongly reported as not run, no session changes its version, and
// each complete answer is billed and is the right one.
func TestChaos(t *testing.T) {
	t.Parallel()
	got := runChaos(t, 1, 8)
	t.Logf("%+v", got)
	if got.duplicated+got.falselyNotRun+got.moved+got.unbilled+got.wrong > 0 {
		t.Errorf("a guarantee was broken: %+v", got)
	}
	if got.answered < 100 {
		t.Errorf("only %d requests were answered", got.answered)
	}
}
