package proxy

import (
	"errors"
	"sync/atomic"
	"time"

	"ladderridge.example/core/retry"
)

var errSilent = errors.New("the server was silent for too long")

// attemptTimer ends an attempt when its time is over and a repeat can be paid.
type attemptTimer struct {
	timer *time.Timer
	ended atomic.Bool
}

// startTimer starts the timer of an attempt; a wait of 0 is none. An attempt is given up
// only if a repeat is in the budget then; otherwise it goes on to the deadline.
func (j *job) startTimer(a *attempt, wait time.Duration) *attemptTimer {
	t := &attemptTimer{}
	if wait <= 0 {
		return t
	}
	service, view := j.service, j.view
	t.timer = time.AfterFunc(wait, func() {
		if j.engine.spendRepeat(service, view) {
			t.ended.Store(true)
			a.cancel()
		}
	})
	return t
}

// reset starts the wait anew.
func (t *attemptTimer) reset(wait time.Duration) {
	if t.timer != nil && wait > 0 {
		t.timer.Reset(wait)
	}
}

// stop stops the timer and reports whether it has ended the attempt.
func (t *attemptTimer) stop() bool {
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.ended.Load()
}

// mayRepeatAfterThis reports whether the attempt under way leaves another one.
func (j *job) mayRepeatAfterThis(attempts int) bool {
	return j.route.MayRepeat() && attempts < j.route.Attempts && !j.end.IsZero()
}

// patience is how long an attempt may take to the head of its answer; 0 is as
// long as the request has.
func (j *job) patience() time.Duration {
	if !j.mayRepeatAfterThis(j.made.Ran + 1) {
		return 0
	}
	return j.longest()
}

// firstWait is how long a stream's first event may take after its head.
func (j *job) firstWait() time.Duration {
	if !j.mayRepeatAfterThis(j.made.Ran) {
		return 0
	}
	return j.longest()
}

// silence is how long a stream's server may be silent between two events.
func (j *job) silence() time.Duration {
	if !j.mayRepeatAfterThis(j.made.Ran) {
		return 0
	}
	return retry.StreamIdleTimeout(j.route.GapObjective)
}

// longest is the longest wait for the first part of an answer; 0 is no bound.
func (j *job) longest() time.Duration {
	now, size := time.Now(), j.request.size()
	pace := j.engine.paces.of(j.kind(j.model()))
	e := retry.ExpectedLatency{Now: pace.Typical(size, now), Recent: pace.Recent(size)}
	return retry.AttemptTimeout(e, j.route.LatencyObjective, j.end.Sub(now))
}
