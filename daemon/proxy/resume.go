package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// sendStream sends a stream to the caller: the events of a response and, when it breaks off, the rest
// from other servers, as far as that is allowed.
func (j *job) sendStream(ctx context.Context, a *attempt, w *callerStream) sentOutcome {
	j.streaming = true
	for {
		if out := j.forwardRun(ctx, a, w); out != nil {
			return out
		}
		next, reason := j.resume(ctx, w)
		if next == nil {
			return Interrupted{Reason: reason}
		}
		a = next
		j.observeWait(time.Since(a.sent), time.Now())
	}
}

// resume makes attempts until one continues the stream, or returns the reason why there is none.
func (j *job) resume(ctx context.Context, w *callerStream) (*attempt, Reason) {
	reason := Failed
	for !w.unnumbered && j.mayRetry(ctx) {
		s, ok := j.nextServer(ctx)
		if !ok {
			return nil, j.withoutServer(reason)
		}
		if barred, ok := j.barred(); ok {
			return nil, barred
		}
		a := j.open(ctx, s, j.continuationTimeout(), w.lastEvent)
		if reason, ok = j.checkContinuation(a, w); ok {
			return a, ""
		}
	}
	return nil, reason
}

// checkContinuation reports whether an attempt's response may be the rest of a stream. Any other
// response is dropped, whatever its status: the caller already has the head of its response.
func (j *job) checkContinuation(a *attempt, w *callerStream) (Reason, bool) {
	switch {
	case a.result != answered:
		return j.recordUnanswered(a), false
	case w.continuedBy(a.reply):
		return "", true
	}
	defer j.finish(a)
	j.engine.NotContinued.Add(1)
	discard(a)
	if a.reply.Status >= http.StatusInternalServerError {
		j.recordFailedResponse(a)
	} else {
		j.avoid = append(j.avoid, a.server.Incarnation())
	}
	j.reportAttempt(a, fmt.Sprintf("status %d, type %q in place of the rest of the stream", a.reply.Status, a.reply.Header.Get("Content-Type")))
	return Failed, false
}

const (
	// maxDiscarded is the length in bytes up to which a dropped response is read to its end, so that its
	// connection can be kept, and discardTimeout how long that may take. Meanwhile the caller waits.
	maxDiscarded   = 64 << 10
	discardTimeout = 50 * time.Millisecond
)

// discard reads a response that is dropped.
func discard(a *attempt) {
	timer := time.AfterFunc(discardTimeout, a.cancel)
	defer timer.Stop()
	n, err := io.Copy(io.Discard, io.LimitReader(a.reply, maxDiscarded))
	a.complete = err == nil && n < maxDiscarded && a.reply.SelfDelimited
}
