package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/retry"
)

const (
	ratio            = 0.9
	window           = 10 * time.Second
	simulationLength = 40 * time.Second
	tick             = 10 * time.Millisecond
	// maxRepeats is the largest number of repeats that a request needs.
	maxRepeats = 2
	// startupTime is the time that a daemon takes to start.
	startupTime = 500 * time.Millisecond
)

// simulation simulates a load on a service whose requests fail while daemons restart.
type simulation struct {
	daemons int
	rate    float64
	slack   float64
	// escalated is the fraction of requests that are escalated to a larger model, failing the
	// fraction of attempts that fail between onset and until.
	escalated, failing float64
	onset, until       time.Duration
	// restarts returns the daemons that restart at a time.
	restarts func(at time.Duration) []int
	// spare daemons are added at spareAt; the others know of them a second later.
	spare   int
	spareAt time.Duration
}

// counts holds the counts of a simulation, one per tick.
type counts struct {
	requests, repeats, denied []int
}

// run runs the simulation: each request goes to a random daemon that is up.
func (d simulation) run(seed uint64) counts {
	rng := rand.New(rand.NewPCG(seed, 7))
	start := time.Now()
	budgets := make([]*retry.Budget, d.daemons+d.spare)
	readyAt := make([]time.Duration, d.daemons+d.spare)
	for i := range budgets {
		budgets[i] = newBudget(d.slack, rng)
		if i >= d.daemons {
			readyAt[i] = d.spareAt
		}
	}
	var total counts
	due := 0.0
	for at := time.Duration(0); at < simulationLength; at += tick {
		for _, i := range d.restarts(at) {
			budgets[i], readyAt[i] = newBudget(d.slack, rng), at+startupTime
		}
		requests, repeats, denied := 0, 0, 0
		for due += d.rate * tick.Seconds(); due >= 1; due-- {
			requests++
			i := rng.IntN(len(budgets))
			for tries := 0; readyAt[i] > at && tries < len(budgets); tries++ {
				i = (i + 1) % len(budgets)
			}
			if readyAt[i] > at {
				continue
			}
			known := d.daemons
			if at > d.spareAt+time.Second || readyAt[i] > 0 {
				known += d.spare
			}
			budgets[i].Request("s", known, start.Add(at))
			for range d.neededRepeats(at, rng) {
				if !budgets[i].Spend("s", known, start.Add(at)) {
					denied++
					break
				}
				repeats++
			}
		}
		total.requests, total.repeats, total.denied = append(total.requests, requests), append(total.repeats, repeats), append(total.denied, denied)
	}
	return total
}

func newBudget(slack float64, rng *rand.Rand) *retry.Budget {
	return &retry.Budget{Ratio: ratio, Window: window, Slack: slack, Seed: rng.Uint64()}
}

// neededRepeats returns the number of repeats that a request needs.
func (d simulation) neededRepeats(at time.Duration, rng *rand.Rand) int {
	n := 0
	if rng.Float64() < d.escalated {
		n++
	}
	for at >= d.onset && at < d.until && n < maxRepeats && rng.Float64() < d.failing {
		n++
	}
	return n
}

// excess returns the largest excess of the repeats in any window over the limit: the slack
// plus the ratio for the requests of that window, of the previous one or of the one that
// starts half a window earlier, whichever has the most. It is 0 or less within the limit.
func (r counts) excess(slack float64) float64 {
	ticks := int(window / tick)
	requests, repeats := prefixSums(r.requests), prefixSums(r.repeats)
	worst := -slack
	for from := 0; from+ticks < len(requests); from++ {
		paying := 0
		for _, back := range []int{0, ticks / 2, ticks} {
			if from >= back {
				paying = max(paying, requests[from-back+ticks]-requests[from-back])
			}
		}
		worst = max(worst, float64(repeats[from+ticks]-repeats[from])-ratio*float64(paying)-slack)
	}
	return worst
}

// prefixSums returns the sums of the prefixes of values, from no value to all.
func prefixSums(values []int) []int {
	out := make([]int, 1, len(values)+1)
	for _, v := range values {
		out = append(out, out[len(out)-1]+v)
	}
	return out
}

// restartPatterns returns patterns in which daemons restart while requests fail.
func restartPatterns(daemons int) map[string]func(at time.Duration) []int {
	some := func(first, n int) []int {
		out := make([]int, 0, n)
		for i := range n {
			out = append(out, (first+i)%daemons)
		}
		return out
	}
	atTimes := func(n int, times ...time.Duration) func(time.Duration) []int {
		return func(at time.Duration) []int {
			for i, t := range times {
				if at == t {
					return some(i*n, n)
				}
			}
			return nil
		}
	}
	const s = time.Second
	return map[string]func(at time.Duration) []int{
		"none":             func(time.Duration) []int { return nil },
		"all once":         atTimes(daemons, 14*s),
		"all four times":   atTimes(daemons, 13*s, 16*s, 19*s, 22*s),
		"half three times": atTimes(daemons/2, 13*s, 15*s, 17*s),
		"all every second": func(at time.Duration) []int {
			if at >= 12*s && at%s == 0 {
				return some(0, daemons)
			}
			return nil
		},
		"in turn": func(at time.Duration) []int {
			every := (10 * s / time.Duration(daemons)).Truncate(tick)
			if at >= 12*s && at < 32*s && at%max(tick, every) == 0 {
				return some(int(at/max(tick, every)), max(1, int(tick*time.Duration(daemons)/(10*s))))
			}
			return nil
		},
	}
}

