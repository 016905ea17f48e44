package storesync

import (
	"time"

	"ladderridge.example/core/contact"
	"ladderridge.example/daemon/suspend"
)

// Suspension of the VM. While a VM is suspended its monotonic clock stops. The ages of the
// state include that time, since the store may have changed meanwhile. Durations, pauses and
// turns do not include it.

// detectSuspension detects that the VM was suspended since the last check. Everything that was
// confirmed before is older by that time, and pending requests are dropped: their responses may
// be from before the suspension.
func (sy *Syncer) detectSuspension(now time.Time) {
	total := sy.SuspendClock.Now()
	d := total - sy.suspendedTotal
	if d < suspend.MinSuspension {
		return
	}
	sy.suspendedTotal, sy.resumedAt = total, now
	for _, t := range sy.topics {
		t.confirmed = t.confirmed.Add(-d)
	}
	sy.storeAnsweredAt = sy.storeAnsweredAt.Add(-d)
	sy.trace.at = sy.trace.at.Add(-d)
	sy.verification.confirmed, sy.contact = sy.verification.confirmed.Add(-d), contact.State{}
	for id, until := range sy.lapsed {
		sy.lapsed[id] = until.Add(-d)
	}
	clear(sy.pendingRequests)
	sy.rollouts.shift(d)
	sy.publishView()
	sy.Suspensions.Add(1)
	sy.Log.Warn().Dur("for", d).Msg("storesync: VM was suspended; no requests are served until the configuration is confirmed")
}

// shift moves the start of orders and the clock of the store back by the time of a suspension.
func (r *rollouts) shift(d time.Duration) {
	r.clockAt = r.clockAt.Add(-d)
	for service, o := range r.byService {
		o.Since = o.Since.Add(-d)
		r.byService[service] = o
	}
}

// suspendedSinceView returns how long the VM has been suspended since the view was created.
func (v *View) suspendedSinceView() time.Duration {
	if d := v.SuspendClock.Now() - v.SuspendedTotal; d >= suspend.MinSuspension {
		return d
	}
	return 0
}

// Current reports whether requests can be routed by this view.
func (v *View) Current() bool { return v.Ready() && v.Confirmed() }

// Confirmed reports whether the configuration was confirmed since the VM was last suspended.
// Until then it may be out of date.
func (v *View) Confirmed() bool {
	return v.suspendedSinceView() == 0 && (v.ResumedAt.IsZero() || v.ConfigAt.After(v.ResumedAt))
}
