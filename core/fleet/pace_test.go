package fleet_test

import (
	"math"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
)

// Guards against a pace that outlives the figures it comes from, or that hides failures.
func TestPaceReplacesSlownessUntilItExpires(t *testing.T) {
	servers := pool(2)
	first := choose(t, servers, fleet.Criteria{})
	first.State.SetPace(1.5, now.Add(-4*time.Second))
	if choose(t, servers, fleet.Criteria{}) == first {
		t.Error("the slow server was chosen")
	}
	first.State.SetPace(1.5, now.Add(-5*time.Second))
	if _, ok := first.State.Pace(now); ok || choose(t, servers, fleet.Criteria{}) != first {
		t.Error("the pace is used after five seconds")
	}
	first.State.Answered(8)
	first.State.SetPace(0.25, now)
	first.State.SetPace(math.NaN(), now)
	if p, _ := first.State.Pace(now); p != 0.25 || choose(t, servers, fleet.Criteria{}) != first {
		t.Errorf("pace %v; this daemon's own figures are used instead of it", p)
	}
	first.State.Failed()
	if choose(t, servers, fleet.Criteria{}) == first {
		t.Error("a server that fails fast was chosen")
	}
}

// Guards against prompts that stay on a slow server because it is idle, although their
// parts cost little to process again.
func TestPromptLeavesSlowPreferredServer(t *testing.T) {
	servers, w := pool(8), sharedPrompt()
	w.Hall = "h"
	home := choose(t, servers, w)
	home.State.SetPace(4, now)
	if choose(t, servers, w) != home {
		t.Error("a prompt with a large shared part left the server that has it cached")
	}
	if w.BlockCost = 0.1; choose(t, servers, w) == home {
		t.Error("a prompt that costs little stays on a server of four times the usual time")
	}
}
