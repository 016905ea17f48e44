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

// The pool: daemons that see servers by lagged reports.
const (
	balanceDaemons = 20
	balanceServers = 20
	balanceBatch   = 8
	balanceLoad    = 0.85
	balanceRun     = 120 * time.Second
	serviceMean    = 2.0
	reportEvery    = 2 * time.Second
)

// engine runs up to a batch of requests at once; the others wait in it.
type engine struct {
	clock   *clock
	running int
	waiting []func()
	slow    float64
}

func (e *engine) submit(service time.Duration, done func()) {
	run := func() {
		e.running++
		e.clock.after(time.Duration(float64(service)*e.slow), func() {
			e.running--
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			done()
		})
	}
	if e.running < balanceBatch {
		run()
		return
	}
	e.waiting = append(e.waiting, run)
}

func (e *engine) load() int { return e.running + len(e.waiting) }

// balancer is one daemon's view of the servers.
type balancer struct {
	view   *route.View
	server []*route.Server
	// own are its loads, which a baseline does not use.
	own []*route.ServerState
}

// corrected tells how a daemon estimates a server's load.
type correction int

const (
	corrected correction = iota
	reportsOnly
	atRandom
)

func newBalancer(kind correction) *balancer {
	ref := table.Ref{Model: "m", Version: "v"}
	b := &balancer{view: &route.View{Hall: "a", ConfirmedAt: epoch, Engines: map[table.Ref][]*route.Server{}}}
	b.view.Table = table.New(table.Table{
		Organisations: []table.Organisation{{Name: "o"}}, Versions: []table.Version{{Ref: ref}},
		Allows: []table.Allow{{Organisation: "o", Ref: ref, Weight: 1}},
	})
	for range balanceServers {
		own := &route.ServerState{}
		s := &route.Server{ID: fmt.Sprint(len(b.server)), Hall: "a", State: own}
		if kind == reportsOnly {
			s.State = &route.ServerState{}
		}
		b.own = append(b.own, own)
		b.server = append(b.server, s)
	}
	b.view.Engines[ref] = b.server
	return b
}

func (b *balancer) report(i, load int) {
	b.server[i].Reported = load
	b.server[i].OwnAtReport = int(b.server[i].State.InFlight.Load())
}

func balance(seed uint64, kind correction, slow bool) (latency []float64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	c := &clock{}
	engines := make([]*engine, balanceServers)
	for i := range engines {
		engines[i] = &engine{clock: c, slow: 1}
	}
	if slow {
		engines[0].slow = 4
	}
	daemons := make([]*balancer, balanceDaemons)
	for d := range daemons {
		daemons[d] = newBalancer(kind)
		for i := range engines {
			var poll func()
			poll = func() {
				daemons[d].report(i, engines[i].load())
				c.after(reportEvery, poll)
			}
			c.after(time.Duration(rng.Int64N(int64(reportEvery))), poll)
		}
	}
	service := distuv.LogNormal{Mu: -0.5, Sigma: 1, Src: rng}
	rate := balanceLoad * balanceServers * balanceBatch / serviceMean
	n := 0
	var arrive func()
	arrive = func() {
		n++
		b := daemons[rng.IntN(balanceDaemons)]
		i := rng.IntN(balanceServers)
		if kind != atRandom {
			r := route.Request{ID: fmt.Sprint(n), Tenant: b.view.Table.Tenant("o"), Model: "m", Seed: rng.Uint64()}
			i = slices.Index(b.server, route.Decide(b.view, r, c.time()).Outcome.(route.Send).Server)
		}
		begun := c.now
		b.own[i].InFlight.Add(1)
		engines[i].submit(time.Duration(service.Rand()*serviceMean*float64(time.Second)), func() {
			b.own[i].InFlight.Add(-1)
			b.report(i, engines[i].load())
			latency = append(latency, (c.now - begun).Seconds())
		})
		c.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	c.after(0, arrive)
	c.run(balanceRun)
	return latency
}

func TestPolicyBalance(t *testing.T) {
	res := newResults("balance")
	for _, slow := range []bool{false, true} {
		for _, p := range []struct {
			name string
			kind correction
		}{{"corrected for lag", corrected}, {"least loaded by reports only", reportsOnly}, {"random", atRandom}} {
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
