package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/retry"
)

// run makes attempts until one succeeds or no more are allowed.
func (j *job) run(ctx context.Context) Outcome {
	reason := NoServer
	for {
		s, ok := j.next(time.Now())
		if !ok {
			if s, ok = j.awaitRoom(ctx); !ok {
				return j.giveUp(ctx, j.withoutServer(reason))
			}
		}
		if out := j.recheck(time.Now()); out != nil {
			return j.withExecutionState(out)
		}
		if !j.deadline.IsZero() && j.remaining() <= 0 {
			return j.giveUp(ctx, DeadlineExceeded)
		}
		if _, ok := j.quarantined(time.Now()); ok {
			return j.giveUp(ctx, Quarantined)
		}
		a := j.open(ctx, s, j.headTimeout())
		var out Outcome
		if out, reason = j.handleAttempt(ctx, a); out != nil {
			return out
		}
		if !j.mayRetry(ctx) {
			return j.giveUp(ctx, reason)
		}
	}
}

// next returns the server for the next attempt.
func (j *job) next(now time.Time) (s *fleet.Server, ok bool) {
	if s, j.reserved = j.reserved, nil; s != nil {
		j.refreshView()
		return s, true
	}
	return j.choose(now)
}

// handleAttempt processes the result of an attempt. Without an outcome the request is retried,
// for the reason that it returns.
func (j *job) handleAttempt(ctx context.Context, a *attempt) (Outcome, Reason) {
	switch {
	case a.result == declined:
		if a.err != nil {
			j.reportAttempt(a, a.err.Error())
			return nil, NoServer
		}
		j.reportAttempt(a, "declined")
		return nil, Overloaded
	case a.result == unknown:
		j.reportAttempt(a, a.err.Error())
		return nil, Failed
	case j.route.Streaming && a.reply.Status < http.StatusMultipleChoices:
		return j.stream(ctx, a)
	default:
		return j.forwardBuffered(ctx, a)
	}
}

// giveUp ends a request without another attempt: with a server's last error response, if there
// is one, and otherwise with a refusal or failure.
func (j *job) giveUp(ctx context.Context, reason Reason) Outcome {
	if j.responseStarted {
		return Interrupted{Reason: reason}
	}
	if ctx.Err() != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = DeadlineExceeded
	}
	if j.failedResponse != nil {
		return j.sendBuffered(j.failedResponse)
	}
	if out, ok := j.refuseUnavailable(time.Now()); ok && (reason == NoServer || reason == Overloaded) {
		return j.withExecutionState(out)
	}
	return j.withExecutionState(Refused{Reason: reason, RetryAfter: j.retryAfter(reason)})
}

// refuseUnavailable refuses a request whose servers are all in back-off or at their limit, with
// the time until the first one accepts requests again.
func (j *job) refuseUnavailable(now time.Time) (Refused, bool) {
	at, limited, ok := j.view.Servers.AvailableAt(j.service, now)
	out := Refused{Reason: Backoff, RetryAfter: at.Sub(now)}
	if limited {
		out.Reason = RateLimited
	}
	return out, ok
}

// withExecutionState turns a refusal into a failure if the request may have run.
func (j *job) withExecutionState(out Outcome) Outcome {
	refused, ok := out.(Refused)
	if ok && j.history.MayHaveRun() {
		return Failure{Reason: refused.Reason}
	}
	return out
}

// retryAfter returns the delay after which a request that has not run may succeed.
func (j *job) retryAfter(reason Reason) time.Duration {
	switch reason {
	case Overloaded:
		return retry.SuggestedDelay(j.expectedLatency(time.Now()))
	case DeadlineExceeded:
		return 0
	case Quarantined:
		left, _ := j.quarantined(time.Now())
		return left
	default:
		return noServerRetry
	}
}
