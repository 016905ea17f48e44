package canary_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/canary"
)

// rollouts is the number of simulated roll-outs of each kind; -canary.rollouts 1000 gives the
// figures of the design note.
var rollouts = flag.Int("canary.rollouts", 20, "simulated roll-outs of each kind")

// workload is the traffic of a service and the number of its servers.
type workload struct {
	perSecond float64
	servers   int
}

var (
	smallWorkload = workload{perSecond: 30, servers: 12}
	largeWorkload = workload{perSecond: 300, servers: 140}
)

// defect is a fault of a new version.
type defect struct {
	name string
	// failed is the added failure rate, slower the factor on latencies.
	failed, slower float64
	// from is the age of the order at which the fault begins, route the only affected route, if
	// any.
	from  time.Duration
	route string
	// servers is the number of affected servers; 0 is all of them.
	servers int
}

var exposure = canary.Exposure{Share: 0.15, Slack: 30}

// simulation is the state of one simulated roll-out.
type simulation struct {
	rng      *rand.Rand
	workload workload
	defect   defect
	evidence canary.Evidence
	ejected  []string
	// newRequests counts the requests of the new version, allRequests those of both.
	newRequests, allRequests int
}

// usualSpread is the factor by which latencies of the settled version vary.
const usualSpread = 2

// answer counts one answer of a server of the new version, or of the old version if the server is
// "".
func (s *simulation) answer(server string, age time.Duration) {
	route := []string{"long", "short", "plain"}[s.rng.IntN(3)]
	relative, failed := math.Exp(s.rng.NormFloat64()*math.Log(usualSpread)), s.rng.Float64() < 0.01
	s.allRequests++
	if server == "" {
		s.evidence.Old[route] = s.evidence.Old[route].Plus(count(relative, failed))
		return
	}
	s.newRequests++
	d := s.defect
	if age >= d.from && (d.route == "" || d.route == route) && (d.servers == 0 || server < string(rune('a'+d.servers))) {
		relative *= max(1, d.slower)
		failed = failed || s.rng.Float64() < d.failed
	}
	if s.evidence.New[server] == nil {
		s.evidence.New[server] = canary.Counts{}
	}
	s.evidence.New[server][route] = s.evidence.New[server][route].Plus(count(relative, failed))
}

func count(relative float64, failed bool) canary.Count {
	c := canary.Count{Answers: 1}
	if failed {
		c.Failed = 1
		return c
	}
	c.First = c.First.With(relative)
	return c
}

// server draws one of the servers of the new version that are in use.
func (s *simulation) server(share float64) string {
	n := max(1, int(share*float64(s.workload.servers)))
	var used []string
	for i := range s.workload.servers {
		name := string(rune('a' + i))
		if len(used) < n && !slices.Contains(s.ejected, name) {
			used = append(used, name)
		}
	}
	return used[s.rng.IntN(len(used))]
}

// outcome says whether and at which age the version was rejected, and how much of the exposure was
// used.
type outcome struct {
	rejected     bool
	age          time.Duration
	exposureUsed float64
}

// simulate runs a roll-out to its deadline.
func simulate(seed uint64, w workload, d defect) outcome {
	const step = 100 * time.Millisecond
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), workload: w, defect: d,
		evidence: canary.Evidence{Old: canary.Counts{}, New: map[string]canary.Counts{}},
	}
	r := started(exposure.InitialShare(w.perSecond*within.Seconds(), within))
	var out outcome
	for age := time.Duration(0); age < within; age += step {
		share := r.Share(r.Since.Add(age))
		due := w.perSecond * step.Seconds()
		n := int(due)
		if s.rng.Float64() < due-float64(n) {
			n++
		}
		for range n {
			server := ""
			if !out.rejected && s.rng.Float64() < share {
				server = s.server(share)
			}
			s.answer(server, age)
		}
		v := s.evidence.Judge()
		s.ejected = append(s.ejected, v.Ejected...)
		if v.Rejection != "" && !out.rejected {
			out.rejected, out.age = true, age
		}
	}
	out.exposureUsed = float64(s.newRequests) / (exposure.Share*float64(s.allRequests) + exposure.Slack)
	return out
}

// In simulated roll-outs the exposure must never be exceeded, whatever the fault of the version
// and whether or not it is detected. Versions that are faulty for long enough must be rejected,
// and good ones kept, also with one faulty server.
func TestSimulatedRollouts(t *testing.T) {
	for _, c := range []struct {
		defect defect
		// bound is the smallest share that must be rejected, or the largest for a good version.
		bound float64
		good  bool
	}{
		{defect{name: "good"}, 0.01, true},
		{defect{name: "good, a server is bad", failed: 0.5, servers: 1}, 0.02, true},
		{defect{name: "fails", failed: 0.3}, 0.9, false},
		{defect{name: "slow", slower: 8}, 0.95, false},
		{defect{name: "slow on one route", slower: 8, route: "long"}, 0.8, false},
		{defect{name: "fails on one route", failed: 0.6, route: "long"}, 0.7, false},
		{defect{name: "fails later", failed: 0.5, from: 10 * time.Second}, 0.9, false},
		{defect{name: "fails when it has all", failed: 0.5, from: 18 * time.Second}, 0.9, false},
	} {
		for name, w := range map[string]workload{"small": smallWorkload, "large": largeWorkload} {
			rejected, ages := 0, []time.Duration{}
			for seed := range *rollouts {
				out := simulate(uint64(seed), w, c.defect)
				if out.exposureUsed > 1 {
					t.Errorf("%s, %s, seed %d: exposed %.2f times what is allowed", c.defect.name, name, seed, out.exposureUsed)
				}
				if out.rejected {
					rejected++
					ages = append(ages, max(0, out.age-c.defect.from))
				}
			}
			share := float64(rejected) / float64(*rollouts)
			slices.Sort(ages)
			if len(ages) > 0 {
				t.Logf("%s, %s workload: %.3f rejected, median after %v, 90%% within %v", c.defect.name, name, share, ages[len(ages)/2], ages[len(ages)*9/10])
			} else {
				t.Logf("%s, %s workload: none rejected", c.defect.name, name)
			}
			if c.good && share > c.bound || !c.good && share < c.bound {
				t.Errorf("%s, %s workload: %.3f were rejected", c.defect.name, name, share)
			}
		}
	}
}
