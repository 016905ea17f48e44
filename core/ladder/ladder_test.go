package ladder_test

import (
	"testing"
	"time"

	"ladderridge.example/core/ladder"
)

func TestOnlyAnUnsureAnswerOfASmallerModelIsDropped(t *testing.T) {
	start := ladder.Start(3)
	for _, c := range []struct {
		step       ladder.Step
		confidence int
		stated     bool
		want       bool
	}{
		{start, 0, true, true},
		{start, 59, true, true},
		{start, 60, true, false},
		{start, 0, false, false},
		{start.Up(), 0, true, false},
		{ladder.Start(1), 0, true, false},
	} {
		if up := c.step.Escalate(c.confidence, c.stated, ladder.Load{InTime: 1}); up != c.want {
			t.Errorf("%+v: escalates %v", c, up)
		}
	}
	if !start.Up().Largest() {
		t.Error("the next step is not the largest model")
	}
}

func TestBusyServersLowerTheLine(t *testing.T) {
	last := 101.0
	for _, usual := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2 * time.Second, 10 * time.Second, time.Hour} {
		line := ladder.Line(ladder.Load{InTime: ladder.InTime(usual, 2*time.Second)})
		if line > last || (usual > 0 && line == last) {
			t.Errorf("usual %v: the line is %v after %v", usual, line, last)
		}
		last = line
	}
	if last > 0 {
		t.Errorf("with no hope to be in time answers are dropped below %v", last)
	}
	if ladder.Line(ladder.Load{InTime: 1, Busy: 0.5}) >= ladder.Line(ladder.Load{InTime: 1}) {
		t.Error("what others wait for does not count")
	}
	if ladder.Start(3).Escalate(0, true, ladder.Load{InTime: ladder.InTime(time.Second, 0)}) {
		t.Error("an answer is dropped with no time left")
	}
}
