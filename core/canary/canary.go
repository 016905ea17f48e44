// Package canary rolls out a new version of a service by the operator's order:
// which requests go to the new version when, what the answers of all daemons
// say about it, and when it is done or taken back.
//
// The share of the new version is a function of the order's age and of one
// figure that is fixed at its start, and a request falls to a version by the hash
// of its session: daemons agree without a message, and a session moves to the new
// version at most once.
package canary

import (
	"fmt"
	"time"

	"ladderridge.example/core/revision"
)

// State is what has become of a roll-out.
type State int

// The states.
const (
	// Running shifts requests to the new version.
	Running State = iota
	// Completed has all requests on the new version.
	Completed
	// RolledBack has none there.
	RolledBack
)

// String names the state.
func (s State) String() string { return [...]string{"running", "completed", "rolled back"}[s] }

// Order is an operator's order to bring in a version.
type Order struct {
	Service string
	// Version is the new one.
	Version string
	// Within is how long the operator gives.
	Within time.Duration
	// Number is that of the row with the order; a later order has a later one.
	Number revision.Revision
}

// Same reports whether another order asks for the same.
func (o Order) Same(other Order) bool {
	return o.Service == other.Service && o.Version == other.Version && o.Within == other.Within
}

// Matches reports whether a state is one of this order. An order that the operator has written again
// after the store returned from a copy has another number than the one that the state names.
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
	// SinceMS is when the order was first seen, by the store's clock.
	SinceMS uint64
	// Order is the number of the order that it belongs to.
	Order revision.Revision
	// InitialShare is the share of the sessions that the new version has until it is
	// opened to all.
	InitialShare float64
}

// Exposure bounds the requests that a version may get before it is known to be
// good: a share of all requests of its service, and some more.
type Exposure struct {
	Share float64
	// Slack is a number of requests.
	Slack float64
}

const (
	// openFor is the part of the order's time, at its end, in which the new version
	// has all sessions, and writeTime the least: daemons use it by their clocks before
	// the old servers are stopped. What is open counts in full against the exposure. A
	// short stage leaves twice as many requests to the few servers, which have the load
	// that they would have with all of them: 154 to 182 answers instead of 55 on a service with
	// 70 requests a second and an order of 22 s.
	openFor = 0.04
	// exposureUsed is the part of the exposure that is planned for: the traffic may
	// be larger when the version is open than it was before, and few requests fall
	// unevenly.
	exposureUsed = 0.7
	// leastFirst and mostFirst bound the first share.
	leastFirst = 0.01
	mostFirst  = 0.2
	// leastBefore is the part of the order's time before which it is never opened.
	leastBefore = 0.5
	// unpausedFor is the part of the order's time in which sessions move only when
	// they have paused.
	unpausedFor = 0.54
)

// InitialShare is the share of the sessions that the new version gets until it is opened
// to all, with the number of requests that are expected in the order's time; 0 is
// unknown. It is what the exposure leaves: few requests are told from the usual
// only by a larger share of them.
func (e Exposure) InitialShare(requests float64, within time.Duration) float64 {
	share := e.Share
	if requests > 0 {
		share += e.Slack / requests
	}
	before := float64(openAt(within)) / float64(max(within, 1))
	return min(mostFirst, max(leastFirst, (exposureUsed*share-(1-before))/before))
}

// openAt is the age from which the new version has all sessions.
func openAt(within time.Duration) time.Duration {
	return max(part(leastBefore, within), within-max(part(openFor, within), writeTime))
}

// share is the part of the sessions that belongs to the new version at an age.
func share(first float64, age, within time.Duration) float64 {
	switch {
	case age < 0:
		return 0
	case age < openAt(within):
		return first
	}
	return 1
}

// part is a part of a time.
func part(of float64, d time.Duration) time.Duration { return time.Duration(of * float64(d)) }

// CanaryEligible reports whether a session's hash may fall to a new version before it
// is opened to all.
func CanaryEligible(hash uint64) bool { return Chosen(hash, mostFirst) }

// KeepsActiveSessions reports whether sessions may not move yet: one that was served by the
// old version a moment ago stays there until it has paused.
func KeepsActiveSessions(age, within time.Duration) bool { return age < part(unpausedFor, within) }

// ReadyToComplete reports whether a version has had all sessions for so long that all daemons
// have heard what that showed, or else whether its time is nearly over: before, it is
// not completed, which cannot be taken back.
func ReadyToComplete(age, within time.Duration) bool {
	return age >= openAt(within)+judgeTime || NearDeadline(age, within)
}

// judgeTime is the time in which daemons hear what all of them have seen: they tell
// each other every 0.7 s.
const judgeTime = 700 * time.Millisecond

// NearDeadline reports whether the order's time is so nearly over that a version that
// has all requests is completed whatever is still under way on the old one.
func NearDeadline(age, within time.Duration) bool { return age >= within-writeTime }

// writeTime is the time that is left for a state to be written in time: readers of
// the store take turns, and one or two may be gone.
const writeTime = 900 * time.Millisecond

// scale is the number of sessions' slots that shares are cut into.
const scale = 1 << 16

// Chosen reports whether a session's hash falls to the new version.
func Chosen(hash uint64, share float64) bool {
	// The upper bits: the lower ones may choose among services.
	return float64(hash>>48)/scale < share
}

// Rollout is an order with its state, as one daemon sees it. It is a value.
type Rollout struct {
	Order Order
	State State
	// Since is when the order was first seen by any daemon.
	Since time.Time
	// Started tells that all daemons agree on Since and First.
	Started bool
	// InitialShare is the share until the version is opened to all.
	InitialShare float64
}

// Share is the new version's part at a time.
func (r Rollout) Share(now time.Time) float64 {
	switch {
	case r.State == Completed:
		return 1
	case r.State == RolledBack || !r.Started:
		return 0
	}
	return share(r.InitialShare, now.Sub(r.Since), r.Order.Within)
}

// TrialElapsed reports whether the version has been tried for so long that a doubt is enough to
// stop its use: what is left of the time would only let more callers meet what is not
// going to be completed. Of servers that are used in turn two have had theirs.
func (r Rollout) TrialElapsed(now time.Time) bool { return r.Phase(now) >= triedPhase }

// triedPhase leaves a bad version a third of its time. On a service that sends it a
// hundred requests by half of the time, of which every second one is slow, bad answers
// go on for five seconds then.
const triedPhase = 2.0 / 3

// Phase is the part of the time before the version is opened to all that has passed,
// from 0 to 1.
func (r Rollout) Phase(now time.Time) float64 {
	return min(1, max(0, float64(now.Sub(r.Since))/float64(max(1, openAt(r.Order.Within)))))
}

// UsesNew reports whether a request of that hash goes to the new version.
func (r Rollout) UsesNew(hash uint64, now time.Time) bool {
	return Chosen(hash, r.Share(now))
}

// Describe says in a few words what the roll-out means for a session.
func (r Rollout) Describe(hash uint64, now time.Time) string {
	side := "old"
	if r.UsesNew(hash, now) {
		side = "new"
	}
	return fmt.Sprintf("%s of %s: %s, share %.3f", side, r.Order.Version, r.State, r.Share(now))
}
