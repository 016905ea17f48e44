package storesync_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// hallOf starts n daemons of one hall at once.
func (s *system) hallOf(n int) map[string]*storesync.Syncer {
	out := map[string]*storesync.Syncer{}
	for i := range n {
		id := fmt.Sprintf("d%02d", i)
		out[id] = s.daemon(id)
	}
	return out
}

// calls adds up the calls to the store.
func calls(keepers map[string]*storesync.Syncer) int64 {
	n := int64(0)
	for _, k := range keepers {
		n += k.Calls.Load()
	}
	return n
}

// firstReader is the daemon that reads for the others: all have the same capacity, so
// it is the first by the hash of its id.
func firstReader(all map[string]*storesync.Syncer) string {
	return slices.MinFunc(slices.Collect(maps.Keys(all)), byTurn)
}

// byTurn orders daemons as they read, those of a test all having the same capacity.
func byTurn(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) }

// A hall that starts at once made seven calls a daemon: each followed all topics
// until it had found who reads.
func TestHallThatStartsAsksTheStoreLittle(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		all := s.hallOf(30)
		pass(3 * time.Second)
		// Its own entry, three topics, and what the reader follows.
		if n := calls(all); n > 150 {
			t.Errorf("%d calls", n)
		}
		for id, k := range all {
			if age := k.View().ConfigAge(time.Now()); age > 2*time.Second {
				t.Errorf("%s takes the configuration for %v old", id, age)
			}
		}
	})
}

// firstStart is a hall of n daemons that start at once, for the first time.
func firstStart(t *testing.T, n int) (*system, map[string]*storesync.Syncer) {
	t.Helper()
	s := newSystem(t)
	s.firstStart = true
	s.config(1, "k")
	s.rows.set(gossip.Servers, "a", "v1")
	return s, s.hallOf(n)
}

// At the first start of all, a daemon writes its entry and reads the list of daemons;
// the rest it hears from the reader of its hall: 130 calls without that.
func TestFirstStartIsReadOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		_, all := firstStart(t, 30)
		pass(2500 * time.Millisecond)
		if n := calls(all); n > 75 {
			t.Errorf("%d calls", n)
		}
		for id, k := range all {
			if age := k.View().ConfigAge(time.Now()); age > 2*time.Second || k.View().Servers == nil {
				t.Errorf("%s takes the configuration for %v old", id, age)
			}
		}
		pass(3 * time.Second)
		if n := calls(all); n > 90 {
			t.Errorf("%d calls after another three seconds", n)
		}
	})
}

// A daemon that counts only itself before it has read the list takes too large a share of
// what all of them have.
func TestNumberOfDaemonsIsUnknownUntilTheirListIsRead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		_, all := firstStart(t, 6)
		for _, want := range []int{0, 6} {
			pass(200 * time.Millisecond)
			for id, k := range all {
				if n := k.View().Daemons; n != want {
					t.Errorf("%s takes them for %d, want %d", id, n, want)
				}
			}
			pass(3 * time.Second)
		}
	})
}

// With a reader that is listed and does not answer, the others read for themselves.
func TestFirstStartWithoutItsReaderIsReadByOthers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, all := firstStart(t, 6)
		// Whoever reads first is cut off from the other daemons and the store.
		first := firstReader(all)
		s.mesh.mu.Lock()
		delete(s.mesh.keepers, first)
		s.mesh.mu.Unlock()
		pass(5 * time.Second)
		for id, k := range all {
			if id == first {
				continue
			}
			if age := k.View().ConfigAge(time.Now()); age > 2*time.Second || k.View().Servers == nil {
				t.Errorf("%s takes the configuration for %v old", id, age)
			}
		}
	})
}

// While the store was silent, 30 daemons made 504 calls in eight seconds: each in
// turn found the one before it useless and tried for itself.
func TestStoreThatIsSilentIsNotAskedByAll(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		all := s.hallOf(30)
		pass(10 * time.Second)
		before := calls(all)
		for _, l := range s.links {
			l.silence(true)
		}
		pass(8 * time.Second)
		if n := calls(all) - before; n > 150 {
			t.Errorf("%d calls while the store was silent", n)
		}
		for _, l := range s.links {
			l.silence(false)
		}
		pass(2 * time.Second)
		s.config(2, "k")
		pass(time.Second)
		for id, k := range all {
			if v := k.View(); v.Map.Number != 2 {
				t.Errorf("%s has configuration %d after the return", id, v.Map.Number)
			}
		}
	})
}

