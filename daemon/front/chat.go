package front

import (
	"encoding/json"
	"net/http"
	"time"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/wire"
)

// maxAnswer bounds an answer that is not streamed, in bytes.
const maxAnswer = 64 << 20

// chatJob is a chat request under way.
type chatJob struct {
	*job
	req     wire.ChatRequest
	session session
	prefix  uint64
	// sent is the version that the last attempt went to.
	sent route.Send
	// begun is when the request came.
	begun time.Time
	// above is the quality of the answer that an escalation must exceed.
	above float64
}

// chat answers a chat request.
func (f *Front) chat(j *job) *refusal {
	if out := j.checkHeaders(); out != nil {
		return out
	}
	req, out := j.decodeChat()
	if out != nil {
		return out
	}
	j.rec.Model = req.Model
	c := &chatJob{job: j, req: req, prefix: prefix(req), begun: time.Now()}
	j.once = j.r.Header.Get(wire.HeaderRepeat) == wire.RepeatNo
	if c.session, out = j.findSession(req.Model); out != nil {
		return out
	}
	if out := c.decideFirst(); out != nil {
		return out
	}
	return c.serve(c)
}

// pool is the version that the attempts go to.
func (c *chatJob) pool() pool { return pool{ref: c.sent.Ref} }

// decideFirst decides, and for a session named by its caller agrees on the
// version before anything is sent.
func (c *chatJob) decideFirst() *refusal {
	if out := c.decide(); out != nil {
		return out
	}
	if c.session.agree {
		agreed, out := c.agreeOn(c.session, c.sent.Ref, c.req.Model)
		if out != nil {
			return out
		}
		c.session = agreed
		if agreed.ref != c.sent.Ref {
			return c.decide()
		}
	}
	return nil
}

// decide chooses a version and server for the next attempt.
func (c *chatJob) decide() *refusal {
	view, tenant, out := c.look()
	if out != nil {
		return out
	}
	d := c.front.Tracer.Decide(view, route.Request{
		ID: c.id, Tenant: tenant, Model: c.req.Model, Kind: c.r.Header.Get(wire.HeaderKind), Session: c.session.name, Pin: c.session.ref,
		Prefix: c.prefix, Seed: c.seed(), Avoid: c.avoid, Cascade: c.mayCascade(), Above: c.above,
	}, time.Now())
	c.rec.Generation = view.Generation.Number
	return c.follow(d, c.decide, func(to route.Send) { c.sent = to })
}

// open sends an attempt that asks for the tokens from offset on. An engine that
// says that it failed has not answered.
func (c *chatJob) open(a *attempt.Attempt, offset int) (*backend.Reply, error) {
	body, err := withFields(c.body, field{"model", c.sent.Ref.String()})
	if err != nil {
		return nil, err
	}
	reply, err := c.exchange(c.newExchange(a, body, offset), c.sent.Ref)
	if err != nil {
		return nil, err
	}
	if reply.Status >= http.StatusInternalServerError {
		c.tellAnswer(reply, true)
		return nil, reply.Lose(&statusError{status: reply.Status})
	}
	return reply, nil
}

// try makes one attempt. An error leaves the request unanswered.
func (c *chatJob) try(a *attempt.Attempt) (*refusal, error) {
	reply, err := c.open(a, 0)
	if err != nil {
		return nil, err
	}
	switch {
	case reply.Status >= http.StatusBadRequest:
		return c.engineRefused(reply)
	case c.req.Stream:
		return nil, c.stream(reply)
	}
	return nil, c.whole(reply)
}

func (c *chatJob) newExchange(a *attempt.Attempt, body []byte, offset int) backend.Exchange {
	pinned := c.session.ref != (table.Ref{}) || offset > 0
	return backend.Exchange{
		Attempt: a, Request: c.id, Key: c.key, Server: c.sent.Server, Method: http.MethodPost, Target: wire.PathChat,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Once: c.once, Offset: offset, NeedEcho: true,
		Gate: c.gate(c.sent.Ref, c.sent.Server.ID, pinned),
	}
}

// statusError is an engine's answer that says that it failed.
type statusError struct{ status int }

// Error implements the error interface.
func (e *statusError) Error() string { return "the engine answered " + http.StatusText(e.status) }

// tellAnswer lets the control state know how a version answered.
func (c *chatJob) tellAnswer(reply *backend.Reply, bad bool) {
	c.front.Control.Tell(control.Answered{Server: c.sent.Server.ID, Ref: c.sent.Ref, Bad: bad, InFlight: reply.InFlight})
}

// engineRefused passes on an engine's word that the request itself is wrong.
func (c *chatJob) engineRefused(reply *backend.Reply) (*refusal, error) {
	status := reply.Status
	if _, err := reply.ReadAll(maxAnswer); err != nil {
		return nil, err
	}
	return refuse(status, BadRequest, "the engine finds the request wrong").withRun(attempt.Done), nil
}

// whole passes on an answer that is not streamed.
func (c *chatJob) whole(reply *backend.Reply) error {
	answer, err := c.readAnswer(reply)
	if err != nil {
		return err
	}
	for c.shouldEscalate(answer) {
		better, ok := c.escalate(answer)
		if !ok {
			break
		}
		answer = better
	}
	c.tokens = answer.Usage.CompletionTokens
	out, err := withFields(answer.raw, field{"id", c.id}, field{"model", c.sent.Ref.String()})
	if err != nil {
		return err
	}
	c.bill(c.sent.Ref, c.sent.Price)
	c.claim.settle(http.StatusOK, "application/json", out)
	c.head("application/json", attempt.Done)
	_, _ = c.w.Write(out)
	c.done(http.StatusOK)
	return nil
}

// wholeAnswer is an engine's answer with its body as it came: fields that
// ladderridge does not know are passed on.
type wholeAnswer struct {
	wire.ChatAnswer
	raw []byte
}

// readAnswer reads a whole answer that is not streamed.
func (c *chatJob) readAnswer(reply *backend.Reply) (wholeAnswer, error) {
	var answer wholeAnswer
	data, err := reply.ReadAll(maxAnswer)
	if err != nil {
		c.brokeOff()
		return answer, err
	}
	answer.raw = data
	err = json.Unmarshal(data, &answer.ChatAnswer)
	c.tellAnswer(reply, err != nil)
	return answer, err
}

// head sends the status and the headers of an answer.
func (c *chatJob) head(contentType string, run attempt.Outcome) {
	c.tellSession(c.session, c.sent.Ref)
	c.rec.Version = c.sent.Ref.String()
	h := c.w.Header()
	h.Set("Content-Type", contentType)
	h.Set(wire.HeaderRequest, c.id)
	h.Set(wire.HeaderVersion, c.sent.Ref.String())
	if run == attempt.Done {
		h.Set(wire.HeaderRun, string(run))
	}
	c.w.WriteHeader(http.StatusOK)
	c.answered = true
}
