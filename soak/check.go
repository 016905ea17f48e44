package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"ladderridge.example/platform/standin"
)

// Check checks the guarantees that hold at any time, during faults as well, and returns the
// violations.
func Check(s Observations) []Finding {
	c := newChecker(s)
	for _, r := range s.Runs {
		c.run(r)
	}
	for _, a := range s.Requests {
		c.ranOnce(a)
		c.refusal(a)
		c.answer(a)
		c.denied(a)
	}
	c.backwards()
	c.announcementsRespected()
	c.limitsRespected()
	for _, o := range s.Rollouts {
		if o.Bad && o.State == standin.RolloutCompleted {
			c.found("VERDICT", "version %s fails and was completed", o.Version)
		}
	}
	return c.findings
}

// checker holds the observations, indexed by request.
type checker struct {
	seen     Observations
	runs     map[string][]Execution
	requests map[string]Request
	findings []Finding
}

func newChecker(s Observations) *checker {
	c := &checker{seen: s, runs: map[string][]Execution{}, requests: map[string]Request{}}
	for _, r := range s.Runs {
		c.runs[r.Run.ID] = append(c.runs[r.Run.ID], r)
	}
	for _, a := range s.Requests {
		c.requests[a.ID] = a
	}
	return c
}

func (c *checker) found(rule, format string, args ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// run checks that a server ran a request as the caller sent it, for the caller's organisation,
// on the service of its route and with a key that was not revoked.
func (c *checker) run(r Execution) {
	a, ok := c.requests[r.Run.ID]
	if !ok {
		c.found("UNASKED", "%s ran request %q, which nobody has sent", r.Server, r.Run.ID)
		return
	}
	if r.Run.Method != a.Method || r.Run.Target != a.Target || r.Run.Body != a.Body {
		c.found("UNASKED", "%s ran request %s as %s %s %q, sent was %s %s %q", r.Server, a.ID, r.Run.Method, r.Run.Target, r.Run.Body, a.Method, a.Target, a.Body)
	}
	if r.Run.Tenant != organisation || r.Run.Key != "" {
		c.found("UNASKED", "%s ran request %s for organisation %q with key %q", r.Server, a.ID, r.Run.Tenant, r.Run.Key)
	}
	if r.Service != a.Service {
		c.found("ROUTE", "%s of service %s ran request %s, which is for %s", r.Server, r.Service, a.ID, a.Service)
	}
	if at, gone := c.seen.Revoked[a.Key]; gone && a.Sent.Sub(at) > keyAge {
		c.found("KEY", "%s ran request %s, sent %v after its key was taken away", r.Server, a.ID, a.Sent.Sub(at))
	}
}

// ranOnce checks that an unsafe request ran at most once.
func (c *checker) ranOnce(a Request) {
	if runs := c.runs[a.ID]; a.Kind == standin.Unsafe && len(runs) > 1 {
		c.found("TWICE", "request %s ran on %s", a.ID, serversOf(runs))
	}
}

// refusal checks that a request reported as not run has not run.
func (c *checker) refusal(a Request) {
	if runs := c.runs[a.ID]; a.Reply.NotRun() && len(runs) > 0 {
		c.found("REFUSED", "request %s was refused with %d as not run, and ran on %s", a.ID, a.Reply.Status, serversOf(runs))
	}
}

func serversOf(runs []Execution) string {
	var names []string
	for _, r := range runs {
		names = append(names, r.Server)
	}
	return strings.Join(names, ", ")
}

// answer checks that an answer comes from a server that ran the request, and that an answer
// which appears complete is complete.
func (c *checker) answer(a Request) {
	if a.Reply.Status != http.StatusOK {
		return
	}
	ran := false
	for _, r := range c.runs[a.ID] {
		ran = ran || r.Server == a.Reply.Server
	}
	if !ran {
		c.found("MIXED", "request %s was answered by %q, which has not run it", a.ID, a.Reply.Server)
	}
	if a.Kind == standin.Streaming && strings.Contains(a.Reply.Body, standin.EndlessData) {
		// A faulty server's events in the right form cannot be told from those of an answer, until they are too many.
		if a.Reply.Complete {
			c.found("MIXED", "request %s was answered with events without end, which looks whole", a.ID)
		}
		return
	}
	want, got := expected(a), withoutComments(a.Reply.Body)
	switch {
	case a.Reply.Complete && a.Reply.Err != nil:
		c.found("MIXED", "request %s: %v", a.ID, a.Reply.Err)
	case a.Reply.Complete && got != want:
		c.found("MIXED", "request %s was answered with %.200q, which looks whole; whole is %q", a.ID, got, want)
	case !strings.HasPrefix(want, got):
		c.found("MIXED", "request %s was answered with %.200q, which does not begin %q", a.ID, got, want)
	}
}

// withoutComments returns an event stream without its comments, which are no part of an answer.
func withoutComments(body string) string {
	if !strings.Contains(body, "\n\n:") && !strings.HasPrefix(body, ":") {
		return body
	}
	var b strings.Builder
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if !strings.HasPrefix(event, ":") {
			b.WriteString(event)
		}
	}
	return b.String()
}

// expected returns the complete answer to a request.
func expected(a Request) string {
	if a.Kind != standin.Streaming {
		return (&standin.Runner{ID: a.Reply.Server}).Answer(a.ID)
	}
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, a.ID)
	}
	return b.String()
}

// denied checks that a request which every configuration allows is not rejected as
// unauthorised, forbidden or not found.
func (c *checker) denied(a Request) {
	if _, gone := c.seen.Revoked[a.Key]; gone || a.Added > 0 {
		return
	}
	switch a.Reply.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.found("DENIED", "request %s was answered with %d by daemon %d, though always allowed", a.ID, a.Reply.Status, a.Daemon)
	}
}

// backwards checks that no process reverts to an earlier configuration.
func (c *checker) backwards() {
	type life struct{ daemon, life int }
	type shown struct {
		number uint64
		at     time.Time
	}
	first := map[life][]shown{}
	for _, a := range c.seen.Requests {
		if a.Added > 0 && a.Reply.Status == http.StatusOK && a.Process == a.ProcessAfter {
			key := life{a.Daemon, a.Process}
			first[key] = append(first[key], shown{a.Added, a.Ended})
		}
	}
	for _, a := range c.seen.Requests {
		if a.Added == 0 || a.Reply.Status != http.StatusNotFound || a.Process != a.ProcessAfter {
			continue
		}
		for _, s := range first[life{a.Daemon, a.Process}] {
			if s.number >= a.Added && s.at.Before(a.Sent) {
				c.found("BACKWARDS", "daemon %d knew configuration %d, and %v later not the route of %d", a.Daemon, s.number, a.Sent.Sub(s.at), a.Added)
				break
			}
		}
	}
}
