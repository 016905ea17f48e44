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

// ownClaim is the claim that a request holds. The methods of a nil ownClaim, of
// a request that needs no claim, do nothing.
type ownClaim struct {
	store   *claims.Store
	held    *claims.Held
	settled bool
}

// claimClockSkew is added to a claim's deadline before its outcome counts as
// unknown, because the daemons' clocks differ.
const claimClockSkew = 5 * time.Second

// makeClaim claims the caller's key before any byte is sent to a server. It
// returns a nil claim if the request must not run, because it was refused or
// answered from the record of an earlier one.
func (j *job) makeClaim() (*ownClaim, *refusal) {
	key := claims.Key(j.tenant.Organisation.Name, j.key)
	deadline, _ := j.ctx.Deadline()
	own := claim.Record{
		Claimer: j.id, Fingerprint: j.claimFingerprint(), State: claim.Open,
		UntilUnixMS: deadline.Add(claimClockSkew).UnixMilli(),
	}
	held, found, err := j.front.Claims.Make(j.ctx, key, own)
	if err != nil {
		return nil, refuse(http.StatusServiceUnavailable, ClaimUnavailable,
			"a request that may not be repeated needs the platform, which does not answer").withRetryAfter(claimRetryAfter)
	}
	j.claimRead = true
	if held != nil {
		j.addStep(route.Step{Kind: route.StepClaim, Text: "claimed"})
		return &ownClaim{store: j.front.Claims, held: held}, nil
	}
	return nil, j.applyClaimDecision(claim.Decide(found, j.id, own.Fingerprint, time.Now()))
}

// claimRetryAfter is sent as Retry-After when a claim could not be made.
const claimRetryAfter = 2 * time.Second

// claimFingerprint identifies the request's content, to distinguish a repeated
// request from a different one under the same key.
func (j *job) claimFingerprint() string {
	return table.HashKey(j.r.Method + " " + j.r.URL.RequestURI() + "\n" + string(j.body))
}

// applyClaimDecision answers a request whose key has a record already.
func (j *job) applyClaimDecision(d claim.Decision) *refusal {
	switch v := d.(type) {
	case claim.Replay:
		return j.replay(v.Record)
	case claim.InProgress:
		j.addStep(route.Step{Kind: route.StepClaim, Text: "in progress"})
		return refuse(http.StatusConflict, InProgress, "the request with this key runs now").withRun(attempt.Unknown).withRetryAfter(v.RetryAfter)
	case claim.KeyReused:
		return refuse(http.StatusUnprocessableEntity, KeyReused, "this key belongs to a different request: use a new one")
	default:
		j.addStep(route.Step{Kind: route.StepClaim, Text: "outcome unknown"})
		return refuse(http.StatusConflict, OutcomeUnknown, "the request with this key may have run; it will not be run again").withRun(attempt.Unknown)
	}
}

// replay answers with the recorded answer of an earlier request.
func (j *job) replay(r claim.Record) *refusal {
	j.addStep(route.Step{Kind: route.StepClaim, Text: "answered from the record of " + r.Claimer})
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
	j.recordAnswer(r.Status)
	return nil
}

// settle records the answer of a request that has run.
func (c *ownClaim) settle(status int, contentType string, body []byte) {
	if c == nil || c.settled {
		return
	}
	c.settled = true
	c.store.Settle(c.held, c.held.Record.WithAnswer(status, contentType, body))
}

// settleUnknown records that the outcome is unknown.
func (c *ownClaim) settleUnknown() {
	if c == nil || c.settled {
		return
	}
	c.settled = true
	c.store.Settle(c.held, c.held.Record.WithUnknown())
}

// settleUnless settles the claim of a request that ended with a refusal: a
// request that did not run releases its claim, any other has an unknown outcome.
func (c *ownClaim) settleUnless(out *refusal) {
	if c == nil || c.settled || out == nil {
		return
	}
	if out.run == attempt.NotRun {
		c.settled = true
		c.store.Release(c.held)
		return
	}
	c.settleUnknown()
}
