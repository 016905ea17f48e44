// Package bill keeps the bills that the platform has not acknowledged yet.
//
// Each request is billed under its own key by a conditional write that creates
// the key or finds it there, so a bill may be written any number of times by
// any daemon and counts once. Until the platform has it, a bill is held by the
// daemon that served the request and, as a copy, by one other daemon, which
// writes it should the first one go.
package bill

import (
	"cmp"
	"slices"
	"time"
)

// Bill is what one request costs.
type Bill struct {
	_            struct{} `cbor:",toarray"`
	Key          string
	Organisation string
	Model        string
	Version      string
	Tokens       int64
	// Cost is in micro-units of money.
	Cost int64
	// UnixMS is when the answer ended.
	UnixMS int64
}

// The bounds of the ledger.
const (
	// MaxPending is how many bills a daemon holds before it stops taking work.
	MaxPending = 100_000
	// MaxCopies is how many bills of other daemons it holds.
	MaxCopies = 150_000
	// MaxBatch is how many bills go into one transaction.
	MaxBatch = 100
	// FlushAfter is how long a bill waits for others to share its transaction.
	FlushAfter = 200 * time.Millisecond
	// AdoptAfter is how long a silent daemon's copies wait before their holder
	// writes them. Writing one twice does no harm.
	AdoptAfter = 10 * time.Second
	// OverdueAfter is how long a copy waits at most, also when its origin
	// lives: it may have started anew and know nothing of the bill.
	OverdueAfter = 30 * time.Second
	// retryFloor and retryCeiling bound the pause after a failed write.
	retryFloor   = 200 * time.Millisecond
	retryCeiling = 5 * time.Second
)

// Ledger holds the bills of one daemon. It is owned by one goroutine.
type Ledger struct {
	pending map[string]Bill
	order   []string
	flying  []Bill
	// due is when the next batch may go.
	due   time.Time
	pause time.Duration
	// Written counts bills acknowledged by the platform; Found those that were
	// there already.
	Written int64
	Found   int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{pending: map[string]Bill{}} }

// Add holds a bill. A bill that is held already counts once.
func (l *Ledger) Add(b Bill, now time.Time) {
	if _, ok := l.pending[b.Key]; ok {
		return
	}
	if len(l.pending) == 0 && l.due.Before(now) {
		l.due = now.Add(FlushAfter)
	}
	l.pending[b.Key] = b
	l.order = append(l.order, b.Key)
}

// Get returns a bill that is held.
func (l *Ledger) Get(key string) (Bill, bool) {
	b, ok := l.pending[key]
	return b, ok
}

// Pending is how many bills the platform has not acknowledged.
func (l *Ledger) Pending() int { return len(l.pending) }

// Full reports whether the daemon holds as many bills as it may.
func (l *Ledger) Full() bool { return len(l.pending) >= MaxPending }

// Batch returns the bills to write now, if any are due and none are being
// written. End the batch with Done or Failed.
func (l *Ledger) Batch(now time.Time, hurry bool) []Bill {
	if len(l.flying) > 0 || len(l.pending) == 0 {
		return nil
	}
	early := l.pause == 0 && (hurry || len(l.pending) >= MaxBatch)
	if now.Before(l.due) && !early {
		return nil
	}
	for _, key := range l.order[:min(len(l.order), MaxBatch)] {
		l.flying = append(l.flying, l.pending[key])
	}
	return l.flying
}

// Done ends a batch that took effect, or whose keys in found were there
// before: those are billed already, and the others stay to be written.
func (l *Ledger) Done(found []string, now time.Time) []string {
	settled := found
	if len(found) == 0 {
		settled = make([]string, 0, len(l.flying))
		for _, b := range l.flying {
			settled = append(settled, b.Key)
		}
		l.Written += int64(len(settled))
	} else {
		l.Found += int64(len(found))
	}
	l.Drop(settled)
	l.flying, l.pause = nil, 0
	l.due = now
	if len(found) == 0 && len(l.pending) < MaxBatch {
		l.due = now.Add(FlushAfter)
	}
	return settled
}

// Drop forgets bills that another daemon has taken over.
func (l *Ledger) Drop(keys []string) {
	for _, key := range keys {
		delete(l.pending, key)
	}
	l.order = slices.DeleteFunc(l.order, func(key string) bool {
		_, ok := l.pending[key]
		return !ok
	})
}

// Failed ends a batch that may or may not have taken effect. It is tried again
// after the time the platform asked for, or a growing pause.
func (l *Ledger) Failed(after time.Duration, now time.Time) {
	l.flying = nil
	l.pause = min(max(l.pause*2, retryFloor), retryCeiling)
	l.due = now.Add(max(after, l.pause))
}

// Each calls f with the bills held, the oldest first, until f returns false.
func (l *Ledger) Each(f func(Bill) bool) {
	for _, key := range l.order {
		if !f(l.pending[key]) {
			return
		}
	}
}

// Bills returns every bill held, the oldest first, for a hand-over.
func (l *Ledger) Bills() []Bill {
	out := make([]Bill, 0, len(l.pending))
	l.Each(func(b Bill) bool {
		out = append(out, b)
		return true
	})
	return out
}

// copied is a bill held for another daemon, with when it came.
type copied struct {
	bill Bill
	at   time.Time
}

// Copies holds bills for other daemons. It is owned by one goroutine.
type Copies struct {
	from map[string]map[string]copied
}

// NewCopies returns an empty set.
func NewCopies() *Copies { return &Copies{from: map[string]map[string]copied{}} }

// Hold keeps copies of another daemon's bills, as far as there is room, and
// reports whether it kept them all.
func (c *Copies) Hold(origin string, bills []Bill, now time.Time) bool {
	held := c.from[origin]
	if held == nil {
		held = map[string]copied{}
		c.from[origin] = held
	}
	for _, b := range bills {
		if c.Held() >= MaxCopies {
			return false
		}
		held[b.Key] = copied{bill: b, at: now}
	}
	return true
}

// Release drops copies that the platform has acknowledged to their origin.
func (c *Copies) Release(origin string, keys []string) {
	held := c.from[origin]
	for _, key := range keys {
		delete(held, key)
	}
	if len(held) == 0 {
		delete(c.from, origin)
	}
}

// Adopted are copies that their holder writes itself now.
type Adopted struct {
	// Orphans are bills of daemons that are gone.
	Orphans []Bill
	// Overdue are bills of daemons that may still hold them too.
	Overdue []Bill
}

// Adopt takes the copies out that this daemon is to write itself. The answer
// of usable says which daemons are not gone.
func (c *Copies) Adopt(usable func(id string) bool, now time.Time) Adopted {
	var out Adopted
	for origin, held := range c.from {
		lives := usable(origin)
		for key, kept := range held {
			age := now.Sub(kept.at)
			switch {
			case !lives && age >= AdoptAfter:
				out.Orphans = append(out.Orphans, kept.bill)
			case age >= OverdueAfter:
				out.Overdue = append(out.Overdue, kept.bill)
			default:
				continue
			}
			delete(held, key)
		}
		if len(held) == 0 {
			delete(c.from, origin)
		}
	}
	sortBills(out.Orphans)
	sortBills(out.Overdue)
	return out
}

// All returns every copy held, in order of key, for a hand-over.
func (c *Copies) All() []Bill {
	var out []Bill
	for _, held := range c.from {
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

// Held is how many copies are held.
func (c *Copies) Held() int {
	n := 0
	for _, held := range c.from {
		n += len(held)
	}
	return n
}
