package proxy

import (
	"context"
	"errors"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/retry"
	"ladderridge.example/core/verdict"
)

// run makes attempts until a response has been sent to the caller or no more attempts are allowed.
func (j *job) run(ctx context.Context, w unsent) Outcome {
	reason := NoServer
	for {
		s, ok := j.nextServer(ctx)
		if !ok {
			return j.giveUp(ctx, w, j.withoutServer(reason))
		}
		if out := j.recheck(time.Now()); out != nil {
			return j.withExecutionState(out)
		}
		if barred, ok := j.barred(); ok {
			return j.giveUp(ctx, w, barred)
		}
		a := j.open(ctx, s, j.headTimeout())
		var out Outcome
		if out, reason = j.handleAttempt(ctx, a, w); out != nil {
			return out
		}
		if !j.mayRetry(ctx) {
			return j.giveUp(ctx, w, reason)
		}
	}
}

// nextServer returns the server for the next attempt. It may wait for room at a server.
func (j *job) nextServer(ctx context.Context) (*fleet.Server, bool) {
	if s, ok := j.next(time.Now()); ok {
		return s, true
	}
	return j.awaitRoom(ctx)
}

// next returns the server that is reserved for the next attempt, or chooses one.
func (j *job) next(now time.Time) (s *fleet.Server, ok bool) {
	if s, j.reserved = j.reserved, nil; s != nil {
		j.refreshView()
		return s, true
	}
	return j.choose(now)
}

// barred returns why no attempt may be sent, if the deadline has passed or the request is quarantined.
func (j *job) barred() (Reason, bool) {
	if !j.deadline.IsZero() && j.remaining() <= 0 {
		return DeadlineExceeded, true
	}
	_, quarantined := j.quarantined(time.Now())
	return Quarantined, quarantined
}

// handleAttempt processes the result of an attempt. Without an outcome the request is retried,
// for the reason that it returns.
func (j *job) handleAttempt(ctx context.Context, a *attempt, w unsent) (Outcome, Reason) {
	f, ok := a.kind.(verdict.Forwardable)
	if a.result != answered || !ok {
		return nil, j.recordUnanswered(a)
	}
	if answer, ok := f.(verdict.Answer); ok && answer.Success() && j.route.Streaming {
		return j.stream(ctx, a, f, w)
	}
	return j.forwardBuffered(ctx, a, f, w)
}

// recordUnanswered reports an attempt that has no response, and returns the reason for the retry.
func (j *job) recordUnanswered(a *attempt) Reason {
	switch {
	case a.result == unknown:
		j.reportAttempt(a, a.err.Error())
		return Failed
	case a.err != nil:
		j.reportAttempt(a, a.err.Error())
		return NoServer
	default:
		j.reportAttempt(a, "declined")
		return Overloaded
	}
}

// giveUp ends a request without another attempt: with a server's last error response, if there
// is one, and otherwise with a refusal or failure.
func (j *job) giveUp(ctx context.Context, w unsent, reason Reason) Outcome {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = DeadlineExceeded
	case errors.Is(cause, errStopped):
		reason = ShuttingDown
	}
	if j.failedResponse != nil {
		return w.complete(j.failedResponse)
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
	case ShuttingDown:
		return shutdownRetry
	case Quarantined:
		left, _ := j.quarantined(time.Now())
		return left
	default:
		return noServerRetry
	}
}
