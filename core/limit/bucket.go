// Package limit holds an organisation's limits: buckets that refill, and the
// share of a limit that one daemon may use.
package limit

import "time"

// Bucket is a token bucket. It is a value: Take returns the bucket after.
type Bucket struct {
	// Level is what it holds at At. It may be negative, by debts.
	Level float64
	At    time.Time
}

// burstSeconds is how many seconds of its rate a bucket holds at most.
const burstSeconds = 1.0

// startSeconds is how many seconds of its rate a new bucket holds: callers that were at another
// daemon come together.
const startSeconds = 0.1

// minBurst lets even a small share admit one whole request.
const minBurst = 1.0

// minWait is the shortest wait that is told.
const minWait = time.Millisecond

// Refill returns the bucket as it stands at now, for a rate in units a second. A new one holds
// little: with a whole burst each start of a daemon would grant that anew.
func (b Bucket) Refill(now time.Time, rate float64) Bucket {
	burst := max(rate*burstSeconds, minBurst)
	if b.At.IsZero() {
		return Bucket{Level: max(rate*startSeconds, minBurst), At: now}
	}
	if now.Before(b.At) {
		return b
	}
	return Bucket{Level: min(burst, b.Level+rate*now.Sub(b.At).Seconds()), At: now}
}

// Take takes n units, or says after how long they will be there.
func (b Bucket) Take(now time.Time, rate, n float64) (Bucket, time.Duration, bool) {
	b = b.Refill(now, rate)
	if b.Level >= min(n, max(rate*burstSeconds, minBurst)) {
		b.Level -= n
		return b, 0, true
	}
	if rate <= 0 {
		return b, time.Minute, false
	}
	wait := time.Duration((n - b.Level) / rate * float64(time.Second))
	return b, max(wait, minWait), false
}

// Spend takes n units that have been used already, into debt if need be.
func (b Bucket) Spend(now time.Time, rate, n float64) Bucket {
	b = b.Refill(now, rate)
	b.Level -= n
	return b
}
