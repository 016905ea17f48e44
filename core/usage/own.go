package usage

import "time"

// Own is what this process counts. It has one owner.
type Own struct {
	Process Process
	// Length is that of a window.
	Length time.Duration
	// Keep is how long a window is told after its end.
	Keep time.Duration

	windows map[Window]*entry
	// target is who was told last, told what it has acknowledged; sent is what is under way,
	// with the number of the question.
	target string
	told   map[Window]*entry
	sent   []Record
	nonce  uint64
	sentAt time.Time
}

// Begin counts a request that began to run at a time.
func (o *Own) Begin(organisation string, at time.Time) {
	o.window(At(at, o.Length)).counts[organisation]++
}

func (o *Own) window(w Window) *entry {
	if o.windows == nil {
		o.windows = map[Window]*entry{}
	}
	if o.windows[w] == nil {
		o.windows[w] = &entry{counts: map[string]uint64{}}
	}
	return o.windows[w]
}

// overAfter is how long after its end a window is over for this process: what began at its
// last moment is counted by then.
const overAfter = 100 * time.Millisecond

// turn opens the window of now, so that others know of this process, closes those that are
// over, and forgets old ones.
func (o *Own) turn(now time.Time) {
	o.window(At(now, o.Length))
	for w, e := range o.windows {
		end := w.End(o.Length)
		switch {
		case now.Sub(end) > o.Keep:
			delete(o.windows, w)
			delete(o.told, w)
		case now.Sub(end) >= overAfter:
			e.over, e.total = true, 0
			for _, n := range e.counts {
				e.total += n
			}
		}
	}
}

// tellEvery is the least time between two messages about windows that are not over: what a
// daemon that ends has not told is lost.
const tellEvery = time.Second

// Unacknowledged returns what a target does not know yet, to go along with the question of a number.
// What is not acknowledged is told again.
func (o *Own) Unacknowledged(target string, nonce uint64, now time.Time) []Record {
	o.turn(now)
	if target != o.target {
		o.target, o.told, o.sentAt = target, map[Window]*entry{}, time.Time{}
	}
	if now.Sub(o.sentAt) < tellEvery {
		return nil
	}
	o.sent, o.nonce, o.sentAt = nil, nonce, now
	for w, e := range o.windows {
		if news, ok := o.news(w, e); ok {
			o.sent = append(o.sent, news)
		}
	}
	return o.sent
}

// news is what the target does not know of a window.
func (o *Own) news(w Window, e *entry) (r Record, ok bool) {
	told := o.told[w]
	if told == nil {
		return e.record(o.Process, w), true
	}
	r = Record{Process: o.Process, Window: w, Over: e.over, Total: e.total}
	for name, n := range e.counts {
		if n > told.counts[name] {
			r.Counts = append(r.Counts, Count{Organisation: name, Requests: n})
		}
	}
	return r, len(r.Counts) > 0 || e.over != told.over
}

// Acknowledged notes that the question of a number was answered: what went along with it has
// arrived.
func (o *Own) Acknowledged(nonce uint64) {
	if nonce == 0 || nonce != o.nonce {
		return
	}
	for _, r := range o.sent {
		if o.told[r.Window] == nil {
			o.told[r.Window] = &entry{counts: map[string]uint64{}}
		}
		told := o.told[r.Window]
		told.over = told.over || r.Over
		for _, c := range r.Counts {
			told.counts[c.Organisation] = c.Requests
		}
	}
	o.sent, o.nonce = nil, 0
}

// Records are all that this process has counted and still tells.
func (o *Own) Records(now time.Time) []Record {
	o.turn(now)
	var out []Record
	for w, e := range o.windows {
		out = append(out, e.record(o.Process, w))
	}
	return out
}
