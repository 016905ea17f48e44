package brittle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/brittle"
)

// servedWith returns how many of the requests are served where the first of seven daemons has a part of
// them and the others the rest. Six servers could process twice as many.
func servedWith(part float64) float64 {
	const daemons, slots, servers, work = 7, 8, 6, 50
	r := rand.New(rand.NewPCG(2, 2))
	var inFlight [daemons][servers]int
	ends := map[int][][2]int{}
	served, sent := 0.0, 0.0
	for ms := range 20_000 {
		for _, e := range ends[ms] {
			inFlight[e[0]][e[1]]--
		}
		delete(ends, ms)
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for n := 0.5 * servers * slots / work * 2 * r.Float64(); n >= 1 || r.Float64() < n; n-- {
			d := 0
			if r.Float64() >= part {
				d = 1 + r.IntN(daemons-1)
			}
			sent++
			for _, i := range r.Perm(servers) {
				phase := float64((d*7+i*3)%daemons) / daemons
				c := brittle.Capacity{Share: brittle.Share(slots, daemons, phase, now), Daemons: daemons, Rejections: 5}
				if inFlight[d][i] < (brittle.Bound{}).Max(c, now) {
					inFlight[d][i]++
					ends[ms+work] = append(ends[ms+work], [2]int{d, i})
					served++
					break
				}
			}
		}
	}
	return served / sent
}

// Guards against a daemon that has most of the connections and refuses most of its callers, while the
// slots that are the other daemons' stay unused.
func TestBusiestDaemonUsesSlotsThatOthersLeave(t *testing.T) {
	even, skewed := servedWith(1.0/7), servedWith(7.0/8)
	if skewed < 0.75*even {
		t.Errorf("%.2f of the requests served where one daemon has most of them, %.2f where none has", skewed, even)
	}
}
