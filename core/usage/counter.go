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
func (c *Counter) Add(organisation string, at time.Time) {
	c.window(At(at, c.Length)).counts[organisation]++
}

func (c *Counter) window(w Window) *processCounts {
	if c.windows == nil {
		c.windows = map[Window]*processCounts{}
	}
	if c.windows[w] == nil {
		c.windows[w] = &processCounts{counts: map[string]uint64{}}
	}
	return c.windows[w]
}

// closeDelay is how long after its end a window is closed for this process. All requests of the window
// have been counted by then.
const closeDelay = 100 * time.Millisecond

// advance opens the current window, so that other daemons learn of this process, closes the windows that
// have ended, and removes old ones.
func (c *Counter) advance(now time.Time) {
	c.window(At(now, c.Length))
	for w, e := range c.windows {
		end := w.End(c.Length)
		switch {
		case now.Sub(end) > c.Retention:
			delete(c.windows, w)
			delete(c.acked, w)
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
func (c *Counter) Unacknowledged(target string, nonce uint64, now time.Time) []Record {
	c.advance(now)
	if target != c.target {
		c.target, c.acked, c.sentAt = target, map[Window]*processCounts{}, time.Time{}
	}
	if now.Sub(c.sentAt) < minSendInterval {
		return nil
	}
	c.sent, c.sentNonce, c.sentAt = nil, nonce, now
	for w, e := range c.windows {
		if r, ok := c.delta(w, e); ok {
			c.sent = append(c.sent, r)
		}
	}
	return c.sent
}

// delta returns the counts of a window that the target does not have.
func (c *Counter) delta(w Window, e *processCounts) (r Record, ok bool) {
	acked := c.acked[w]
	if acked == nil {
		return e.record(c.Process, w), true
	}
	r = Record{Process: c.Process, Window: w, Closed: e.closed, Total: e.total}
	for name, n := range e.counts {
		if n > acked.counts[name] {
			r.Counts = append(r.Counts, Count{Organisation: name, Requests: n})
		}
	}
	return r, len(r.Counts) > 0 || e.closed != acked.closed
}

// Acknowledged records that the request with the given number was answered, so that the records sent
// with it have arrived.
func (c *Counter) Acknowledged(nonce uint64) {
	if nonce == 0 || nonce != c.sentNonce {
		return
	}
	for _, r := range c.sent {
		if c.acked[r.Window] == nil {
			c.acked[r.Window] = &processCounts{counts: map[string]uint64{}}
		}
		acked := c.acked[r.Window]
		acked.closed = acked.closed || r.Closed
		for _, count := range r.Counts {
			acked.counts[count.Organisation] = count.Requests
		}
	}
	c.sent, c.sentNonce = nil, 0
}

// Records returns all counts of this process that it still keeps.
func (c *Counter) Records(now time.Time) []Record {
	c.advance(now)
	var out []Record
	for w, e := range c.windows {
		out = append(out, e.record(c.Process, w))
	}
	return out
}
