package peer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/replication"
)

// TestDaemonsConvergeAfterFailures applies random bills, table edits, kills,
// freezes, network partitions, lost platform answers and outages to a simulated
// cluster. At every step, no daemon goes back to an older generation, no bill
// is written twice, and the generation that a hall reports as in force is held
// by its members. After all faults are removed, every daemon holds the newest
// generation and every durable bill was written exactly once.
func TestDaemonsConvergeAfterFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{network: newNetwork(rapid.Uint64().Draw(t, "seed")), lastGeneration: map[string]uint64{}, lastIncarnation: map[string]int{}}
		w.startAll(rapid.IntRange(2, 9).Draw(t, "daemons"), rapid.IntRange(1, 3).Draw(t, "halls"))
		w.platform.generation = 1
		w.run(5 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"":        w.check,
			"pass":    func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond) },
			"edit":    func(*rapid.T) { w.platform.generation++ },
			"bill":    w.addBill,
			"kill":    func(t *rapid.T) { w.kill(w.pick(t)) },
			"restart": func(t *rapid.T) { w.restart(w.pick(t)) },
			"freeze":  func(t *rapid.T) { w.freeze(w.pick(t)) },
			"thaw":    func(t *rapid.T) { w.thaw(w.pick(t)) },
			"cutHalls": func(t *rapid.T) {
				w.partitioned[[2]string{hallOf(rapid.IntRange(0, 2).Draw(t, "a"), 3), hallOf(rapid.IntRange(0, 2).Draw(t, "b"), 3)}] = true
			},
			"cutOff": func(t *rapid.T) { w.platform.cutHalls[hallOf(rapid.IntRange(0, 2).Draw(t, "hall"), 3)] = true },
			"outage": func(t *rapid.T) { w.platform.down = rapid.Bool().Draw(t, "down") },
			"lose":   func(t *rapid.T) { w.platform.loseNext = rapid.IntRange(0, 3).Draw(t, "answers") },
			"loss":   func(t *rapid.T) { w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss") },
			"heal":   func(*rapid.T) { w.heal() },
		})
		w.heal()
		w.run(60 * time.Second)
		w.check(t)
		w.checkConverged(t)
	})
}

// simulation is a network with the expected state that the checks compare
// against.
type simulation struct {
	*network
	lastGeneration  map[string]uint64
	lastIncarnation map[string]int
	// billed lists all bills with the daemon that created each and its
	// incarnation.
	billed []billedBy
}

type billedBy struct {
	key         string
	id          string
	incarnation int
}

func (w *simulation) pick(t *rapid.T) string { return rapid.SampledFrom(w.ids).Draw(t, "daemon") }

func (w *simulation) restart(id string) {
	w.kill(id)
	w.start(id)
}

func (w *simulation) addBill(t *rapid.T) {
	id := w.pick(t)
	if w.nodes[id] == nil || w.frozen[id] {
		return
	}
	key := fmt.Sprintf("bill-%d", len(w.billed))
	w.billed = append(w.billed, billedBy{key: key, id: id, incarnation: w.incarnation[id]})
	w.bill(id, key)
}

func (w *simulation) heal() {
	clear(w.partitioned)
	clear(w.platform.cutHalls)
	w.platform.down, w.platform.loseNext, w.loss = false, 0, 0
	for _, id := range w.ids {
		w.thaw(id)
		if w.nodes[id] == nil {
			w.start(id)
		}
	}
}

// check verifies the invariants that hold at every step.
func (w *simulation) check(t *rapid.T) {
	for id, n := range w.nodes {
		now := n.Store.Get(replication.Config).Number
		if w.lastIncarnation[id] == w.incarnation[id] && now < w.lastGeneration[id] {
			t.Fatalf("%s went back from generation %d to %d", id, w.lastGeneration[id], now)
		}
		w.lastGeneration[id], w.lastIncarnation[id] = now, w.incarnation[id]
	}
	for key, n := range w.platform.bills {
		if n != 1 {
			t.Fatalf("%s was written %d times", key, n)
		}
	}
	w.checkHallReports(t)
}

// checkHallReports compares what the daemons report about each hall with its
// actual state. A total is some seconds old, but stays valid because
// generations only increase.
func (w *simulation) checkHallReports(t *rapid.T) {
	for id, n := range w.nodes {
		totals, _ := n.Tree.Totals(w.now)
		for _, h := range totals.Halls {
			if !h.Complete {
				continue
			}
			behind := 0
			for other, m := range w.nodes {
				if w.listed(other).Hall == h.Name && m.Store.Get(replication.Config).Number < h.OldestGeneration {
					behind++
				}
			}
			// Daemons that the hall's root counts as down, and those that
			// started after the total was taken, may be behind; the other
			// members may not.
			started := w.startedSince(h.Name, h.AgeMS)
			if behind > int(h.Down)+started {
				t.Fatalf("%s reports generation %d in force on all %d members of %s, but %d are behind (%d down, %d started since)", id, h.OldestGeneration, h.Members, h.Name, behind, h.Down, started)
			}
		}
	}
}

func (w *simulation) startedSince(hall string, ageMS uint64) int {
	n := 0
	since := w.now.Add(-time.Duration(ageMS)*time.Millisecond - 10*time.Second)
	for id, m := range w.nodes {
		if w.listed(id).Hall == hall && int64(m.Group.Self().Incarnation) > since.UnixMilli() {
			n++
		}
	}
	return n
}

// checkConverged verifies the state that the daemons reach once all faults have
// been gone for a while.
func (w *simulation) checkConverged(t *rapid.T) {
	low, high := w.generations()
	if low != w.platform.generation || high != low {
		t.Fatalf("the platform has generation %d, daemons %d to %d", w.platform.generation, low, high)
	}
	for id, n := range w.nodes {
		for _, other := range w.ids {
			if !n.Group.Usable(other) {
				t.Fatalf("%s does not list %s as usable", id, other)
			}
		}
		if n.Pending.Len() > 0 {
			t.Fatalf("%s still holds %d bills", id, n.Pending.Len())
		}
		if age := w.now.Sub(n.Store.ConfirmedAt(replication.Config)); age > 10*time.Second {
			t.Fatalf("%s confirmed its table %v ago", id, age)
		}
	}
	for _, b := range w.billed {
		if w.platform.bills[b.key] == 0 && w.durable[b.key] && w.onlyRestarted(b.id) {
			t.Fatalf("%s was copied to another daemon and only %s was killed, but it was not written", b.key, b.id)
		}
		if w.platform.bills[b.key] == 0 && b.incarnation == w.incarnation[b.id] {
			t.Fatalf("%s of %s, which was never killed, was not written", b.key, b.id)
		}
	}
}

// onlyRestarted reports whether no daemon other than id has ever been killed.
func (w *simulation) onlyRestarted(id string) bool {
	for _, other := range w.ids {
		if other != id && w.incarnation[other] > 1 {
			return false
		}
	}
	return true
}
