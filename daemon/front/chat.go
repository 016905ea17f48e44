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

// maxAnswerBytes bounds the body of an answer that is not streamed.
const maxAnswerBytes = 64 << 20

// chatJob is a chat request in progress.
type chatJob struct {
	*job
	req        wire.ChatRequest
	session    session
	prefixHash uint64
	// sent is the version and server chosen by the last decision.
	sent route.Send
	// start is when the request arrived.
	start time.Time
	// qualityFloor is the quality that a version must exceed to be chosen for an
	// escalation; zero sets no floor.
	qualityFloor float64
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
	j.setParts(req)
	if out := j.checkQuarantine(); out != nil {
		return out
	}
	c := &chatJob{job: j, req: req, prefixHash: hashPrefix(req), start: time.Now()}
	j.atMostOnce = j.r.Header.Get(wire.HeaderRepeat) == wire.RepeatNo
	if c.session, out = j.findSession(req.Model); out != nil {
		return out
	}
	if out := c.decideFirst(); out != nil {
		return out
	}
	return c.serve(c)
}

// pool returns the pool of the chosen version's servers.
func (c *chatJob) pool() pool { return pool{ref: c.sent.Ref} }

// decideFirst makes the first decision of a request. For a session that the
// caller named, it agrees on the version through the platform before anything is
// sent.
func (c *chatJob) decideFirst() *refusal {
	if out := c.decide(); out != nil {
		return out
	}
	if c.session.needsAgreement {
		agreed, out := c.agreeVersion(c.session, c.sent.Ref, c.req.Model)
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
	view, tenant, out := c.currentTenant()
	if out != nil {
		return out
	}
	d := c.front.Tracer.Decide(view, route.Request{
		ID: c.id, Tenant: tenant, Model: c.req.Model, Kind: c.r.Header.Get(wire.HeaderKind), Session: c.session.name, Pin: c.session.ref,
		Prefix: c.prefixHash, Seed: c.seed(), Avoid: c.exclude, Cascade: c.mayCascade(), Above: c.qualityFloor,
	}, time.Now())
	c.rec.Generation = view.Generation.Number
	return c.applyDecision(d, c.decide, func(to route.Send) { c.sent = to })
}

// open sends an attempt that requests the tokens from offset on. An answer with
// a 5xx status is returned as an error.
func (c *chatJob) open(a *attempt.Attempt, offset int) (*backend.Reply, error) {
	body, err := withFields(c.body, field{"model", c.sent.Ref.String()})
	if err != nil {
		return nil, err
	}
	reply, err := c.sendAttempt(c.newExchange(a, body, offset), c.sent.Ref)
	if err != nil {
		return nil, err
	}
	if reply.Status >= http.StatusInternalServerError {
		c.reportAnswer(reply, true)
		return nil, reply.Lose(&statusError{status: reply.Status})
	}
	return reply, nil
}

// try makes one attempt. After an error the request has no answer, or a stream
// an incomplete one.
func (c *chatJob) try(a *attempt.Attempt) (*refusal, error) {
	reply, err := c.open(a, 0)
	if err != nil {
		return nil, err
	}
	switch {
	case reply.Status >= http.StatusBadRequest:
		return c.forwardRefusal(reply)
	case c.req.Stream:
		return nil, c.stream(reply)
	}
	return nil, c.sendAnswer(reply)
}

func (c *chatJob) newExchange(a *attempt.Attempt, body []byte, offset int) backend.Exchange {
	pinned := c.session.ref != (table.Ref{}) || c.tokens > 0
	return backend.Exchange{
		Attempt: a, Request: c.id, Key: c.key, Server: c.sent.Server, Method: http.MethodPost, Target: wire.PathChat,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Once: c.atMostOnce, Offset: offset, NeedEcho: true,
		BeforeSend: c.gate(c.sent.Ref, c.sent.Server.ID, pinned),
	}
}

// statusError is the status of an engine that reported a failure.
type statusError struct{ status int }

// Error implements the error interface.
func (e *statusError) Error() string { return "the engine answered " + http.StatusText(e.status) }

// reportAnswer reports to the control state how a version answered.
func (c *chatJob) reportAnswer(reply *backend.Reply, bad bool) {
	c.front.Control.Observe(control.Answered{Server: c.sent.Server.ID, Ref: c.sent.Ref, Bad: bad, InFlight: reply.InFlight})
}

// forwardRefusal refuses a request that the engine rejected as invalid, with the
// engine's status.
func (c *chatJob) forwardRefusal(reply *backend.Reply) (*refusal, error) {
	status := reply.Status
	if _, err := reply.ReadAll(maxAnswerBytes); err != nil {
		return nil, err
	}
	return refuse(status, BadRequest, "the engine finds the request wrong").withRun(attempt.Done), nil
}

// sendAnswer sends an answer that is not streamed, after escalations.
func (c *chatJob) sendAnswer(reply *backend.Reply) error {
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
	c.sendHead("application/json", attempt.Done)
	_, _ = c.w.Write(out)
	c.recordAnswer(http.StatusOK)
	return nil
}

// engineAnswer is an engine's answer with its original body, so that fields that
// ladderridge does not know are passed on.
type engineAnswer struct {
	wire.ChatAnswer
	raw []byte
}

// readAnswer reads the body of an answer that is not streamed.
func (c *chatJob) readAnswer(reply *backend.Reply) (engineAnswer, error) {
	var answer engineAnswer
	data, err := reply.ReadAll(maxAnswerBytes)
	if err != nil {
		c.reportInterrupted()
		return answer, err
	}
	answer.raw = data
	err = json.Unmarshal(data, &answer.ChatAnswer)
	c.reportAnswer(reply, err != nil)
	return answer, err
}

// sendHead sends the status and the headers of an answer.
func (c *chatJob) sendHead(contentType string, outcome attempt.Outcome) {
	c.setSessionHeaders(c.session, c.sent.Ref)
	c.rec.Version = c.sent.Ref.String()
	h := c.w.Header()
	h.Set("Content-Type", contentType)
	h.Set(wire.HeaderRequest, c.id)
	h.Set(wire.HeaderVersion, c.sent.Ref.String())
	if outcome == attempt.Done {
		h.Set(wire.HeaderRun, string(outcome))
	}
	c.w.WriteHeader(http.StatusOK)
	c.answered = true
}
