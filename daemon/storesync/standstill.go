package storesync

import (
	"time"

	"ladderridge.example/daemon/suspend"
)

// A VM that is suspended stands still by its own steady clock. Ages of what is known count
// that time: they are how old something is to the world. How long something took, pauses
// and turns do not.

// detectSuspension notices that the VM has stood still since it last looked. All that was
// confirmed is older by that, and questions that were asked before are void: what they
// bring may be from then.
func (k *Syncer) detectSuspension(now time.Time) {
	total := k.SuspendClock.Now()
	d := total - k.suspendedTotal
	if d < suspend.Least {
		return
	}
	k.suspendedTotal, k.resumedAt = total, now
	for _, t := range k.topics {
		t.confirmed = t.confirmed.Add(-d)
	}
	k.storeAnsweredAt = k.storeAnsweredAt.Add(-d)
	for id, until := range k.lapsed {
		k.lapsed[id] = until.Add(-d)
	}
	clear(k.pendingRequests)
	k.rollouts.shift(d)
	k.publishView()
	k.Suspensions.Add(1)
	k.Log.Warn().Dur("for", d).Msg("knowledge: the VM stood still: nothing is served until what is known is confirmed")
}

// shift moves what is counted from the start of an order.
func (r *rollouts) shift(d time.Duration) {
	r.clockAt = r.clockAt.Add(-d)
	for service, o := range r.byService {
		o.Since = o.Since.Add(-d)
		r.byService[service] = o
	}
}

// suspendedSinceView is how long the VM has stood still since the view was made.
func (v *View) suspendedSinceView() time.Duration {
	if d := v.SuspendClock.Now() - v.SuspendedTotal; d >= suspend.Least {
		return d
	}
	return 0
}

// Current reports whether requests can be decided by what is known now.
func (v *View) Current() bool { return v.Ready() && v.Confirmed() }

// Confirmed reports whether the configuration was confirmed since the VM last stood still:
// until then what is known may be from long ago.
func (v *View) Confirmed() bool {
	return v.suspendedSinceView() == 0 && (v.ResumedAt.IsZero() || v.ConfigAt.After(v.ResumedAt))
}
