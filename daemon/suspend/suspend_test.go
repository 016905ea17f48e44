package suspend_test

import (
	"testing"
	"time"

	"ladderridge.example/daemon/suspend"
)

func TestClockIsSteadyWithoutSuspension(t *testing.T) {
	before := suspend.TotalSuspended()
	if after := suspend.TotalSuspended(); after-before > time.Second || before-after > time.Second {
		t.Errorf("total suspension %v, then %v", before, after)
	}
	if suspend.Clock(nil).Now() != 0 {
		t.Error("nil clock reports a suspension")
	}
}