// Daemons that restart while a service fails keep to the same limit of repeats as daemons
// that do not: a restart must not grant a fresh budget.
func TestRestartsGrantNoExtraRepeats(t *testing.T) {
	for _, size := range []simulation{
		{daemons: 6, rate: 26, slack: 52},
		{daemons: 12, rate: 26, slack: 52},
		{daemons: 7, rate: 106, slack: 54},
		{daemons: 91, rate: 300, slack: 222},
		{daemons: 985, rate: 740, slack: 1040},
		{daemons: 1970, rate: 1480, slack: 1040},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d daemons, seed %d", size.daemons, seed), func(t *testing.T) {
				t.Parallel()
				size.checkRestarts(t, seed)
			})
		}
	}
}

func (d simulation) checkRestarts(t *testing.T, seed uint64) {
	t.Helper()
	d.escalated, d.onset, d.until, d.spareAt = 0.5, 12*time.Second, 32*time.Second, 13*time.Second
	daemons := d.daemons
	for name, restarts := range restartPatterns(daemons) {
		for _, spare := range []int{0, daemons / 5} {
			for _, failing := range []float64{0.6, 1} {
				d.failing, d.restarts, d.spare = failing, restarts, spare
				if over := d.run(seed).excess(d.slack); over > 0 {
					t.Errorf("%s: %.1f repeats above the limit", caseName(d, name, seed), over)
				}
			}
		}
	}
}

func caseName(d simulation, pattern string, seed uint64) string {
	return fmt.Sprintf("%d daemons and %d spare, %.0f requests a second, %.1f failing, restarts: %s, seed %d", d.daemons, d.spare, d.rate, d.failing, pattern, seed)
}

// Without restarts, escalations of half of the requests and retries of the eighth of attempts
// that fail are below the ratio and must not be denied.
func TestRepeatsBelowTheRatioAreNotDenied(t *testing.T) {
	for seed := range uint64(10) {
		d := simulation{daemons: 7, rate: 106, slack: 54, escalated: 0.5, failing: 0.12, onset: 12 * time.Second, until: 32 * time.Second}
		d.restarts = restartPatterns(d.daemons)["none"]
		total := d.run(seed)
		repeats, denied := prefixSums(total.repeats), prefixSums(total.denied)
		from := int(window / tick)
		if n := denied[len(denied)-1] - denied[from]; n > 0 {
			t.Errorf("seed %d: %d of %d repeats were denied", seed, n, n+repeats[len(repeats)-1]-repeats[from])
		}
	}
}

// After all daemons have restarted, a failing service gets repeats in proportion to its
// requests although all buckets started empty.
func TestRepeatsResumeAfterAllDaemonsRestart(t *testing.T) {
	for daemons, slack := range map[int]float64{1: 20, 7: 54, 985: 1040, 1970: 1040} {
		d := simulation{daemons: daemons, rate: 740, slack: slack, escalated: 0.5, failing: 1, onset: 12 * time.Second, until: 32 * time.Second}
		d.restarts = restartPatterns(d.daemons)["all once"]
		total := d.run(1)
		requests, repeats := prefixSums(total.requests), prefixSums(total.repeats)
		back := int((14*time.Second + startupTime) / tick)
		for _, after := range []time.Duration{time.Second, 2 * time.Second, 10 * time.Second} {
			end := back + int(after/tick)
			sent, paying := repeats[end]-repeats[back], requests[end]-requests[back]
			if least := 0.75 * ratio * float64(paying); float64(sent) < least {
				t.Errorf("%d daemons, %v after the start: %d repeats for %d requests, want %.0f", daemons, after, sent, paying, least)
			}
		}
	}
}

// Daemons with few requests and a small share of the slack also allow repeats: their buckets
// never hold a whole token.
func TestDaemonsWithFewRequestsAllowRepeats(t *testing.T) {
	d := simulation{daemons: 2000, rate: 150, slack: 1000, failing: 1, onset: 12 * time.Second, until: 32 * time.Second}
	d.restarts = restartPatterns(d.daemons)["none"]
	total := d.run(1)
	requests, repeats := prefixSums(total.requests), prefixSums(total.repeats)
	from, until := int(d.onset/tick), int(d.until/tick)
	sent, paying := repeats[until]-repeats[from], requests[until]-requests[from]
	if least := 0.3 * ratio * float64(paying); float64(sent) < least {
		t.Errorf("%d repeats for %d requests, want %.0f", sent, paying, least)
	}
	if over := total.excess(d.slack); over > 0 {
		t.Errorf("%.1f repeats above the limit", over)
	}
}
