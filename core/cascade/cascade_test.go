package cascade_test

import (
	"testing"
	"time"

	"ladderridge.example/core/cascade"
)

func TestOnlyLowConfidenceAnswersOfSmallerModelsAreDropped(t *testing.T) {
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
		if escalates := c.step.Escalate(c.confidence, c.stated, cascade.Load{InTime: 1}); escalates != c.want {
			t.Errorf("%+v: escalates %v", c, escalates)
		}
	}
	if !start.Next().Largest() {
		t.Error("next step is not the largest model")
	}
}

func TestLoadLowersConfidenceThreshold(t *testing.T) {
	last := 101.0
	for _, inTime := range []float64{1, 0.99, 0.9, 0.5, 0.1, 0} {
		threshold := cascade.ConfidenceThreshold(cascade.Load{InTime: inTime})
		if threshold >= last {
			t.Errorf("in time with probability %v: threshold %v after %v", inTime, threshold, last)
		}
		last = threshold
	}
	if last > 0 {
		t.Errorf("without a chance to be in time answers are dropped below %v", last)
	}
	if cascade.ConfidenceThreshold(cascade.Load{InTime: 1, WaitShare: 0.5}) >= cascade.ConfidenceThreshold(cascade.Load{InTime: 1}) {
		t.Error("wait share does not lower the threshold")
	}
	calm, dear := cascade.Load{InTime: 1, Priced: true}, cascade.Load{InTime: 1, Priced: true, Price: 0.5}
	if got := cascade.ConfidenceThreshold(calm); got >= 60 || got <= cascade.ConfidenceThreshold(dear) {
		t.Errorf("a run on idle servers is free, or a price does not lower the threshold: %v", got)
	}
	if cascade.Start(3).Escalate(0, true, cascade.Load{InTime: 0}) {
		t.Error("answer dropped with no time left")
	}
}

// At the beginning and the end of a burst the own time and the mean differ by a factor; the result
// lies halfway between them on a logarithmic scale.
func TestWaitShareCombinesOwnAndMeanTime(t *testing.T) {
	const objective = 2 * time.Second
	calm, full := cascade.WaitShare(100*time.Millisecond, 100*time.Millisecond, objective), cascade.WaitShare(time.Second, time.Second, objective)
	begins, over := cascade.WaitShare(time.Second, 100*time.Millisecond, objective), cascade.WaitShare(100*time.Millisecond, time.Second, objective)
	if calm != 0.05 || full != 0.5 {
		t.Errorf("calm %v, full %v", calm, full)
	}
	if begins < 3*calm || over > full/3 {
		t.Errorf("wait share %v at the beginning of a burst, %v after it", begins, over)
	}
	if cascade.WaitShare(time.Second, 0, objective) != 0 || cascade.WaitShare(time.Second, time.Second, 0) != 0 {
		t.Error("wait share not 0 with unknown times")
	}
}

// Delaying other requests costs in proportion to how long they wait: nothing on idle servers, and
// on full servers more than any answer gains.
func TestDelayCountsOnlyOnBusyServers(t *testing.T) {
	free := cascade.Load{InTime: 1}
	delayed := cascade.Load{InTime: 1, Delay: 1}
	if cascade.ConfidenceThreshold(delayed) != cascade.ConfidenceThreshold(free) {
		t.Error("delay lowers the threshold on idle servers")
	}
	last := cascade.ConfidenceThreshold(free)
	for _, busy := range []float64{0.1, 0.2, 0.4} {
		threshold := cascade.ConfidenceThreshold(cascade.Load{InTime: 1, WaitShare: busy, Delay: 1})
		if threshold >= last || threshold >= cascade.ConfidenceThreshold(cascade.Load{InTime: 1, WaitShare: busy}) {
			t.Errorf("wait share %v: threshold %v", busy, threshold)
		}
		last = threshold
	}
	if last > 0 {
		t.Errorf("answers dropped below %v on full servers", last)
	}
}

func TestLoadString(t *testing.T) {
	got := cascade.Load{InTime: 1, WaitShare: 0.1, Delay: 0.5}.String()
	if want := "line 40 (in time 1.00, waited 0.10, delays 0.50)"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
