package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ladderridge.example/core/cascade"
	"ladderridge.example/core/latency"
)

// stream passes on the events of an answer, or drops it for a larger model's.
// Without an outcome the request goes on elsewhere.
func (j *job) stream(ctx context.Context, a *attempt) (Outcome, Reason) {
	defer j.finish(a)
	if next, load, ok := j.mayEscalate(ctx, a); ok {
		j.note(a, fmt.Sprintf("dropped: confidence %d, %s", a.head.Confidence, load))
		j.learn(a, time.Since(a.sent))
		j.observe(a, false)
		j.step = next
		j.report.Escalated = true
		return nil, Overloaded
	}
	j.version = a.server.Version
	if !j.begun {
		j.begun = true
		j.sink.Begin(a.reply.Status, j.engine.Dialect.ResponseHeaders(a.reply.Header), -1)
		if err := j.sink.Flush(); err != nil {
			return ClientGone{}, ""
		}
	}
	var t tempo
	err := j.passEvents(ctx, a, &t)
	switch {
	case err == nil:
		j.answeredWhole(a)
		j.observeOver(a, t.between(j, a))
		j.note(a, "whole")
		return Answered{Status: a.reply.Status}, ""
	case errors.Is(err, errCallerGone):
		j.note(a, "caller gone")
		return ClientGone{}, ""
	}
	if t.events == 0 && (errors.Is(err, errSilent) || ctx.Err() != nil) {
		j.observeEnded(a)
	}
	return j.brokeOff(a, err)
}

// busyFactor is how many times the usual a smaller model takes on a server that is
// busy right now, so that the larger one goes elsewhere. No other word of a
// server's load is as fresh.
const busyFactor = 2

var (
	errCallerGone = errors.New("the caller is gone")
	errGap        = errors.New("an event is missing")
)

// mayEscalate reports whether an answer is dropped for one of a larger model, and by
// what it was weighed.
func (j *job) mayEscalate(ctx context.Context, a *attempt) (cascade.Step, cascade.Load, bool) {
	if j.begun || len(j.route.Cascade) == 0 || j.made.Ran >= j.route.Attempts || ctx.Err() != nil {
		return j.step, cascade.Load{}, false
	}
	now := time.Now()
	load := j.load(a, now)
	if !j.step.Escalate(a.head.Confidence, a.head.Confident, load) || !j.engine.spendRepeat(j.service, j.view) {
		return j.step, load, false
	}
	next := j.step.Next()
	if !j.reserve(a, next, now) {
		return j.step, load, false
	}
	j.pay()
	return next, load, true
}

// reserve chooses the server of a larger model's run before a smaller one's answer is dropped:
// where none has room, that answer is all there is.
func (j *job) reserve(a *attempt, next cascade.Step, now time.Time) (ok bool) {
	step, failed := j.step, j.failed
	j.step = next
	if j.engine.paces.of(a.kind).Relative(j.request.size(), now.Sub(a.sent)) >= busyFactor {
		j.failed = append(j.failed, a.server.Incarnation())
	}
	j.reserved, ok = j.choose(now)
	j.step = step
	if !ok {
		j.failed = failed
	}
	return ok
}

// load is how busy servers are, for deciding on a larger model.
func (j *job) load(a *attempt, now time.Time) cascade.Load {
	objective := j.route.LatencyObjective
	larger := j.engine.paces.of(j.kind(j.route.Cascade[j.step.Next().Index]))
	l := cascade.Load{InTime: larger.ProbabilityWithin(j.request.size(), j.request.Arrived.Add(objective).Sub(now), now)}
	if objective > 0 {
		usual := j.engine.paces.of(j.kind(j.model())).Mean(now)
		l.WaitShare = cascade.WaitShare(now.Sub(a.sent), usual, objective)
		l.Delay = j.delays(a, objective)
	}
	return l
}

// delays is how long a larger model's run holds up the requests that are at the
// server, together, in terms of an objective.
func (j *job) delays(a *attempt, objective time.Duration) float64 {
	run := latency.Features{Unique: pieces(a.prompt.UniqueTokens()), Load: 1}
	larger := j.service + "/" + j.route.Cascade[j.step.Next().Index]
	return a.features().Load * j.engine.settled.of(larger).Expected(run) / objective.Seconds()
}

// kind is what times are compared by: the route, and the model of a ladder.
func (j *job) kind(model string) string { return j.route.Name + "/" + model }

// usual is what the first part of an answer of the present model may be expected
// to take, or 0 if that is not known.
func (j *job) usual(now time.Time) time.Duration {
	return j.engine.paces.of(j.kind(j.model())).Typical(j.request.size(), now)
}

// passEvents passes events on until the stream's proper end.
func (j *job) passEvents(ctx context.Context, a *attempt, t *tempo) error {
	events := newEventReader(a.reply)
	timer := j.startTimer(a, j.firstWait())
	defer timer.stop()
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if timer.stop() {
				j.pay()
				return errSilent
			}
			return err
		}
		timer.reset(j.silence())
		if t.events == 0 {
			j.wentWell(a, time.Since(a.sent))
			j.observeBegun(a)
		}
		t.event(time.Now())
		if err := j.passEvent(ev, !events.waiting()); err != nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// passEvent passes one event on, unless the caller has it already, and sends
// what is held back if no more has come.
func (j *job) passEvent(ev event, flush bool) error {
	if ev.id >= 0 && ev.id <= j.after {
		return nil
	}
	if ev.id >= 0 && j.after >= 0 && ev.id != j.after+1 {
		return errGap
	}
	if _, err := j.sink.Write(ev.raw); err != nil {
		return errCallerGone
	}
	if ev.id >= 0 {
		j.after = ev.id
	}
	if !flush {
		return nil
	}
	if err := j.sink.Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// tempo is the time between the events of one stream.
type tempo struct {
	first  time.Time
	last   time.Time
	events int
}

// tempoEvents is how many events a stream must have for its tempo to count.
const tempoEvents = 4

func (t *tempo) event(now time.Time) {
	if t.events == 0 {
		t.first = now
	}
	t.last = now
	t.events++
}

// between is how long the time between the events of a whole stream was in terms
// of what the settled version takes, 0 if that is not known.
func (t *tempo) between(j *job, a *attempt) float64 {
	if t.events < tempoEvents {
		return 0
	}
	return j.compare(a, j.like(a)+"/between", t.last.Sub(t.first)/time.Duration(t.events-1))
}
