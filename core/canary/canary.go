// Package canary rolls out a new version of a service on an operator's order. It decides which
// requests go to the new version at which time, judges the version by the answers that all daemons
// have seen, and says when the roll-out completes or is rolled back.
//
// The new version's share of the sessions depends only on the order's age and on the initial
// share, which is fixed at the start, and a session is assigned to a version by its hash. So
// daemons agree without exchanging messages, and a session moves to the new version at most once.
package canary

import (
	"fmt"
	"time"

	"ladderridge.example/core/revision"
)

// State is the state of a roll-out.
type State int

const (
	// Running means that requests are being shifted to the new version.
	Running State = iota
	// Completed means that all requests go to the new version.
	Completed
	// RolledBack means that no requests go to the new version.
	RolledBack
)

func (s State) String() string { return [...]string{"running", "completed", "rolled back"}[s] }

// Order is an operator's order to roll out a version.
type Order struct {
	Service string
	// Version is the new version.
	Version string
	// Within is the time that the operator gives for the roll-out.
	Within time.Duration
	// Number is the revision of the row that holds the order. A later order has a higher one.
	Number revision.Revision
}

// Same reports whether another order asks for the same version of the same service within the same
// time.
func (o Order) Same(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Within == other.Within
}

// Matches reports whether p belongs to this order. If the store was restored from a backup and the
// operator has written the order again, its number differs from the one in p, so that the versions
// are compared where the restore epochs differ.
func (o Order) Matches(p Progress) bool {
	if p.Order.Era == o.Number.Era || p.Order.Era == 0 {
		return p.Order.Number == o.Number.Number
	}
	return p.Version == o.Version
}

// Progress is the state of an order that all daemons share.
type Progress struct {
	State   State
	Version string
	// SinceMS is the time when the order was first seen, by the store's clock.
	SinceMS uint64
	// Order is the number of the order that this state belongs to.
	Order revision.Revision
	// InitialShare is the new version's share of the sessions until it is opened to all.
	InitialShare float64
}

// Exposure bounds the requests that a version may get before it is known to be good: a share of
// all requests of its service plus a fixed number.
type Exposure struct {
	Share float64
	// Slack is the fixed number of requests.
	Slack float64
}

const (
	// finalStageFraction is the fraction of the order's time, at its end, in which the new version
	// has all sessions; the stage lasts for writeReserve at least. All daemons must use the new
	// version by their own clocks before the old servers are stopped. The stage counts in full
	// against the exposure, so a short one leaves more of it to the initial share: the few servers
	// in use then get twice as many requests, which is the load they would have with all servers
	// in use. On a service with 70 requests per second and an order of 22 s they gave 154 to 182
	// answers instead of 55.
	finalStageFraction = 0.04
	// plannedExposure is the fraction of the exposure that is planned for. The rest covers traffic
	// that grows by the time of the final stage, and the uneven assignment of few requests.
	plannedExposure = 0.7
	// minInitialShare and maxInitialShare bound the initial share.
	minInitialShare = 0.01
	maxInitialShare = 0.2
	// minCanaryFraction is the fraction of the order's time that passes at least before the
	// version is opened to all.
	minCanaryFraction = 0.5
	// stickyFraction is the fraction of the order's time in which a session moves to the new
	// version only after it has been idle.
	stickyFraction = 0.54
)

// InitialShare returns the share of the sessions that the new version gets until it is opened to
// all. requests is the number of requests expected in the order's time, 0 if unknown. The share is
// as large as the exposure allows, because with few requests a regression shows only if a larger
// share of them goes to the new version.
func (e Exposure) InitialShare(requests float64, within time.Duration) float64 {
	share := e.Share
	if requests > 0 {
		share += e.Slack / requests
	}
	before := float64(finalStageStart(within)) / float64(max(within, 1))
	return min(maxInitialShare, max(minInitialShare, (plannedExposure*share-(1-before))/before))
}

// finalStageStart is the age of the order from which the new version has all sessions.
func finalStageStart(within time.Duration) time.Duration {
	return max(scaled(minCanaryFraction, within), within-max(scaled(finalStageFraction, within), writeReserve))
}

