package rollout_test

import (
	"testing"
	"time"

	"ladderridge.example/core/rollout"
	"ladderridge.example/core/table"
)

var now = time.Unix(1_800_000_000, 0)

func TestNextStep(t *testing.T) {
	v := table.Version{
		Ref: table.Ref{Model: "m", Version: "v2"}, Status: table.RollingOut, Stages: []float64{1, 10, 100}, Stage: 1,
		StepAfter: time.Minute, StepAnswers: 100,
	}
	last, byHand, steady := v, v, v
	last.Stage, byHand.StepAfter, steady.Status = 2, 0, table.Steady
	for name, c := range map[string]struct {
		facts rollout.Facts
		stage int
		out   table.Status
		ok    bool
	}{
		"too early":       {rollout.Facts{Version: v, Since: now.Add(-59 * time.Second), Answers: 500}, 1, table.RollingOut, false},
		"too few answers": {rollout.Facts{Version: v, Since: now.Add(-time.Hour), Answers: 99}, 1, table.RollingOut, false},
		"advance":         {rollout.Facts{Version: v, Since: now.Add(-time.Minute), Answers: 100}, 2, table.RollingOut, true},
		"last stage":      {rollout.Facts{Version: last, Since: now.Add(-time.Hour), Answers: 500}, 2, table.RollingOut, false},
		"by hand":         {rollout.Facts{Version: byHand, Since: now.Add(-time.Hour), Answers: 500}, 1, table.RollingOut, false},
		"alarm":           {rollout.Facts{Version: byHand, Since: now, Alarm: "bad"}, 1, table.Withdrawn, true},
		"not rolling out": {rollout.Facts{Version: steady, Since: now, Alarm: "bad"}, 1, table.Steady, false},
	} {
		changed, note, ok := rollout.Apply(c.facts.Version, rollout.Next(c.facts, now))
		if ok != c.ok || changed.Stage != c.stage || changed.Status != c.out || (ok && note == "") {
			t.Errorf("%s: stage %d, %v, %q, %v", name, changed.Stage, changed.Status, note, ok)
		}
	}
}
