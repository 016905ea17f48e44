// Package usage adds up how many requests of each organisation began to run in each window
// of time, over all daemons, so that one of them can report it.
//
// The load that it answers is one that is spread over many daemons which end, begin anew and
// change whom they tell: counts only grow, and two of the same daemon and window are merged
// by taking the larger of each organisation's, so that it does not matter how often, in what
// order or by whom they are told.
package usage

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Window is the number of a window: k begins k times the windows' length after the start of
// 1970.
type Window uint64

// At is the window of a time.
func At(t time.Time, length time.Duration) Window {
	return Window(max(0, t.UnixMilli()) / max(1, length.Milliseconds()))
}

// End is when a window is over.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli(int64(w+1) * length.Milliseconds())
}

// Count is how many requests of an organisation began to run.
type Count struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Requests     uint64
}

// Process is one process of a daemon.
type Process struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Start uint64
}

// Record is what one process has counted in a window, or a part of it.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Process Process
	Window  Window
	// Over tells that the process counts no more in the window, Total is then the sum of all
	// its counts: a record whose counts do not come to it lacks some.
	Over   bool
	Total  uint64
	Counts []Count
}

// entry is what is known of one process in a window.
type entry struct {
	counts map[string]uint64
	over   bool
	total  uint64
	// changed is the number of the last change, by which what is new is found.
	changed uint64
}

// whole reports whether the entry lacks nothing.
func (e *entry) whole() bool {
	sum := uint64(0)
	for _, n := range e.counts {
		sum += n
	}
	return e.over && sum == e.total
}

// record is the entry as it is told.
func (e *entry) record(p Process, w Window) Record {
	out := Record{Process: p, Window: w, Over: e.over, Total: e.total}
	for name, n := range e.counts {
		out.Counts = append(out.Counts, Count{Organisation: name, Requests: n})
	}
	slices.SortFunc(out.Counts, func(a, b Count) int { return strings.Compare(a.Organisation, b.Organisation) })
	return out
}

// Pool is what is known of all processes. It has one owner.
type Pool struct {
	windows map[Window]map[Process]*entry
	change  uint64
	// dropped is the window up to which nothing is kept.
	dropped Window
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{windows: map[Window]map[Process]*entry{}} }

// mostWindows bounds the windows that are kept: more are only there if a daemon's time of
// day is far off.
const mostWindows = 64

// Merge takes records, in any order and as often as they come.
func (p *Pool) Merge(records []Record) {
	for _, r := range records {
		p.merge(r)
	}
}

func (p *Pool) merge(r Record) {
	if r.Window <= p.dropped {
		return
	}
	of := p.windows[r.Window]
	if of == nil {
		if len(p.windows) >= mostWindows {
			return
		}
		of = map[Process]*entry{}
		p.windows[r.Window] = of
	}
	e := of[r.Process]
	grew := e == nil
	if e == nil {
		e = &entry{counts: map[string]uint64{}}
		of[r.Process] = e
	}
	for _, c := range r.Counts {
		if c.Requests > e.counts[c.Organisation] {
			e.counts[c.Organisation], grew = c.Requests, true
		}
	}
	if r.Over && !e.over {
		e.over, e.total, grew = true, r.Total, true
	}
	if grew {
		p.change++
		e.changed = p.change
	}
}

// Changed is the number of the last change.
func (p *Pool) Changed() uint64 { return p.change }

// Since returns what has changed since the change of a number; 0 returns all.
func (p *Pool) Since(change uint64) []Record {
	var out []Record
	for w, of := range p.windows {
		for process, e := range of {
			if e.changed > change {
				out = append(out, e.record(process, w))
			}
		}
	}
	slices.SortFunc(out, compareRecords)
	return out
}

func compareRecords(a, b Record) int {
	if a.Window != b.Window {
		return int(int64(a.Window) - int64(b.Window))
	}
	return strings.Compare(a.Process.ID, b.Process.ID)
}

// Drop forgets the windows up to one.
func (p *Pool) Drop(upTo Window) {
	p.dropped = max(p.dropped, upTo)
	maps.DeleteFunc(p.windows, func(w Window, _ map[Process]*entry) bool { return w <= p.dropped })
}

// Whole reports whether all processes that have told of a window have told all of it.
func (p *Pool) Whole(w Window) bool {
	for _, e := range p.windows[w] {
		if !e.whole() {
			return false
		}
	}
	return true
}

// Sum is how many requests of each organisation began to run in a window, as far as it was
// told, by name.
func (p *Pool) Sum(w Window) []Count {
	sum := entry{counts: map[string]uint64{}}
	for _, e := range p.windows[w] {
		for name, n := range e.counts {
			sum.counts[name] += n
		}
	}
	return sum.record(Process{}, w).Counts
}

// First is the earliest window that something is known of; ok is false if there is none.
func (p *Pool) First() (w Window, ok bool) {
	for known := range p.windows {
		if !ok || known < w {
			w, ok = known, true
		}
	}
	return w, ok
}