// shareAt returns the new version's share of the sessions at an age of the order.
func shareAt(first float64, age, within time.Duration) float64 {
	switch {
	case age < 0:
		return 0
	case age < finalStageStart(within):
		return first
	}
	return 1
}

// scaled returns a fraction of a duration.
func scaled(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}

// Eligible reports whether a session's hash may be assigned to the new version before it is
// opened to all.
func Eligible(hash uint64) bool { return InShare(hash, maxInitialShare) }

// KeepsActiveSessions reports whether a session that the old version has just served stays there
// until it has been idle.
func KeepsActiveSessions(age, within time.Duration) bool { return age < scaled(stickyFraction, within) }

// ReadyToComplete reports whether the version has had all sessions for long enough that every
// daemon has received what the others saw of it, or the order's time is nearly over. Before that
// the version is not completed, since a completed version can't be rolled back.
func ReadyToComplete(age, within time.Duration) bool {
	return age >= finalStageStart(within)+evidenceDelay || NearDeadline(age, within)
}

// evidenceDelay is the time in which daemons receive each other's evidence: they send it every 0.7
// s.
const evidenceDelay = 700 * time.Millisecond

// NearDeadline reports whether the order's time is so nearly over that a version that has all
// requests is completed even if requests are still in flight on the old one.
func NearDeadline(age, within time.Duration) bool { return age >= within-writeReserve }

// writeReserve is the time kept for writing a state before the deadline: the daemons that read the
// store take turns, and one or two of them may be down.
const writeReserve = 900 * time.Millisecond

// shareSlots is the number of hash slots that a share is measured in.
const shareSlots = 1 << 16

// InShare reports whether a session's hash falls within a share of the sessions.
func InShare(hash uint64, share float64) bool {
	// Uses the upper bits, since the lower ones may select among services.
	return float64(hash>>48)/shareSlots < share
}

// Rollout is an order with its state, as one daemon sees it. It is immutable.
type Rollout struct {
	Order Order
	State State
	// Since is the time when any daemon first saw the order.
	Since time.Time
	// Started reports whether all daemons agree on Since and InitialShare.
	Started bool
	// InitialShare is the new version's share of the sessions until it is opened to all.
	InitialShare float64
}

// Share returns the new version's share of the sessions at a time.
func (r Rollout) Share(now time.Time) float64 {
	switch {
	case r.State == Completed:
		return 1
	case r.State == RolledBack || !r.Started:
		return 0
	}
	return shareAt(r.InitialShare, now.Sub(r.Since), r.Order.Within)
}

// TrialElapsed reports whether the version has been in trial for so long that a suspicion is
// enough to reject it: a longer trial would only expose more callers to a version that is not
// going to be completed. By then two of the servers that are used in turn have been tried.
func (r Rollout) TrialElapsed(now time.Time) bool { return r.Phase(now) >= trialPhase }

// trialPhase leaves a third of the time before the version is opened to all. On a service that
// sends the version a hundred requests in half of the order's time, of which every second one is
// slow, bad answers then go on for five seconds.
const trialPhase = 2.0 / 3

// openingLead is how long before a version is opened to all it must have been shown to be good: if it has
// not, the daemons learn of its rejection in time.
const openingLead = 350 * time.Millisecond

// OpensSoon reports whether the version is about to be opened to all sessions, or is open.
func (r Rollout) OpensSoon(now time.Time) bool {
	return now.Sub(r.Since) >= finalStageStart(r.Order.Within)-openingLead
}

// Phase returns the fraction, from 0 to 1, of the time before the version is opened to all that
// has passed.
func (r Rollout) Phase(now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(r.Since))/float64(max(1, finalStageStart(r.Order.Within)))))
}

// UsesNew reports whether requests of a session with that hash go to the new version.
func (r Rollout) UsesNew(hash uint64, now time.Time) bool {
	return InShare(hash, r.Share(now))
}

// Describe returns a short text for logs that says which version a session gets.
func (r Rollout) Describe(hash uint64, now time.Time) string {
	version := "old"
	if r.UsesNew(hash, now) {
		version = "new"
	}
	return fmt.Sprintf("%s of %s: %s, share %.3f", version, r.Order.Version, r.State, r.Share(now))
}
