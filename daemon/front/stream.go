package front

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/wire"
)

// stream passes on the events of an answer. c.tokens is the index of the next
// token that the caller has not seen.
func (c *chatJob) stream(reply *backend.Reply) error {
	events := backend.NewStream(reply.Body)
	flush := http.NewResponseController(c.w)
	var usage []byte
	for {
		data, last, err := events.Next()
		if err != nil {
			c.brokeOff()
			return reply.Lose(err)
		}
		if last {
			return c.endStream(reply, usage)
		}
		var chunk wire.ChatChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			c.brokeOff()
			return reply.Lose(merry.Wrap(err))
		}
		if chunk.Usage != nil {
			usage = append([]byte(nil), data...)
			continue
		}
		if chunk.Index < c.tokens {
			continue
		}
		if chunk.Index > c.tokens {
			c.brokeOff()
			return reply.Lose(merry.Errorf("token %d came where %d was due", chunk.Index, c.tokens))
		}
		if !c.answered {
			c.head("text/event-stream", attempt.Unknown)
		}
		if err := c.event(data); err != nil {
			return reply.Lose(&callerGone{cause: err})
		}
		c.tokens++
		_ = flush.Flush()
	}
}

// brokeOff lets the control state know of an answer that broke off, unless the
// caller or the deadline ended it.
func (c *chatJob) brokeOff() {
	if c.ctx.Err() == nil {
		c.front.Control.Tell(control.Failed{Server: c.sent.Server.ID, Ref: c.sent.Ref})
		c.front.look(placeOf(c.sent.Server))
	}
}

// callerGone is a caller that no longer reads.
type callerGone struct{ cause error }

// Error implements the error interface.
func (e *callerGone) Error() string { return "the caller is gone: " + e.cause.Error() }

func (c *chatJob) event(data []byte) error {
	_, err := fmt.Fprintf(c.w, "data: %s\n\n", data)
	return err
}

// endStream bills and then sends the terminator: only a whole answer has one.
func (c *chatJob) endStream(reply *backend.Reply, usage []byte) error {
	if err := reply.Finish(); err != nil {
		return err
	}
	c.tellAnswer(reply, false)
	if !c.answered {
		c.head("text/event-stream", attempt.Unknown)
	}
	c.bill(c.sent.Ref, c.sent.Price)
	c.claim.settle(http.StatusOK, "text/event-stream", nil)
	if usage != nil {
		c.closingUsage(usage)
	}
	_ = c.event([]byte(wire.Terminator))
	c.done(http.StatusOK)
	return nil
}

// closingUsage sends the event that counts tokens. Client libraries want it to
// look like the other events.
func (c *chatJob) closingUsage(usage []byte) {
	named, err := withFields(usage, field{"id", c.id}, field{"object", wire.ObjectChunk}, field{"model", c.sent.Ref.String()})
	if err != nil {
		c.front.Log.Warn().Str("request", c.id).Err(err).Msg("front: the count of tokens could not be named: it is passed on as it came")
		named = usage
	}
	_ = c.event(named)
}

// resume goes on with a broken stream on the same version, at the token where
// it broke, or ends it with an error event.
func (c *chatJob) resume(cause error) *refusal {
	keep := c.sent.Ref
	for {
		var gone *callerGone
		if errors.As(cause, &gone) || c.r.Context().Err() != nil {
			return c.abandoned(cause)
		}
		if !c.mayRetry() {
			return c.breakOff(c.failure(cause))
		}
		c.step(route.Step{Kind: route.StepResume, Model: keep.Model, Version: keep.Version, Value: float64(c.tokens), Text: cause.Error()})
		if out := c.decideOn(keep); out != nil {
			return c.breakOff(out.withRun(attempt.Unknown))
		}
		a := c.newAttempt()
		if cause = c.tryFrom(a, c.tokens); cause == nil {
			return nil
		}
		c.made = c.made.With(a.Outcome())
	}
}

// decideOn chooses another server of the same version.
func (c *chatJob) decideOn(ref table.Ref) *refusal {
	pinned := c.session.ref
	c.session.ref = ref
	out := c.decide()
	c.session.ref = pinned
	return out
}

func (c *chatJob) tryFrom(a *attempt.Attempt, offset int) error {
	reply, err := c.open(a, offset)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		c.tellAnswer(reply, false)
		return reply.Lose(&statusError{status: reply.Status})
	}
	return c.stream(reply)
}

// abandoned ends a stream whose caller went away: the tokens that were sent
// are billed.
func (c *chatJob) abandoned(cause error) *refusal {
	c.bill(c.sent.Ref, c.sent.Price)
	c.claim.settleUnknown()
	return refuse(statusCallerGone, DeadlinePassed, "the caller went away: "+cause.Error()).withRun(attempt.Unknown)
}

// statusCallerGone is recorded for a caller that went away; nobody is sent it.
const statusCallerGone = 499

// breakOff ends a stream with an error event and without its terminator.
func (c *chatJob) breakOff(out *refusal) *refusal {
	data, err := json.Marshal(out.body(c.id))
	if err == nil {
		_ = c.event(data)
		_ = http.NewResponseController(c.w).Flush()
	}
	return out
}
