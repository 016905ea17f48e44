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

// startHall starts n daemons of one hall at once.
func (s *cluster) startHall(n int) map[string]*storesync.Syncer {
	out := map[string]*storesync.Syncer{}
	for i := range n {
		id := fmt.Sprintf("d%02d", i)
		out[id] = s.startDaemon(id)
	}
	return out
}

// totalCalls sums the calls of all daemons to the store.
func totalCalls(syncers map[string]*storesync.Syncer) int64 {
	n := int64(0)
	for _, d := range syncers {
		n += d.Calls.Load()
	}
	return n
}

// firstReader returns the daemon that reads the store for its hall. All daemons of a test have
// the same capacity, so this is the first by the hash of its id.
func firstReader(all map[string]*storesync.Syncer) string {
	return slices.MinFunc(slices.Collect(maps.Keys(all)), compareReadOrder)
}

// compareReadOrder orders daemons of equal capacity by who reads the store first.
func compareReadOrder(a, b string) int {
	return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
}

// Without the bound, a hall whose daemons start at once made seven calls per daemon: each
// followed all topics until it had found which daemon reads for the hall.
func TestHallStartMakesFewStoreCalls(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		all := s.startHall(30)
		advance(3 * time.Second)
		// Each daemon writes its entry and reads three topics; the reader follows all.
		if n := totalCalls(all); n > 150 {
			t.Errorf("%d store calls", n)
		}
		for id, d := range all {
			if age := d.View().ConfigAge(time.Now()); age > 2*time.Second {
				t.Errorf("%s: age of the configuration is %v", id, age)
			}
		}
	})
}

// startHallFirstTime starts a hall of n daemons at once, for the first time.
func startHallFirstTime(t *testing.T, n int) (*cluster, map[string]*storesync.Syncer) {
	t.Helper()
	s := newCluster(t)
	s.firstStart = true
	s.writeConfig(1, "k")
	s.store.set(gossip.Servers, "a", "v1")
	return s, s.startHall(n)
}

// At the first start of a hall, a daemon writes its entry and reads the list of daemons; the
// rest it receives from the reader of its hall. 30 daemons that read everything themselves
// made 130 calls.
func TestFirstStartReadsTheStoreOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		_, all := startHallFirstTime(t, 30)
		advance(2500 * time.Millisecond)
		if n := totalCalls(all); n > 75 {
			t.Errorf("%d store calls", n)
		}
		for id, d := range all {
			if age := d.View().ConfigAge(time.Now()); age > 2*time.Second || d.View().Servers == nil {
				t.Errorf("%s: age of the configuration is %v", id, age)
			}
		}
		advance(3 * time.Second)
		if n := totalCalls(all); n > 90 {
			t.Errorf("%d store calls after another three seconds", n)
		}
	})
}

// A daemon that counted only itself before it had read the list of daemons would take too
// large a share of the limits that all daemons divide among themselves.
func TestNumberOfDaemonsIsUnknownUntilListIsRead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		_, all := startHallFirstTime(t, 6)
		for _, want := range []int{0, 6} {
			advance(200 * time.Millisecond)
			for id, d := range all {
				if n := d.View().Daemons; n != want {
					t.Errorf("%s: number of daemons is %d, want %d", id, n, want)
				}
			}
			advance(3 * time.Second)
		}
	})
}

// If the reader is listed, but does not answer, the other daemons read the store themselves.
func TestFirstStartWithUnreachableReader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, all := startHallFirstTime(t, 6)
		// The first reader receives no message from the other daemons.
		first := firstReader(all)
		s.network.mu.Lock()
		delete(s.network.syncers, first)
		s.network.mu.Unlock()
		advance(5 * time.Second)
		for id, d := range all {
			if id == first {
				continue
			}
			if age := d.View().ConfigAge(time.Now()); age > 2*time.Second || d.View().Servers == nil {
				t.Errorf("%s: age of the configuration is %v", id, age)
			}
		}
	})
}

// While the store did not answer, 30 daemons made 504 calls in eight seconds: each in turn
// found that the one before it had no answer, and called the store itself.
func TestUnresponsiveStoreIsNotCalledByAll(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		all := s.startHall(30)
		advance(10 * time.Second)
		before := totalCalls(all)
		for _, l := range s.links {
			l.setUnresponsive(true)
		}
		advance(8 * time.Second)
		if n := totalCalls(all) - before; n > 150 {
			t.Errorf("%d calls while the store did not answer", n)
		}
		for _, l := range s.links {
			l.setUnresponsive(false)
		}
		advance(2 * time.Second)
		s.writeConfig(2, "k")
		advance(time.Second)
		for id, d := range all {
			if v := d.View(); v.Map.Number != 2 {
				t.Errorf("%s has configuration %d after the store recovered", id, v.Map.Number)
			}
		}
	})
}

