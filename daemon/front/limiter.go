package front

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/limit"
	"ladderridge.example/daemon/control"
)

// limiter admits requests by each organisation's share of its limits, and
// counts what the organisations ask for.
type limiter struct {
	mu    sync.Mutex
	orgs  map[string]*usage
	taken time.Time
}

// usage is what one organisation asks of this daemon.
type usage struct {
	requests limit.Bucket
	tokens   limit.Bucket
	inFlight int
	// offered and spent count since the demands were last taken.
	offered float64
	spent   float64
	// The demands as of then, smoothed.
	requestRate float64
	tokenRate   float64
}

func newLimiter() *limiter { return &limiter{orgs: map[string]*usage{}} }

func (l *limiter) of(org string) *usage {
	u := l.orgs[org]
	if u == nil {
		u = &usage{}
		l.orgs[org] = u
	}
	return u
}

// admit takes a place for a request, or refuses it with when to come back.
func (l *limiter) admit(org string, share control.Share, now time.Time) *refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.of(org)
	u.offered++
	if share.Concurrency > 0 && u.inFlight >= share.Concurrency {
		return refuse(429, ConcurrencyLimit, "too many requests of this organisation are under way").withRetry(concurrencyRetry)
	}
	if share.Tokens > 0 {
		if u.tokens = u.tokens.Refill(now, share.Tokens); u.tokens.Level < 0 {
			wait := time.Duration(-u.tokens.Level / share.Tokens * float64(time.Second))
			return refuse(429, TokenLimit, "this organisation's token limit is used up").withRetry(wait)
		}
	}
	if share.Requests > 0 {
		var wait time.Duration
		var ok bool
		if u.requests, wait, ok = u.requests.Take(now, share.Requests, 1); !ok {
			return refuse(429, RequestLimit, "this organisation's request limit is used up").withRetry(wait)
		}
	}
	u.inFlight++
	return nil
}

// concurrencyRetry is when to come back for a place: about how long a short
// answer takes.
const concurrencyRetry = time.Second

// done gives the place back and spends the tokens used.
func (l *limiter) done(org string, share control.Share, tokens int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.of(org)
	u.inFlight--
	u.spent += float64(tokens)
	if share.Tokens > 0 {
		u.tokens = u.tokens.Spend(now, share.Tokens, float64(tokens))
	}
}

// smoothing is the weight of the latest interval in the demands.
const smoothing = 0.6

// demands returns what organisations ask for, sorted by key; organisations
// that have become idle are left out.
func (l *limiter) demands(now time.Time) []aggregation.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := now.Sub(l.taken).Seconds()
	if l.taken.IsZero() || seconds <= 0 {
		seconds = 1
	}
	l.taken = now
	out := make([]aggregation.Demand, 0, len(l.orgs))
	for name, u := range l.orgs {
		u.requestRate += smoothing * (u.offered/seconds - u.requestRate)
		u.tokenRate += smoothing * (u.spent/seconds - u.tokenRate)
		u.offered, u.spent = 0, 0
		if u.requestRate < idleRate && u.inFlight == 0 {
			u.requestRate, u.tokenRate = 0, 0
			continue
		}
		out = append(out, aggregation.Demand{
			Key: aggregation.KeyOf(name), Requests: uint32(u.requestRate*aggregation.RequestsUnit + 0.5), Tokens: uint32(u.tokenRate + 0.5), InFlight: uint32(u.inFlight),
		})
	}
	slices.SortFunc(out, func(a, b aggregation.Demand) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// idleRate is the demand, in requests a second, below which it counts as none.
const idleRate = 0.01
