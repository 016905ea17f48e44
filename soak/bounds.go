package soak

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"ladderridge.example/platform/standin"
)

// The bounds that the users' platform sets, with what a busy machine may add.
const (
	// applyBound is how soon a configuration is in force.
	applyBound = 2*time.Second + machineSlack
	// leaveBound is how soon a server that leaves gets nothing more.
	leaveBound = 2*time.Second + machineSlack
	// heldBound is how long after its route's limit a request has its answer.
	heldBound = 500*time.Millisecond + machineSlack
	// machineSlack is for a machine that runs all daemons, servers and callers
	// at once.
	machineSlack = 500 * time.Millisecond
	// calmBefore is how long a daemon must have been without trouble for the
	// bounds to hold.
	calmBefore = 3 * time.Second
	// exposedPart and exposedExtra bound the requests that a bad version may see:
	// a part of those for its service, and some more.
	exposedPart  = 0.15
	exposedExtra = 30
	// withdrawnBound is how soon a version that was taken back gets nothing more.
	withdrawnBound = 2*time.Second + machineSlack
	// returnedPart is the part of requests that is answered when all is well
	// again.
	returnedPart = 0.9
	// returnedAfter is when that is looked at, from the end of the troubles.
	returnedAfter = 2 * time.Second
)

// CheckBounds looks for broken promises that name a time.
func CheckBounds(s Seen) []Finding {
	c := newChecker(s)
	for _, a := range s.Asks {
		c.inForce(a)
		c.leaving(a)
		c.cutByStop(a)
		c.held(a)
	}
	for _, o := range s.Orders {
		c.exposed(o)
		c.withdrawn(o)
	}
	c.confined()
	c.returned()
	return c.findings
}

// calm reports whether a daemon had no trouble for a while before, and until.
func (c *checker) calm(daemon int, from, to time.Time, but ...Trouble) bool {
	for _, s := range c.seen.Spans {
		if !slices.Contains(but, s.Trouble) && s.touches(daemon, from.Add(-calmBefore), to) {
			return false
		}
	}
	return true
}

// harmless are troubles that leave daemons what they are.
var harmless = []Trouble{AddRoute, RevokeKey, Reload, LeaveServer, OrderGood, OrderBad}

// inForce checks that a calm daemon knows a new route in time.
func (c *checker) inForce(a Ask) {
	at, ok := c.seen.Added[a.Added]
	if ok && a.Sent.Sub(at) > applyBound && a.Reply.Status == http.StatusNotFound && c.calm(a.Daemon, a.Sent, a.Ended, harmless...) {
		c.found("CONFIG", "daemon %d does not know the route of configuration %d, %v after it was written", a.Daemon, a.Added, a.Sent.Sub(at))
	}
}

// leaving checks that a server that leaves gets no new work from calm daemons.
func (c *checker) leaving(a Ask) {
	for _, r := range c.runs[a.ID] {
		at, ok := c.seen.Left[Incarnation{Server: r.Server, Start: r.Start}]
		if ok && r.At.Sub(at) > leaveBound && c.calm(a.Daemon, a.Sent, a.Ended, harmless...) {
			c.found("LEAVING", "daemon %d sent request %s to %s, %v after that had said that it leaves", a.Daemon, a.ID, r.Server, r.At.Sub(at))
		}
	}
}

// cutByStop checks that a planned stop cuts no request that it has sent on.
func (c *checker) cutByStop(a Ask) {
	if a.Reply.Err == nil || errors.Is(a.Reply.Err, os.ErrDeadlineExceeded) || len(c.runs[a.ID]) == 0 {
		return
	}
	stopped := slices.ContainsFunc(c.seen.Spans, func(s Span) bool { return s.Trouble == Terminate && s.touches(a.Daemon, a.Sent, a.Ended) })
	if stopped && c.calm(a.Daemon, a.Sent, a.Ended, append([]Trouble{Terminate}, harmless...)...) {
		c.found("LOST", "request %s ran and was cut by a planned stop of daemon %d: %v", a.ID, a.Daemon, a.Reply.Err)
	}
}

// held checks that a calm daemon gives a request up at its limit.
func (c *checker) held(a Ask) {
	if took := a.Ended.Sub(a.Sent); took > a.Limit+heldBound && c.calm(a.Daemon, a.Sent, a.Ended, harmless...) {
		c.found("HELD", "request %s was held by daemon %d for %v, its route's limit is %v", a.ID, a.Daemon, took, a.Limit)
	}
}

// exposed checks that a version that fails sees few requests.
func (c *checker) exposed(o Order) {
	if !o.Bad {
		return
	}
	all, seen := 0, 0
	for _, a := range c.seen.Asks {
		if a.Service == modelStream && a.Sent.After(o.At) && (o.Settled.IsZero() || a.Sent.Before(o.Settled)) {
			all++
		}
	}
	for _, r := range c.seen.Runs {
		if r.Version == o.Version && r.At.After(o.At) {
			seen++
		}
	}
	if float64(seen) > exposedPart*float64(all)+exposedExtra {
		c.found("EXPOSURE", "the failing version %s saw %d requests while there were %d", o.Version, seen, all)
	}
}

// withdrawn checks that a version that was taken back gets no new work from calm
// daemons.
func (c *checker) withdrawn(o Order) {
	if o.State != standin.RolloutRolledBack {
		return
	}
	for _, a := range c.seen.Asks {
		for _, r := range c.runs[a.ID] {
			if late := a.Sent.Sub(o.Settled); r.Version == o.Version && late > withdrawnBound && c.calm(a.Daemon, a.Sent, a.Ended, harmless...) {
				c.found("WITHDRAWN", "daemon %d sent request %s to version %s, %v after that was taken back", a.Daemon, a.ID, o.Version, late)
			}
		}
	}
}

// returned checks that daemons serve as before when all troubles are over.
func (c *checker) returned() {
	if c.seen.Settled.IsZero() {
		return
	}
	all, good := 0, 0
	for _, a := range c.seen.Asks {
		if _, gone := c.seen.Revoked[a.Key]; gone || a.Kind == standin.Streaming || a.Sent.Sub(c.seen.Settled) < returnedAfter {
			continue
		}
		all++
		if a.Reply.Status == http.StatusOK && a.Reply.Complete {
			good++
		}
	}
	if float64(good) < returnedPart*float64(all) {
		c.found("RETURN", "%d of %d requests were answered after all troubles were over", good, all)
	}
}
