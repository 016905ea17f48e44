package attempt_test

import (
	"testing"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/fault"
)

// TestNotRunIsReportedOnlyIfTrue applies random events and compares the outcome with a reference
// model, which records whether a byte may have been sent and whether the server answered or
// declined.
func TestNotRunIsReportedOnlyIfTrue(t *testing.T) {
	events := []attempt.Event{attempt.Pass, attempt.Send, attempt.Answer, attempt.Finish, attempt.Decline, attempt.Lose}
	rapid.Check(t, func(t *rapid.T) {
		a := attempt.New("a")
		var sent, answered, declined, finished bool
		for range rapid.IntRange(0, 12).Draw(t, "events") {
			e := rapid.SampledFrom(events).Draw(t, "event")
			if err := a.On(e); err != nil {
				if !fault.Is(err, attempt.Impossible) {
					t.Fatalf("untyped error %v", err)
				}
				continue
			}
			sent = sent || e == attempt.Send
			answered = answered || e == attempt.Answer
			declined = declined || e == attempt.Decline
			finished = finished || e == attempt.Finish
		}
		want := attempt.Unknown
		switch {
		case finished:
			want = attempt.Done
		case !sent || (declined && !answered):
			want = attempt.NotRun
		}
		if got := a.Outcome(); got != want {
			t.Fatalf("in state %s the outcome is %s, want %s", a.State(), got, want)
		}
	})
}
