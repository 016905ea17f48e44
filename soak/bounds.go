package soak

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"ladderridge.example/platform/standin"
)

// The time bounds of the users' platform, each with machineSlack added.
const (
	// applyBound is how long a new configuration may take to apply.
	applyBound = 2*time.Second + machineSlack
	// leaveBound is how long a draining server may still receive new requests.
	leaveBound = 2*time.Second + machineSlack
	// answerBound is how long after its route's limit a request must be answered.
	answerBound = 500*time.Millisecond + machineSlack
	// machineSlack allows for scheduling delays on a machine that runs all daemons, servers and
	// callers at once.
	machineSlack = 500 * time.Millisecond
	// quietPeriod is how long a daemon must have been free of faults for the bounds to apply.
	quietPeriod = 3 * time.Second
	// exposureFraction and exposureExtra bound the requests that a faulty version may receive:
	// a fraction of all requests to its service, plus a constant.
	exposureFraction = 0.15
	exposureExtra    = 30
	// rollbackBound is how long a rolled-back version may still receive new requests.
	rollbackBound = 2*time.Second + machineSlack
	// recoveredFraction is the fraction of requests that must be answered once all faults are
	// over.
	recoveredFraction = 0.9
	// recoveryTime is how long after the end of the faults this check begins.
	recoveryTime = 2 * time.Second
)

// CheckBounds checks the guarantees with a time bound and returns the violations.
func CheckBounds(s Observations) []Finding {
	c := newChecker(s)
	for _, a := range s.Requests {
		c.configApplied(a)
		c.leaving(a)
		c.cutByStop(a)
		c.answeredInTime(a)
	}
	for _, o := range s.Rollouts {
		c.exposure(o)
		c.rolledBack(o)
	}
	for _, cut := range c.seen.Cuts {
		c.servedWhileCut(cut)
	}
	for _, s := range c.seen.Skews {
		c.servedWhileSkewed(s)
	}
	for _, t := range c.seen.Brittle {
		if float64(t.Falls) > fallSlack+fallFraction*float64(t.Servers) {
			c.found("LIMIT", "the %d servers of %s fell over %d times in %v in which they said that they bear to refuse %d requests a second", t.Servers, t.Service, t.Falls, t.To.Sub(t.From), t.Bears)
		}
	}
	c.quarantined()
	c.recovered()
	return c.findings
}

// undisturbed reports whether a daemon had no fault from quietPeriod before from until to,
// other than the kinds in but.
func (c *checker) undisturbed(daemon int, from, to time.Time, but ...FaultKind) bool {
	for _, s := range c.seen.Spans {
		if !slices.Contains(but, s.Kind) && s.overlaps(daemon, from.Add(-quietPeriod), to) {
			return false
		}
	}
	return true
}

// harmless lists the kinds of faults that don't affect the daemons themselves.
var harmless = []FaultKind{AddRoute, RevokeKey, Reload, LeaveServer, OrderGood, OrderBad}

// configApplied checks that an undisturbed daemon applies a new route in time.
func (c *checker) configApplied(a Request) {
	at, ok := c.seen.Added[a.Added]
	if ok && a.Sent.Sub(at) > applyBound && a.Reply.Status == http.StatusNotFound && c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
		c.found("CONFIG", "daemon %d does not know the route of configuration %d, %v after it was written", a.Daemon, a.Added, a.Sent.Sub(at))
	}
}

// leaving checks that undisturbed daemons send no new requests to a draining server.
func (c *checker) leaving(a Request) {
	for _, r := range c.runs[a.ID] {
		at, ok := c.seen.Left[Incarnation{Server: r.Server, Start: r.Start}]
		if ok && r.At.Sub(at) > leaveBound && c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
			c.found("LEAVING", "daemon %d sent request %s to %s, %v after that had said that it leaves", a.Daemon, a.ID, r.Server, r.At.Sub(at))
		}
	}
}

// crashed reports whether a server crashed while it ran a request.
func (c *checker) crashed(a Request) bool {
	return slices.ContainsFunc(c.runs[a.ID], func(r Execution) bool {
		at, ok := c.seen.Crashed[Incarnation{Server: r.Server, Start: r.Start}]
		return ok && !at.Before(r.At) && !at.After(a.Ended)
	})
}

// cutByStop checks that the graceful stop of a daemon interrupts no request that has reached a
// server, unless that has crashed.
func (c *checker) cutByStop(a Request) {
	if a.Reply.Err == nil || errors.Is(a.Reply.Err, os.ErrDeadlineExceeded) || len(c.runs[a.ID]) == 0 || c.crashed(a) {
		return
	}
	stopped := slices.ContainsFunc(c.seen.Spans, func(s FaultSpan) bool { return s.Kind == Terminate && s.overlaps(a.Daemon, a.Sent, a.Ended) })
	if stopped && c.undisturbed(a.Daemon, a.Sent, a.Ended, append([]FaultKind{Terminate}, harmless...)...) {
		c.found("LOST", "request %s ran and was cut by a planned stop of daemon %d: %v", a.ID, a.Daemon, a.Reply.Err)
	}
}

// answeredInTime checks that an undisturbed daemon ends a request at its route's limit.
func (c *checker) answeredInTime(a Request) {
	if took := a.Ended.Sub(a.Sent); took > a.Limit+answerBound && c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
		c.found("HELD", "request %s was held by daemon %d for %v, its route's limit is %v", a.ID, a.Daemon, took, a.Limit)
	}
}

// exposure checks that a faulty version receives few requests.
func (c *checker) exposure(o Rollout) {
	if !o.Bad {
		return
	}
	all, seen := 0, 0
	for _, a := range c.seen.Requests {
		if a.Service == modelStream && a.Sent.After(o.At) && (o.Settled.IsZero() || a.Sent.Before(o.Settled)) {
			all++
		}
	}
	for _, r := range c.seen.Runs {
		if r.Version == o.Version && r.At.After(o.At) {
			seen++
		}
	}
	if float64(seen) > exposureFraction*float64(all)+exposureExtra {
		c.found("EXPOSURE", "the failing version %s saw %d requests while there were %d", o.Version, seen, all)
	}
}

// rolledBack checks that undisturbed daemons send no new requests to a rolled-back version.
func (c *checker) rolledBack(o Rollout) {
	if o.State != standin.RolloutRolledBack {
		return
	}
	for _, a := range c.seen.Requests {
		for _, r := range c.runs[a.ID] {
			if late := a.Sent.Sub(o.Settled); r.Version == o.Version && late > rollbackBound && c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
				c.found("WITHDRAWN", "daemon %d sent request %s to version %s, %v after that was taken back", a.Daemon, a.ID, o.Version, late)
			}
		}
	}
}

// recovered checks that daemons serve requests as before once all faults are over.
func (c *checker) recovered() {
	if c.seen.Settled.IsZero() {
		return
	}
	all, good := 0, 0
	for _, a := range c.seen.Requests {
		if _, gone := c.seen.Revoked[a.Key]; gone || a.Kind == standin.Streaming || a.Sent.Sub(c.seen.Settled) < recoveryTime {
			continue
		}
		all++
		if a.Reply.Status == http.StatusOK && a.Reply.Complete {
			good++
		}
	}
	if float64(good) < recoveredFraction*float64(all) {
		c.found("RETURN", "%d of %d requests were answered after all troubles were over", good, all)
	}
}
