package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

func TestRunsKnowWhatAServerWasWorkingOn(t *testing.T) {
	r := quarantine.NewRuns()
	p, other := quarantine.Place{Server: "a", Addr: "a:1"}, quarantine.Place{Server: "b", Addr: "b:1"}
	var visits []*quarantine.Visit
	broken := 0
	for f := range quarantine.Fingerprint(5) {
		visits = append(visits, r.Begin(p, f, func() { broken++ }, start))
	}
	r.Begin(other, 9, func() { broken++ }, start)
	r.End(visits[1], quarantine.Done, start)
	r.End(visits[2], quarantine.Cut, start)
	r.End(visits[3], quarantine.Cut, start.Add(3*time.Second))
	if r.BreakOff(p); broken != 2 {
		t.Errorf("%d of two requests were broken off", broken)
	}
	now := start.Add(4 * time.Second)
	if got := r.Places(3, now); !slices.Equal(got, []quarantine.Place{p}) {
		t.Errorf("the third was cut at %v", got)
	}
	got := r.Ended(p, now)
	slices.Sort(got)
	if !slices.Equal(got, []quarantine.Fingerprint{0, 3, 4}) {
		t.Errorf("at its end the server was working on %v", got)
	}
	r.End(visits[0], quarantine.Cut, now)
	if got := r.Ended(p, now); len(got) > 0 {
		t.Errorf("counted twice: %v", got)
	}
}

func TestOneLookAtAServerAtATime(t *testing.T) {
	r := quarantine.NewRuns()
	p := quarantine.Place{Server: "a"}
	if !r.Look(p) || r.Look(p) {
		t.Error("two look at once")
	}
	r.Looked(p)
	if !r.Look(p) {
		t.Error("nobody looks a second time")
	}
}
