package storesync_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// unusable reports whether a daemon sends a server no new requests, because it is leaving or not listed.
func unusable(d *storesync.Syncer, id string) bool {
	for _, s := range d.View().Servers.Service("s") {
		if s.ID == id {
			return !s.Open(time.Now())
		}
	}
	return true
}

// restoreAfterOutage makes the store unreachable for a time and then restores it from a copy.
func (s *cluster) restoreAfterOutage(copied storeCopy, outage time.Duration) {
	for _, l := range s.links {
		l.fail(errDown)
	}
	advance(outage)
	s.store.restore(copied)
	for _, l := range s.links {
		l.fail(nil)
	}
}

// configNumbers returns the number of the configuration in force at each daemon.
func configNumbers(daemons []*storesync.Syncer) []uint64 {
	var out []uint64
	for _, d := range daemons {
		out = append(out, d.View().Map.Number)
	}
	return out
}

// Rows that are written after the store was restored from a copy have lower versions than those
// that daemons knew before. They must be in force within two seconds, and answers of the
// store must count as confirmations again.
func TestChangesAfterARestoreAreInForce(t *testing.T) {
	for _, outage := range []time.Duration{0, 50 * time.Millisecond, 3 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k")
				for _, id := range []string{"a", "b", "c"} {
					s.store.set(gossip.Servers, id, "v1@h1#100")
				}
				daemons := startTwoHalls(s, 1)
				advance(4 * time.Second)
				copied := s.store.copyState()
				for n := range uint64(8) {
					s.writeConfig(2+n, "k", "k2")
				}
				s.store.set(gossip.Servers, "a", "v1@h1#100")
				advance(3 * time.Second)
				s.restoreAfterOutage(copied, outage)
				s.writeConfig(20, "k3")
				s.store.set(gossip.Servers, "b", "v2@h1#200")
				advance(2 * time.Second)
				for i, d := range daemons {
					if n := d.View().Map.Number; n != 20 {
						t.Errorf("daemon %d has configuration %d in force two seconds after 20 was written", i, n)
					}
					if age := d.View().ConfigAge(time.Now()); age > 1500*time.Millisecond {
						t.Errorf("daemon %d was last confirmed %v ago", i, age)
					}
					if born := d.View().Servers.Service("s")[1].Born; born != 200 {
						t.Errorf("daemon %d has start time %d for a server that has restarted", i, born)
					}
				}
			})
		})
	}
}

// Changes that were acknowledged after the copy was made are missing from the restored store.
// They stay in force until they are written again: a configuration, a server that is leaving or
// removed, a drained hall.
func TestWhatAReturnedStoreHasLostHolds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k", "revoked")
		for _, id := range []string{"a", "gone", "leaves"} {
			s.store.set(gossip.Servers, id, "v1@h1#100")
		}
		s.store.set(gossip.Servers, "there", "v1@h2#100")
		s.newDecoder = func(string) storesync.Decoder { return leavingDecoder{} }
		daemons := startTwoHalls(s, 1)
		advance(4 * time.Second)
		copied := s.store.copyState()
		s.writeConfig(5, "k")
		s.store.set(gossip.Servers, "leaves", "v1@h1#100!")
		s.store.set(gossip.Servers, "gone", "")
		s.store.set(gossip.Operator, "empty/h2", "{}")
		s.store.set(gossip.Servers, "new", "v1@h1#100")
		advance(2 * time.Second)
		s.restoreAfterOutage(copied, 100*time.Millisecond)
		check := func(when string) {
			for i, d := range daemons {
				if n := d.View().Map.Number; n != 5 {
					t.Errorf("%s: daemon %d went back to configuration %d", when, i, n)
				}
				if !unusable(d, "leaves") || !unusable(d, "gone") || unusable(d, "new") {
					t.Errorf("%s: daemon %d: out of use: leaving server %v, removed server %v, new server %v", when, i, unusable(d, "leaves"), unusable(d, "gone"), unusable(d, "new"))
				}
				if d.View().Drained["h2"].IsZero() {
					t.Errorf("%s: daemon %d uses a drained hall", when, i)
				}
			}
		}
		for n := range 15 {
			advance(100 * time.Millisecond)
			check(fmt.Sprint(n*100, " ms after the restore"))
		}
		s.writeConfig(5, "k")
		s.store.set(gossip.Operator, "empty/h2", "{}")
		s.store.set(gossip.Servers, "leaves", "v1@h1#100!")
		s.store.set(gossip.Servers, "gone", "")
		s.store.set(gossip.Servers, "new", "v1@h1#100")
		advance(10 * time.Second)
		check("after all rows are written again")
		// Later changes are in force as usual.
		s.store.set(gossip.Servers, "leaves", "v1@h1#300")
		s.store.set(gossip.Operator, "empty/h2", "")
		advance(2 * time.Second)
		for i, d := range daemons {
			if unusable(d, "leaves") || !d.View().Drained["h2"].IsZero() {
				t.Errorf("daemon %d still treats the server as leaving or the hall as drained", i)
			}
		}
	})
}

