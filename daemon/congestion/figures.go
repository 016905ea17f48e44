package congestion

import (
	"maps"
	"time"

	"ladderridge.example/core/price"
)

const (
	// reportLifetime is the lifetime of the figures of a daemon or a hall.
	reportLifetime = price.TotalLifetime
	// totalInterval is the time for which an encoded total is sent to daemons. Computed for each
	// of 79 daemons, it would take a reader a percent of a tenth of a core.
	totalInterval = 200 * time.Millisecond
	// useSlot is the minimum time between two messages of a daemon. Uses are sent in one of
	// useSlots slots, for one congested service: in each message they would exceed the traffic
	// that these figures may use.
	useSlot  = 450 * time.Millisecond
	useSlots = 9
	// The slots of reports, of sums of halls and of totals follow each other.
	reportSlot, hallSlot, totalSlot = 0, 2, 4
)

// Report returns the figures of this daemon. It implements storesync.Figures.
func (t *Tracker) Report(now time.Time) []byte {
	r := report{waits: map[uint32]price.Wait{}, uses: map[uint32]usage{}}
	for _, s := range *t.services.Load() {
		s.mu.Lock()
		level, e := s.level(now)
		var w price.Wait
		if s.market, w = s.market.WithReport(now); w.Count > 0 {
			r.waits[s.hash] = w
		}
		if level > congestedLevel && s.uses.own.work != nil {
			s.uses.own.decayTo(now, s.uses.meanWork)
			r.uses[s.hash] = usage{at: now, work: maps.Clone(s.uses.own.work), rest: s.uses.own.rest}
		}
		s.mu.Unlock()
		t.log(e)
	}
	return r.encode(now, reportSlot)
}

// SetDaemon records the report of a daemon of this hall.
func (t *Tracker) SetDaemon(id string, data []byte, now time.Time) {
	t.set(t.daemons, id, data, maxDaemonAnswers, now)
}

// SetHall records the sum of another hall.
func (t *Tracker) SetHall(hall string, data []byte, now time.Time) {
	t.set(t.halls, hall, data, maxAnswers, now)
}

func (t *Tracker) set(reports map[string]report, id string, data []byte, most float64, now time.Time) {
	r, ok := decode(data, most, now)
	if !ok {
		t.dropped.Add(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reports[id] = r.withUsesOf(reports[id], now)
}

// HallReport returns the sum of this hall.
func (t *Tracker) HallReport(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return sum(now, t.daemons).encode(now, hallSlot)
}

// Total returns the sum of all halls.
func (t *Tracker) Total(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if age := now.Sub(t.encodedAt); age >= totalInterval || age < 0 || slot(now) != slot(t.encodedAt) {
		t.encoded, t.encodedAt = sum(now, t.daemons, t.halls).encode(now, totalSlot), now
	}
	return t.encoded
}

// SetTotal records the sum of all halls.
func (t *Tracker) SetTotal(data []byte, now time.Time) {
	r, ok := decode(data, maxAnswers, now)
	if !ok {
		t.dropped.Add(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total = r.withUsesOf(t.total, now)
	for _, s := range *t.services.Load() {
		s.mu.Lock()
		s.setTotal(t.total)
		s.mu.Unlock()
	}
}

// setTotal applies a total to the service.
func (s *service) setTotal(total report) {
	if w, ok := total.waits[s.hash]; ok {
		s.market = s.market.WithTotal(w, total.at)
	}
	if g, ok := total.uses[s.hash]; ok {
		s.uses.total, s.uses.fairAt = g, time.Time{}
	}
}

// sum returns the sum of the reports that have not expired, and removes the others.
func sum(now time.Time, reports ...map[string]report) report {
	all := report{waits: map[uint32]price.Wait{}, uses: map[uint32]usage{}}
	for _, set := range reports {
		maps.DeleteFunc(set, func(_ string, r report) bool { return now.Sub(r.at) >= reportLifetime })
		for _, r := range set {
			for id, w := range r.waits {
				was := all.waits[id]
				all.waits[id] = price.Wait{Count: was.Count + w.Count, Share: was.Share + w.Share}
			}
			for id, g := range r.uses {
				all.uses[id] = all.uses[id].plus(g, now)
			}
		}
	}
	return all
}

// slot returns the slot at a time.
func slot(now time.Time) int64 { return now.UnixMilli() / useSlot.Milliseconds() }
