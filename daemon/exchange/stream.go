package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"ladderridge.example/core/ladder"
)

// stream passes on the events of an answer, or drops it for a larger model's.
// Without an outcome the request goes on elsewhere.
func (j *job) stream(ctx context.Context, a *attempt) (Outcome, Reason) {
	defer j.finish(a)
	if next, up := j.mayEscalate(ctx, a); up {
		j.note(a, fmt.Sprintf("dropped: confidence %d", a.head.Confidence))
		j.step = next
		j.report.Escalated = true
		return nil, Full
	}
	j.version = a.server.Version
	if !j.begun {
		j.begun = true
		j.sink.Begin(a.reply.Status, j.engine.Dialect.Passed(a.reply.Header), -1)
		if err := j.sink.Flush(); err != nil {
			return Gone{}, ""
		}
	}
	err := j.passEvents(ctx, a)
	switch {
	case err == nil:
		j.note(a, "whole")
		return Answered{Status: a.reply.Status}, ""
	case errors.Is(err, errCallerGone):
		j.note(a, "caller gone")
		return Gone{}, ""
	}
	return j.brokeOff(a, err)
}

var (
	errCallerGone = errors.New("the caller is gone")
	errGap        = errors.New("an event is missing")
)

// mayEscalate reports whether an answer is dropped for one of a larger model.
func (j *job) mayEscalate(ctx context.Context, a *attempt) (ladder.Step, bool) {
	if j.begun || len(j.route.Ladder) == 0 || j.attempts >= j.route.Attempts || ctx.Err() != nil {
		return j.step, false
	}
	next, up := j.step.Escalate(a.head.Confidence, a.head.Confident)
	if !up || !j.engine.Budget.Spend(j.service, j.view.Daemons, time.Now()) {
		return j.step, false
	}
	j.paid = true
	return next, true
}

// passEvents passes events on until the stream's proper end.
func (j *job) passEvents(ctx context.Context, a *attempt) error {
	events := newEventReader(a.reply)
	timer := j.startTimer(a, j.firstWait())
	defer timer.stop()
	first := true
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			if timer.stop() {
				j.paid = true
				return errSilent
			}
			return err
		}
		timer.reset(j.silence())
		if first {
			first = false
			j.wentWell(a, time.Since(a.sent))
		}
		if ev.id >= 0 && ev.id <= j.after {
			continue
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
		if !events.waiting() {
			if err := j.sink.Flush(); err != nil {
				return errCallerGone
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}
