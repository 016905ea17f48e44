package front

import (
	"net/http"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

// steps are what the requests of a door do differently between their decision and
// their answer: a chat request or a call of a plain service.
type steps interface {
	// decide chooses a server for the next attempt; a refusal ends the request.
	decide() *refusal
	// try makes an attempt. An error leaves the request unanswered, or its answer
	// broken off.
	try(a *attempt.Attempt) (*refusal, error)
	// resume goes on with an answer that broke off after the caller had a part.
	resume(cause error) *refusal
	// pool is where the attempts go.
	pool() pool
}

// serve makes the attempts of a request that is decided, under a claim if it may
// run once only.
func (j *job) serve(s steps) *refusal {
	if j.once && j.key != "" {
		var out *refusal
		if j.claim, out = j.makeClaim(); j.claim == nil {
			return out
		}
	}
	out := j.run(s)
	j.claim.settleUnless(out)
	return out
}

// run makes attempts until one has answered or no more may be made.
func (j *job) run(s steps) *refusal {
	for {
		a := j.newAttempt()
		out, err := s.try(a)
		if err == nil {
			return out
		}
		j.made = j.made.With(a.Outcome())
		if j.answered {
			return s.resume(err)
		}
		if out := j.again(err, s.pool()); out != nil {
			return out
		}
		if out := j.confined(); out != nil {
			return out.withRun(j.made.Outcome())
		}
		if out := s.decide(); out != nil {
			return out.withRun(j.made.Outcome())
		}
	}
}

// look returns the newest view, and the request's organisation in it.
func (j *job) look() (*route.View, *table.Tenant, *refusal) {
	view := j.front.Control.Snapshot().View
	tenant := view.Table.Tenant(j.tenant.Organisation.Name)
	if tenant == nil {
		return nil, nil, refuse(http.StatusUnauthorized, WrongKey, "the organisation is no longer in the table")
	}
	return view, tenant, nil
}

// follow carries a decision out: it tells where to send the request, has it wait
// for a place and decided again, or refuses it.
func (j *job) follow(d route.Decision, again func() *refusal, send func(route.Send)) *refusal {
	j.steps(d.Steps)
	switch out := d.Outcome.(type) {
	case route.Send:
		send(out)
	case route.Wait:
		if refused := j.waitFor(pool{ref: out.Ref, service: out.Service}); refused != nil {
			return refused
		}
		return again()
	case route.Refuse:
		return fromDecision(out)
	}
	return nil
}
