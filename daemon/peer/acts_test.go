package peer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/replication"
)

// TestManyDaemonsActAsOne drives nodes with requests to bill, edits, kills,
// freezes, cuts, lost answers and outages, against an oracle of sets and
// counts: no daemon ever goes back a generation, what a hall claims to be in
// force is, and, once all is healed, every daemon holds the newest generation
// and every safe bill was written exactly once.
func TestManyDaemonsActAsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{links: newLinks(rapid.Uint64().Draw(t, "seed")), held: map[string]uint64{}, lives: map[string]int{}}
		w.addAll(rapid.IntRange(2, 9).Draw(t, "daemons"), rapid.IntRange(1, 3).Draw(t, "halls"))
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
				w.cut[[2]string{hallOf(rapid.IntRange(0, 2).Draw(t, "a"), 3), hallOf(rapid.IntRange(0, 2).Draw(t, "b"), 3)}] = true
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
		w.settled(t)
	})
}

// world is links with the oracle's sets and counts.
type world struct {
	*links
	held  map[string]uint64
	lives map[string]int
	// billed are the keys of all bills, with the daemon and its life.
	billed []billedBy
}

type billedBy struct {
	key  string
	id   string
	life int
}

func (w *world) pick(t *rapid.T) string { return rapid.SampledFrom(w.ids).Draw(t, "daemon") }

func (w *world) restart(id string) {
	w.kill(id)
	w.start(id)
}

func (w *world) addBill(t *rapid.T) {
	id := w.pick(t)
	if w.nodes[id] == nil || w.frozen[id] {
		return
	}
	key := fmt.Sprintf("bill-%d", len(w.billed))
	w.billed = append(w.billed, billedBy{key: key, id: id, life: w.life[id]})
	w.bill(id, key)
}

func (w *world) heal() {
	clear(w.cut)
	clear(w.platform.cutHalls)
	w.platform.down, w.platform.loseNext, w.loss = false, 0, 0
	for _, id := range w.ids {
		w.thaw(id)
		if w.nodes[id] == nil {
			w.start(id)
		}
	}
}

// check holds at any moment.
func (w *world) check(t *rapid.T) {
	for id, n := range w.nodes {
		now := n.Store.Get(replication.Config).Number
		if w.lives[id] == w.life[id] && now < w.held[id] {
			t.Fatalf("%s went back from generation %d to %d", id, w.held[id], now)
		}
		w.held[id], w.lives[id] = now, w.life[id]
	}
	for key, n := range w.platform.bills {
		if n != 1 {
			t.Fatalf("%s was written %d times", key, n)
		}
	}
	w.checkClaims(t)
}

// checkClaims compares what the daemons say of each hall with what is so. A
// total is some seconds old; since generations only rise, it still holds.
func (w *world) checkClaims(t *rapid.T) {
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
			// Daemons that the hall's root does not count on, and those that
			// started since, may be behind; the members are not.
			started := w.startedSince(h.Name, h.AgeMS)
			if behind > int(h.Down)+started {
				t.Fatalf("%s says that generation %d is in force on all %d members of %s, but %d are behind (%d down, %d started since)", id, h.OldestGeneration, h.Members, h.Name, behind, h.Down, started)
			}
		}
	}
}

func (w *world) startedSince(hall string, ageMS uint64) int {
	n := 0
	since := w.now.Add(-time.Duration(ageMS)*time.Millisecond - 10*time.Second)
	for id, m := range w.nodes {
		if w.listed(id).Hall == hall && int64(m.Group.Self().Incarnation) > since.UnixMilli() {
			n++
		}
	}
	return n
}

// settled holds once all has been healed for a while.
func (w *world) settled(t *rapid.T) {
	low, high := w.generations()
	if low != w.platform.generation || high != low {
		t.Fatalf("the platform has generation %d, daemons %d to %d", w.platform.generation, low, high)
	}
	for id, n := range w.nodes {
		for _, other := range w.ids {
			if !n.Group.Usable(other) {
				t.Fatalf("%s does not count on %s", id, other)
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
		if w.platform.bills[b.key] == 0 && w.safe[b.key] && w.onlyDied(b.id) {
			t.Fatalf("%s was safe with another daemon, %s alone has died, and it is not written", b.key, b.id)
		}
		if w.platform.bills[b.key] == 0 && b.life == w.life[b.id] {
			t.Fatalf("%s of %s, which never stopped, is not written", b.key, b.id)
		}
	}
}

// onlyDied reports whether no daemon but the given one has ever died.
func (w *world) onlyDied(id string) bool {
	for _, other := range w.ids {
		if other != id && w.life[other] > 1 {
			return false
		}
	}
	return true
}
