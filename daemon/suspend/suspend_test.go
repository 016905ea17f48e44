package suspend_test

import (
	"testing"
	"time"

	"ladderridge.example/daemon/suspend"
)

func TestClockNeverGoesBackOnAVMThatRuns(t *testing.T) {
	before := suspend.Total()
	if after := suspend.Total(); after-before > time.Second || before-after > time.Second {
		t.Errorf("%v, then %v", before, after)
	}
	if suspend.Clock(nil).Now() != 0 {
		t.Error("without a clock it stands still")
	}
}
