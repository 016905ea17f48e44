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

// engineChunk is what is read of an event from an engine. Only a chunk with an index can be placed in
// the answer.
type engineChunk struct {
	Index *int            `json:"ladderridge_index"`
	Usage json.RawMessage `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// stream forwards the events of an answer. c.tokens is the index of the next token
// to send to the caller.
func (c *chatJob) stream(reply *backend.Reply) error {
	events := backend.NewStream(reply.Body)
	flush := http.NewResponseController(c.w)
	var usage []byte
	// next is the index behind the last token that this engine sent; 0 is none.
	next := 0
	for {
		data, last, err := events.Next()
		if err != nil {
			c.reportInterrupted()
			return reply.Lose(err)
		}
		if last && next < c.tokens {
			// An engine that sends no token may not know those that the caller has.
			c.endUnconfirmed = next == 0
			c.reportInterrupted()
			return reply.Lose(merry.Errorf("the stream ended after %d tokens; the caller has %d", next, c.tokens))
		}
		if last {
			return c.endStream(reply, usage)
		}
		index, isUsage, err := c.place(data)
		if err != nil {
			c.reportInterrupted()
			return reply.Lose(err)
		}
		if isUsage {
			usage = append([]byte(nil), data...)
			continue
		}
		next = index + 1
		if next <= c.tokens {
			continue
		}
		if !c.answered {
			c.sendHead("text/event-stream", attempt.Unknown)
		}
		if err := c.sendEvent(data); err != nil {
			return reply.Lose(&clientGone{cause: err})
		}
		c.tokens++
		_ = flush.Flush()
	}
}

// place returns the index of an event's token in the answer, or that it has the token counts. An event that
// is no part of the rest of the answer is an error.
func (c *chatJob) place(data []byte) (index int, isUsage bool, err error) {
	var chunk engineChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return 0, false, merry.Wrap(err)
	}
	switch {
	case isSet(chunk.Error):
		return 0, false, merry.New("the stream has an error event")
	case isSet(chunk.Usage):
		return 0, true, nil
	case chunk.Index == nil || *chunk.Index > c.tokens:
		return 0, false, merry.Errorf("event %.80s came where token %d was due", data, c.tokens)
	}
	return *chunk.Index, false, nil
}

// isSet reports whether a JSON field is there and not null.
func isSet(field json.RawMessage) bool { return len(field) > 0 && string(field) != "null" }

// reportInterrupted reports an interrupted answer to the control state and probes
// the server, unless the caller or the deadline ended the request.
func (c *chatJob) reportInterrupted() {
	if c.ctx.Err() == nil {
		c.front.Control.Observe(control.Failed{Server: c.sent.Server.ID, Ref: c.sent.Ref})
		c.front.probe(instanceOf(c.sent.Server))
	}
}

// clientGone is the error of a write to a caller that has disconnected.
type clientGone struct{ cause error }

// Error implements the error interface.
func (e *clientGone) Error() string { return "the caller is gone: " + e.cause.Error() }

func (c *chatJob) sendEvent(data []byte) error {
	_, err := fmt.Fprintf(c.w, "data: %s\n\n", data)
	return err
}

// endStream bills the request and then sends the terminator, which only a complete
// answer has.
func (c *chatJob) endStream(reply *backend.Reply, usage []byte) error {
	if err := reply.Finish(); err != nil {
		return err
	}
	c.reportAnswer(reply, false)
	if !c.answered {
		c.sendHead("text/event-stream", attempt.Unknown)
	}
	c.bill(c.sent.Ref, c.sent.Price)
	c.claim.settle(http.StatusOK, "text/event-stream", nil)
	if usage != nil {
		c.sendUsage(usage)
	}
	_ = c.sendEvent([]byte(wire.Terminator))
	c.recordAnswer(http.StatusOK)
	return nil
}

// sendUsage sends the event with the token counts. Client libraries expect it to
// have the same fields as the other events.
func (c *chatJob) sendUsage(usage []byte) {
	named, err := withFields(usage, field{"id", c.id}, field{"object", wire.ObjectChunk}, field{"model", c.sent.Ref.String()})
	if err != nil {
		c.front.Log.Warn().Str("request", c.id).Err(err).Msg("front: cannot set the id, object and model of the usage event; sending it unchanged")
		named = usage
	}
	_ = c.sendEvent(named)
}

// resume continues an interrupted stream on the same version from the next token,
// or ends it with an error event.
func (c *chatJob) resume(cause error) *refusal {
	ref := c.sent.Ref
	for {
		var gone *clientGone
		if errors.As(cause, &gone) || c.r.Context().Err() != nil {
			return c.endAbandoned(cause)
		}
		if !c.mayRetry() {
			return c.endWithError(c.failure(cause))
		}
		if out := c.checkQuarantine(); out != nil {
			return c.endWithError(out.withRun(attempt.Unknown))
		}
		c.addStep(route.Step{Kind: route.StepResume, Model: ref.Model, Version: ref.Version, Value: float64(c.tokens), Text: cause.Error()})
		if out := c.decideOn(ref); out != nil {
			return c.endWithError(out.withRun(attempt.Unknown))
		}
		a := c.newAttempt()
		if cause = c.tryFromToken(a, c.resumeFrom()); cause == nil {
			return nil
		}
		c.history = c.history.With(a.Outcome())
	}
}

// resumeFrom returns the index of the first token that the next engine is to send. To confirm an end it sends the last
// token again, which it can only do if it knows it.
func (c *chatJob) resumeFrom() int {
	if c.endUnconfirmed {
		return c.tokens - 1
	}
	return c.tokens
}

// decideOn chooses another server of the same version.
func (c *chatJob) decideOn(ref table.Ref) *refusal {
	pinned := c.session.ref
	c.session.ref = ref
	out := c.decide()
	c.session.ref = pinned
	return out
}

func (c *chatJob) tryFromToken(a *attempt.Attempt, offset int) error {
	reply, err := c.open(a, offset)
	if err != nil {
		return err
	}
	if reply.Status != http.StatusOK {
		c.reportAnswer(reply, false)
		return reply.Lose(&statusError{status: reply.Status})
	}
	return c.stream(reply)
}

// endAbandoned ends a stream whose caller has disconnected. The tokens that were
// sent are billed.
func (c *chatJob) endAbandoned(cause error) *refusal {
	c.bill(c.sent.Ref, c.sent.Price)
	c.claim.settleUnknown()
	return refuse(statusClientGone, DeadlinePassed, "the caller went away: "+cause.Error()).withRun(attempt.Unknown)
}

// statusClientGone is recorded for a caller that disconnected; it is never sent.
const statusClientGone = 499

// endWithError ends a stream with an error event and without its terminator. The body gets no end
// either (see Front.handle).
func (c *chatJob) endWithError(out *refusal) *refusal {
	data, err := json.Marshal(out.body(c.id))
	if err == nil {
		_ = c.sendEvent(data)
		_ = http.NewResponseController(c.w).Flush()
	}
	return out
}
