// Package canary rolls out a new version of a service by the operator's order:
// which requests go to the new version when, what the answers of all daemons
// say about it, and when it is done or taken back.
//
// The share of the new version is a function of the order's age alone, and a
// request falls to a version by the hash of its session: daemons agree without
// a word, and a session moves to the new version at most once.
package canary

import (
	"fmt"
	"time"
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
	// Number is that of the row with the order; a later order has a higher one.
	Number uint64
}

// Progress is the state of an order that all daemons share.
type Progress struct {
	State   State
	Version string
	// SinceMS is when the order was first seen, by the store's clock.
	SinceMS uint64
	// Order is the number of the order that it belongs to.
	Order uint64
}

// stage is a share of the requests from a part of the order's time on.
type stage struct {
	from  float64
	share float64
}

// stages keep a small share until half of the time is over, since a bad
// version must not see many requests and sessions may not move before that.
// Then the share grows in steps that let a version that fails only under load
// show it; the last step leaves time for what is under way on the old version.
var stages = []stage{{0, 0.08}, {0.54, 0.2}, {0.62, 0.5}, {0.70, 1}}

// Share is the part of the sessions that belongs to the new version.
func Share(age, within time.Duration) float64 {
	share := 0.0
	for _, s := range stages {
		if age >= time.Duration(s.from*float64(within)) {
			share = s.share
		}
	}
	return share
}

// Candidate reports whether a session's hash falls to a new version from the
// start of its roll-out.
func Candidate(hash uint64) bool { return Chosen(hash, stages[0].share) }

// Early reports whether sessions may not move yet: one that was served by the
// old version a moment ago stays there until it has paused.
func Early(age, within time.Duration) bool { return Share(age, within) <= stages[0].share }

// Late reports whether the order's time is so nearly over that a version that
// has all requests is completed whatever is still under way on the old one.
func Late(age, within time.Duration) bool {
	return age >= time.Duration(lateFrom*float64(within))
}

// lateFrom is the part of the order's time from which it is late.
const lateFrom = 0.9

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
	// Started tells that all daemons agree on Since.
	Started bool
}

// Share is the new version's part at a time.
func (r Rollout) Share(now time.Time) float64 {
	switch {
	case r.State == Completed:
		return 1
	case r.State == RolledBack || !r.Started:
		return 0
	}
	return Share(now.Sub(r.Since), r.Order.Within)
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
	return fmt.Sprintf("%s of %s: %s, share %.2f", side, r.Order.Version, r.State, r.Share(now))
}
