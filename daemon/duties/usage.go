package duties

import (
	"sync"
	"time"

	"ladderridge.example/core/usage"
)

// usageState holds the usage counts of this daemon and of all daemons. Requests are counted by many
// goroutines; the counts of other daemons arrive on the goroutine of storesync.
type usageState struct {
	mu sync.Mutex
	// enabled is false if no daemon reports usage.
	enabled   bool
	own       usage.Counter
	aggregate *usage.Aggregate
	// sent holds the last change included in each of the last three updates to other readers,
	// newest first. A message may be lost, so every change is sent three times.
	sent [sendCount]uint64
	// sentTo is the lease holder at the time of the last update.
	sentTo string
}

// sendCount is how often each change is sent to other readers.
const sendCount = 3

func newUsageState() *usageState { return &usageState{aggregate: usage.NewAggregate()} }

// CountRequest counts a request of an organisation that starts now.
func (d *Leaseholder) CountRequest(organisation string) {
	if organisation == "" || !d.usage.enabled {
		return
	}
	d.usage.mu.Lock()
	defer d.usage.mu.Unlock()
	d.usage.own.Add(organisation, time.Now())
}

// Unacknowledged returns this daemon's counts that a reader has not acknowledged yet. They are
// sent along with the request that has the given nonce.
func (d *Leaseholder) Unacknowledged(reader string, nonce uint64, now time.Time) []usage.Record {
	if !d.usage.enabled {
		return nil
	}
	d.usage.mu.Lock()
	defer d.usage.mu.Unlock()
	return d.usage.own.Unacknowledged(reader, nonce, now)
}

// Acknowledged records that the request with the given nonce was answered.
func (d *Leaseholder) Acknowledged(nonce uint64) {
	d.usage.mu.Lock()
	defer d.usage.mu.Unlock()
	d.usage.own.Acknowledged(nonce)
}

// Merge adds the counts of other daemons.
func (d *Leaseholder) Merge(records []usage.Record) {
	if len(records) == 0 || !d.usage.enabled {
		return
	}
	d.usage.mu.Lock()
	defer d.usage.mu.Unlock()
	d.usage.aggregate.Merge(records)
}

// Updates returns the changed counts to send to other readers, and the lease holder. A new lease
// holder is sent everything.
func (d *Leaseholder) Updates(now time.Time) (records []usage.Record, holder string) {
	if !d.usage.enabled {
		return nil, ""
	}
	holder = d.holderOfUsage()
	u := d.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mergeOwn(now)
	since := u.sent[sendCount-1]
	if holder != u.sentTo {
		since, u.sentTo = 0, holder
	}
	copy(u.sent[1:], u.sent[:])
	u.sent[0] = u.aggregate.LastChange()
	return u.aggregate.Since(since), holder
}

// mergeOwn merges this daemon's own counts into the aggregate, and drops windows that are too old to
// be reported.
func (u *usageState) mergeOwn(now time.Time) {
	u.aggregate.Merge(u.own.Records(now))
	u.aggregate.Drop(usage.At(now.Add(-u.own.Retention), u.own.Length))
}