// A store that serves only some daemons is found through them while keys pass, also if
// they are the last that would try it: in turns of one after the other the first of
// them came when the configuration was 7 s old.
func TestStoreThatServesFewIsFoundInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		all := s.hallOf(20)
		pass(10 * time.Second)
		ids := slices.Collect(maps.Keys(all))
		slices.SortFunc(ids, byTurn)
		for _, id := range ids[:14] {
			s.links[id].fail(errDown)
		}
		for range 20 {
			pass(500 * time.Millisecond)
			for id, k := range all {
				if age := k.View().ConfigAge(time.Now()); age > 3500*time.Millisecond {
					t.Errorf("%s takes the configuration for %v old", id, age)
				}
			}
		}
	})
}

// Entries of daemons that are gone for good do not keep one that starts from
// reading the store in time.
func TestEntriesOfGoneDaemonsDelayNobody(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		gone := s.hallOf(10)
		pass(3 * time.Second)
		s.mesh.mu.Lock()
		for id := range gone {
			delete(s.mesh.keepers, id)
		}
		s.mesh.mu.Unlock()
		for id := range gone {
			s.links[id].fail(errDown)
		}
		k := s.daemon("new")
		for range 20 {
			pass(500 * time.Millisecond)
			if age := k.View().ConfigAge(time.Now()); age > 3*time.Second {
				t.Errorf("the configuration is taken for %v old", age)
			}
		}
		s.rows.set(gossip.Servers, "x", "v1")
		pass(time.Second)
		if len(servers(k)) != 1 {
			t.Error("a new server is not known")
		}
	})
}

// A daemon that hears nobody, but reaches the store, reads it while keys pass.
func TestDaemonThatHearsNobodyReadsTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		all := s.hallOf(30)
		pass(10 * time.Second)
		s.mesh.mu.Lock()
		for id := range all {
			s.mesh.holding[id] = id == "d07" || id == "d19"
		}
		s.mesh.mu.Unlock()
		for range 20 {
			pass(500 * time.Millisecond)
			for _, id := range []string{"d07", "d19"} {
				if age := all[id].View().ConfigAge(time.Now()); age > 4*time.Second {
					t.Errorf("%s takes the configuration for %v old", id, age)
				}
			}
		}
	})
}

// Whoever of a hall the store still serves, and from whatever moment: what the others
// know grows no older than three and a half seconds. Turns in a row, one daemon after
// the other, let it grow to seven where the first ten of twenty were turned away.
func TestStoreThatServesSomeIsFoundWhoeverTheyAre(t *testing.T) {
	const bubbles = 20
	for n := range uint64(bubbles) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				s := newSystem(t)
				s.config(1, "k")
				all := s.hallOf(20)
				random := rand.New(rand.NewPCG(20261202, n))
				for range drawsEach {
					s.drawWhoIsServed(all, random)
				}
			})
		})
	}
}

// drawWhoIsServed lets the store serve some daemons of a hall only, for a while.
func (s *system) drawWhoIsServed(all map[string]*storesync.Syncer, random *rand.Rand) {
	s.t.Helper()
	pass(2*time.Second + time.Duration(random.Int64N(int64(time.Second))))
	ids := slices.Sorted(maps.Keys(all))
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	served := 1 + random.IntN(len(ids)/2)
	silent := random.IntN(2) == 0
	for _, id := range ids[served:] {
		s.turnAway(id, silent)
	}
	s.watch(all, 5*time.Second, ids[:served])
	for _, id := range ids {
		s.takeBack(id)
	}
}

// turnAway cuts a daemon off from the store: its calls fail, or are not answered.
func (s *system) turnAway(id string, silent bool) {
	if silent {
		s.links[id].silence(true)
		return
	}
	s.links[id].fail(errDown)
}

// takeBack ends that.
func (s *system) takeBack(id string) {
	s.links[id].silence(false)
	s.links[id].fail(nil)
}

// watch lets time pass and reports daemons whose configuration is older than it may be.
func (s *system) watch(all map[string]*storesync.Syncer, during time.Duration, served []string) {
	s.t.Helper()
	const (
		step   = 100 * time.Millisecond
		oldest = 3500 * time.Millisecond
	)
	for passed := time.Duration(0); passed < during; passed += step {
		pass(step)
		for id, k := range all {
			if age := k.View().ConfigAge(time.Now()); age > oldest {
				s.t.Errorf("served %v: %s takes the configuration for %v old after %v", served, id, age, passed)
				return
			}
		}
	}
}
