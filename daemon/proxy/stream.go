package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ladderridge.example/core/answer"
	"ladderridge.example/core/cascade"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/latency"
	"ladderridge.example/core/verdict"
	"ladderridge.example/daemon/channel"
)

// stream sends a stream to the caller, or drops its first response for a larger model's. Without an
// outcome the request is retried.
func (j *job) stream(ctx context.Context, a *attempt, f verdict.Forwardable, w unsent) (Outcome, Reason) {
	if !isStream(a.reply) {
		defer j.finish(a)
		j.recordFailedResponse(a)
		j.reportAttempt(a, fmt.Sprintf("status %d, type %q in place of a stream", a.reply.Status, a.reply.Header.Get("Content-Type")))
		return nil, Failed
	}
	j.observeWait(time.Since(a.sent), time.Now())
	if next, load, ok := j.mayEscalate(ctx, a); ok {
		defer j.finish(a)
		j.reportAttempt(a, fmt.Sprintf("dropped: confidence %d, %s", a.head.Confidence, load))
		j.updateLatency(a, time.Since(a.sent))
		j.observeResponse(a, false)
		j.step = next
		j.report.Escalated = true
		return nil, Overloaded
	}
	r := j.readStream(a)
	ev, end := j.receive(ctx, r)
	if end != nil {
		if _, complete := end.next.(answer.Complete); !complete {
			j.endResponse(ctx, r, end)
			if _, abandoned := end.next.(answer.Abandon); abandoned {
				return j.giveUp(ctx, w, Failed), ""
			}
			return nil, Failed
		}
	}
	started := w.beginStream(a.reply, j.responseHead(a, f))
	return j.sendStream(ctx, r, ev, end, started), ""
}

// streamResponse is one server's response to a request for a stream.
type streamResponse struct {
	attempt *attempt
	events  *eventReader
	// timer limits the wait for the next event.
	timer  *attemptTimer
	timing eventTiming
	run    answer.Run
}

// readStream prepares to read the events of a response.
func (j *job) readStream(a *attempt) *streamResponse {
	j.version = a.server.Version
	return &streamResponse{
		attempt: a, events: newEventReader(a.reply), timer: j.startTimer(a, j.firstEventTimeout()),
		run: answer.NewRun(answer.LimitsFor(j.request.MaxOutput), j.received),
	}
}

// streamEnd is the end of a response: what follows, and an error unless the stream is complete.
type streamEnd struct {
	next answer.Next
	err  error
	// refuted is set if the response was no answer.
	refuted bool
}

// receive reads the next event that the caller is to receive, or the end of the response.
func (j *job) receive(ctx context.Context, r *streamResponse) (event, *streamEnd) {
	for {
		ev, err := r.events.next()
		if err != nil {
			return ev, j.readEnd(ctx, r, err)
		}
		r.timer.reset(j.streamIdleTimeout())
		if r.timing.events == 0 {
			j.recordFirstPart(r.attempt, time.Since(r.attempt.sent))
			j.observeFirstPart(r.attempt)
		}
		r.timing.event(time.Now())
		var forward bool
		if r.run, forward, err = r.run.With(answer.Event{ID: ev.id, Bytes: len(ev.raw), KeepAlive: ev.keepAlive}); err != nil {
			return ev, &streamEnd{next: r.run.Refuted(), err: err, refuted: true}
		}
		if forward {
			return ev, nil
		}
		if ctx.Err() != nil {
			return ev, &streamEnd{next: r.run.Interrupted(), err: ctx.Err()}
		}
	}
}

// readEnd returns how a response ends whose next event could not be read.
func (j *job) readEnd(ctx context.Context, r *streamResponse, err error) *streamEnd {
	switch {
	case errors.Is(err, io.EOF):
		if err := j.confirmEnd(ctx, r.attempt); err != nil {
			return &streamEnd{next: r.run.Interrupted(), err: err}
		}
		var end streamEnd
		r.run, end.next, end.err = r.run.Ended()
		end.refuted = r.attempt.lastEvent < 0 && r.timing.events == 0
		return &end
	case r.timer.stop():
		j.markPaid()
		return &streamEnd{next: r.run.Interrupted(), err: errServerTimeout}
	case errors.Is(err, errEventTooLong), fault.Is(err, channel.Malformed), errors.Is(err, errEventTruncated) && r.attempt.reply.SelfDelimited:
		return &streamEnd{next: r.run.Refuted(), err: err, refuted: true}
	}
	return &streamEnd{next: r.run.Interrupted(), err: err}
}

// forwardEvents sends an event and those that follow it to the caller and returns the end of the response,
// or nil if the caller is gone.
func (j *job) forwardEvents(ctx context.Context, r *streamResponse, ev event, w *callerStream) (end *streamEnd) {
	for end == nil {
		if w.write(ev, !r.events.buffered()) != nil {
			return nil
		}
		if ctx.Err() != nil {
			return &streamEnd{next: r.run.Interrupted(), err: ctx.Err()}
		}
		ev, end = j.receive(ctx, r)
	}
	return end
}

