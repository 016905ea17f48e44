package proxy

import (
	"time"

	"ladderridge.example/core/retry"
	"ladderridge.example/daemon/storesync"
)

// spendRetry takes a retry of a service from the budget, if it has one left.
func (e *Engine) spendRetry(service string, v *storesync.View) bool {
	return e.Budget.Spend(service, e.sharers(v), e.budgetTime())
}

// sharers returns how many daemons share the budget's slack, including this one; 0 means no
// share. A daemon that is stopping leaves its share to its replacement.
func (e *Engine) sharers(v *storesync.View) int {
	if e.shutdownBy.Load() != nil {
		return 0
	}
	return v.Daemons
}

// budgetTime returns the time for the budget, which includes suspensions of the VM.
func (e *Engine) budgetTime() time.Time { return time.Now().Add(e.SuspendClock.Now()) }

// Repeats returns the retry budget's counts for each service.
func (e *Engine) Repeats() []retry.Usage {
	return e.Budget.Usage(e.sharers(e.StoreSync.View()), e.budgetTime())
}

// RequestRate returns the recent rate of requests for a service per second; 0 is unknown.
func (e *Engine) RequestRate(service string) float64 { return e.Budget.Rate(service, e.budgetTime()) }
