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
	work      = 30 * time.Millisecond
	interval  = 500 * time.Millisecond
)

// cluster is a set of daemons that share servers and exchange figures.
type cluster struct {
	mu      sync.Mutex
	pools   []*permits.Pool
	servers []*server
	frozen  func(daemon int) bool
	gated   bool
	tally   tally
	orgs    map[string]*tally
	wg      sync.WaitGroup
}

// tally counts requests. Late ones are answered after the objective.
type tally struct{ sent, refused, arrived, rejected, answered, late int }

// server has 6 slots and a queue of 24.
type server struct {
	slots  chan struct{}
	queued int
}

func newCluster(servers int, gated bool) *cluster {
	c := &cluster{gated: gated, frozen: func(int) bool { return false }, orgs: map[string]*tally{}}
	for range daemons {
		c.pools = append(c.pools, permits.New())
	}
	c.setServers(servers)
	return c
}

func (c *cluster) setServers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.servers) < n {
		c.servers = append(c.servers, &server{slots: make(chan struct{}, 6)})
	}
	c.servers = c.servers[:n]
	for _, p := range c.pools {
		p.SetPool(service, core.Pool{Slots: 6 * n, Queue: 24 * n}, daemons)
	}
}

// exchange reports the figures of all daemons to the first one, whose total of the last interval
// they receive.
func (c *cluster) exchange() {
	total := c.pools[0].Total(time.Now())
	for i, p := range c.pools {
		if c.frozen(i) {
			continue
		}
		if total != nil {
			p.SetTotal(total, time.Now())
		}
		c.pools[0].SetDaemon(strconv.Itoa(i), p.Report(time.Now()), time.Now())
	}
}

// run sends requests of 24 organisations for a while, at a rate per second. It returns the counts.
func (c *cluster) run(rate float64, length time.Duration, weight func(organisation int) int) tally {
	var organisations []string
	for i := range 24 {
		for range weight(i) {
			organisations = append(organisations, strconv.Itoa(i))
		}
	}
	c.mu.Lock()
	c.tally = tally{}
	clear(c.orgs)
	c.mu.Unlock()
	rng := rand.New(rand.NewPCG(1, 2))
	begun := time.Now()
	exchangeAt := begun
	for time.Since(begun) < length {
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if now := time.Now(); now.After(exchangeAt) {
			exchangeAt = now.Add(interval)
			c.exchange()
		}
		p := c.pools[rng.IntN(daemons)]
		organisation := organisations[rng.IntN(len(organisations))]
		i := rng.Uint32()
		c.wg.Go(func() { c.send(p, organisation, int(i)) })
	}
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tally
}

func (c *cluster) send(p *permits.Pool, organisation string, i int) {
	begun := time.Now()
	release := func() {}
	if c.gated {
		var err error
		release, err = p.Enter(context.Background(), service, core.Ticket{Organisation: organisation, Objective: objective, Left: objective})
		if err != nil {
			c.count(organisation, func(t *tally) { t.refused++ })
			return
		}
	}
	defer release()
	c.mu.Lock()
	s := c.servers[i%len(c.servers)]
	rejected := s.queued >= 6+24
	if !rejected {
		s.queued++
	}
	c.mu.Unlock()
	c.count(organisation, func(t *tally) { t.arrived++ })
	if rejected {
		c.count(organisation, func(t *tally) { t.rejected++ })
		return
	}
	s.slots <- struct{}{}
	clock.Wait(context.Background(), work)
	<-s.slots
	c.mu.Lock()
	s.queued--
	c.mu.Unlock()
	c.count(organisation, func(t *tally) {
		t.answered++
		if time.Since(begun) > objective+time.Millisecond {
			t.late++
		}
	})
}

func (c *cluster) count(organisation string, f func(*tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.orgs[organisation] == nil {
		c.orgs[organisation] = &tally{}
	}
	f(&c.tally)
	f(c.orgs[organisation])
}

func even(int) int { return 1 }

func TestTrial(t *testing.T) {
	for _, gated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(3, gated)
			c.run(250, 2*time.Second, even)
			for _, n := range []int{3, 2, 1} {
				c.setServers(n)
				for range 3 {
					r := c.run(250, 10*time.Second, even)
					t.Logf("gated %v servers %d: %+v  %+v", gated, n, r, c.pools[5].Snapshot(time.Now())[service])
				}
			}
		})
	}
}

func TestTrialOrgs(t *testing.T) {
	for _, k := range []int{1, 7} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(1, true)
			c.run(250, 10*time.Second, even)
			r := c.run(250*float64(23+k)/24, 30*time.Second, func(i int) int {
				if i == 0 {
					return k
				}
				return 1
			})
			o := c.orgs["0"]
			t.Logf("%d %+v  own %+v others %.3f", k, r, *o, float64(r.answered-o.answered)/23)
		})
	}
}
