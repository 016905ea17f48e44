package storesync

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/contact"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/quota"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/suspend"
)

// View is the state of a daemon at one moment. It is immutable. Each routing decision uses the
// latest one.
type View struct {
	// Map is nil until a configuration is known.
	Map     *routemap.Map
	Servers *fleet.List
	// ConfigAt and ServersAt are the latest times at which the store, or a daemon that had
	// asked it, confirmed the configuration and the servers.
	ConfigAt  time.Time
	ServersAt time.Time
	// ConfirmedBy is the daemon that confirmed the configuration, or "store".
	ConfirmedBy string
	// InForceWithin is the time in which a configuration must be in force everywhere. 0 means
	// any time.
	InForceWithin time.Duration
	// Contact is what the daemon has observed of its path to the store.
	Contact contact.State
	// Daemons is the number of daemons including this one. It is 0 while their list is unknown.
	Daemons int
	// Sharers are the daemons that share the rate limits of servers.
	Sharers quota.Daemons
	// Drained has the data halls whose servers receive no requests, by when this daemon learned
	// of it.
	Drained map[string]time.Time
	// Regions has the regions of the data halls.
	Regions map[string]string

	// Corrupted has the entries that could not be decoded to a server, by their keys, with the
	// error.
	Corrupted map[string]string
	// Topics has the state of the topics that daemons exchange.
	Topics []TopicStatus
	// Quarantine has the crash counts of requests. nil means that there are none.
	Quarantine *quarantine.Registry
	// Parts has the crash counts of parts of requests. nil means that there are none.
	Parts *quarantine.Registry

	// SuspendClock returns how long the VM has been suspended in all. SuspendedTotal is its
	// value when the view was created, ResumedAt when the VM last resumed.
	SuspendClock   suspend.Clock
	SuspendedTotal time.Duration
	ResumedAt      time.Time

	rollouts  map[string]canary.Rollout
	withdrawn map[string]bool
	// rejected are versions of earlier orders that were rolled back.
	rejected map[string]bool
	// ejected are servers of versions in roll-out that were ejected as outliers, by service.
	ejected map[string][]string
	// firstSeen is when a version of a service was first listed.
	firstSeen map[string]time.Time
	sessions  *sessions
}

// TopicStatus is the state of one topic. Daemons with the same rows have the same checksum.
type TopicStatus struct {
	Topic   gossip.Topic
	Version revision.Revision
	Rows    int
	Sum     uint64
	// LostRows is the number of rows and removals that the store has lost in a restore.
	LostRows uint64
	// ConfirmedAt is the latest time at which the rows were known to be current.
	ConfirmedAt time.Time
}

// topicStatus returns the state of the known topics.
func (sy *Syncer) topicStatus() []TopicStatus {
	out := make([]TopicStatus, 0, len(gossipedTopics))
	for _, topic := range gossipedTopics {
		if t := sy.topics[topic]; t.known {
			out = append(out, TopicStatus{Topic: topic, Version: t.version, Rows: len(t.rows), Sum: t.sum, LostRows: t.lostRows(), ConfirmedAt: t.confirmed})
		}
	}
	return out
}

// ConfigAge returns the age of the configuration. It includes the time for which the VM was
// suspended.
func (v *View) ConfigAge(now time.Time) time.Duration {
	return now.Sub(v.ConfigAt) + v.suspendedSinceView()
}

// InForce reports whether requests may be routed by the configuration: no newer one has to be in
// force, as far as a daemon in touch with the store can know. One that has lost its path to the store
// keeps using the configuration that it has.
func (v *View) InForce(now time.Time) bool {
	return v.InForceWithin == 0 || v.ConfigAge(now) <= v.InForceWithin || v.Contact.Lost(now, v.InForceWithin+v.InForceWithin/2)
}

// Ready reports whether the view has a configuration and a list of servers.
func (v *View) Ready() bool { return v.Map != nil && v.Servers != nil }

// Quarantined returns until when a request is refused because it is in quarantine.
func (v *View) Quarantined(content quarantine.Fingerprint, now time.Time) (until time.Time, ok bool) {
	if v.Quarantine == nil {
		return time.Time{}, false
	}
	return v.Quarantine.Confined([]quarantine.Part{content.Part()}, now)
}

// Confined returns when a request may next pass, if it has parts that crash servers.
func (v *View) Confined(parts []quarantine.Part, now time.Time) (retryAt time.Time, ok bool) {
	if v.Parts == nil {
		return time.Time{}, false
	}
	return v.Parts.Confined(parts, now)
}