// endResponse records the end of a response and ends its attempt.
func (j *job) endResponse(ctx context.Context, r *streamResponse, end *streamEnd) {
	a := r.attempt
	defer j.finish(a)
	r.timer.stop()
	j.received = r.run.Received()
	if end.err == nil {
		j.recordComplete(a)
		j.observeEnd(a, &r.timing)
		j.reportAttempt(a, "whole")
		return
	}
	j.countEndless(end.err)
	if r.timing.events == 0 && (errors.Is(end.err, errServerTimeout) || ctx.Err() != nil) {
		j.observeAbandoned(a)
	}
	if end.refuted {
		j.observeRefuted(r)
	}
	j.recordInterruption(a, end.err)
}

// observeEnd records the times of a complete stream.
func (j *job) observeEnd(a *attempt, t *eventTiming) {
	between := 0.0
	if !a.relayed() {
		j.observeRunEnd(a, t.last.Sub(t.first))
		between = t.intervalRatio(j, a)
		j.observePace(a, between, t.last)
	}
	j.observeRemainder(a, between)
}

// busyFactor: a server on which the smaller model has just taken this many times its typical
// duration is busy, and the larger model runs elsewhere. No other sign of a server's load is as
// recent.
const busyFactor = 2

// mayEscalate reports whether a response is dropped for a larger model's, and the load on which
// the decision is based.
func (j *job) mayEscalate(ctx context.Context, a *attempt) (cascade.Step, cascade.Load, bool) {
	if j.trial || len(j.route.Cascade) == 0 || j.history.Ran >= j.route.Attempts || ctx.Err() != nil {
		return j.step, cascade.Load{}, false
	}
	now := time.Now()
	load := j.load(a, now)
	if !j.step.Escalate(a.head.Confidence, a.head.Confident, load) || !j.engine.spendRetry(j.service, j.view) {
		return j.step, load, false
	}
	next := j.step.Next()
	if !j.reserve(a, next, now) {
		return j.step, load, false
	}
	j.markPaid()
	return next, load, true
}

// reserve chooses the server for the larger model's run before the smaller model's response is
// dropped: if no server has a free slot, that response is kept.
func (j *job) reserve(a *attempt, next cascade.Step, now time.Time) (ok bool) {
	step, failed := j.step, j.failed
	j.step = next
	if j.engine.latencies.get(a.latencyKey).Relative(j.request.size(), now.Sub(a.sent)) >= busyFactor {
		j.failed = append(j.failed, a.server.Incarnation())
	}
	j.reserved, ok = j.choose(now)
	j.step = step
	if !ok {
		j.failed = failed
	}
	return ok
}

// load returns how busy the servers are, for the decision on escalation.
func (j *job) load(a *attempt, now time.Time) cascade.Load {
	objective := j.route.LatencyObjective
	larger := j.engine.latencies.get(j.latencyKeyOf(j.route.Cascade[j.step.Next().Index]))
	l := cascade.Load{InTime: larger.ProbabilityWithin(j.request.size(), j.request.Arrived.Add(objective).Sub(now), now)}
	if objective > 0 && j.hasFewSlots() {
		return j.priceOfLargerRun(a, l, now)
	}
	if objective > 0 {
		mean := j.engine.latencies.get(j.latencyKeyOf(j.model())).Mean(now)
		l.WaitShare = cascade.WaitShare(now.Sub(a.sent), mean, objective)
		l.Delay = j.delayToOthers(a, objective)
	}
	return l
}

// delayToOthers returns the total delay that a larger model's run causes to the requests at the
// server, divided by the latency objective.
func (j *job) delayToOthers(a *attempt, objective time.Duration) float64 {
	run := latency.Features{Unique: blocks(a.prompt.UniqueTokens()), Load: 1}
	larger := j.service + "/" + j.route.Cascade[j.step.Next().Index]
	return a.features().Load * j.engine.references.get(larger).Expected(run) / objective.Seconds()
}

// latencyKeyOf returns the key of the latency estimate for a model of the cascade on this route.
func (j *job) latencyKeyOf(model string) string { return j.route.Name + "/" + model }

// expectedLatency returns the expected time to the first part of a response of the current
// model, or 0 if that is unknown.
func (j *job) expectedLatency(now time.Time) time.Duration {
	return j.engine.latencies.get(j.latencyKeyOf(j.model())).Typical(j.request.size(), now)
}

// eventTiming measures the intervals between the events of one stream.
type eventTiming struct {
	first  time.Time
	last   time.Time
	events int
}

// minTimedEvents is the minimum number of events for which a stream's intervals count.
const minTimedEvents = 4

func (t *eventTiming) event(now time.Time) {
	if t.events == 0 {
		t.first = now
	}
	t.last = now
	t.events++
}

// intervalRatio returns the mean interval between the events of a complete stream, divided by
// the reference interval, 0 if that is unknown.
func (t *eventTiming) intervalRatio(j *job, a *attempt) float64 {
	if t.events < minTimedEvents {
		return 0
	}
	return j.compareBetween(a, t.last.Sub(t.first)/time.Duration(t.events-1))
}
