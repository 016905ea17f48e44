package front

import (
	"net/http"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

// requestType is what differs between the types of requests, chat requests and
// calls of plain services, from the choice of a server to the answer.
type requestType interface {
	// decide chooses a server for the next attempt; a refusal ends the request.
	decide() *refusal
	// try makes one attempt. After an error the request has no answer, or an
	// incomplete one.
	try(a *attempt.Attempt) (*refusal, error)
	// resume continues an answer that was interrupted after part of it was sent to
	// the caller.
	resume(cause error) *refusal
	// pool returns the pool of servers that the attempts go to.
	pool() pool
}

// serve makes the attempts of a request whose server has been chosen. A request
// that must run at most once and carries a key claims that key first.
func (j *job) serve(s requestType) *refusal {
	if j.atMostOnce && j.key != "" {
		var out *refusal
		if j.claim, out = j.makeClaim(); j.claim == nil {
			return out
		}
	}
	out := j.run(s)
	j.claim.settleUnless(out)
	return out
}

// run makes attempts until one is answered or no further attempt is allowed.
func (j *job) run(s requestType) *refusal {
	for {
		a := j.newAttempt()
		out, err := s.try(a)
		if err == nil {
			return out
		}
		j.history = j.history.With(a.Outcome())
		if j.answered {
			return s.resume(err)
		}
		if out := j.prepareRetry(err, s.pool()); out != nil {
			return out
		}
		if out := j.checkQuarantine(); out != nil {
			return out.withRun(j.history.Outcome())
		}
		if out := s.decide(); out != nil {
			return out.withRun(j.history.Outcome())
		}
	}
}

// currentTenant returns the newest view, and the request's organisation in it.
func (j *job) currentTenant() (*route.View, *table.Tenant, *refusal) {
	view := j.front.Control.Snapshot().View
	tenant := view.Table.Tenant(j.tenant.Organisation.Name)
	if tenant == nil {
		return nil, nil, refuse(http.StatusUnauthorized, UnknownKey, "the organisation is no longer in the table")
	}
	return view, tenant, nil
}

// applyDecision carries out a decision: it passes the chosen server to send, or
// queues the request and then decides again, or refuses it.
func (j *job) applyDecision(d route.Decision, decideAgain func() *refusal, send func(route.Send)) *refusal {
	j.addSteps(d.Steps)
	switch out := d.Outcome.(type) {
	case route.Send:
		send(out)
	case route.Wait:
		if refused := j.waitForSlot(pool{ref: out.Ref, service: out.Service}); refused != nil {
			return refused
		}
		return decideAgain()
	case route.Refuse:
		return decisionRefusal(out)
	}
	return nil
}
