package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/quarantine"
)

// Guards against exits that the platform has planned, since a roll-out has replaced the servers' version,
// and that are counted as if the servers had crashed; and against crashes before it that count as planned.
func TestExitsOfAReplacedVersionAreCountedAsPlanned(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, daemons := startRollout(t, 3, 10)
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
		if old, other := daemons[1].PlannedExits.Load(), daemons[2].PlannedExits.Load(); old != 1 || other != 0 {
			t.Errorf("planned exits: %d of the old version, %d of the new one", old, other)
		}
	})
}