// TakeTrial reports whether a request that is refused for its content or its parts may be sent to one
// server.
func (v *View) TakeTrial(content quarantine.Fingerprint, parts []quarantine.Part, now time.Time) bool {
	if v.Parts == nil || v.Quarantine == nil {
		return false
	}
	_, quarantined := v.Quarantined(content, now)
	_, confined := v.Confined(parts, now)
	return (quarantined || confined) && (!quarantined || v.Quarantine.TakeTrial([]quarantine.Part{content.Part()}, now)) && (!confined || v.Parts.TakeTrial(parts, now))
}

// Suspected reports whether a server has exited under a request, or under others with one of its parts.
func (v *View) Suspected(s quarantine.Suspect, now time.Time) bool {
	return v.Quarantine != nil && v.Quarantine.Suspected(quarantine.ContentKeys(s), now) || v.Parts != nil && v.Parts.Suspected(s.Parts, now)
}

// Serves reports whether an incarnation of a server, given by its name, is listed and usable.
func (v *View) Serves(incarnation string) bool {
	if v.Servers == nil {
		return false
	}
	return slices.ContainsFunc(v.Servers.All(), func(s *fleet.Server) bool { return s.Incarnation().String() == incarnation && s.Usable() })
}

// addressOf returns the address of the listed incarnation whose name has this hash.
func (v *View) addressOf(hash uint64) (addr string, ok bool) {
	if v.Servers == nil {
		return "", false
	}
	for _, s := range v.Servers.All() {
		if xxhash.Sum64String(s.Incarnation().String()) == hash {
			return s.Addr, true
		}
	}
	return "", false
}

// Rollout returns the order in force for a service.
func (v *View) Rollout(service string) (canary.Rollout, bool) {
	r, ok := v.rollouts[service]
	return r, ok
}

// InRollout reports whether a version is being rolled out, and therefore is not a baseline for
// comparisons.
func (v *View) InRollout(service, version string) bool {
	r, ok := v.rollouts[service]
	return ok && r.State != canary.Completed && version == r.Order.Version
}

// Stable reports whether a version is the one that a service has outside a roll-out. During a
// roll-out the platform runs twice the servers for a while.
func (v *View) Stable(service, version string) bool {
	r, ok := v.rollouts[service]
	return !ok || (r.State == canary.Completed) == (version == r.Order.Version)
}

// versionName returns the name of a version of a service.
func versionName(service, version string) string { return service + "@" + version }

// unorderedVersionDelay is how long a version without an order stays unused: its servers may be
// listed a moment before its order arrives.
const unorderedVersionDelay = 1500 * time.Millisecond

// VersionChoice is a choice of the versions and servers of a service for a session.
type VersionChoice struct {
	// Allows reports whether a version may be used.
	Allows func(version string) bool
	// Fraction is the fraction of the servers that is used. 0 means all.
	Fraction float64
	// Progress is the progress of the roll-out, from 0 to 1.
	Progress float64
	// Ejected are servers that are used only as a last resort.
	Ejected []string
}

// Versions returns the choices of a service for a session, by the hash of the session. The
// second one applies if the first has no available server. A new version in roll-out is used on
// a fraction of its servers equal to its fraction of the sessions: each server then has the
// load that it will have after the roll-out, and its prefix cache is reused.
func (v *View) Versions(service string, hash uint64, now time.Time) (first, second VersionChoice) {
	r, ordered := v.rollouts[service]
	if !ordered {
		return VersionChoice{Allows: func(version string) bool { return v.settled(service, version, now) }}, VersionChoice{Allows: func(string) bool { return true }}
	}
	isNew := VersionChoice{Allows: func(version string) bool { return version == r.Order.Version }}
	isOld := VersionChoice{Allows: func(version string) bool {
		return version != r.Order.Version && !v.rejected[versionName(service, version)]
	}}
	switch {
	case r.State == canary.Completed:
		// Evidence from the last moment does not count any more: the servers of the old version
		// are gone.
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

// staysOnOld reports whether a session stays on the old version although its hash selects the
// new one: the roll-out is at its start, and the session has not been idle for long enough.
func (v *View) staysOnOld(r canary.Rollout, hash uint64, now time.Time) bool {
	return canary.KeepsActiveSessions(now.Sub(r.Since), r.Order.Within) && v.sessions.active(hash, now)
}

// settled reports whether a version has been listed for so long that an order for it would have
// arrived.
func (v *View) settled(service, version string, now time.Time) bool {
	seen, ok := v.firstSeen[versionName(service, version)]
	return ok && now.Sub(seen) >= unorderedVersionDelay
}
