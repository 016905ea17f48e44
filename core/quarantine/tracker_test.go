package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

func TestTrackerReturnsRequestsInFlightAtCrash(t *testing.T) {
	r := quarantine.NewTracker()
	p, other := quarantine.Instance{Server: "a", Addr: "a:1"}, quarantine.Instance{Server: "b", Addr: "b:1"}
	var runs []*quarantine.Run
	cancelled := 0
	for f := range quarantine.Fingerprint(5) {
		runs = append(runs, r.Begin(p, quarantine.Suspect{Content: f}, func() { cancelled++ }, time.Time{}, start))
	}
	r.Begin(other, quarantine.Suspect{Content: 9}, func() { cancelled++ }, time.Time{}, start)
	r.End(runs[1], quarantine.Declined, start)
	r.End(runs[2], quarantine.Aborted, start)
	r.End(runs[3], quarantine.Aborted, start.Add(3*time.Second))
	if r.CancelAll(p); cancelled != 2 {
		t.Errorf("%d of two requests cancelled", cancelled)
	}
	now := start.Add(4 * time.Second)
	if got := r.AbortedAt(3, now); !slices.Equal(got, []quarantine.Instance{p}) {
		t.Errorf("the third request was aborted at %v", got)
	}
	got := quarantine.Contents(r.TakeSuspects(p, now))
	slices.Sort(got)
	if !slices.Equal(got, []quarantine.Fingerprint{0, 3, 4}) {
		t.Errorf("suspects of the crash: %v", got)
	}
	r.End(runs[0], quarantine.Aborted, now)
	if got := quarantine.Contents(r.TakeSuspects(p, now)); len(got) > 0 {
		t.Errorf("returned twice: %v", got)
	}
}

func TestOneProbeOfAServerAtATime(t *testing.T) {
	r := quarantine.NewTracker()
	p := quarantine.Instance{Server: "a"}
	if !r.BeginProbe(p) || r.BeginProbe(p) {
		t.Error("two probes at once")
	}
	r.EndProbe(p)
	if !r.BeginProbe(p) {
		t.Error("no second probe")
	}
}

// Guards against requests that are cancelled, or suspected of a crash, at the process that has replaced
// the one that exited: both were addressed in the same way until the restart was known. The crash of the
// new process must be counted there.
func TestRequestsAtTheNewProcessAreNotCancelled(t *testing.T) {
	r := quarantine.NewTracker()
	was, is := quarantine.Instance{Server: "a 1", Addr: "a:1"}, quarantine.Instance{Server: "a 2", Addr: "a:1"}
	cancelled := map[quarantine.Fingerprint]bool{}
	begin := func(f quarantine.Fingerprint, connectedAt, now time.Time) *quarantine.Run {
		return r.Begin(was, quarantine.Suspect{Content: f}, func() { cancelled[f] = true }, connectedAt, now)
	}
	begin(1, start, start)
	exit, restart := start.Add(time.Second), start.Add(3*time.Second)
	if got := quarantine.Contents(r.TakeSuspects(was, exit)); !slices.Equal(got, []quarantine.Fingerprint{1}) {
		t.Errorf("suspects of the exit: %v", got)
	}
	begin(2, start, restart)
	begin(3, time.Time{}, restart)
	later, crashing := begin(4, restart, restart), begin(5, restart, restart)
	r.Restarted(was, is)
	if r.CancelAll(was); !cancelled[2] || !cancelled[3] || cancelled[4] || cancelled[5] {
		t.Errorf("cancelled: %v; 2 and 3 may be at the earlier process", cancelled)
	}
	got := quarantine.Contents(r.TakeSuspects(was, restart))
	slices.Sort(got)
	if !slices.Equal(got, []quarantine.Fingerprint{2, 3}) {
		t.Errorf("suspects of the restart: %v", got)
	}
	r.End(later, quarantine.Declined, restart)
	r.End(crashing, quarantine.Aborted, restart)
	if got := quarantine.Contents(r.TakeSuspects(r.InstanceOf(crashing), restart)); r.InstanceOf(crashing) != is || !slices.Equal(got, []quarantine.Fingerprint{5}) {
		t.Errorf("suspects of the crash of the new process: %v, at %v", got, r.InstanceOf(crashing))
	}
}
