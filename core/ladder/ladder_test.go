package ladder_test

import (
	"testing"

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
		{start, ladder.Line - 1, true, true},
		{start, ladder.Line, true, false},
		{start, 0, false, false},
		{ladder.Step{Index: 2, Top: 2}, 0, true, false},
		{ladder.Start(1), 0, true, false},
	} {
		next, up := c.step.Escalate(c.confidence, c.stated)
		if up != c.want {
			t.Errorf("%+v: escalates %v", c, up)
		}
		if up && !next.Largest() {
			t.Errorf("%+v: goes to %+v", c, next)
		}
	}
}
