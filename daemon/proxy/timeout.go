package proxy

import (
	"errors"
	"sync/atomic"
	"time"

	"ladderridge.example/core/estimate"
	"ladderridge.example/core/retry"
)

var errServerTimeout = errors.New("server sent nothing within its time-out")

// attemptTimer aborts an attempt when its time-out has passed and the retry budget allows
// another one.
type attemptTimer struct {
	timer *time.Timer
	ended atomic.Bool
}

// startTimer starts the timer of an attempt; a wait of 0 means no time-out. An attempt is
// aborted only if the budget has a retry at that time; otherwise it runs until the deadline.
func (j *job) startTimer(a *attempt, wait time.Duration) *attemptTimer {
	t := &attemptTimer{}
	if wait <= 0 {
		return t
	}
	service, view := j.service, j.view
	t.timer = time.AfterFunc(wait, func() {
		if j.engine.spendRetry(service, view) {
			t.ended.Store(true)
			a.cancel()
		}
	})
	return t
}

// reset restarts the timer.
func (t *attemptTimer) reset(wait time.Duration) {
	if t.timer != nil && wait > 0 {
		t.timer.Reset(wait)
	}
}

// stop stops the timer and reports whether it has aborted the attempt.
func (t *attemptTimer) stop() bool {
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.ended.Load()
}

// hasAttemptsAfter reports whether the route allows another attempt after the given number.
func (j *job) hasAttemptsAfter(attempts int) bool {
	return j.route.MayRepeat() && attempts < j.route.Attempts && !j.deadline.IsZero()
}

// headTimeout returns the time-out of an attempt for the response head; 0 means the request's
// deadline.
func (j *job) headTimeout() time.Duration {
	if !j.hasAttemptsAfter(j.history.Ran + 1) {
		return 0
	}
	if d, ok := j.secondAttemptTimeout(time.Now()); ok {
		return d
	}
	return j.attemptTimeout()
}

// continuationTimeout returns the time-out of an attempt that is to continue a stream, for the
// response head; 0 means the request's deadline.
func (j *job) continuationTimeout() time.Duration {
	if !j.hasAttemptsAfter(j.history.Ran + 1) {
		return 0
	}
	return j.attemptTimeout()
}

// firstEventTimeout returns the time-out of a stream's first event after its head.
func (j *job) firstEventTimeout() time.Duration {
	if !j.hasAttemptsAfter(j.history.Ran) {
		return 0
	}
	return j.attemptTimeout()
}

// streamIdleTimeout returns the time-out between two events of a stream.
func (j *job) streamIdleTimeout() time.Duration {
	if !j.hasAttemptsAfter(j.history.Ran) {
		return 0
	}
	return retry.StreamIdleTimeout(j.route.GapObjective)
}

// attemptTimeout returns the time-out for the first part of a response; 0 means none.
func (j *job) attemptTimeout() time.Duration {
	now, size := time.Now(), j.request.size()
	pace := j.engine.latencies.get(j.latencyKeyOf(j.model()))
	e := retry.ExpectedLatency{Now: pace.Typical(size, now), Recent: pace.Recent(size)}
	return retry.AttemptTimeout(e, j.route.LatencyObjective, j.deadline.Sub(now))
}

// secondAttemptTimeout returns the time-out of an attempt at a service with few slots: the latest
// time at which the first part of an answer of another server is still expected within the
// objective. ok is false if there is none, if the times of the service are not known, or while
// the servers are congested, when another attempt only adds load.
//
// One answer in twelve or so waits behind a long prompt that other daemons have sent to the same
// server; another server rarely has one at the same time.
func (j *job) secondAttemptTimeout(now time.Time) (timeout time.Duration, ok bool) {
	if !j.hasFewSlots() {
		return 0, false
	}
	first := j.engine.runTimes.get(j.referenceKeyOf(j.model())).First(j.runSize(j.prompt.UniqueTokens(), 0), estimate.Conditions{})
	if first.Median <= 0 || j.engine.Congestion.Level(j.service, now) > maxSecondAttemptLevel {
		return 0, false
	}
	left := j.request.Arrived.Add(j.route.LatencyObjective).Sub(now)
	needed := first.Quantile(secondAttemptQuantile)
	return left - needed, left-needed >= needed
}

const (
	// maxSecondAttemptLevel is the level of congestion up to which an attempt gives way to
	// another one: answers begin to be late there.
	maxSecondAttemptLevel = 0.4
	// secondAttemptQuantile is the probability with which the other answer has to be in time, and
	// with which the first one comes before it is given up.
	secondAttemptQuantile = 0.9
)