// A daemon that starts before all rows are written again reads the restored copy. The other daemons
// of its hall send it the rows that the store has lost.
func TestDaemonThatStartsAfterARestoreReceivesLostRows(t *testing.T) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k")
				s.store.set(gossip.Servers, "gone", "v1@h1#100")
				s.store.set(gossip.Servers, "leaves", "v1@h1#100")
				s.newDecoder = func(string) storesync.Decoder { return leavingDecoder{} }
				startTwoHalls(s, 1)
				advance(4 * time.Second)
				copied := s.store.copyState()
				s.writeConfig(5, "k")
				s.store.set(gossip.Servers, "leaves", "v1@h1#100!")
				s.store.set(gossip.Servers, "gone", "")
				advance(2 * time.Second)
				s.restoreAfterOutage(copied, 100*time.Millisecond)
				advance(after)
				late := s.startDaemonIn("h1-late", "h1")
				advance(startupTime)
				if v := late.View(); v.Map.Number != 5 || !unusable(late, "leaves") || !unusable(late, "gone") {
					t.Errorf("configuration %d is in force; out of use: leaving server %v, removed server %v", v.Map.Number, unusable(late, "leaves"), unusable(late, "gone"))
				}
			})
		})
	}
}

// startupTime is how long a daemon must have run before the deadlines of the platform apply to it.
const startupTime = 3 * time.Second

// leavingDecoder reads servers whose row ends with ! as leaving.
type leavingDecoder struct{ decoder }

func (d leavingDecoder) Server(row gossip.Row) (fleet.Server, error) {
	data, leaves := bytes.CutSuffix(row.Data, []byte("!"))
	row.Data = data
	s, err := d.decoder.Server(row)
	s.Leaving = leaves
	return s, err
}

// A row that is missing from the restored store, and that nobody writes again, is dropped after a while.
func TestRowsMissingAfterARestoreAreDroppedInTheEnd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1#100")
		daemons := []*storesync.Syncer{s.startDaemon("d"), s.startDaemon("e")}
		advance(4 * time.Second)
		copied := s.store.copyState()
		s.store.set(gossip.Servers, "b", "v1#100")
		advance(2 * time.Second)
		s.restoreAfterOutage(copied, 0)
		advance(time.Second)
		for _, d := range daemons {
			if got := serverIDs(d); len(got) != 2 {
				t.Errorf("just after the restore the servers in use are %v", got)
			}
		}
		advance(7 * time.Second)
		for _, d := range daemons {
			if got := serverIDs(d); len(got) != 1 {
				t.Errorf("long after the restore the servers in use are %v", got)
			}
		}
	})
}

// Only daemons write the state of a roll-out. If they did not write a lost state again, the
// operator would wait for it, or see an old one.
func TestRolloutStateLostInARestoreIsWrittenAgain(t *testing.T) {
	for name, before := range map[string]time.Duration{"running": 300 * time.Millisecond, "completed": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s, syncers := startRollout(t, 30, 10)
				observeGoodAnswers(syncers, "v1", "v2")
				copied := s.store.copyState()
				if name == "running" {
					s.store.mu.Lock()
					delete(copied.tables[gossip.Progress], "s")
					s.store.mu.Unlock()
				}
				advance(before)
				want := s.storedProgress()
				s.restoreAfterOutage(copied, 100*time.Millisecond)
				advance(3 * time.Second)
				if got := s.storedProgress(); got.State < want.State || got.Version != want.Version || got.SinceMS != want.SinceMS {
					t.Errorf("the state in the store is %+v, it was %+v before the restore", got, want)
				}
				if name == "completed" && (!prefersVersion(syncers[0], lowestHash, "v2") || !prefersVersion(syncers[0], highestHash, "v2")) {
					t.Error("a completed version is not used")
				}
				if name == "completed" && want.State != canary.Completed {
					t.Errorf("the roll-out was %v before the restore", want.State)
				}
			})
		})
	}
}

