package standstill_test

import (
	"testing"
	"time"

	"ladderridge.example/daemon/standstill"
)

func TestClockNeverGoesBackOnAVMThatRuns(t *testing.T) {
	before := standstill.Total()
	if after := standstill.Total(); after-before > time.Second || before-after > time.Second {
		t.Errorf("%v, then %v", before, after)
	}
	if standstill.Clock(nil).Now() != 0 {
		t.Error("without a clock it stands still")
	}
}
