package fleet_test

import (
	"math"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
)

// Guards against a run at a server on which it cannot end in time, a pace that outlives the
// figures it comes from, and a request without a server because all are slow.
func TestSlowServersAreTheLastChoiceForRunsThatMustEnd(t *testing.T) {
	servers, w := pool(2), fleet.Criteria{MaxPace: 1.4}
	first := choose(t, servers, w)
	first.State.SetPace(1.5, now.Add(-4*time.Second))
	if choose(t, servers, w) == first {
		t.Error("the slow server was chosen")
	}
	if choose(t, servers, fleet.Criteria{}) != first || choose(t, servers, fleet.Criteria{MaxPace: 1.6}) != first {
		t.Error("the slow server was not chosen for a run that can end there")
	}
	for _, s := range servers {
		s.State.SetPace(1.5, now)
	}
	if choose(t, servers, w) != first {
		t.Error("the first of two slow servers was not chosen")
	}
	first.State.SetPace(1.5, now.Add(-5*time.Second))
	if _, ok := first.State.Pace(now); ok || choose(t, servers, w) != first {
		t.Error("the pace is used after five seconds")
	}
	first.State.SetPace(0.25, now)
	first.State.SetPace(math.NaN(), now)
	if p, _ := first.State.Pace(now); p != 0.25 {
		t.Errorf("pace %v", p)
	}
}

// Guards against a run that goes to a server in back-off, which probably does not answer at all,
// because the only other server is slow.
func TestSlowServersAreBetterThanThoseInBackoff(t *testing.T) {
	for _, fraction := range []float64{0, 1} {
		servers, w := pool(2), fleet.Criteria{MaxPace: 1.4, Fraction: fraction}
		failed := choose(t, servers, w)
		for _, s := range servers {
			if s != failed {
				s.State.SetPace(1.5, now)
				s.State.Begin(1)
			}
		}
		failed.State.Unreachable(now)
		if choose(t, servers, w) == failed {
			t.Errorf("fraction %v: the server in back-off was chosen", fraction)
		}
	}
}

// Guards against prompts that leave the server that has them cached because all daemons know that
// it is slow: they would all send them to the same other one.
func TestPaceAloneMovesNoPrompt(t *testing.T) {
	servers, w := pool(8), sharedPrompt()
	w.Hall = "h"
	home := choose(t, servers, w)
	home.State.SetPace(4, now)
	if choose(t, servers, w) != home {
		t.Error("a prompt left its server")
	}
	if w.MaxPace = 2; choose(t, servers, w) == home {
		t.Error("a run that cannot end in time stays on its server")
	}
}
