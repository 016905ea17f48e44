package retry_test

import (
	"testing"
	"time"

	"ladderridge.example/core/retry"
)

const ms = time.Millisecond

func TestAttemptTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		expected        retry.ExpectedLatency
		objective, left time.Duration
		want            time.Duration
	}{
		"fast answers: the objective":                 {retry.ExpectedLatency{Now: 50 * ms, Recent: 50 * ms}, 2000 * ms, 6000 * ms, 2000 * ms},
		"slower answers: eight times the estimate":    {retry.ExpectedLatency{Now: 400 * ms, Recent: 400 * ms}, 2000 * ms, 9000 * ms, 3200 * ms},
		"little time: the rest is for another server": {retry.ExpectedLatency{Now: 50 * ms, Recent: 50 * ms}, 2000 * ms, 1000 * ms, 600 * ms},
		"overloaded servers: no time-out":             {retry.ExpectedLatency{Now: 700 * ms, Recent: 700 * ms}, 2000 * ms, 6000 * ms, 0},
		"not enough time for two servers":             {retry.ExpectedLatency{Now: 60 * ms, Recent: 60 * ms}, 2000 * ms, 67 * ms, 0},
		"not enough time by the recent latency":       {retry.ExpectedLatency{Now: 1 * ms, Recent: 110 * ms}, 2000 * ms, 200 * ms, 0},
		"no estimate":                                 {retry.ExpectedLatency{}, 2000 * ms, 6000 * ms, 2000 * ms},
	} {
		if got := retry.AttemptTimeout(c.expected, c.objective, c.left); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestRetryAfterIsBounded(t *testing.T) {
	for usual, want := range map[time.Duration]time.Duration{0: 50 * ms, 300 * ms: 300 * ms, time.Minute: 2000 * ms} {
		if got := retry.SuggestedDelay(usual); got != want {
			t.Errorf("typical duration %v: retry after %v, want %v", usual, got, want)
		}
	}
}
