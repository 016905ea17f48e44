package cascade_test

import (
	"testing"
	"time"

	"ladderridge.example/core/cascade"
)

func TestOnlyAnUnsureAnswerOfASmallerModelIsDropped(t *testing.T) {
	start := cascade.Start(3)
	for _, c := range []struct {
		step       cascade.Step
		confidence int
		stated     bool
		want       bool
	}{
		{start, 0, true, true},
		{start, 59, true, true},
		{start, 60, true, false},
		{start, 0, false, false},
		{start.Next(), 0, true, false},
		{cascade.Start(1), 0, true, false},
	} {
		if up := c.step.Escalate(c.confidence, c.stated, cascade.Load{InTime: 1}); up != c.want {
			t.Errorf("%+v: escalates %v", c, up)
		}
	}
	if !start.Next().Largest() {
		t.Error("the next step is not the largest model")
	}
}

func TestBusyServersLowerTheLine(t *testing.T) {
	last := 101.0
	for _, inTime := range []float64{1, 0.99, 0.9, 0.5, 0.1, 0} {
		line := cascade.ConfidenceThreshold(cascade.Load{InTime: inTime})
		if line >= last {
			t.Errorf("in time with %v: the line is %v after %v", inTime, line, last)
		}
		last = line
	}
	if last > 0 {
		t.Errorf("with no hope to be in time answers are dropped below %v", last)
	}
	if cascade.ConfidenceThreshold(cascade.Load{InTime: 1, WaitShare: 0.5}) >= cascade.ConfidenceThreshold(cascade.Load{InTime: 1}) {
		t.Error("what others wait for does not count")
	}
	if cascade.Start(3).Escalate(0, true, cascade.Load{InTime: 0}) {
		t.Error("an answer is dropped with no time left")
	}
}

// A burst that has just begun and one that is just over count at once, by half as
// factors go.
func TestWhatARequestHasWaitedCountsBesideTheUsual(t *testing.T) {
	const objective = 2 * time.Second
	calm, full := cascade.WaitShare(100*time.Millisecond, 100*time.Millisecond, objective), cascade.WaitShare(time.Second, time.Second, objective)
	begins, over := cascade.WaitShare(time.Second, 100*time.Millisecond, objective), cascade.WaitShare(100*time.Millisecond, time.Second, objective)
	if calm != 0.05 || full != 0.5 {
		t.Errorf("calm %v, full %v", calm, full)
	}
	if begins < 3*calm || over > full/3 {
		t.Errorf("a burst that begins counts %v, one that is over %v", begins, over)
	}
	if cascade.WaitShare(time.Second, 0, objective) != 0 || cascade.WaitShare(time.Second, time.Second, 0) != 0 {
		t.Error("what is not known counts")
	}
}

// What holds other requests up costs as much as they wait: nothing where servers
// are free, more than any answer gains where they are full.
func TestHoldingOthersUpCostsWhereTheyWait(t *testing.T) {
	free := cascade.Load{InTime: 1}
	delayed := cascade.Load{InTime: 1, Delay: 1}
	if cascade.ConfidenceThreshold(delayed) != cascade.ConfidenceThreshold(free) {
		t.Error("it costs something where nothing waits")
	}
	last := cascade.ConfidenceThreshold(free)
	for _, busy := range []float64{0.1, 0.2, 0.4} {
		line := cascade.ConfidenceThreshold(cascade.Load{InTime: 1, WaitShare: busy, Delay: 1})
		if line >= last || line >= cascade.ConfidenceThreshold(cascade.Load{InTime: 1, WaitShare: busy}) {
			t.Errorf("busy with %v: the line is %v", busy, line)
		}
		last = line
	}
	if last > 0 {
		t.Errorf("on full servers answers are dropped below %v", last)
	}
}

func TestLoadSaysWhatTheLineFollowsFrom(t *testing.T) {
	got := cascade.Load{InTime: 1, WaitShare: 0.1, Delay: 0.5}.String()
	if want := "line 40 (in time 1.00, waited 0.10, delays 0.50)"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
