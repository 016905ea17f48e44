package proxy

import (
	"time"

	"ladderridge.example/core/retry"
	"ladderridge.example/daemon/storesync"
)

// spendRepeat takes a repeat of a service from the budget if it has one left.
func (e *Engine) spendRepeat(service string, v *storesync.View) bool {
	return e.Budget.Spend(service, e.sharers(v), e.budgetTime())
}

// sharers is how many daemons share the budget's slack, this one included; 0 is no share. A
// daemon that is about to end leaves its share to the one that starts in its place.
func (e *Engine) sharers(v *storesync.View) int {
	if e.ends.Load() != nil {
		return 0
	}
	return v.Daemons
}

// budgetTime is the time by which the budget counts. It goes on while the VM stands still.
func (e *Engine) budgetTime() time.Time { return time.Now().Add(e.SuspendClock.Now()) }

// Repeats returns what the budget has counted for each service.
func (e *Engine) Repeats() []retry.Usage {
	return e.Budget.Usage(e.sharers(e.StoreSync.View()), e.budgetTime())
}

// RequestRate is how many requests for a service came a second lately; 0 is unknown.
func (e *Engine) RequestRate(service string) float64 { return e.Budget.Rate(service, e.budgetTime()) }
