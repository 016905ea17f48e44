package quota

import "time"

// Bucket is a daemon's token bucket for one server. The zero value has no share. It is
// immutable.
//
// It starts without tokens: neither a restart of the daemon, nor a new list of daemons, nor a
// limit that a server announces again may grant tokens.
type Bucket struct {
	share Share
	level float64
	at    time.Time
}

// With returns the bucket with a new share. It keeps its tokens up to the new depth.
func (b Bucket) With(s Share, now time.Time) Bucket {
	level := s.InitialLevel
	if b.share.Rate > 0 {
		level = min(b.Level(now), s.Depth)
	}
	return Bucket{share: s, level: level, at: now}
}

// Share returns the current share.
func (b Bucket) Share() Share { return b.share }

// Level returns the number of tokens.
func (b Bucket) Level(now time.Time) float64 {
	earned := b.share.Rate * max(0, now.Sub(b.at)).Seconds()
	return min(b.level+earned, b.share.Depth)
}

// Ready reports whether a request may be sent.
func (b Bucket) Ready(now time.Time) bool { return b.share.Rate > 0 && b.Level(now) >= 1 }

// Taken returns the bucket less the token of one request.
func (b Bucket) Taken(now time.Time) Bucket {
	return Bucket{share: b.share, level: b.Level(now) - 1, at: now}
}

// Wait returns the time until this daemon may send a request, or, if it has no share, until
// some other daemon may.
func (b Bucket) Wait(now time.Time) time.Duration {
	switch {
	case b.Ready(now):
		return 0
	case b.share.Rate > 0:
		return seconds((1 - b.Level(now)) / b.share.Rate)
	case b.share.TotalRate > 0:
		return seconds(1 / b.share.TotalRate)
	}
	return noShareWait
}

// noShareWait is the wait while the daemons that share the limit are unknown.
const noShareWait = time.Second

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
