// Package bill keeps the bills that the platform has not acknowledged yet.
//
// Each request is billed under its own key by a conditional write, which either creates the key or
// finds it present. Writes are therefore idempotent: any daemon may repeat them, and each bill counts
// once. Until the platform has a bill, it is held by the daemon that served the request, and one other
// daemon holds a copy, which it writes if the first daemon fails.
package bill

import (
	"cmp"
	"slices"
	"time"
)

// Bill is the cost of one request.
type Bill struct {
	_            struct{} `cbor:",toarray"`
	Key          string
	Organisation string
	Model        string
	Version      string
	Tokens       int64
	// Cost is in micro-units of money.
	Cost int64
	// UnixMS is when the response ended.
	UnixMS int64
}

// Limits and delays.
const (
	// MaxPending is the number of pending bills at which a daemon stops accepting requests.
	MaxPending = 100_000
	// MaxCopies is the maximum number of copies that a daemon holds for other daemons.
	MaxCopies = 150_000
	// MaxBatch is the maximum number of bills in one transaction.
	MaxBatch = 100
	// FlushAfter is how long a bill waits for others to share its transaction.
	FlushAfter = 200 * time.Millisecond
	// AdoptAfter is the age of a copy from which its holder writes it if the origin has failed. It is safe
	// if the origin writes it as well.
	AdoptAfter = 10 * time.Second
	// OverdueAfter is the age of a copy from which its holder writes it even if the origin is alive: the
	// origin may have restarted and lost the bill.
	OverdueAfter = 30 * time.Second
	// minBackoff and maxBackoff bound the back-off after a failed write.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Pending holds the pending bills of one daemon. It must be used by one goroutine only.
type Pending struct {
	bills    map[string]Bill
	order    []string
	inFlight []Bill
	// due is when the next batch may be written.
	due     time.Time
	backoff time.Duration
	// Written counts the bills that this daemon wrote; Found those that were already in the store.
	Written int64
	Found   int64
}

// NewPending returns an empty set of pending bills.
func NewPending() *Pending { return &Pending{bills: map[string]Bill{}} }

// Add adds a bill. Adding a bill that is pending already has no effect.
func (p *Pending) Add(b Bill, now time.Time) {
	if _, ok := p.bills[b.Key]; ok {
		return
	}
	if len(p.bills) == 0 && p.due.Before(now) {
		p.due = now.Add(FlushAfter)
	}
	p.bills[b.Key] = b
	p.order = append(p.order, b.Key)
}

// Get returns a pending bill.
func (p *Pending) Get(key string) (Bill, bool) {
	b, ok := p.bills[key]
	return b, ok
}

// Len returns the number of bills that the platform has not acknowledged.
func (p *Pending) Len() int { return len(p.bills) }

// Full reports whether MaxPending is reached.
func (p *Pending) Full() bool { return len(p.bills) >= MaxPending }

// Batch returns the bills to write now, or nil if none are due or a batch is being written already.
// The result of the write is passed to Settle or BatchFailed. With immediate set, a batch need not
// wait for FlushAfter.
func (p *Pending) Batch(now time.Time, immediate bool) []Bill {
	if len(p.inFlight) > 0 || len(p.bills) == 0 {
		return nil
	}
	early := p.backoff == 0 && (immediate || len(p.bills) >= MaxBatch)
	if now.Before(p.due) && !early {
		return nil
	}
	for _, key := range p.order[:min(len(p.order), MaxBatch)] {
		p.inFlight = append(p.inFlight, p.bills[key])
	}
	return p.inFlight
}

// Settle ends a batch that was written, or that was not written because the keys in found were in the
// store already. In the latter case only the bills of these keys are settled and the others stay
// pending. It returns the keys of the settled bills.
func (p *Pending) Settle(found []string, now time.Time) []string {
	settled := found
	if len(found) == 0 {
		settled = make([]string, 0, len(p.inFlight))
		for _, b := range p.inFlight {
			settled = append(settled, b.Key)
		}
		p.Written += int64(len(settled))
	} else {
		p.Found += int64(len(found))
	}
	p.Drop(settled)
	p.inFlight, p.backoff = nil, 0
	p.due = now
	if len(found) == 0 && len(p.bills) < MaxBatch {
		p.due = now.Add(FlushAfter)
	}
	return settled
}

// Drop removes bills that another daemon has taken over.
func (p *Pending) Drop(keys []string) {
	for _, key := range keys {
		delete(p.bills, key)
	}
	p.order = slices.DeleteFunc(p.order, func(key string) bool {
		_, ok := p.bills[key]
		return !ok
	})
}

// BatchFailed ends a batch whose write failed or has an unknown outcome. It is retried after the delay that
// the platform asked for, or after an exponential back-off if that is longer.
func (p *Pending) BatchFailed(retryAfter time.Duration, now time.Time) {
	p.inFlight = nil
	p.backoff = min(max(p.backoff*2, minBackoff), maxBackoff)
	p.due = now.Add(max(retryAfter, p.backoff))
}

// Each calls f with the pending bills, the oldest first, until f returns false.
func (p *Pending) Each(f func(Bill) bool) {
	for _, key := range p.order {
		if !f(p.bills[key]) {
			return
		}
	}
}

// Bills returns all pending bills, the oldest first, for a hand-over.
func (p *Pending) Bills() []Bill {
	out := make([]Bill, 0, len(p.bills))
	p.Each(func(b Bill) bool {
		out = append(out, b)
		return true
	})
	return out
}

// copied is the copy of a bill with its time of arrival.
type heldCopy struct {
	bill       Bill
	receivedAt time.Time
}

// Copies holds copies of bills for other daemons. It must be used by one goroutine only.
type Copies struct {
	byOrigin map[string]map[string]heldCopy
}

// NewCopies returns an empty set.
func NewCopies() *Copies { return &Copies{byOrigin: map[string]map[string]heldCopy{}} }

// Hold stores copies of another daemon's bills and reports whether all of them fitted within
// MaxCopies.
func (c *Copies) Hold(origin string, bills []Bill, now time.Time) bool {
	held := c.byOrigin[origin]
	if held == nil {
		held = map[string]heldCopy{}
		c.byOrigin[origin] = held
	}
	for _, b := range bills {
		if c.Held() >= MaxCopies {
			return false
		}
		held[b.Key] = heldCopy{bill: b, receivedAt: now}
	}
	return true
}

// Release drops copies of bills that the platform has acknowledged to their origin.
func (c *Copies) Release(origin string, keys []string) {
	held := c.byOrigin[origin]
	for _, key := range keys {
		delete(held, key)
	}
	if len(held) == 0 {
		delete(c.byOrigin, origin)
	}
}

// Adopted holds the bills that the holder of their copies now writes itself.
type Adopted struct {
	// Orphans are bills of daemons that have failed.
	Orphans []Bill
	// Overdue are bills of daemons that are alive and may hold them too.
	Overdue []Bill
}

// Adopt removes and returns the copies that this daemon has to write itself. The function usable
// reports whether a daemon is alive.
func (c *Copies) Adopt(usable func(id string) bool, now time.Time) Adopted {
	var out Adopted
	for origin, held := range c.byOrigin {
		alive := usable(origin)
		for key, kept := range held {
			age := now.Sub(kept.receivedAt)
			switch {
			case !alive && age >= AdoptAfter:
				out.Orphans = append(out.Orphans, kept.bill)
			case age >= OverdueAfter:
				out.Overdue = append(out.Overdue, kept.bill)
			default:
				continue
			}
			delete(held, key)
		}
		if len(held) == 0 {
			delete(c.byOrigin, origin)
		}
	}
	sortBills(out.Orphans)
	sortBills(out.Overdue)
	return out
}

// All returns all copies, in order of key, for a hand-over.
func (c *Copies) All() []Bill {
	var out []Bill
	for _, held := range c.byOrigin {
		for _, kept := range held {
			out = append(out, kept.bill)
		}
	}
	sortBills(out)
	return out
}

func sortBills(bills []Bill) {
	slices.SortFunc(bills, func(a, b Bill) int { return cmp.Compare(a.Key, b.Key) })
}

// Held returns the number of copies.
func (c *Copies) Held() int {
	n := 0
	for _, held := range c.byOrigin {
		n += len(held)
	}
	return n
}
