package proxy

import (
	"context"
	"fmt"
	"io"
	"time"

	"ladderridge.example/core/answer"
	"ladderridge.example/core/verdict"
)

// sendStream sends a stream to the caller: the first event, the further events of its response and, when
// it breaks off, the rest from other servers, as far as that is allowed. end is the end of the response, if
// it has no event that the caller lacks.
func (j *job) sendStream(ctx context.Context, r *streamResponse, first event, end *streamEnd, w *callerStream) sentOutcome {
	j.streaming = true
	for ev := first; ; {
		if end == nil {
			if end = j.forwardEvents(ctx, r, ev, w); end == nil {
				j.reportAttempt(r.attempt, "caller gone")
				j.finish(r.attempt)
				return ClientGone{}
			}
		}
		j.endResponse(ctx, r, end)
		switch end.next.(type) {
		case answer.Complete:
			return Answered{Status: w.head.status}
		case answer.Abandon:
			return Interrupted{Reason: Failed}
		case answer.Continue:
		}
		a, reason := j.resume(ctx, w)
		if a == nil {
			return Interrupted{Reason: reason}
		}
		j.observeWait(time.Since(a.sent), time.Now())
		r = j.readStream(a)
		ev, end = j.receive(ctx, r)
	}
}

// resume makes attempts until one continues the stream, or returns the reason why there is none.
func (j *job) resume(ctx context.Context, w *callerStream) (*attempt, Reason) {
	reason := Failed
	for j.mayRetry(ctx) {
		s, ok := j.nextServer(ctx)
		if !ok {
			return nil, j.withoutServer(reason)
		}
		if barred, ok := j.barred(); ok {
			return nil, barred
		}
		a := j.open(ctx, s, j.continuationTimeout())
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
	if _, failed := a.kind.(verdict.Failure); failed {
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
