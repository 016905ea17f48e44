package permits_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ladderridge.example/core/clock"
	core "ladderridge.example/core/permits"
	"ladderridge.example/daemon/permits"
)

const (
	service   = "plain"
	daemons   = 72
	objective = 150 * time.Millisecond
)

// cluster is a set of daemons that share servers of 6 slots and a queue of 24, and exchange figures.
type cluster struct {
	mu      sync.Mutex
	rng     *rand.Rand
	pools   []*permits.Pool
	slots   []chan struct{}
	held    []int // requests by server
	gated   bool
	cutOff  int // daemons from this one on exchange no figures
	results map[string]*tally
	hanging bool // server 0 holds requests for a second and neither answers nor rejects them
}

// tally counts requests. Late ones are answered after the objective, waiting ones not sent at once.
type tally struct{ refused, arrived, rejected, answered, late, waited int }

func newCluster(servers int, gated bool) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(1, 2)), gated: gated, cutOff: daemons}
	for range daemons {
		c.pools = append(c.pools, permits.New())
	}
	c.setServers(servers)
	return c
}

func (c *cluster) setServers(n int) {
	c.slots, c.held = nil, make([]int, n)
	for range n {
		c.slots = append(c.slots, make(chan struct{}, 6))
	}
	for _, p := range c.pools {
		p.SetPool(service, core.Pool{Slots: 6 * n, Queue: 24 * n}, daemons)
	}
}

// run sends requests of 24 organisations, the first of which has a multiple of the demand of the
// others. The daemons receive totals that are half a second old.
func (c *cluster) run(rate float64, length time.Duration, times int) (total tally) {
	c.results = map[string]*tally{}
	for i := range 24 {
		c.results[strconv.Itoa(i)] = &tally{}
	}
	var wg sync.WaitGroup
	begun, exchangeAt := time.Now(), time.Now()
	for time.Since(begun) < length {
		time.Sleep(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
		if now := time.Now(); now.After(exchangeAt) {
			exchangeAt = now.Add(500 * time.Millisecond)
			old := c.pools[0].Total(now)
			for i, p := range c.pools[:c.cutOff] {
				p.SetTotal(old, now)
				c.pools[0].SetDaemon(strconv.Itoa(i), p.Report(now), now)
			}
		}
		p, server := c.pools[c.rng.IntN(daemons)], c.rng.IntN(len(c.held))
		organisation := strconv.Itoa(max(c.rng.IntN(23+times)-times+1, 0))
		wg.Go(func() { c.send(p, server, organisation) })
	}
	wg.Wait()
	for _, r := range c.results {
		total = tally{total.refused + r.refused, total.arrived + r.arrived, total.rejected + r.rejected, total.answered + r.answered, total.late + r.late, total.waited + r.waited}
	}
	return total
}

func (c *cluster) send(p *permits.Pool, server int, organisation string) {
	begun, r, answered := time.Now(), c.results[organisation], false
	if c.gated {
		release, err := p.Enter(context.Background(), service, core.Ticket{Organisation: organisation, Objective: objective, Left: objective})
		c.mu.Lock()
		defer c.mu.Unlock()
		if time.Since(begun) > 0 {
			r.waited++
		}
		if err != nil {
			r.refused++
			return
		}
		defer func() { release(answered) }()
	} else {
		c.mu.Lock()
		defer c.mu.Unlock()
	}
	r.arrived++
	if c.hanging && server == 0 {
		c.mu.Unlock()
		clock.Wait(context.Background(), time.Second)
		c.mu.Lock()
		return
	}
	if c.held[server] >= 6+24 {
		r.rejected++
		p.Declined(service)
		return
	}
	c.held[server]++
	c.mu.Unlock()
	c.slots[server] <- struct{}{}
	clock.Wait(context.Background(), 30*time.Millisecond)
	<-c.slots[server]
	c.mu.Lock()
	c.held[server]--
	r.answered++
	answered = true
	if time.Since(begun) > objective+time.Millisecond {
		r.late++
	}
}

// Guards against rejections at the servers while they are replaced, and against refusals and waits
// that are not needed. The first three seconds of a phase with too few servers are reported only: no
// daemon has seen a decline before.
func TestReplacedServers(t *testing.T) {
	play := func(gated bool) (out, begin []tally) {
		synctest.Test(t, func(*testing.T) {
			c := newCluster(3, gated)
			c.run(250, 5*time.Second, 1)
			for _, n := range []int{3, 2, 1} {
				c.setServers(n)
				begin = append(begin, c.run(250, 3*time.Second, 1))
				out = append(out, c.run(250, 20*time.Second, 1))
			}
			c.cutOff = daemons / 2
			begin = append(begin, c.run(250, 3*time.Second, 1))
			out = append(out, c.run(250, 20*time.Second, 1))
		})
		return out, begin
	}
	gated, begin := play(true)
	direct, _ := play(false)
	for i, name := range []string{"3 servers", "2 servers", "1 server", "1 server, half of the daemons cut off"} {
		g, d := gated[i], direct[i]
		t.Logf("%s: gated %+v, first seconds %+v, direct %+v", name, g, begin[i], d)
		if g.rejected*20 >= g.arrived || g.late*20 >= g.answered || g.answered*20 < d.answered*18 {
			t.Errorf("%s: with permits %+v, without %+v", name, g, d)
		}
		if i < 2 && g.refused+g.late+begin[i].refused+begin[i].late > 0 {
			t.Errorf("%s: refused or late in a pool that is not busy: %+v, %+v", name, g, begin[i])
		}
	}
	if d := direct[2]; d.rejected*20 < d.arrived {
		t.Errorf("without permits one server rejects only %d of %d", d.rejected, d.arrived)
	}
}

// Guards against limits while servers reject nothing: a server that does not answer looks like
// demand, and without figures the static share is below one request for each daemon.
func TestNobodyWaitsUnlessServersReject(t *testing.T) {
	for name, cutOff := range map[string]int{"a server does not answer": daemons, "no figures": 0} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(3, true)
			c.hanging, c.cutOff = true, cutOff
			if r := c.run(250, 10*time.Second, 1); r.refused+r.waited+r.rejected > 0 || r.arrived < 2000 {
				t.Errorf("%s: %+v", name, r)
			}
		})
	}
}

// Guards against an organisation that uses up the permits of others.
func TestOrganisationWithSevenTimesItsDemand(t *testing.T) {
	play := func(times int) (others int) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(1, true)
			c.run(250, 10*time.Second, 1)
			r := c.run(250*float64(23+times)/24, 60*time.Second, times)
			others = r.answered - c.results["0"].answered
			t.Logf("%d times: all %+v, own %+v, others answered %d", times, r, *c.results["0"], others)
		})
		return others
	}
	if usual, loud := play(1), play(7); loud*20 < usual*17 {
		t.Errorf("the others have %d answers instead of %d", loud, usual)
	}
}
