package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/retry"
)

// run makes attempts until one has answered or no more may be made.
func (j *job) run(ctx context.Context) Outcome {
	reason := NoServer
	for {
		s, ok := j.next(time.Now())
		if !ok {
			return j.giveUp(ctx, reason)
		}
		if out := j.allowed(time.Now()); out != nil {
			return j.truthful(out)
		}
		if !j.end.IsZero() && j.remaining() <= 0 {
			return j.giveUp(ctx, DeadlineExceeded)
		}
		if _, ok := j.quarantined(time.Now()); ok {
			return j.giveUp(ctx, Quarantined)
		}
		a := j.open(ctx, s, j.patience())
		var out Outcome
		if out, reason = j.take(ctx, a); out != nil {
			return out
		}
		if !j.mayTryAgain(ctx) {
			return j.giveUp(ctx, reason)
		}
	}
}

// next returns the server for the next attempt.
func (j *job) next(now time.Time) (s *fleet.Server, ok bool) {
	if s, j.reserved = j.reserved, nil; s != nil {
		j.look()
		return s, true
	}
	return j.choose(now)
}

// take uses an attempt's answer. Without an outcome the request goes on, for
// the reason that it returns.
func (j *job) take(ctx context.Context, a *attempt) (Outcome, Reason) {
	switch {
	case a.verdict == declined:
		if a.err != nil {
			j.note(a, a.err.Error())
			return nil, NoServer
		}
		j.note(a, "declined")
		return nil, Overloaded
	case a.verdict == lost:
		j.note(a, a.err.Error())
		return nil, Failed
	case j.route.Streaming && a.reply.Status < http.StatusMultipleChoices:
		return j.stream(ctx, a)
	default:
		return j.passWhole(ctx, a)
	}
}

// giveUp ends a request without another attempt: with the last answer of a
// server if there is one, and otherwise with what is true of it.
func (j *job) giveUp(ctx context.Context, reason Reason) Outcome {
	if j.begun {
		return Interrupted{Reason: reason}
	}
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = DeadlineExceeded
	}
	if j.kept != nil {
		return j.sendWhole(j.kept)
	}
	if out, ok := j.atRest(time.Now()); ok && (reason == NoServer || reason == Overloaded) {
		return j.truthful(out)
	}
	return j.truthful(Refused{Reason: reason, RetryAfter: j.comeBack(reason)})
}

// atRest refuses a request whose servers all want rest or have their limit, until the first one
// takes requests again: sooner it would find none.
func (j *job) atRest(now time.Time) (Refused, bool) {
	at, limited, ok := j.view.Servers.AvailableAt(j.service, now)
	out := Refused{Reason: Backoff, RetryAfter: at.Sub(now)}
	if limited {
		out.Reason = RateLimited
	}
	return out, ok
}

// truthful turns a refusal into a failure if the request may have run.
func (j *job) truthful(out Outcome) Outcome {
	refused, ok := out.(Refused)
	if ok && j.made.MayHaveRun() {
		return Failure{Reason: refused.Reason}
	}
	return out
}

// comeBack is when a request that has not run may succeed.
func (j *job) comeBack(reason Reason) time.Duration {
	switch reason {
	case Overloaded:
		return retry.SuggestedDelay(j.usual(time.Now()))
	case DeadlineExceeded:
		return 0
	case Quarantined:
		left, _ := j.quarantined(time.Now())
		return left
	default:
		return noServerRetry
	}
}
