package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/quarantine"
)

// Guards against requests that are refused since the platform has stopped the servers of a version that a
// roll-out has replaced; and against crashes before that end that do not count.
func TestExitsOfAReplacedVersionAreNoEvidence(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, daemons := startRollout(t, 3, 10)
		observeGoodAnswers(daemons, "v1", "v2")
		suspects := []quarantine.Suspect{{Content: 1}}
		daemons[0].RecordServerExit("old", suspects)
		if n := daemons[0].PlannedExits.Load(); n != 0 {
			t.Errorf("%d planned exits before the roll-out has ended", n)
		}
		for range 40 {
			advance(500 * time.Millisecond)
		}
		if got := s.storedProgress().State; got != canary.Completed {
			t.Fatalf("state %v", got)
		}
		daemons[1].RecordServerExit("old", suspects)
		daemons[2].RecordServerExit("new", suspects)
		for _, d := range daemons[1:] {
			d.RecordServerExit("old", suspects)
		}
		if got := daemons[1].View().Quarantine.RecentCrashes(time.Now()); len(got) != 1 || got[0].Crashes != 1 {
			t.Errorf("crashes counted: %v, want the one before the end of the roll-out", got)
		}
		if old, other := daemons[1].PlannedExits.Load(), daemons[2].PlannedExits.Load(); old != 2 || other != 1 {
			t.Errorf("planned exits: %d, %d", old, other)
		}
	})
}
