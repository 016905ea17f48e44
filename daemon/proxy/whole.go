package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"ladderridge.example/core/latency"
)

// maxWhole bounds an answer that is held until it is whole, in bytes. A longer
// one is passed on as it comes.
const maxWhole = 1 << 20

const (
	// standardHold bounds the bytes of all whole answers together that are held.
	standardHold = 16 << 20
	// unknownLength is what an answer of unknown length is taken to have, in bytes.
	unknownLength = 64 << 10
)

// BufferedBytes is how many bytes of whole answers are held for callers.
func (e *Engine) BufferedBytes() int64 { return e.held.Load() }

// hold takes room for an answer of a length, -1 if that is not known; ok is false if there is
// none. Callers that read slowly would otherwise have their answers fill the daemon's memory.
func (e *Engine) hold(length int64) (bytes int64, ok bool) {
	most := e.MaxBuffered
	if most == 0 {
		most = standardHold
	}
	bytes = length
	if bytes < 0 {
		bytes = unknownLength
	}
	if e.held.Add(bytes) > most {
		e.held.Add(-bytes)
		return 0, false
	}
	return bytes, true
}

// whole is a server's whole answer.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// passWhole reads an answer to its end and passes it on, or returns why the
// request goes on.
func (j *job) passWhole(ctx context.Context, a *attempt) (Outcome, Reason) {
	defer j.finish(a)
	held, ok := j.engine.hold(a.reply.Length)
	if !ok {
		return j.passLong(a, nil)
	}
	defer j.engine.held.Add(-held)
	body, err := io.ReadAll(io.LimitReader(a.reply, maxWhole+1))
	if err != nil {
		return j.brokeOff(a, err)
	}
	if len(body) > maxWhole {
		return j.passLong(a, body)
	}
	took := time.Since(a.sent)
	a.done = true
	w := &whole{status: a.reply.Status, header: a.reply.Header, body: body}
	if w.status >= http.StatusInternalServerError {
		a.server.State.Failed()
		j.failed = append(j.failed, a.server.Incarnation())
		j.observe(a, true)
		j.note(a, fmt.Sprintf("status %d", w.status))
		j.kept = w
		if ctx.Err() != nil {
			return j.sendWhole(w), ""
		}
		return nil, Failed
	}
	j.answeredWhole(a)
	j.wentWell(a, took)
	j.observe(a, false)
	j.note(a, fmt.Sprintf("status %d", w.status))
	return j.sendWhole(w), ""
}

// brokeOff notes an answer that broke off before its end.
func (j *job) brokeOff(a *attempt, err error) (Outcome, Reason) {
	j.note(a, err.Error())
	j.avoid = append(j.avoid, a.server.Incarnation())
	if j.live() {
		j.blame(a, err, time.Now())
	}
	return nil, Failed
}

// wentWell notes that the first part of a good answer came, or all of a plain
// one.
func (j *job) wentWell(a *attempt, took time.Duration) {
	j.learn(a, took)
	j.report.FirstByte = time.Since(j.request.Arrived)
}

// learn notes how long a server took for the first part of an answer.
func (j *job) learn(a *attempt, took time.Duration) {
	a.relative = j.engine.paces.of(a.kind).Relative(j.request.size(), took)
	a.server.State.Answered(a.relative)
	j.engine.paces.learn(a.kind, func(e latency.Estimate) latency.Estimate { return e.With(j.request.size(), took, time.Now()) })
	a.first = j.compare(a, j.like(a), took)
}

// sendWhole sends a whole answer to the caller.
func (j *job) sendWhole(w *whole) Outcome {
	j.begun = true
	j.sink.Begin(w.status, j.engine.Dialect.ResponseHeaders(w.header), int64(len(w.body)))
	if _, err := j.sink.Write(w.body); err != nil {
		return ClientGone{}
	}
	return Answered{Status: w.status}
}

// passLong passes on an answer that is too long to hold.
func (j *job) passLong(a *attempt, begun []byte) (Outcome, Reason) {
	j.begun = true
	j.sink.Begin(a.reply.Status, j.engine.Dialect.ResponseHeaders(a.reply.Header), a.reply.Length)
	if _, err := j.sink.Write(begun); err != nil {
		return ClientGone{}, ""
	}
	if _, err := io.Copy(j.sink, a.reply); err != nil {
		j.note(a, err.Error())
		return Interrupted{Reason: Failed}, ""
	}
	j.answeredWhole(a)
	j.wentWell(a, time.Since(a.sent))
	j.observe(a, false)
	return Answered{Status: a.reply.Status}, ""
}
