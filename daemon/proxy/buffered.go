package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/latency"
	"ladderridge.example/core/verdict"
	"ladderridge.example/daemon/relay"
)

// maxBufferedResponse is the size in bytes up to which a response is buffered until it is
// complete. A longer one is forwarded as it arrives.
const maxBufferedResponse = 1 << 20

const (
	// defaultMaxBuffered is the default limit of the bytes of all buffered responses together.
	defaultMaxBuffered = 16 << 20
	// assumedLength is the assumed size of a response of unknown length, in bytes.
	assumedLength = 64 << 10
)

// BufferedBytes returns how many bytes of complete responses are buffered for callers.
func (e *Engine) BufferedBytes() int64 { return e.buffered.Load() }

// reserveBuffer reserves buffer space for a response of a length, -1 if that is unknown; ok is
// false if there is none. Without a limit the responses of slow readers would fill the daemon's
// memory.
func (e *Engine) reserveBuffer(length int64) (bytes int64, ok bool) {
	most := e.MaxBuffered
	if most == 0 {
		most = defaultMaxBuffered
	}
	bytes = length
	if bytes < 0 {
		bytes = assumedLength
	}
	if e.buffered.Add(bytes) > most {
		e.buffered.Add(-bytes)
		return 0, false
	}
	return bytes, true
}

// bufferedResponse is a server's complete response.
type bufferedResponse struct {
	head responseHead
	body []byte
}

// forwardBuffered reads a response to its end and forwards it, or returns the reason why the
// request is retried.
func (j *job) forwardBuffered(ctx context.Context, a *attempt, f verdict.Forwardable, w unsent) (Outcome, Reason) {
	defer j.finish(a)
	// A failure is known by its status. If another server may answer, the caller need not wait for
	// more of its body than is buffered.
	_, failed := f.(verdict.Failure)
	dropped := failed && j.hasAttemptsAfter(j.history.Ran)
	held, ok := j.engine.reserveBuffer(a.reply.Length)
	if !ok {
		if dropped {
			return nil, j.dropFailure(a)
		}
		return j.forwardUnbuffered(ctx, a, f, w, nil), ""
	}
	defer j.engine.buffered.Add(-held)
	var late func() bool
	if dropped {
		timer := time.AfterFunc(failureBodyTimeout, a.cancel)
		late = func() bool { return !timer.Stop() }
	}
	body, err := io.ReadAll(io.LimitReader(a.reply, maxBufferedResponse+1))
	switch {
	case dropped && (late() || len(body) > maxBufferedResponse):
		return nil, j.dropFailure(a)
	case len(body) > maxBufferedResponse:
		return j.forwardUnbuffered(ctx, a, f, w, body), ""
	case err == nil && !failed:
		err = j.confirmEnd(ctx, a)
	}
	if err != nil {
		j.recordInterruption(a, err)
		return nil, Failed
	}
	took := time.Since(a.sent)
	a.complete = a.reply.SelfDelimited
	r := &bufferedResponse{head: j.responseHead(a, f), body: body}
	if failed {
		j.recordFailedResponse(a)
		j.reportAttempt(a, fmt.Sprintf("status %d", f.Status()))
		j.failedResponse = r
		if ctx.Err() != nil {
			return w.complete(r), ""
		}
		return nil, Failed
	}
	j.recordComplete(a)
	j.recordFirstPart(a, took)
	j.observeResponse(a, false)
	j.reportAttempt(a, fmt.Sprintf("status %d", f.Status()))
	return w.complete(r), ""
}

// failureBodyTimeout is how long the body of a failure is waited for if another server may answer.
const failureBodyTimeout = 250 * time.Millisecond

// dropFailure ends an attempt whose response is a failure with a body that is too long or slow, and
// returns the reason for the retry.
func (j *job) dropFailure(a *attempt) Reason {
	j.engine.Endless.count(endlessFailure)
	j.recordFailedResponse(a)
	j.reportAttempt(a, fmt.Sprintf("status %d, body too long, too slow or without buffer space", a.reply.Status))
	return Failed
}

// recordFailedResponse records a response that says that the server has failed.
func (j *job) recordFailedResponse(a *attempt) {
	a.server.State.Failed()
	j.failed = append(j.failed, a.server.Incarnation())
	j.observeResponse(a, true)
}

// recordInterruption records a response that broke off before its end.
func (j *job) recordInterruption(a *attempt, err error) {
	j.reportAttempt(a, err.Error())
	if fault.Is(err, relay.HelperLost) {
		return
	}
	if errors.Is(err, errEventTruncated) {
		a.reply.Truncated()
	}
	j.avoid = append(j.avoid, a.server.Incarnation())
	if j.live() {
		j.recordFailure(a, err, time.Now())
	}
}

// recordFirstPart records that the first part of a successful response arrived, or all of one
// that is not a stream.
func (j *job) recordFirstPart(a *attempt, took time.Duration) {
	j.updateLatency(a, took)
	j.report.FirstByte = time.Since(j.request.Arrived)
}

// updateLatency records how long a server took for the first part of a response. The time of a
// response through another daemon includes that daemon's and is not learned.
func (j *job) updateLatency(a *attempt, took time.Duration) {
	if a.relayed() {
		a.server.State.Answered(0)
		return
	}
	a.relative = j.engine.latencies.get(a.latencyKey).Relative(j.request.size(), took)
	a.server.State.Answered(a.relative)
	j.engine.latencies.update(a.latencyKey, func(e latency.Estimate) latency.Estimate { return e.With(j.request.size(), took, time.Now()) })
	j.observeRunStart(a, took)
	j.learnReference(a, took)
	a.firstRatio = j.compareFirst(a, took)
}

// forwardUnbuffered forwards a response that is too long to buffer.
func (j *job) forwardUnbuffered(ctx context.Context, a *attempt, f verdict.Forwardable, w unsent, begun []byte) sentOutcome {
	out, err := w.copy(j.responseHead(a, f), a.reply.Length, begun, a.reply)
	if err == nil {
		if err = j.confirmEnd(ctx, a); err != nil {
			out = Interrupted{Reason: Failed}
		}
	}
	if err != nil {
		j.reportAttempt(a, err.Error())
		return out
	}
	j.recordComplete(a)
	j.recordFirstPart(a, time.Since(a.sent))
	j.observeResponse(a, false)
	return out
}
