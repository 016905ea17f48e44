package proxy

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"ladderridge.example/core/fault"
	corepermits "ladderridge.example/core/permits"
	"ladderridge.example/daemon/permits"
	"ladderridge.example/daemon/storesync"
)

// Permits for pools of plain servers that have fewer slots than there are daemons. A request that
// may run once goes to one server only, so that its rejection there is a refusal for the caller.

// poolRefresh is the time between two updates of the capacity of pools: servers also announce in
// their answers that they leave.
const poolRefresh = 200 * time.Millisecond

// pools tracks when the capacity of pools was last updated.
type pools struct{ refreshed atomic.Pointer[time.Time] }

// due reports whether an update is due, to one caller only.
func (p *pools) due(now time.Time) bool {
	last := p.refreshed.Load()
	return (last == nil || now.Sub(*last) >= poolRefresh) && p.refreshed.CompareAndSwap(last, &now)
}

// refreshPools updates the capacity of the pools that have fewer slots than there are daemons.
func (e *Engine) refreshPools(v *storesync.View, now time.Time) {
	if !e.pools.due(now) {
		return
	}
	for _, s := range v.Map.Services() {
		if len(s.Models) > 0 || s.Slots > 0 {
			continue
		}
		slots := v.Servers.OpenSlots(s.Name, now)
		if slots >= v.Daemons {
			slots = 0
		}
		e.Permits.SetPool(s.Name, corepermits.Pool{Slots: slots, Queue: -1}, v.Daemons)
	}
}

// awaitPermit waits until the request may be sent to its service, and returns how to end its use
// of the permit. Otherwise it returns why the request is refused.
func (j *job) awaitPermit(ctx context.Context, now time.Time) (release func(answered bool), out Outcome) {
	if j.engine.Permits == nil || len(j.route.Cascade) > 0 {
		return func(bool) {}, nil
	}
	j.engine.refreshPools(j.view, now)
	t := corepermits.Ticket{Organisation: j.report.Organisation, Rank: j.route.Rank, Objective: cmp.Or(j.route.LatencyObjective, corepermits.DefaultObjective)}
	t.Left = j.request.Arrived.Add(t.Objective).Sub(now)
	if !j.deadline.IsZero() {
		t.Left = min(t.Left, j.deadline.Sub(now))
	}
	release, err := j.engine.Permits.Enter(ctx, j.service, t)
	switch {
	case err == nil:
		return release, nil
	case fault.Is(err, permits.NoSlot):
		return nil, Refused{Reason: NoSlot, RetryAfter: permits.RetryAfterOf(err)}
	case errors.Is(context.Cause(ctx), errStopped):
		return nil, Refused{Reason: ShuttingDown, RetryAfter: shutdownRetry}
	default:
		return nil, Refused{Reason: DeadlineExceeded}
	}
}
