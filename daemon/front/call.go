package front

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/wire"
)

// callJob is a call of a plain service in progress.
type callJob struct {
	*job
	service string
	// path is the decoded path below the service's prefix. target is the same path
	// in its original escaping, with the query.
	path   string
	target string
	rule   table.CallRule
	server *route.Server
}

// call forwards a call to a plain service.
func (f *Front) call(j *job) *refusal {
	if out := j.checkHeaders(); out != nil {
		return out
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(j.r.URL.Path, wire.PathService), "/")
	c := &callJob{job: j, service: name, path: "/" + path, target: serviceTarget(j.r.URL)}
	j.rec.Service = name
	if out := c.decide(); out != nil {
		return out
	}
	j.atMostOnce = c.rule.Once || j.r.Header.Get(wire.HeaderRepeat) == wire.RepeatNo
	return c.serve(c)
}

// serviceTarget returns the path and query of a URL below the service's prefix,
// in their original escaping.
func serviceTarget(u *url.URL) string {
	_, path, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), wire.PathService), "/")
	if u.RawQuery == "" {
		return "/" + path
	}
	return "/" + path + "?" + u.RawQuery
}

// pool returns the pool of the service's servers.
func (c *callJob) pool() pool { return pool{service: c.service} }

// resume ends a call whose answer was interrupted. Answers of plain services are
// forwarded only once complete, so the caller has received nothing of it.
func (c *callJob) resume(cause error) *refusal { return c.failure(cause) }

// decide chooses a server for the next attempt.
func (c *callJob) decide() *refusal {
	view, tenant, out := c.currentTenant()
	if out != nil {
		return out
	}
	d, rule := route.DecideCall(view, tenant, c.service, c.r.Method, c.path, c.seed(), c.exclude, time.Now())
	c.rule = rule
	return c.applyDecision(d, c.decide, func(to route.Send) { c.server = to.Server })
}

func (c *callJob) try(a *attempt.Attempt) (*refusal, error) {
	reply, err := c.sendAttempt(backend.Exchange{
		Attempt: a, Request: c.id, Key: c.key, Server: c.server, Method: c.r.Method, Target: c.target,
		Header: forwardedHeaders(c.r.Header), Body: c.body, Once: c.atMostOnce,
		BeforeSend: func() error {
			view := c.front.Control.Snapshot().View
			return route.GateCall(view, c.tenant.Organisation.Name, c.service, c.r.Method, c.path, c.server.ID, time.Now())
		},
	}, table.Ref{})
	if err != nil {
		return nil, err
	}
	data, err := reply.ReadAll(maxAnswerBytes)
	if err != nil {
		return nil, err
	}
	c.front.Control.Observe(control.Answered{Server: c.server.ID, InFlight: reply.InFlight})
	c.answer(reply, data)
	return nil, nil
}

// answer bills the call and forwards the service's complete answer.
func (c *callJob) answer(reply *backend.Reply, data []byte) {
	c.bill(table.Ref{Model: c.service}, 0)
	c.claim.settle(reply.Status, reply.Header.Get("Content-Type"), data)
	h := c.w.Header()
	for name, values := range forwardedHeaders(reply.Header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	h.Set(wire.HeaderRequest, c.id)
	h.Set(wire.HeaderRun, string(attempt.Done))
	c.w.WriteHeader(reply.Status)
	_, _ = c.w.Write(data)
	c.answered = true
	c.recordAnswer(reply.Status)
}