// An order that the operator writes again after a restore is the same order: its roll-out does not restart.
func TestOrderWrittenAgainDoesNotRestartTheRollout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "old", "v1")
		daemons := startTwoHalls(s, 1)
		advance(4 * time.Second)
		copied := s.store.copyState()
		s.writeConfig(2, "k")
		order := `{"Version":"v2","Seconds":20}`
		s.store.set(gossip.Operator, "order/s", order)
		advance(3 * time.Second)
		before := s.storedProgress()
		s.restoreAfterOutage(copied, 100*time.Millisecond)
		s.store.set(gossip.Operator, "order/s", order)
		s.writeConfig(2, "k")
		advance(4 * time.Second)
		got := s.storedProgress()
		if got.SinceMS != before.SinceMS || got.State != canary.Running {
			t.Errorf("the state was %+v before the restore and is %+v", before, got)
		}
		for i, d := range append(daemons, s.startDaemonIn("late", "h1")) {
			advance(time.Second)
			if r, ok := d.View().Rollout("s"); !ok || !r.Started {
				t.Errorf("daemon %d: order known %v, roll-out %+v", i, ok, r)
			}
		}
	})
}

// Daemons that started shortly before the restore are missing from the copy's list of daemons.
func TestDaemonsLostInARestoreAreListedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1")
		first := s.startDaemon("d")
		advance(3 * time.Second)
		copied := s.store.copyState()
		second := s.startDaemon("e")
		advance(3 * time.Second)
		s.restoreAfterOutage(copied, 100*time.Millisecond)
		advance(8 * time.Second)
		if s.store.get(gossip.Members, "e") == "" || first.View().Daemons != 2 || second.View().Daemons != 2 {
			t.Errorf("the daemons count %d and %d daemons; second one in the store: %v", first.View().Daemons, second.View().Daemons, s.store.get(gossip.Members, "e") != "")
		}
	})
}

// Whatever the order of restores, changes and outages, and whichever daemon learns of them first:
// no daemon goes back to an older configuration, and all have the latest one within two seconds
// of the last change.
func TestNoOrderOfRestoresTakesADaemonBack(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runRandomRestores(t, seed) })
		})
	}
}

func runRandomRestores(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	s := newCluster(t)
	s.newDecoder = func(string) storesync.Decoder { return leavingDecoder{} }
	s.writeConfig(1, "k")
	s.store.set(gossip.Servers, "a", "v1@h1#100")
	daemons := startTwoHalls(s, 1)
	advance(4 * time.Second)
	number, left := uint64(1), false
	highest := make([]uint64, len(daemons))
	checkNoRollback := func() {
		t.Helper()
		for i, n := range configNumbers(daemons) {
			if n < highest[i] {
				t.Fatalf("daemon %d went back from configuration %d to %d", i, highest[i], n)
			}
			highest[i] = n
		}
	}
	copied := s.store.copyState()
	ids := []string{"h1-0-1", "h1-1-1", "h1-2-1", "h2-0-1", "h2-1-1", "h2-2-1"}
	for range 30 {
		switch random.IntN(6) {
		case 0:
			copied = s.store.copyState()
		case 1:
			s.store.restore(copied)
			// The operator and the servers write their rows again.
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			s.writeConfig(number, "k")
			if left {
				s.store.set(gossip.Servers, "a", "v1@h1#100!")
			}
		case 2, 3:
			number += 1 + random.Uint64N(3)
			s.writeConfig(number, "k")
		case 4:
			s.links[ids[random.IntN(len(ids))]].fail(errDown)
		case 5:
			for _, l := range s.links {
				l.fail(nil)
			}
		}
		if random.IntN(12) == 0 {
			left = true
			s.store.set(gossip.Servers, "a", "v1@h1#100!")
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		checkNoRollback()
	}
	for _, l := range s.links {
		l.fail(nil)
	}
	number++
	s.writeConfig(number, "k")
	advance(2 * time.Second)
	checkNoRollback()
	for i, d := range daemons {
		if n := d.View().Map.Number; n != number {
			t.Errorf("daemon %d has configuration %d in force, %d was written two seconds ago", i, n, number)
		}
		if left != unusable(d, "a") {
			t.Errorf("daemon %d: server leaving is %v, out of use is %v", i, left, unusable(d, "a"))
		}
	}
}
