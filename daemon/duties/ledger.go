package duties

import (
	"sync"
	"time"

	"ladderridge.example/core/usage"
)

// ledger is what is known of usage: requests count here from many goroutines, and other
// daemons' counts arrive on that of the knowledge.
type ledger struct {
	mu sync.Mutex
	// counts is false if nobody reports usage.
	counts bool
	own    usage.Counter
	pool   *usage.Aggregate
	// shared is the change up to which other readers were told, before, and the one before
	// that: a message may be lost, so that all is told three times.
	shared [shareTimes]uint64
	// sharedWith is the holder who was told last.
	sharedWith string
}

// shareTimes is how often a change is told to other readers.
const shareTimes = 3

func newLedger() *ledger { return &ledger{pool: usage.NewAggregate()} }

// Began counts a request of an organisation that begins to run now.
func (d *Leaseholder) Began(organisation string) {
	if organisation == "" || !d.ledger.counts {
		return
	}
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	d.ledger.own.Add(organisation, time.Now())
}

// Unacknowledged returns what a reader does not know yet of this daemon's counts, to go along with the
// question of a number.
func (d *Leaseholder) Unacknowledged(reader string, nonce uint64, now time.Time) []usage.Record {
	if !d.ledger.counts {
		return nil
	}
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	return d.ledger.own.Unacknowledged(reader, nonce, now)
}

// Acknowledged notes that a question was answered.
func (d *Leaseholder) Acknowledged(nonce uint64) {
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	d.ledger.own.Acknowledged(nonce)
}

// Merge takes in what other daemons have counted.
func (d *Leaseholder) Merge(records []usage.Record) {
	if len(records) == 0 || !d.ledger.counts {
		return
	}
	d.ledger.mu.Lock()
	defer d.ledger.mu.Unlock()
	d.ledger.pool.Merge(records)
}

// Updates returns what other readers are to be told, and who holds the duty.
func (d *Leaseholder) Updates(now time.Time) (records []usage.Record, holder string) {
	if !d.ledger.counts {
		return nil, ""
	}
	holder = d.holderOfUsage()
	l := d.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
	since := l.shared[shareTimes-1]
	if holder != l.sharedWith {
		since, l.sharedWith = 0, holder
	}
	copy(l.shared[1:], l.shared[:])
	l.shared[0] = l.pool.LastChange()
	return l.pool.Since(since), holder
}

// turn takes this daemon's own counts into the pool, and forgets what is too late.
func (l *ledger) turn(now time.Time) {
	l.pool.Merge(l.own.Records(now))
	l.pool.Drop(usage.At(now.Add(-l.own.Retention), l.own.Length))
}
