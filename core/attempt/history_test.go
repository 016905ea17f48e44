package attempt_test

import (
	"testing"

	"pgregory.net/rapid"

	"ladderridge.example/core/attempt"
)

// TestRequestThatMayHaveRunIsNeverReportedNotRun adds attempts with random outcomes.
func TestRequestThatMayHaveRunIsNeverReportedNotRun(t *testing.T) {
	outcomes := []attempt.Outcome{attempt.NotRun, attempt.Done, attempt.Unknown}
	rapid.Check(t, func(t *rapid.T) {
		var l attempt.History
		mayHaveRun, reached := false, 0
		for range rapid.IntRange(0, 6).Draw(t, "attempts") {
			o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			l = l.With(o)
			reached++
			mayHaveRun = mayHaveRun || o != attempt.NotRun
		}
		if l.MayHaveRun() != mayHaveRun || (l.Outcome() == attempt.NotRun) == mayHaveRun {
			t.Fatalf("%+v: may have run %v", l, mayHaveRun)
		}
		if l.MayRepeat(true) == mayHaveRun || !l.MayRepeat(false) {
			t.Fatalf("%+v: may be repeated wrongly", l)
		}
		if l.Reached() != reached {
			t.Fatalf("%+v: %d attempts", l, reached)
		}
	})
}
