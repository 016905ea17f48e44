package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/retry"
)

// In every interval of a window's length the repeats stay within the ratio for the requests
// of that interval plus the slack.
func TestRepeatsStayWithinBudgetInEveryWindow(t *testing.T) {
	const ratio, slack = 0.5, 16.0
	window := 10 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	b := &retry.Budget{Ratio: ratio, Window: window, Slack: slack}
	start := time.Now()
	var requests, repeats []time.Duration
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		// Alternates between bursts and light load.
		if at/(5*time.Second)%2 == 0 || rng.IntN(10) == 0 {
			b.Request("s", 8, start.Add(at))
			requests = append(requests, at)
		}
		if rng.IntN(2) == 0 && b.Spend("s", 8, start.Add(at)) {
			repeats = append(repeats, at)
		}
	}
	if len(repeats) < 100 {
		t.Fatalf("only %d repeats were allowed", len(repeats))
	}
	for from := time.Duration(0); from < time.Minute; from += 250 * time.Millisecond {
		// The limit counts the requests of this window, or of one that is up to a window earlier.
		inWindow := max(count(requests, from, from+window), count(requests, from-window/2, from+window/2), count(requests, from-window, from))
		if n := count(repeats, from, from+window); float64(n) > ratio*float64(inWindow)+slack/8 {
			t.Fatalf("from %v: %d repeats on %d requests", from, n, inWindow)
		}
	}
}

func count(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// A daemon that does not know the number of daemons gets no share of the slack: with a guess
// each could take too large a share.
func TestUnknownNumberOfDaemonsGetsNoSlack(t *testing.T) {
	for daemons, want := range map[int][2]int{0: {0, 1}, 8: {8, 9}} {
		b := &retry.Budget{Ratio: 1, Window: 10 * time.Second, Slack: 64}
		now := time.Now()
		for range 20 {
			b.Request("s", daemons, now)
		}
		sent := 0
		for now = now.Add(2 * time.Second); b.Spend("s", daemons, now); {
			sent++
		}
		if sent < want[0] || sent > want[1] {
			t.Errorf("%d daemons: %d repeats were allowed, want %v", daemons, sent, want)
		}
	}
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := &retry.Budget{Ratio: 1, Window: time.Second, Slack: 0}
	now := time.Now()
	for range 10 {
		b.Request("s", 1, now)
	}
	if !b.Spend("s", 1, now) || b.Spend("t", 1, now) {
		t.Error("the requests of one service add to the budget of another")
	}
}
