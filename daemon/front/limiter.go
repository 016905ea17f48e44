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
// measures the organisations' demand.
type limiter struct {
	mu        sync.Mutex
	orgs      map[string]*usage
	sampledAt time.Time
}

// usage is the use of this daemon by one organisation.
type usage struct {
	requests limit.Bucket
	tokens   limit.Bucket
	inFlight int
	// arrivals and tokensUsed count since the demands were last sampled.
	arrivals   float64
	tokensUsed float64
	// requestRate and tokenRate are per second, smoothed, as of the last sample.
	requestRate float64
	tokenRate   float64
}

func newLimiter() *limiter { return &limiter{orgs: map[string]*usage{}} }

func (l *limiter) usageOf(org string) *usage {
	u := l.orgs[org]
	if u == nil {
		u = &usage{}
		l.orgs[org] = u
	}
	return u
}

// admit counts a request as in progress, or refuses it with a Retry-After.
func (l *limiter) admit(org string, share control.Share, now time.Time) *refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(org)
	u.arrivals++
	if share.Concurrency > 0 && u.inFlight >= share.Concurrency {
		return refuse(429, ConcurrencyLimit, "too many requests of this organisation are under way").withRetryAfter(concurrencyRetryAfter)
	}
	if share.Tokens > 0 {
		if u.tokens = u.tokens.Refill(now, share.Tokens); u.tokens.Level < 0 {
			wait := time.Duration(-u.tokens.Level / share.Tokens * float64(time.Second))
			return refuse(429, TokenLimit, "this organisation's token limit is used up").withRetryAfter(wait)
		}
	}
	if share.Requests > 0 {
		var wait time.Duration
		var ok bool
		if u.requests, wait, ok = u.requests.Take(now, share.Requests, 1); !ok {
			return refuse(429, RequestLimit, "this organisation's request limit is used up").withRetryAfter(wait)
		}
	}
	u.inFlight++
	return nil
}

// concurrencyRetryAfter is sent as Retry-After at the concurrency limit: about
// the duration of a short answer.
const concurrencyRetryAfter = time.Second

// release ends a request and charges the tokens that it used.
func (l *limiter) release(org string, share control.Share, tokens int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(org)
	u.inFlight--
	u.tokensUsed += float64(tokens)
	if share.Tokens > 0 {
		u.tokens = u.tokens.Spend(now, share.Tokens, float64(tokens))
	}
}

// smoothingFactor is the weight of the latest interval in the moving averages.
const smoothingFactor = 0.6

// demands samples the organisations' demand and returns it sorted by key. Idle
// organisations are left out.
func (l *limiter) demands(now time.Time) []aggregation.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := now.Sub(l.sampledAt).Seconds()
	if l.sampledAt.IsZero() || seconds <= 0 {
		seconds = 1
	}
	l.sampledAt = now
	out := make([]aggregation.Demand, 0, len(l.orgs))
	for name, u := range l.orgs {
		u.requestRate += smoothingFactor * (u.arrivals/seconds - u.requestRate)
		u.tokenRate += smoothingFactor * (u.tokensUsed/seconds - u.tokenRate)
		u.arrivals, u.tokensUsed = 0, 0
		if u.requestRate < minRequestRate && u.inFlight == 0 {
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

// minRequestRate is the rate, in requests per second, below which an organisation
// without requests in progress counts as idle.
const minRequestRate = 0.01
