package route

import (
	"time"

	"ladderridge.example/core/table"
)

// Gate is the last check before a request is sent to a backend server. It
// checks against the newest view what must hold for every send: a first
// attempt, a retry, an escalation or a resumed stream. pinned is set for a
// session that is already on ref. The request may be sent if the error is nil.
func Gate(v *View, organisation string, ref table.Ref, serverID string, pinned bool, now time.Time) error {
	const op = "gate"
	tenant := v.Table.Tenant(organisation)
	if tenant == nil {
		return refused(op, ModelNotAllowed, "organisation %s is no longer in the table", organisation)
	}
	c, ok := tenant.Candidate(ref)
	switch {
	case !ok:
		return refused(op, ModelNotAllowed, "%s may no longer use %s", organisation, ref)
	case c.Status == table.Withdrawn:
		return refused(op, VersionWithdrawn, "%s has been withdrawn", ref)
	case c.Status == table.Retiring && !pinned:
		return refused(op, VersionWithdrawn, "%s takes no new sessions", ref)
	case v.stale(c, now):
		return refused(op, StaleConfig, "the table is %v old", v.Age(now))
	}
	return gateServer(op, v.Engines[ref], serverID, now)
}

// GateCall is Gate for the call of a plain service.
func GateCall(v *View, organisation, service, method, path, serverID string, now time.Time) error {
	const op = "gate call"
	tenant := v.Table.Tenant(organisation)
	if tenant == nil {
		return refused(op, CallNotAllowed, "organisation %s is no longer in the table", organisation)
	}
	if _, ok := tenant.CallRule(service, method, path); !ok {
		return refused(op, CallNotAllowed, "%s may no longer call %s%s", organisation, service, path)
	}
	if v.unconfirmed(now) {
		return refused(op, StaleConfig, "this daemon was paused and has to confirm its table first")
	}
	return gateServer(op, v.Services[service], serverID, now)
}

func gateServer(op string, servers []*Server, id string, now time.Time) error {
	for _, s := range servers {
		if s.ID != id {
			continue
		}
		switch k := s.State.Notices.State(); {
		case s.Leaving || k.Leaving():
			return refused(op, ServerLeaving, "server %s is leaving", id)
		case k.InBackoff(now):
			return refused(op, NoCapacity, "server %s wants rest", id)
		}
		return nil
	}
	return refused(op, ServerLeaving, "server %s is gone or no longer has the version loaded", id)
}
