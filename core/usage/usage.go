// Package usage counts how many requests of each organisation all daemons together have started in each
// window of time, so that one of the daemons can report the counts.
//
// The daemons may stop, restart and change the daemon that they send their counts to. The counts
// therefore only grow, and two records of the same process and window are merged by taking the larger
// count for each organisation. The result does not depend on how often, in what order or by which daemon
// they are delivered.
package usage

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Window is the number of a time window: window k starts k window lengths after 1 January 1970.
type Window uint64

// At returns the window of a time.
func At(t time.Time, length time.Duration) Window {
	return Window(max(0, t.UnixMilli()) / max(1, length.Milliseconds()))
}

// End returns the end of the window.
func (w Window) End(length time.Duration) time.Time {
	return time.UnixMilli(int64(w+1) * length.Milliseconds())
}

// Count is the number of requests of an organisation that were started.
type Count struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Requests     uint64
}

// Process identifies one process of a daemon.
type Process struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Start uint64
}

// Record holds some or all of the counts of one process in a window.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Process Process
	Window  Window
	// Closed is set once the process has closed the window. Total is then the sum of all its counts, so that
	// a receiver can detect that it lacks some of them.
	Closed bool
	Total  uint64
	Counts []Count
}

// processCounts is what is known of one process in a window.
type processCounts struct {
	counts map[string]uint64
	closed bool
	total  uint64
	// changed is the number of the last change, used to find recent changes.
	changed uint64
}

// complete reports whether the counts are final and none is missing.
func (e *processCounts) complete() bool {
	sum := uint64(0)
	for _, n := range e.counts {
		sum += n
	}
	return e.closed && sum == e.total
}

// record returns the counts as a record to send.
func (e *processCounts) record(p Process, w Window) Record {
	out := Record{Process: p, Window: w, Closed: e.closed, Total: e.total}
	for name, n := range e.counts {
		out.Counts = append(out.Counts, Count{Organisation: name, Requests: n})
	}
	slices.SortFunc(out.Counts, func(a, b Count) int { return strings.Compare(a.Organisation, b.Organisation) })
	return out
}

// Aggregate holds the counts of all processes. It must be used by one goroutine at a time.
type Aggregate struct {
	windows map[Window]map[Process]*processCounts
	change  uint64
	// dropped is the window up to which counts are no longer kept.
	dropped Window
}

// NewAggregate returns an empty aggregate.
func NewAggregate() *Aggregate { return &Aggregate{windows: map[Window]map[Process]*processCounts{}} }

// maxWindows is the maximum number of windows kept. It is only reached if the clock of a daemon is far
// off.
const maxWindows = 64

// Merge adds records. They may come in any order and more than once.
func (a *Aggregate) Merge(records []Record) {
	for _, r := range records {
		a.merge(r)
	}
}

func (a *Aggregate) merge(r Record) {
	if r.Window <= a.dropped {
		return
	}
	processes := a.windows[r.Window]
	if processes == nil {
		if len(a.windows) >= maxWindows {
			return
		}
		processes = map[Process]*processCounts{}
		a.windows[r.Window] = processes
	}
	e := processes[r.Process]
	changed := e == nil
	if e == nil {
		e = &processCounts{counts: map[string]uint64{}}
		processes[r.Process] = e
	}
	for _, c := range r.Counts {
		if c.Requests > e.counts[c.Organisation] {
			e.counts[c.Organisation], changed = c.Requests, true
		}
	}
	if r.Closed && !e.closed {
		e.closed, e.total, changed = true, r.Total, true
	}
	if changed {
		a.change++
		e.changed = a.change
	}
}

// LastChange returns the number of the last change.
func (a *Aggregate) LastChange() uint64 { return a.change }

// Since returns the records that have changed since the change with the given number; 0 returns all.
func (a *Aggregate) Since(change uint64) []Record {
	var out []Record
	for w, processes := range a.windows {
		for process, e := range processes {
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

// Drop removes the windows up to and including one.
func (a *Aggregate) Drop(upTo Window) {
	a.dropped = max(a.dropped, upTo)
	maps.DeleteFunc(a.windows, func(w Window, _ map[Process]*processCounts) bool { return w <= a.dropped })
}

// Complete reports whether the counts of all known processes in a window are complete.
func (a *Aggregate) Complete(w Window) bool {
	for _, e := range a.windows[w] {
		if !e.complete() {
			return false
		}
	}
	return true
}

// Sum returns the known number of requests of each organisation that were started in a window, in order
// of name.
func (a *Aggregate) Sum(w Window) []Count {
	sum := processCounts{counts: map[string]uint64{}}
	for _, e := range a.windows[w] {
		for name, n := range e.counts {
			sum.counts[name] += n
		}
	}
	return sum.record(Process{}, w).Counts
}

// First returns the earliest window with any counts; ok is false if there is none.
func (a *Aggregate) First() (w Window, ok bool) {
	for known := range a.windows {
		if !ok || known < w {
			w, ok = known, true
		}
	}
	return w, ok
}
