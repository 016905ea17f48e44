package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

func TestRunsKnowWhatAServerWasWorkingOn(t *testing.T) {
	r := quarantine.NewRuns()
	p, other := quarantine.Place{ID: "a", Addr: "a:1"}, quarantine.Place{ID: "b", Addr: "b:1"}
	for f := range quarantine.Fingerprint(5) {
		r.Begin(p, f, start)
	}
	r.Begin(other, 9, start)
	r.End(p, 1, quarantine.Done, start)
	r.End(p, 2, quarantine.Cut, start)
	r.End(p, 3, quarantine.Cut, start.Add(3*time.Second))
	now := start.Add(4 * time.Second)
	if got := r.Places(3, now); !slices.Equal(got, []quarantine.Place{p}) {
		t.Errorf("the third was cut at %v", got)
	}
	got := r.Ended(p, now)
	slices.Sort(got)
	if !slices.Equal(got, []quarantine.Fingerprint{0, 3, 4}) {
		t.Errorf("at its end the server was working on %v", got)
	}
	r.End(p, 0, quarantine.Done, now)
	if got := r.Ended(p, now); len(got) > 0 {
		t.Errorf("counted twice: %v", got)
	}
}

func TestOneLookAtAServerAtATime(t *testing.T) {
	r := quarantine.NewRuns()
	p := quarantine.Place{ID: "a"}
	if !r.Look(p) || r.Look(p) {
		t.Error("two look at once")
	}
	r.Looked(p)
	if !r.Look(p) {
		t.Error("nobody looks a second time")
	}
}
