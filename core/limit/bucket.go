// Package limit implements the rate limits of an organisation: token buckets, and the share of
// a limit that one daemon may use.
package limit

import "time"

// Bucket is a token bucket. It is immutable: methods return the new bucket.
type Bucket struct {
	// Level is the number of tokens at At. It is negative after Spend took more than there were.
	Level float64
	At    time.Time
}

// burstSeconds is the capacity of a bucket, in seconds at its rate.
const burstSeconds = 1.0

// initialSeconds is the initial level of a bucket, in seconds at its rate: callers that move from
// another daemon arrive all at once.
const initialSeconds = 0.1

// minBurst is the smallest capacity and initial level of a bucket, in units: even a small share
// must admit a whole request.
const minBurst = 1.0

// minWait is the shortest wait that Take returns with a refusal.
const minWait = time.Millisecond

// Refill returns the bucket as of now, at a rate in units per second. A new bucket is not full:
// otherwise each restart of a daemon would grant another burst.
func (b Bucket) Refill(now time.Time, rate float64) Bucket {
	burst := max(rate*burstSeconds, minBurst)
	if b.At.IsZero() {
		return Bucket{Level: max(rate*initialSeconds, minBurst), At: now}
	}
	if now.Before(b.At) {
		return b
	}
	return Bucket{Level: min(burst, b.Level+rate*now.Sub(b.At).Seconds()), At: now}
}

// Take takes n units, or returns the time until they are available and false.
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

// Spend takes n units that were used already. The level may become negative.
func (b Bucket) Spend(now time.Time, rate, n float64) Bucket {
	b = b.Refill(now, rate)
	b.Level -= n
	return b
}
