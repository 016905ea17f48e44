package duty_test

import (
	"testing"
	"time"

	"ladderridge.example/core/duty"
	"ladderridge.example/core/revision"
)

// Every order of events of a small world is played: daemons that look, write and act, calls
// that are answered, lost, or done late, processes that begin anew, and time that passes
// between any two of them. A daemon that is not scheduled for a while is one that is frozen.

const (
	// exploredLease is a lease in steps of time, of which a half passes at once.
	exploredLease = 40 * time.Nanosecond
	exploredStep  = exploredLease / 2
	exploredEnd   = 2 * exploredLease
	// exploredFaults bounds the faults of one run of events.
	exploredFaults  = 1
	exploredDaemons = 2
	// mostWorlds bounds the memory of the test.
	mostWorlds = 600_000
)

// outcomes are what may become of a call.
type outcome int

const (
	answered outcome = iota
	doneAndLost
	lost
	doneLate
)

// call is a call to the store under way.
type call struct {
	// waits is false if there is none.
	waits bool
	write duty.WriteRow
}

// world is the state of everything. It is comparable.
type world struct {
	now     time.Duration
	claims  [exploredDaemons]duty.Claim
	calls   [exploredDaemons]call
	row     duty.Record
	version uint64
	// late is a write that may still be done.
	late   call
	faults int
	// holder is who last held the duty, by its number from 1, heldAt when each last did,
	// tokens the token that it then had. Whoever holds the duty is taken to act.
	holder int
	heldAt [exploredDaemons]time.Duration
	token  uint64
}

func daemonName(i int) string { return string(rune('a' + i)) }

func newWorld() world {
	var w world
	for i := range w.claims {
		w.claims[i] = duty.Claim{Self: daemonName(i), Start: 1, Lease: exploredLease}
	}
	return w
}

// apply does a write if its condition holds.
func (w *world) apply(c duty.WriteRow) bool {
	if c.Was.Number != w.version {
		return false
	}
	w.row, w.version = c.Record, w.version+1
	return true
}

// next returns all worlds that may follow.
func (w world) next() []world {
	var out []world
	if w.now < exploredEnd {
		later := w
		later.now += exploredStep
		out = append(out, later)
	}
	if w.late.waits {
		done := w
		done.apply(w.late.write)
		done.late = call{}
		out = append(out, done)
	}
	for i := range w.claims {
		out = append(out, w.ofDaemon(i)...)
	}
	return out
}

func (w world) ofDaemon(i int) []world {
	var out []world
	if !w.calls[i].waits {
		ticked := w
		switch o := ticked.claims[i].Step(duty.Tick{Contend: true}, w.now).(type) {
		case duty.ReadRow:
			ticked.claims[i].Step(duty.Read{Record: w.row, Version: revision.New(1, w.version)}, w.now)
		case duty.WriteRow:
			ticked.calls[i] = call{waits: true, write: o}
		}
		out = append(out, ticked)
	} else {
		for _, o := range []outcome{answered, doneAndLost, lost, doneLate} {
			if resolved, ok := w.resolve(i, o); ok {
				out = append(out, resolved)
			}
		}
	}
	if w.faults < exploredFaults {
		anew := w
		anew.faults++
		anew.calls[i] = call{}
		anew.claims[i] = duty.Claim{Self: daemonName(i), Start: w.claims[i].Start + 1, Lease: exploredLease}
		out = append(out, anew)
	}
	return out
}

// resolve ends the call of a daemon.
func (w world) resolve(i int, o outcome) (world, bool) {
	c := w.calls[i]
	w.calls[i] = call{}
	if o != answered {
		w.faults++
	}
	if w.faults > exploredFaults {
		return w, false
	}
	switch o {
	case answered:
		if w.apply(c.write) {
			w.claims[i].Step(duty.Written{Version: revision.New(1, w.version)}, w.now)
		} else {
			w.claims[i].Step(duty.Conflict{}, w.now)
		}
		return w, true
	case doneAndLost:
		w.apply(c.write)
	case doneLate:
		if w.late.waits {
			return w, false
		}
		w.late = c
	case lost:
	}
	w.claims[i].Step(duty.Unanswered{}, w.now)
	return w, true
}

// acted notes who holds the duty now, and reports what must not be.
func (w *world) acted() string {
	held := 0
	for i := range w.claims {
		token, ok := w.claims[i].Holds(w.now)
		if !ok {
			continue
		}
		held++
		changed := w.holder != 0 && w.holder != i+1
		switch {
		case changed && token <= w.token:
			return "the token does not rise with the holder"
		case changed && w.heldAt[i] > 0 && w.now-w.heldAt[i] < exploredLease:
			return "a holder came back within a lease"
		}
		w.holder, w.heldAt[i], w.token = i+1, w.now, token
	}
	if held > 1 {
		return "two daemons hold the duty"
	}
	return ""
}

func TestEveryOrderOfEventsOfASmallWorld(t *testing.T) {
	first := newWorld()
	seen := map[world]bool{first: true}
	queue := []world{first}
	takeovers := 0
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, n := range w.next() {
			before := n.holder
			if why := n.acted(); why != "" {
				t.Fatalf("%s: %+v", why, n)
			}
			if before != 0 && n.holder != before {
				takeovers++
			}
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
		if len(seen) > mostWorlds {
			t.Fatalf("more than %d worlds: the world is not small", mostWorlds)
		}
	}
	t.Logf("%d worlds, the holder changed on %d ways", len(seen), takeovers)
	if takeovers == 0 {
		t.Error("no holder ever changed")
	}
}
