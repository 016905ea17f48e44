package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

func TestRunsKnowWhatAServerWasWorkingOn(t *testing.T) {
	r := quarantine.NewTracker()
	p, other := quarantine.Instance{Server: "a", Addr: "a:1"}, quarantine.Instance{Server: "b", Addr: "b:1"}
	var visits []*quarantine.Run
	broken := 0
	for f := range quarantine.Fingerprint(5) {
		visits = append(visits, r.Begin(p, f, func() { broken++ }, start))
	}
	r.Begin(other, 9, func() { broken++ }, start)
	r.End(visits[1], quarantine.Completed, start)
	r.End(visits[2], quarantine.Aborted, start)
	r.End(visits[3], quarantine.Aborted, start.Add(3*time.Second))
	if r.CancelAll(p); broken != 2 {
		t.Errorf("%d of two requests were broken off", broken)
	}
	now := start.Add(4 * time.Second)
	if got := r.AbortedAt(3, now); !slices.Equal(got, []quarantine.Instance{p}) {
		t.Errorf("the third was cut at %v", got)
	}
	got := r.TakeSuspects(p, now)
	slices.Sort(got)
	if !slices.Equal(got, []quarantine.Fingerprint{0, 3, 4}) {
		t.Errorf("at its end the server was working on %v", got)
	}
	r.End(visits[0], quarantine.Aborted, now)
	if got := r.TakeSuspects(p, now); len(got) > 0 {
		t.Errorf("counted twice: %v", got)
	}
}

func TestOneLookAtAServerAtATime(t *testing.T) {
	r := quarantine.NewTracker()
	p := quarantine.Instance{Server: "a"}
	if !r.BeginProbe(p) || r.BeginProbe(p) {
		t.Error("two look at once")
	}
	r.EndProbe(p)
	if !r.BeginProbe(p) {
		t.Error("nobody looks a second time")
	}
}