// A store that serves only some daemons is found through them before keys expire, even if they
// are the last in the reading order. When daemons tried one after the other, the first of these
// came when the configuration was 7 s old.
func TestStoreThatServesFewDaemonsIsFoundInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		all := s.startHall(20)
		advance(10 * time.Second)
		ids := slices.Collect(maps.Keys(all))
		slices.SortFunc(ids, compareReadOrder)
		for _, id := range ids[:14] {
			s.links[id].fail(errDown)
		}
		for range 20 {
			advance(500 * time.Millisecond)
			for id, d := range all {
				if age := d.View().ConfigAge(time.Now()); age > 3500*time.Millisecond {
					t.Errorf("%s: age of the configuration is %v", id, age)
				}
			}
		}
	})
}

// Entries of daemons that are gone for good must not delay a new daemon in reading the store.
func TestEntriesOfGoneDaemonsDelayNoStart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		gone := s.startHall(10)
		advance(3 * time.Second)
		s.network.mu.Lock()
		for id := range gone {
			delete(s.network.syncers, id)
		}
		s.network.mu.Unlock()
		for id := range gone {
			s.links[id].fail(errDown)
		}
		d := s.startDaemon("new")
		for range 20 {
			advance(500 * time.Millisecond)
			if age := d.View().ConfigAge(time.Now()); age > 3*time.Second {
				t.Errorf("age of the configuration is %v", age)
			}
		}
		s.store.set(gossip.Servers, "x", "v1")
		advance(time.Second)
		if len(serverIDs(d)) != 1 {
			t.Error("a new server is not known")
		}
	})
}

// A daemon that receives no messages from others, but reaches the store, reads it before keys expire.
func TestDaemonWithoutPeersReadsTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		all := s.startHall(30)
		advance(10 * time.Second)
		s.network.mu.Lock()
		for id := range all {
			s.network.delaying[id] = id == "d07" || id == "d19"
		}
		s.network.mu.Unlock()
		for range 20 {
			advance(500 * time.Millisecond)
			for _, id := range []string{"d07", "d19"} {
				if age := all[id].View().ConfigAge(time.Now()); age > 4*time.Second {
					t.Errorf("%s: age of the configuration is %v", id, age)
				}
			}
		}
	})
}

// Whichever daemons of a hall the store still serves, and from whatever moment: the configuration
// of no daemon gets older than 3.5 s. When daemons tried one after the other, it reached
// 7 s with the first ten of twenty disconnected from the store.
func TestStoreThatServesSomeIsFoundWhoeverTheyAre(t *testing.T) {
	const bubbles = 20
	for n := range uint64(bubbles) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k")
				all := s.startHall(20)
				random := rand.New(rand.NewPCG(20261202, n))
				for range outagesPerBubble {
					s.runRandomOutage(all, random)
				}
			})
		})
	}
}

// runRandomOutage disconnects a random set of daemons from the store for five seconds.
func (s *cluster) runRandomOutage(all map[string]*storesync.Syncer, random *rand.Rand) {
	s.t.Helper()
	advance(2*time.Second + time.Duration(random.Int64N(int64(time.Second))))
	ids := slices.Sorted(maps.Keys(all))
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	served := 1 + random.IntN(len(ids)/2)
	unanswered := random.IntN(2) == 0
	for _, id := range ids[served:] {
		s.disconnectStore(id, unanswered)
	}
	s.checkConfigAge(all, 5*time.Second, ids[:served])
	for _, id := range ids {
		s.reconnectStore(id)
	}
}

// disconnectStore cuts a daemon off from the store: its calls fail, or stay without an answer if unanswered is set.
func (s *cluster) disconnectStore(id string, unanswered bool) {
	if unanswered {
		s.links[id].setUnresponsive(true)
		return
	}
	s.links[id].fail(errDown)
}

// reconnectStore ends disconnectStore.
func (s *cluster) reconnectStore(id string) {
	s.links[id].setUnresponsive(false)
	s.links[id].fail(nil)
}

// checkConfigAge advances the clock and reports daemons whose configuration is older than 3.5 s.
func (s *cluster) checkConfigAge(all map[string]*storesync.Syncer, during time.Duration, served []string) {
	s.t.Helper()
	const (
		step   = 100 * time.Millisecond
		oldest = 3500 * time.Millisecond
	)
	for passed := time.Duration(0); passed < during; passed += step {
		advance(step)
		for id, d := range all {
			if age := d.View().ConfigAge(time.Now()); age > oldest {
				s.t.Errorf("served %v: %s: age of the configuration is %v after %v", served, id, age, passed)
				return
			}
		}
	}
}
