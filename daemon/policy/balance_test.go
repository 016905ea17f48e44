//go:build policy

package policy_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

// The simulated pool: daemons learn the load of servers from delayed reports.
const (
	balanceDaemons     = 20
	balanceServers     = 20
	balanceBatchSize   = 8
	balanceLoad        = 0.85
	balanceDuration    = 120 * time.Second
	meanServiceSeconds = 2.0
	reportInterval     = 2 * time.Second
)

// engine simulates a model server that runs up to balanceBatchSize requests at once and queues the others.
type engine struct {
	clock    *clock
	running  int
	waiting  []func()
	slowdown float64
}

func (e *engine) submit(service time.Duration, done func()) {
	run := func() {
		e.running++
		e.clock.after(time.Duration(float64(service)*e.slowdown), func() {
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			done()
		})
	}
	if e.running < balanceBatchSize {
		run()
		return
	}
	e.waiting = append(e.waiting, run)
}

func (e *engine) load() int { return e.running + len(e.waiting) }

// balancer is one daemon's view of the servers.
type balancer struct {
	view    *route.View
	servers []*route.Server
	// ownStates hold the daemon's own requests in flight at each server. The reportsOnly baseline does not use them.
	ownStates []*route.ServerState
}

// loadEstimate is how a daemon estimates the load of a server.
type loadEstimate int

const (
	lagCorrected loadEstimate = iota
	reportsOnly
	randomChoice
)

func newBalancer(kind loadEstimate) *balancer {
	ref := table.Ref{Model: "m", Version: "v"}
	b := &balancer{view: &route.View{Hall: "a", ConfirmedAt: epoch, Engines: map[table.Ref][]*route.Server{}}}
	b.view.Table = table.New(table.Table{
		Organisations: []table.Organisation{{Name: "o"}}, Versions: []table.Version{{Ref: ref}},
		Allows: []table.Allow{{Organisation: "o", Ref: ref, Weight: 1}},
	})
	for range balanceServers {
		own := &route.ServerState{}
		s := &route.Server{ID: fmt.Sprint(len(b.servers)), Hall: "a", State: own}
		if kind == reportsOnly {
			s.State = &route.ServerState{}
		}
		b.ownStates = append(b.ownStates, own)
		b.servers = append(b.servers, s)
	}
	b.view.Engines[ref] = b.servers
	return b
}

func (b *balancer) report(i, load int) {
	b.servers[i].Reported = load
	b.servers[i].OwnAtReport = int(b.servers[i].State.InFlight.Load())
}

func balance(seed uint64, kind loadEstimate, slow bool) (latency []float64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	c := &clock{}
	engines := make([]*engine, balanceServers)
	for i := range engines {
		engines[i] = &engine{clock: c, slowdown: 1}
	}
	if slow {
		engines[0].slowdown = 4
	}
	daemons := make([]*balancer, balanceDaemons)
	for d := range daemons {
		daemons[d] = newBalancer(kind)
		for i := range engines {
			var poll func()
			poll = func() {
				daemons[d].report(i, engines[i].load())
				c.after(reportInterval, poll)
			}
			c.after(time.Duration(rng.Int64N(int64(reportInterval))), poll)
		}
	}
	service := distuv.LogNormal{Mu: -0.5, Sigma: 1, Src: rng}
	rate := balanceLoad * balanceServers * balanceBatchSize / meanServiceSeconds
	n := 0
	var arrive func()
	arrive = func() {
		n++
		b := daemons[rng.IntN(balanceDaemons)]
		i := rng.IntN(balanceServers)
		if kind != randomChoice {
			r := route.Request{ID: fmt.Sprint(n), Tenant: b.view.Table.Tenant("o"), Model: "m", Seed: rng.Uint64()}
			i = slices.Index(b.servers, route.Decide(b.view, r, c.time()).Outcome.(route.Send).Server)
		}
		start := c.now
		b.ownStates[i].InFlight.Add(1)
		engines[i].submit(time.Duration(service.Rand()*meanServiceSeconds*float64(time.Second)), func() {
			b.ownStates[i].InFlight.Add(-1)
			b.report(i, engines[i].load())
			latency = append(latency, (c.now - start).Seconds())
		})
		c.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	c.after(0, arrive)
	c.run(balanceDuration)
	return latency
}

func TestPolicyBalance(t *testing.T) {
	res := newResults("balance")
	for _, slow := range []bool{false, true} {
		for _, p := range []struct {
			name string
			kind loadEstimate
		}{{"corrected for lag", lagCorrected}, {"least loaded by reports only", reportsOnly}, {"random", randomChoice}} {
			name := p.name
			if slow {
				name += ", one server 4 times slower"
			}
			for seed := range seeds {
				latency := balance(uint64(seed), p.kind, slow)
				res.add(name, "p50", seed, quantile(latency, 0.50))
				res.add(name, "p95", seed, quantile(latency, 0.95))
				res.add(name, "p99", seed, quantile(latency, 0.99))
			}
		}
	}
	res.report(t, map[string]string{"p50": "s", "p95": "s", "p99": "s"})
}
