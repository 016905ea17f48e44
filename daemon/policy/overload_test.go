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

// The simulated pool, which is offered up to three times the load that it can serve.
const (
	overloadSlots       = 64
	overloadDuration    = 120 * time.Second
	overloadDeadline    = 10 * time.Second
	overloadMeanSeconds = 2.0
)

// classMix is the share of each class in the load: checkouts, chats and audit summaries.
var classMix = []struct {
	class queue.Class
	share float64
	name  string
}{{queue.Urgent, 0.1, "urgent"}, {queue.Normal, 0.6, "normal"}, {queue.Background, 0.3, "background"}}

// outcome is the result of one run. inTime counts the requests answered within overloadDeadline.
type outcome struct {
	arrived, inTime map[queue.Class]int
	latency         []float64
}

// overload offers a multiple of the pool's capacity. If bounded is set, requests wait in
// queue.Queue; otherwise they wait in order of arrival until they are served, as in a
// plain proxy without queue limits.
func overload(seed uint64, multiple float64, bounded bool) outcome {
	rng := rand.New(rand.NewPCG(seed, 5))
	c := &clock{}
	out := outcome{arrived: map[queue.Class]int{}, inTime: map[queue.Class]int{}}
	q := queue.New()
	var fifo []func()
	free := overloadSlots
	starts := map[string]func(){}
	service := distuv.LogNormal{Mu: -0.125, Sigma: 0.5, Src: rng}
	next := func() {
		if bounded {
			it, expired, ok := q.Pop(c.time())
			for _, l := range expired {
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
	rate := multiple * overloadSlots / overloadMeanSeconds
	n := 0
	var arrive func()
	arrive = func() {
		n++
		arrivedAt, id := c.now, fmt.Sprint(n)
		class, u := queue.Normal, rng.Float64()
		for _, s := range classMix {
			if u < s.share {
				class = s.class
				break
			}
			u -= s.share
		}
		out.arrived[class]++
		start := func() {
			free--
			took := time.Duration(service.Rand() * overloadMeanSeconds * float64(time.Second))
			c.after(took, func() {
				free++
				q.Served(took, c.time())
				if took := c.now - arrivedAt; took <= overloadDeadline {
					out.inTime[class]++
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
	c.run(overloadDuration)
	return out
}

func TestPolicyOverload(t *testing.T) {
	res := newResults("overload")
	lines := map[string]plotter.XYs{}
	capacity := overloadSlots / overloadMeanSeconds * overloadDuration.Seconds()
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
				for _, s := range classMix {
					total += out.inTime[s.class]
					res.add(policy, s.name+" in time", seed, float64(out.inTime[s.class])/float64(max(1, out.arrived[s.class])))
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
	savePlot(t, "overload", "Answers in time", "offered, times capacity", "answered in time, of capacity", lines)
}
