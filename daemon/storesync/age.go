package storesync

import "time"

// How the configuration was confirmed and what has delayed that, for logs and metrics.

// slowExchange is the time from which on an exchange with the store or another daemon counts as slow.
const slowExchange = 500 * time.Millisecond

// confirmationTrace is how the configuration was last confirmed, and what has happened since.
type confirmationTrace struct {
	// at is the latest confirmation, by the daemon that gave it, or "store", and took the time of that
	// exchange.
	at   time.Time
	by   string
	took time.Duration
	// failed and slow count the failed and the slow exchanges since, delay is how late the periodic work
	// ran at most.
	failed, slow int
	delay        time.Duration
	// reported is set once the configuration was logged as older than InForceWithin.
	reported bool
}

// traceExchange records an exchange about the configuration with the store or another daemon that began
// at start. held is how long the other end may have held the answer.
func (sy *Syncer) traceExchange(by string, start, now time.Time, held time.Duration, failed bool) {
	tr := &sy.trace
	took := now.Sub(start)
	if failed {
		tr.failed++
	}
	if took > held+slowExchange {
		tr.slow++
		sy.SlowExchanges.Add(1)
	}
	if at := sy.configConfirmed(); at.After(tr.at) {
		if tr.reported {
			sy.Log.Warn().Str("by", by).Dur("took", took).Dur("old_for", now.Sub(tr.at)).Int("failed", tr.failed).Int("slow", tr.slow).Dur("delay", tr.delay).Msg("storesync: configuration confirmed again")
		}
		*tr = confirmationTrace{at: at, by: by, took: took}
	}
}

// traceTick records how late the periodic work runs, and logs a configuration that has become older than
// InForceWithin.
func (sy *Syncer) traceTick(now time.Time) {
	tr := &sy.trace
	if !sy.tickedAt.IsZero() {
		tr.delay = max(tr.delay, now.Sub(sy.tickedAt)-tickInterval)
	}
	sy.tickedAt = now
	age := now.Sub(tr.at)
	if tr.at.IsZero() || tr.reported || age <= sy.inForceWithin() {
		return
	}
	tr.reported = true
	sy.OldConfigurations.Add(1)
	sy.Log.Warn().Dur("age", age).Str("by", tr.by).Dur("took", tr.took).Int("failed", tr.failed).Int("slow", tr.slow).Dur("delay", tr.delay).Bool("reading", sy.reading.Load()).Int("pending", len(sy.pendingRequests)).Int("events", len(sy.events)).Msg("storesync: configuration is older than a new one may be")
}
