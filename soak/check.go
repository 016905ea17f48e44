package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"ladderridge.example/platform/standin"
)

// Check looks for broken promises that hold at any time, whatever happens.
func Check(s Seen) []Finding {
	c := newChecker(s)
	for _, r := range s.Runs {
		c.run(r)
	}
	for _, a := range s.Asks {
		c.once(a)
		c.refusal(a)
		c.answer(a)
		c.denied(a)
	}
	c.backwards()
	c.heeded()
	c.limited()
	for _, o := range s.Orders {
		if o.Bad && o.State == standin.RolloutCompleted {
			c.found("VERDICT", "version %s fails and was completed", o.Version)
		}
	}
	return c.findings
}

// checker has what was seen by request.
type checker struct {
	seen     Seen
	runs     map[string][]Ran
	asks     map[string]Ask
	findings []Finding
}

func newChecker(s Seen) *checker {
	c := &checker{seen: s, runs: map[string][]Ran{}, asks: map[string]Ask{}}
	for _, r := range s.Runs {
		c.runs[r.Run.ID] = append(c.runs[r.Run.ID], r)
	}
	for _, a := range s.Asks {
		c.asks[a.ID] = a
	}
	return c
}

func (c *checker) found(rule, format string, args ...any) {
	c.findings = append(c.findings, Finding{Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// run checks that a server ran what a caller has sent, for its organisation, at
// the service of its route, and with a key that was not taken away.
func (c *checker) run(r Ran) {
	a, ok := c.asks[r.Run.ID]
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

// once checks that a request that may not be repeated ran at most once.
func (c *checker) once(a Ask) {
	if runs := c.runs[a.ID]; a.Kind == standin.Unsafe && len(runs) > 1 {
		c.found("TWICE", "request %s ran on %s", a.ID, serversOf(runs))
	}
}

// refusal checks that what was called not run has not run.
func (c *checker) refusal(a Ask) {
	if runs := c.runs[a.ID]; a.Reply.NotRun() && len(runs) > 0 {
		c.found("REFUSED", "request %s was refused with %d as not run, and ran on %s", a.ID, a.Reply.Status, serversOf(runs))
	}
}

func serversOf(runs []Ran) string {
	var names []string
	for _, r := range runs {
		names = append(names, r.Server)
	}
	return strings.Join(names, ", ")
}

// answer checks that an answer is that of a server that ran the request, and
// whole if it looks so.
func (c *checker) answer(a Ask) {
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
	want := expected(a)
	switch {
	case a.Reply.Complete && a.Reply.Err != nil:
		c.found("MIXED", "request %s: %v", a.ID, a.Reply.Err)
	case a.Reply.Complete && a.Reply.Body != want:
		c.found("MIXED", "request %s was answered with %q, which looks whole; whole is %q", a.ID, a.Reply.Body, want)
	case !strings.HasPrefix(want, a.Reply.Body):
		c.found("MIXED", "request %s was answered with %q, which does not begin %q", a.ID, a.Reply.Body, want)
	}
}

// expected is the whole answer to a request.
func expected(a Ask) string {
	if a.Kind != standin.Streaming {
		return (&standin.Runner{ID: a.Reply.Server}).Answer(a.ID)
	}
	var b strings.Builder
	for i := 1; i <= streamed; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, a.ID)
	}
	return b.String()
}

// denied checks that what every configuration allows is not called unknown.
func (c *checker) denied(a Ask) {
	if _, gone := c.seen.Revoked[a.Key]; gone || a.Added > 0 {
		return
	}
	switch a.Reply.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.found("DENIED", "request %s was answered with %d by daemon %d, though always allowed", a.ID, a.Reply.Status, a.Daemon)
	}
}

// backwards checks that no process goes back to an earlier configuration.
func (c *checker) backwards() {
	type life struct{ daemon, life int }
	type shown struct {
		number uint64
		at     time.Time
	}
	first := map[life][]shown{}
	for _, a := range c.seen.Asks {
		if a.Added > 0 && a.Reply.Status == http.StatusOK && a.Life == a.LifeAfter {
			key := life{a.Daemon, a.Life}
			first[key] = append(first[key], shown{a.Added, a.Ended})
		}
	}
	for _, a := range c.seen.Asks {
		if a.Added == 0 || a.Reply.Status != http.StatusNotFound || a.Life != a.LifeAfter {
			continue
		}
		for _, s := range first[life{a.Daemon, a.Life}] {
			if s.number >= a.Added && s.at.Before(a.Sent) {
				c.found("BACKWARDS", "daemon %d knew configuration %d, and %v later not the route of %d", a.Daemon, s.number, a.Sent.Sub(s.at), a.Added)
				break
			}
		}
	}
}
