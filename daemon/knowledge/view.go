package knowledge

import (
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/routemap"
)

// View is what a daemon knows at a moment. It is never changed; traffic takes
// the newest one for each decision.
type View struct {
	// Map is nil until a configuration is known.
	Map     *routemap.Map
	Servers *fleet.List
	// ConfigAt and ServersAt are the latest times at which the store, or a
	// daemon that had asked it, confirmed the configuration and the servers.
	ConfigAt  time.Time
	ServersAt time.Time
	// Daemons is how many daemons there are, this one included.
	Daemons int

	rollouts  map[string]canary.Rollout
	withdrawn map[string]bool
	// firstSeen is when a version of a service was first listed.
	firstSeen map[string]time.Time
	sessions  *sessions
}

// ConfigAge is how old the knowledge of the configuration is.
func (v *View) ConfigAge(now time.Time) time.Duration { return now.Sub(v.ConfigAt) }

// Ready reports whether requests can be decided at all.
func (v *View) Ready() bool { return v.Map != nil && v.Servers != nil }

// Rollout returns the order that is in force for a service.
func (v *View) Rollout(service string) (canary.Rollout, bool) {
	r, ok := v.rollouts[service]
	return r, ok
}

// versionName names a version of a service.
func versionName(service, version string) string { return service + "@" + version }

// newcomerWait is how long a version that no order has named stays unused: its
// servers may be listed a moment before the order arrives.
const newcomerWait = 1500 * time.Millisecond

// Versions decides which versions of a service a session may use, by its hash.
// The second one applies if no server of the first is there.
func (v *View) Versions(service string, hash uint64, now time.Time) (first, second func(version string) bool) {
	r, ordered := v.rollouts[service]
	if !ordered {
		return func(version string) bool { return v.settled(service, version, now) }, func(string) bool { return true }
	}
	isNew := func(version string) bool { return version == r.Order.Version }
	isOld := func(version string) bool { return version != r.Order.Version }
	switch {
	case r.State == canary.RolledBack || v.withdrawn[versionName(service, r.Order.Version)]:
		return isOld, isOld
	case r.State == canary.Completed:
		return isNew, isOld
	case r.UsesNew(hash, now) && !v.stays(r, hash, now):
		return isNew, isOld
	case r.Share(now) > 0:
		return isOld, isNew
	}
	return isOld, isOld
}

// stays reports whether a session stays on the old version though its hash falls
// to the new one: it is early, and the session has not paused.
func (v *View) stays(r canary.Rollout, hash uint64, now time.Time) bool {
	return canary.Early(now.Sub(r.Since), r.Order.Within) && v.sessions.active(hash, now)
}

// settled reports whether a version has been listed for so long that an order
// for it would have arrived.
func (v *View) settled(service, version string, now time.Time) bool {
	seen, ok := v.firstSeen[versionName(service, version)]
	return ok && now.Sub(seen) >= newcomerWait
}
