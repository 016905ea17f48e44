package usage

import "time"

// Counter counts the requests of this process. It must be used by one goroutine at a time.
type Counter struct {
	Process Process
	// Length is the length of a window.
	Length time.Duration
	// Retention is how long the counts of a window are sent after its end.
	Retention time.Duration

	windows map[Window]*processCounts
	// target is the daemon that the counts were last sent to, and acked the counts that it has
	// acknowledged. sent are the unacknowledged records, sentNonce the number of the request that carried
	// them.
	target    string
	acked     map[Window]*processCounts
	sent      []Record
	sentNonce uint64
	sentAt    time.Time
}

// Add counts a request that was started at a time.
func (o *Counter) Add(organisation string, at time.Time) {
	o.window(At(at, o.Length)).counts[organisation]++
}

func (o *Counter) window(w Window) *processCounts {
	if o.windows == nil {
		o.windows = map[Window]*processCounts{}
	}
	if o.windows[w] == nil {
		o.windows[w] = &processCounts{counts: map[string]uint64{}}
	}
	return o.windows[w]
}

// closeDelay is how long after its end a window is closed for this process. All requests of the window
// have been counted by then.
const closeDelay = 100 * time.Millisecond

// advance opens the current window, so that other daemons learn of this process, closes the windows that
// have ended, and removes old ones.
func (o *Counter) advance(now time.Time) {
	o.window(At(now, o.Length))
	for w, e := range o.windows {
		end := w.End(o.Length)
		switch {
		case now.Sub(end) > o.Retention:
			delete(o.windows, w)
			delete(o.acked, w)
		case now.Sub(end) >= closeDelay:
			e.closed, e.total = true, 0
			for _, n := range e.counts {
				e.total += n
			}
		}
	}
}

// minSendInterval is the minimum time between two messages about open windows. A daemon that stops loses
// the counts that it has not sent.
const minSendInterval = time.Second

// Unacknowledged returns the records that a target does not have yet, to be sent with the request that
// has the given number. Records that are not acknowledged are sent again.
func (o *Counter) Unacknowledged(target string, nonce uint64, now time.Time) []Record {
	o.advance(now)
	if target != o.target {
		o.target, o.acked, o.sentAt = target, map[Window]*processCounts{}, time.Time{}
	}
	if now.Sub(o.sentAt) < minSendInterval {
		return nil
	}
	o.sent, o.sentNonce, o.sentAt = nil, nonce, now
	for w, e := range o.windows {
		if r, ok := o.delta(w, e); ok {
			o.sent = append(o.sent, r)
		}
	}
	return o.sent
}

// delta returns the counts of a window that the target does not have.
func (o *Counter) delta(w Window, e *processCounts) (r Record, ok bool) {
	acked := o.acked[w]
	if acked == nil {
		return e.record(o.Process, w), true
	}
	r = Record{Process: o.Process, Window: w, Closed: e.closed, Total: e.total}
	for name, n := range e.counts {
		if n > acked.counts[name] {
			r.Counts = append(r.Counts, Count{Organisation: name, Requests: n})
		}
	}
	return r, len(r.Counts) > 0 || e.closed != acked.closed
}

// Acknowledged records that the request with the given number was answered, so that the records sent
// with it have arrived.
func (o *Counter) Acknowledged(nonce uint64) {
	if nonce == 0 || nonce != o.sentNonce {
		return
	}
	for _, r := range o.sent {
		if o.acked[r.Window] == nil {
			o.acked[r.Window] = &processCounts{counts: map[string]uint64{}}
		}
		acked := o.acked[r.Window]
		acked.closed = acked.closed || r.Closed
		for _, c := range r.Counts {
			acked.counts[c.Organisation] = c.Requests
		}
	}
	o.sent, o.sentNonce = nil, 0
}

// Records returns all counts of this process that it still keeps.
func (o *Counter) Records(now time.Time) []Record {
	o.advance(now)
	var out []Record
	for w, e := range o.windows {
		out = append(out, e.record(o.Process, w))
	}
	return out
}
