//go:build policy

package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot/plotter"

	"ladderridge.example/core/queue"
)

// The pool that is offered more than it can take.
const (
	overloadPlaces   = 64
	overloadRun      = 120 * time.Second
	overloadDeadline = 10 * time.Second
	overloadMean     = 2.0
)

// shares of the classes: checkouts, chats and audit summaries.
var classShare = []struct {
	class queue.Class
	share float64
	name  string
}{{queue.Urgent, 0.1, "urgent"}, {queue.Normal, 0.6, "normal"}, {queue.Background, 0.3, "background"}}

// offered is what one run gave.
type offered struct {
	arrived, good map[queue.Class]int
	latency       []float64
}

// overload offers a multiple of the pool's capacity. With bounded, requests go
// through the real queue; without, they wait in order of arrival until they are
// served, as in a plain proxy.
func overload(seed uint64, multiple float64, bounded bool) offered {
	rng := rand.New(rand.NewPCG(seed, 5))
	c := &clock{}
	out := offered{arrived: map[queue.Class]int{}, good: map[queue.Class]int{}}
	q := queue.New()
	var fifo []func()
	free := overloadPlaces
	starts := map[string]func(){}
	service := distuv.LogNormal{Mu: -0.125, Sigma: 0.5, Src: rng}
	next := func() {
		if bounded {
			it, late, ok := q.Pop(c.time())
			for _, l := range late {
				delete(starts, l.Item.ID)
			}
			if !ok {
				return
			}
			start := starts[it.ID]
			delete(starts, it.ID)
			start()
			return
		}
		if len(fifo) > 0 {
			start := fifo[0]
			fifo = fifo[1:]
			start()
		}
	}
	rate := multiple * overloadPlaces / overloadMean
	n := 0
	var arrive func()
	arrive = func() {
		n++
		begun, id := c.now, fmt.Sprint(n)
		class, u := queue.Normal, rng.Float64()
		for _, s := range classShare {
			if u < s.share {
				class = s.class
				break
			}
			u -= s.share
		}
		out.arrived[class]++
		start := func() {
			free--
			took := time.Duration(service.Rand() * overloadMean * float64(time.Second))
			c.after(took, func() {
				free++
				q.Served(took, c.time())
				if took := c.now - begun; took <= overloadDeadline {
					out.good[class]++
					out.latency = append(out.latency, took.Seconds())
				}
				next()
			})
		}
		it := queue.Item{ID: id, Organisation: fmt.Sprint("o", n%5), Class: class, Deadline: c.time().Add(overloadDeadline)}
		switch {
		case free > 0 && q.Len() == 0 && len(fifo) == 0:
			start()
		case !bounded:
			fifo = append(fifo, start)
		default:
			if v, ok := q.Push(it, c.time()).(queue.Queued); ok {
				starts[id] = start
				if v.Shed != nil {
					delete(starts, v.Shed.ID)
				}
			}
		}
		c.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	c.after(0, arrive)
	c.run(overloadRun)
	return out
}

func TestPolicyOverload(t *testing.T) {
	res := newResults("overload")
	lines := map[string]plotter.XYs{}
	capacity := overloadPlaces / overloadMean * overloadRun.Seconds()
	multiples := []float64{0.5, 0.8, 1, 1.25, 1.5, 2, 3}
	for _, bounded := range []bool{true, false} {
		name := "first come, first served"
		if bounded {
			name = "bounded queue"
		}
		for _, m := range multiples {
			policy := fmt.Sprintf("%s at %g times capacity", name, m)
			for seed := range seeds {
				out := overload(uint64(seed), m, bounded)
				total := 0
				for _, s := range classShare {
					total += out.good[s.class]
					res.add(policy, s.name+" in time", seed, float64(out.good[s.class])/float64(max(1, out.arrived[s.class])))
				}
				res.add(policy, "goodput", seed, float64(total)/capacity)
				res.add(policy, "p99", seed, quantile(out.latency, 0.99))
			}
			lines[name] = append(lines[name], plotter.XY{X: m, Y: res.median(policy, "goodput")})
		}
	}
	res.report(t, map[string]string{
		"goodput": "of capacity", "p99": "s", "urgent in time": "of offered", "normal in time": "of offered", "background in time": "of offered",
	})
	draw(t, "overload", "Answers in time", "offered, times capacity", "answered in time, of capacity", lines)
}
