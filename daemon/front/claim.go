package front

import (
	"net/http"
	"time"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/claim"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/claims"
	"ladderridge.example/daemon/wire"
)

// claimed is a request's own claim. The nil one belongs to a request that
// needs none, and does nothing.
type claimed struct {
	store *claims.Store
	held  *claims.Held
	ended bool
}

// claimSlack is added to a claim's deadline before its outcome counts as
// unknown, for clocks that differ.
const claimSlack = 5 * time.Second

// makeClaim claims the caller's key before any byte goes out. It returns nil
// if the request must not run: it was refused, or answered from the record.
func (j *job) makeClaim() (*claimed, *refusal) {
	key := claims.Key(j.tenant.Organisation.Name, j.key)
	deadline, _ := j.ctx.Deadline()
	own := claim.Record{
		Claimer: j.id, Fingerprint: j.print(), State: claim.Open,
		UntilUnixMS: deadline.Add(claimSlack).UnixMilli(),
	}
	held, found, err := j.front.Claims.Make(j.ctx, key, own)
	if err != nil {
		return nil, refuse(http.StatusServiceUnavailable, ClaimUnavailable,
			"a request that may not be repeated needs the platform, which does not answer").withRetry(claimRetry)
	}
	j.keyRead = true
	if held != nil {
		j.step(route.Step{Kind: route.StepClaim, Text: "claimed"})
		return &claimed{store: j.front.Claims, held: held}, nil
	}
	return nil, j.judged(claim.Decide(found, j.id, own.Fingerprint, time.Now()))
}

// claimRetry is when to come back for a claim that could not be made.
const claimRetry = 2 * time.Second

// print tells a repeated request from another one under the same key.
func (j *job) print() string {
	return table.HashKey(j.r.Method + " " + j.r.URL.RequestURI() + "\n" + string(j.body))
}

// judged answers a request that found a record of another one.
func (j *job) judged(v claim.Decision) *refusal {
	switch v := v.(type) {
	case claim.Replay:
		return j.replay(v.Record)
	case claim.InProgress:
		j.step(route.Step{Kind: route.StepClaim, Text: "in progress"})
		return refuse(http.StatusConflict, InProgress, "the request with this key runs now").withRun(attempt.Unknown).withRetry(v.RetryAfter)
	case claim.KeyReused:
		return refuse(http.StatusUnprocessableEntity, KeyReused, "this key belongs to a different request: use a new one")
	default:
		j.step(route.Step{Kind: route.StepClaim, Text: "outcome unknown"})
		return refuse(http.StatusConflict, OutcomeUnknown, "the request with this key may have run; it will not be run again").withRun(attempt.Unknown)
	}
}

// replay answers with the recorded outcome.
func (j *job) replay(r claim.Record) *refusal {
	j.step(route.Step{Kind: route.StepClaim, Text: "answered from the record of " + r.Claimer})
	if r.Truncated || len(r.Body) == 0 {
		return refuse(http.StatusConflict, AnswerNotRecorded, "the request with this key has run; its answer was not recorded").withRun(attempt.Done)
	}
	h := j.w.Header()
	h.Set("Content-Type", r.ContentType)
	h.Set(wire.HeaderRequest, j.id)
	h.Set(wire.HeaderRun, string(attempt.Done))
	h.Set(wire.HeaderReplayed, r.Claimer)
	j.w.WriteHeader(r.Status)
	_, _ = j.w.Write(r.Body)
	j.answered = true
	j.done(r.Status)
	return nil
}

// settle records the answer of a request that has run.
func (c *claimed) settle(status int, contentType string, body []byte) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	c.store.Settle(c.held, c.held.Record.WithAnswer(status, contentType, body))
}

// settleUnknown records that nobody knows the outcome.
func (c *claimed) settleUnknown() {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	c.store.Settle(c.held, c.held.Record.WithUnknown())
}

// settleUnless ends the claim of a request that ended with a refusal.
func (c *claimed) settleUnless(out *refusal) {
	if c == nil || c.ended || out == nil {
		return
	}
	if out.run == attempt.NotRun {
		c.ended = true
		c.store.Release(c.held)
		return
	}
	c.settleUnknown()
}
