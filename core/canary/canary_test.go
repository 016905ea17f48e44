package canary_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/canary"
)

const within = 20 * time.Second

func TestShareOnlyGrowsAndStaysSmallForTheFirstHalf(t *testing.T) {
	last := 0.0
	for age := time.Duration(0); age < within; age += 100 * time.Millisecond {
		share := canary.Share(age, within)
		if share < last {
			t.Fatalf("the share falls at %v", age)
		}
		if age <= within/2 && share > 0.1 {
			t.Fatalf("the share is %v at %v", share, age)
		}
		last = share
	}
	if last != 1 || canary.Share(within*4/5, within) != 1 {
		t.Error("the version does not get all requests in time")
	}
}

func TestSessionsMoveOnceAndAlikeEverywhere(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(0, 0)
	r := canary.Rollout{Order: canary.Order{Version: "v2", Within: within}, Since: start, Started: true}
	for range 200 {
		hash, moved := rng.Uint64(), 0
		last := r.UsesNew(hash, start)
		for age := time.Duration(0); age < within; age += 50 * time.Millisecond {
			if is := r.UsesNew(hash, start.Add(age)); is != last {
				last = is
				moved++
			}
		}
		if moved > 1 {
			t.Fatalf("a session moved %d times", moved)
		}
	}
}

func TestNothingUsesAVersionBeforeItsStartOrAfterItsRollBack(t *testing.T) {
	r := canary.Rollout{Order: canary.Order{Version: "v2", Within: within}}
	if r.UsesNew(0, r.Since.Add(within)) {
		t.Error("before all daemons agree on its start")
	}
	r.Started, r.State = true, canary.RolledBack
	if r.UsesNew(0, r.Since.Add(within)) {
		t.Error("after its roll-back")
	}
}

// sample draws counts of answers of which a share is bad.
func sample(rng *rand.Rand, answers uint64, share float64) canary.Count {
	c := canary.Count{Answers: answers}
	for range answers {
		if rng.Float64() < share {
			c.Failed++
		}
	}
	return c
}

func TestGoodVersionsAreKept(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, usual := range []float64{0, 0.01, 0.14} {
		for range 500 {
			p := canary.Pair{New: sample(rng, 120, usual), Old: sample(rng, 1200, usual)}
			if why := canary.Judge(map[string]canary.Pair{"r": p}); why != "" {
				t.Fatalf("usual share %v: %s", usual, why)
			}
		}
	}
}

func TestBadVersionsAreFound(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for _, usual := range []float64{0, 0.01, 0.14} {
		late := 0
		for range 100 {
			p := canary.Pair{New: sample(rng, 60, usual+0.35), Old: sample(rng, 600, usual)}
			if canary.Judge(map[string]canary.Pair{"r": p}) == "" {
				late++
			}
		}
		if late > 10 {
			t.Errorf("usual share %v: %d of 100 were not found after 60 answers", usual, late)
		}
	}
}

func TestVersionThatIsBadOnOneRouteIsFound(t *testing.T) {
	routes := map[string]canary.Pair{
		"bad":  {New: canary.Count{Answers: 30, Failed: 15}, Old: canary.Count{Answers: 300}},
		"good": {New: canary.Count{Answers: 300}, Old: canary.Count{Answers: 3000}},
	}
	if canary.Judge(routes) == "" {
		t.Error("it was not found")
	}
	slow := map[string]canary.Pair{"r": {New: canary.Count{Answers: 30, Slow: 15}, Old: canary.Count{Answers: 300, Slow: 3}}}
	if canary.Judge(slow) == "" {
		t.Error("a slow one was not found")
	}
}
