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

// rollouts is how many roll-outs of each kind are simulated; -canary.rollouts 1000
// gives the figures of the design note.
var rollouts = flag.Int("canary.rollouts", 20, "simulated roll-outs of each kind")

// site is a service and its traffic.
type site struct {
	perSecond float64
	servers   int
}

var (
	smallSite = site{perSecond: 30, servers: 12}
	largeSite = site{perSecond: 300, servers: 140}
)

// badness is what is wrong with a version at an age of its order.
type badness struct {
	name string
	// failed is the share of failures, slower a factor on its times.
	failed, slower float64
	// from is the age from which it is so, route the only route, if any.
	from  time.Duration
	route string
	// servers bounds the servers that are so; 0 is all.
	servers int
}

var allowed = canary.Exposure{Share: 0.15, Slack: 30}

// simulation is one roll-out under way.
type simulation struct {
	rng      *rand.Rand
	site     site
	bad      badness
	evidence canary.Evidence
	aside    []string
	// fresh and all count requests.
	fresh, all int
}

// usualSpread is by which factor times of the settled version spread.
const usualSpread = 2

// answer counts an answer of a version.
func (s *simulation) answer(server string, age time.Duration) {
	route := []string{"long", "short", "plain"}[s.rng.IntN(3)]
	relative, failed := math.Exp(s.rng.NormFloat64()*math.Log(usualSpread)), s.rng.Float64() < 0.01
	s.all++
	if server == "" {
		s.evidence.Old[route] = s.evidence.Old[route].Plus(count(relative, failed))
		return
	}
	s.fresh++
	b := s.bad
	if age >= b.from && (b.route == "" || b.route == route) && (b.servers == 0 || server < string(rune('a'+b.servers))) {
		relative *= max(1, b.slower)
		failed = failed || s.rng.Float64() < b.failed
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

// server draws one of those that are used of the new version.
func (s *simulation) server(share float64) string {
	n := max(1, int(share*float64(s.site.servers)))
	var used []string
	for i := range s.site.servers {
		name := string(rune('a' + i))
		if len(used) < n && !slices.Contains(s.aside, name) {
			used = append(used, name)
		}
	}
	return used[s.rng.IntN(len(used))]
}

// outcome is how a roll-out ended: when it was taken back, or not at all.
type outcome struct {
	found   bool
	age     time.Duration
	exposed float64
}

// play plays a roll-out to its end or until the version is found bad.
func play(seed uint64, at site, bad badness) outcome {
	const step = 100 * time.Millisecond
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), site: at, bad: bad,
		evidence: canary.Evidence{Old: canary.Counts{}, New: map[string]canary.Counts{}},
	}
	r := started(allowed.InitialShare(at.perSecond*within.Seconds(), within))
	var out outcome
	for age := time.Duration(0); age < within; age += step {
		share := r.Share(r.Since.Add(age))
		due := at.perSecond * step.Seconds()
		n := int(due)
		if s.rng.Float64() < due-float64(n) {
			n++
		}
		for range n {
			server := ""
			if !out.found && s.rng.Float64() < share {
				server = s.server(share)
			}
			s.answer(server, age)
		}
		v := s.evidence.Judge()
		s.aside = append(s.aside, v.Ejected...)
		if v.Rejection != "" && !out.found {
			out.found, out.age = true, age
		}
	}
	out.exposed = float64(s.fresh) / (allowed.Share*float64(s.all) + allowed.Slack)
	return out
}

// Simulated roll-outs: the exposure is never passed, whatever is wrong with a
// version and whether or not it is found; those that are bad for long enough are
// found, and good ones are kept, also if one of their servers is bad.
func TestSimulatedRollouts(t *testing.T) {
	for _, c := range []struct {
		bad badness
		// found is the least share that is found, or the most for a good one.
		found float64
		good  bool
	}{
		{badness{name: "good"}, 0.01, true},
		{badness{name: "good, a server is bad", failed: 0.5, servers: 1}, 0.02, true},
		{badness{name: "fails", failed: 0.3}, 0.9, false},
		{badness{name: "slow", slower: 8}, 0.95, false},
		{badness{name: "slow on one route", slower: 8, route: "long"}, 0.8, false},
		{badness{name: "fails on one route", failed: 0.6, route: "long"}, 0.7, false},
		{badness{name: "fails later", failed: 0.5, from: 10 * time.Second}, 0.9, false},
		{badness{name: "fails when it has all", failed: 0.5, from: 18 * time.Second}, 0.9, false},
	} {
		for name, at := range map[string]site{"small": smallSite, "large": largeSite} {
			found, ages := 0, []time.Duration{}
			for seed := range *rollouts {
				out := play(uint64(seed), at, c.bad)
				if out.exposed > 1 {
					t.Errorf("%s, %s, seed %d: exposed %.2f times what is allowed", c.bad.name, name, seed, out.exposed)
				}
				if out.found {
					found++
					ages = append(ages, max(0, out.age-c.bad.from))
				}
			}
			share := float64(found) / float64(*rollouts)
			slices.Sort(ages)
			if len(ages) > 0 {
				t.Logf("%s, %s site: %.3f found, after %v (nine in ten within %v)", c.bad.name, name, share, ages[len(ages)/2], ages[len(ages)*9/10])
			} else {
				t.Logf("%s, %s site: none found", c.bad.name, name)
			}
			if c.good && share > c.found || !c.good && share < c.found {
				t.Errorf("%s, %s site: %.3f were found", c.bad.name, name, share)
			}
		}
	}
}
