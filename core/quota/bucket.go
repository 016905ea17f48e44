package quota

import "time"

// Bucket is a daemon's token bucket for one server. The zero value has no share. It is never
// changed.
//
// It begins with no token: what is held when a daemon ends is lost, and a start, another list of
// daemons or a limit that is named anew grants none.
type Bucket struct {
	share Share
	level float64
	at    time.Time
}

// With returns the bucket with another share. What it holds it keeps, as far as that fits.
func (b Bucket) With(s Share, now time.Time) Bucket {
	level := s.Start
	if b.share.Rate > 0 {
		level = min(b.Level(now), s.Depth)
	}
	return Bucket{share: s, level: level, at: now}
}

// Share returns the share.
func (b Bucket) Share() Share { return b.share }

// Level is how many tokens it holds.
func (b Bucket) Level(now time.Time) float64 {
	earned := b.share.Rate * max(0, now.Sub(b.at)).Seconds()
	return min(b.level+earned, b.share.Depth)
}

// Ready reports whether a request may be sent.
func (b Bucket) Ready(now time.Time) bool { return b.share.Rate > 0 && b.Level(now) >= 1 }

// Taken returns the bucket once a request is sent.
func (b Bucket) Taken(now time.Time) Bucket {
	return Bucket{share: b.share, level: b.Level(now) - 1, at: now}
}

// Wait is how long it takes until a request may be sent: by this daemon, or, if it has no share,
// by some other.
func (b Bucket) Wait(now time.Time) time.Duration {
	switch {
	case b.Ready(now):
		return 0
	case b.share.Rate > 0:
		return seconds((1 - b.Level(now)) / b.share.Rate)
	case b.share.All > 0:
		return seconds(1 / b.share.All)
	}
	return noShareWait
}

// noShareWait is the wait of a daemon that does not know yet who shares the limit.
const noShareWait = time.Second

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
