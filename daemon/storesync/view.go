package storesync

import (
	"slices"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/quota"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/suspend"
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
	// Daemons is how many daemons there are, this one included; 0 while their list is not
	// known.
	Daemons int
	// Sharers are the daemons that share the limits which servers name.
	Sharers quota.Daemons
	// Drained are the data halls whose servers get nothing, by since when this daemon
	// knows.
	Drained map[string]time.Time
	// Regions are the regions of the data halls.
	Regions map[string]string

	// Corrupted are the entries that name no server, by their keys, and why.
	Corrupted map[string]string
	// Quarantine has the crash counts of requests; nil holds nothing against any.
	Quarantine *quarantine.Registry

	// SuspendClock tells how long the VM has stood still, Stood how long it had when the view
	// was made, WokeAt when it last began to run again.
	SuspendClock   suspend.Clock
	SuspendedTotal time.Duration
	ResumedAt      time.Time

	rollouts  map[string]canary.Rollout
	withdrawn map[string]bool
	// ejected are servers of versions in roll-out that look bad, by service.
	ejected map[string][]string
	// firstSeen is when a version of a service was first listed.
	firstSeen map[string]time.Time
	sessions  *sessions
}

// ConfigAge is how old the knowledge of the configuration is, to the world: it counts the
// time for which the VM stood still.
func (v *View) ConfigAge(now time.Time) time.Duration {
	return now.Sub(v.ConfigAt) + v.suspendedSinceView()
}

// Ready reports whether requests can be decided at all.
func (v *View) Ready() bool { return v.Map != nil && v.Servers != nil }

// Quarantined returns until when a request gets no server, if it is in quarantine.
func (v *View) Quarantined(content quarantine.Fingerprint, now time.Time) (until time.Time, ok bool) {
	if v.Quarantine == nil {
		return time.Time{}, false
	}
	return v.Quarantine.Quarantined(content, now)
}

// Suspected reports whether a server has ended under a request.
func (v *View) Suspected(content quarantine.Fingerprint) bool {
	return v.Quarantine != nil && v.Quarantine.Suspected(content)
}

// Serves reports whether an incarnation of a server, by its name, is listed and stays.
func (v *View) Serves(incarnation string) bool {
	if v.Servers == nil {
		return false
	}
	return slices.ContainsFunc(v.Servers.All(), func(s *fleet.Server) bool { return s.Incarnation().String() == incarnation && s.Usable() })
}

// Rollout returns the order that is in force for a service.
func (v *View) Rollout(service string) (canary.Rollout, bool) {
	r, ok := v.rollouts[service]
	return r, ok
}

// InRollout reports whether a version is being brought in, and so is not what
// others are compared with.
func (v *View) InRollout(service, version string) bool {
	r, ok := v.rollouts[service]
	return ok && r.State != canary.Completed && version == r.Order.Version
}

// Stable reports whether servers of a version are those that a service has apart from a
// roll-out, which the platform doubles for a while.
func (v *View) Stable(service, version string) bool {
	r, ok := v.rollouts[service]
	return !ok || (r.State == canary.Completed) == (version == r.Order.Version)
}

// versionName names a version of a service.
func versionName(service, version string) string { return service + "@" + version }

// unorderedVersionDelay is how long a version that no order has named stays unused: its
// servers may be listed a moment before the order arrives.
const unorderedVersionDelay = 1500 * time.Millisecond

// VersionChoice is what a session may use of a service.
type VersionChoice struct {
	// Allows reports whether a version may be used.
	Allows func(version string) bool
	// Fraction is the part of its servers that is used; 0 is all.
	Fraction float64
	// Progress is how far that use has come, from 0 to 1.
	Progress float64
	// Ejected are servers that go last.
	Ejected []string
}

// Versions decides what a session may use of a service, by its hash. The second
// one applies if no server of the first is there. A new version in roll-out is
// used on a part of its servers that is like its part of the sessions: each
// carries what it would after the roll-out, and what it has read is used again.
func (v *View) Versions(service string, hash uint64, now time.Time) (first, second VersionChoice) {
	r, ordered := v.rollouts[service]
	if !ordered {
		return VersionChoice{Allows: func(version string) bool { return v.settled(service, version, now) }}, VersionChoice{Allows: func(string) bool { return true }}
	}
	isNew := VersionChoice{Allows: func(version string) bool { return version == r.Order.Version }}
	isOld := VersionChoice{Allows: func(version string) bool { return version != r.Order.Version }}
	switch {
	case r.State == canary.Completed:
		// What a daemon found at the last moment counts no more: the old version's
		// servers are gone.
		return isNew, isOld
	case r.State == canary.RolledBack || v.withdrawn[versionName(service, r.Order.Version)]:
		return isOld, isOld
	case r.UsesNew(hash, now) && !v.staysOnOld(r, hash, now):
		isNew.Fraction, isNew.Progress, isNew.Ejected = r.Share(now), r.Phase(now), v.ejected[service]
		return isNew, isOld
	case r.Share(now) > 0:
		return isOld, isNew
	}
	return isOld, isOld
}

// staysOnOld reports whether a session staysOnOld on the old version though its hash falls
// to the new one: it is early, and the session has not paused.
func (v *View) staysOnOld(r canary.Rollout, hash uint64, now time.Time) bool {
	return canary.KeepsActiveSessions(now.Sub(r.Since), r.Order.Within) && v.sessions.active(hash, now)
}

// settled reports whether a version has been listed for so long that an order
// for it would have arrived.
func (v *View) settled(service, version string, now time.Time) bool {
	seen, ok := v.firstSeen[versionName(service, version)]
	return ok && now.Sub(seen) >= unorderedVersionDelay
}
