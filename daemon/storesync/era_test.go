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

// leaving reports whether a daemon knows that a server takes nothing new.
func leaving(k *storesync.Syncer, id string) bool {
	for _, s := range k.View().Servers.Service("s") {
		if s.ID == id {
			return !s.Open(time.Now())
		}
	}
	return true
}

// drill has the store return from a copy of so long ago.
func (s *system) drill(copied state, away time.Duration) {
	for _, l := range s.links {
		l.fail(errDown)
	}
	pass(away)
	s.rows.returns(copied)
	for _, l := range s.links {
		l.fail(nil)
	}
}

// numbers are the configurations in force.
func numbers(daemons []*storesync.Syncer) []uint64 {
	var out []uint64
	for _, k := range daemons {
		out = append(out, k.View().Map.Number)
	}
	return out
}

// What is written after a return has a lower version than what was known before it. It is in
// force within two seconds all the same, and answers of the store keep daemons current.
func TestChangesAfterAReturnFromACopyAreInForce(t *testing.T) {
	for _, away := range []time.Duration{0, 50 * time.Millisecond, 3 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newSystem(t)
				s.config(1, "k")
				for _, id := range []string{"a", "b", "c"} {
					s.rows.set(gossip.Servers, id, "v1@h1#100")
				}
				daemons := halls(s, 1)
				pass(4 * time.Second)
				copied := s.rows.copied()
				for n := range uint64(8) {
					s.config(2+n, "k", "k2")
				}
				s.rows.set(gossip.Servers, "a", "v1@h1#100")
				pass(3 * time.Second)
				s.drill(copied, away)
				s.config(20, "k3")
				s.rows.set(gossip.Servers, "b", "v2@h1#200")
				pass(2 * time.Second)
				for i, k := range daemons {
					if n := k.View().Map.Number; n != 20 {
						t.Errorf("daemon %d has configuration %d in force two seconds after 20 was written", i, n)
					}
					if age := k.View().ConfigAge(time.Now()); age > 1500*time.Millisecond {
						t.Errorf("daemon %d was last confirmed %v ago", i, age)
					}
					if born := k.View().Servers.Service("s")[1].Born; born != 200 {
						t.Errorf("daemon %d knows the start %d of a server that has begun again", i, born)
					}
				}
			})
		})
	}
}

// What was acknowledged before the return is not in the copy. It holds until it is written
// again: a configuration, a server that leaves or is gone, a hall that is emptied.
func TestWhatAReturnedStoreHasLostHolds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k", "revoked")
		for _, id := range []string{"a", "gone", "leaves"} {
			s.rows.set(gossip.Servers, id, "v1@h1#100")
		}
		s.rows.set(gossip.Servers, "there", "v1@h2#100")
		s.decode = func(string) storesync.Decoder { return drainDecoder{} }
		daemons := halls(s, 1)
		pass(4 * time.Second)
		copied := s.rows.copied()
		s.config(5, "k")
		s.rows.set(gossip.Servers, "leaves", "v1@h1#100!")
		s.rows.set(gossip.Servers, "gone", "")
		s.rows.set(gossip.Operator, "empty/h2", "{}")
		s.rows.set(gossip.Servers, "new", "v1@h1#100")
		pass(2 * time.Second)
		s.drill(copied, 100*time.Millisecond)
		check := func(when string) {
			for i, k := range daemons {
				if n := k.View().Map.Number; n != 5 {
					t.Errorf("%s: daemon %d went back to configuration %d", when, i, n)
				}
				if !leaving(k, "leaves") || !leaving(k, "gone") || leaving(k, "new") {
					t.Errorf("%s: daemon %d: the leaving server %v, the one that is gone %v, the new one %v are out of use", when, i, leaving(k, "leaves"), leaving(k, "gone"), leaving(k, "new"))
				}
				if k.View().Drained["h2"].IsZero() {
					t.Errorf("%s: daemon %d uses a hall that is emptied", when, i)
				}
			}
		}
		for n := range 15 {
			pass(100 * time.Millisecond)
			check(fmt.Sprint(n*100, " ms after the return"))
		}
		s.config(5, "k")
		s.rows.set(gossip.Operator, "empty/h2", "{}")
		s.rows.set(gossip.Servers, "leaves", "v1@h1#100!")
		s.rows.set(gossip.Servers, "gone", "")
		s.rows.set(gossip.Servers, "new", "v1@h1#100")
		pass(10 * time.Second)
		check("after all is written again")
		// What comes then is news.
		s.rows.set(gossip.Servers, "leaves", "v1@h1#300")
		s.rows.set(gossip.Operator, "empty/h2", "")
		pass(2 * time.Second)
		for i, k := range daemons {
			if leaving(k, "leaves") || !k.View().Drained["h2"].IsZero() {
				t.Errorf("daemon %d holds what is over", i)
			}
		}
	})
}

// A daemon that starts before all is written again reads the copy. Its hall tells it what the
// others hold.
func TestDaemonThatStartsAfterAReturnHearsWhatTheStoreHasLost(t *testing.T) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newSystem(t)
				s.config(1, "k")
				s.rows.set(gossip.Servers, "gone", "v1@h1#100")
				s.rows.set(gossip.Servers, "leaves", "v1@h1#100")
				s.decode = func(string) storesync.Decoder { return drainDecoder{} }
				halls(s, 1)
				pass(4 * time.Second)
				copied := s.rows.copied()
				s.config(5, "k")
				s.rows.set(gossip.Servers, "leaves", "v1@h1#100!")
				s.rows.set(gossip.Servers, "gone", "")
				pass(2 * time.Second)
				s.drill(copied, 100*time.Millisecond)
				pass(after)
				late := s.daemonIn("h1-late", "h1")
				pass(contact)
				if v := late.View(); v.Map.Number != 5 || !leaving(late, "leaves") || !leaving(late, "gone") {
					t.Errorf("it has configuration %d in force; out of use are the leaving server %v, the one that is gone %v", v.Map.Number, leaving(late, "leaves"), leaving(late, "gone"))
				}
			})
		})
	}
}

// contact is how long a daemon must have run for the platform's bounds to hold for it.
const contact = 3 * time.Second

// drainDecoder reads servers with ! at the end as leaving.
type drainDecoder struct{ decoder }

func (d drainDecoder) Server(row gossip.Row) (fleet.Server, error) {
	data, leaves := bytes.CutSuffix(row.Data, []byte("!"))
	row.Data = data
	s, err := d.decoder.Server(row)
	s.Leaving = leaves
	return s, err
}

// A row that nobody writes again is gone after a while: the store is believed then.
func TestRowsThatAReturnedStoreLacksAreGoneInTheEnd(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1#100")
		daemons := []*storesync.Syncer{s.daemon("d"), s.daemon("e")}
		pass(4 * time.Second)
		copied := s.rows.copied()
		s.rows.set(gossip.Servers, "b", "v1#100")
		pass(2 * time.Second)
		s.drill(copied, 0)
		pass(time.Second)
		for _, k := range daemons {
			if got := servers(k); len(got) != 2 {
				t.Errorf("just after the return %v are used", got)
			}
		}
		pass(7 * time.Second)
		for _, k := range daemons {
			if got := servers(k); len(got) != 1 {
				t.Errorf("long after the return %v are used", got)
			}
		}
	})
}

// The state of a roll-out that the store has lost is nobody else's to write: the operator would
// wait for it, or see an old one.
func TestStateOfARolloutThatAReturnedStoreHasLostIsWrittenAgain(t *testing.T) {
	for name, before := range map[string]time.Duration{"running": 300 * time.Millisecond, "completed": 12 * time.Second} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s, keepers := rollout(t, 30, 10)
				copied := s.rows.copied()
				if name == "running" {
					s.rows.mu.Lock()
					delete(copied.tables[gossip.Progress], "s")
					s.rows.mu.Unlock()
				}
				pass(before)
				want := s.progress()
				s.drill(copied, 100*time.Millisecond)
				pass(3 * time.Second)
				if got := s.progress(); got.State < want.State || got.Version != want.Version || got.SinceMS != want.SinceMS {
					t.Errorf("the store has %+v, it had %+v", got, want)
				}
				if name == "completed" && (!uses(keepers[0], lowest, "v2") || !uses(keepers[0], highest, "v2")) {
					t.Error("a completed version is not used")
				}
				if name == "completed" && want.State != canary.Completed {
					t.Errorf("the roll-out was %v before the drill", want.State)
				}
			})
		})
	}
}

// An order that the operator has written again is the same order: it does not begin anew.
func TestOrderThatIsWrittenAgainIsTheSame(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "old", "v1")
		daemons := halls(s, 1)
		pass(4 * time.Second)
		copied := s.rows.copied()
		s.config(2, "k")
		order := `{"Version":"v2","Seconds":20}`
		s.rows.set(gossip.Operator, "order/s", order)
		pass(3 * time.Second)
		before := s.progress()
		s.drill(copied, 100*time.Millisecond)
		s.rows.set(gossip.Operator, "order/s", order)
		s.config(2, "k")
		pass(4 * time.Second)
		got := s.progress()
		if got.SinceMS != before.SinceMS || got.State != canary.Running {
			t.Errorf("the state was %+v and is %+v", before, got)
		}
		for i, k := range append(daemons, s.daemonIn("late", "h1")) {
			pass(time.Second)
			if r, ok := k.View().Rollout("s"); !ok || !r.Started {
				t.Errorf("daemon %d knows the order %v as %+v", i, ok, r)
			}
		}
	})
}

// Daemons that started a moment before the drill are not in the copy's list of daemons.
func TestDaemonsThatAReturnedStoreHasLostAreListedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1")
		first := s.daemon("d")
		pass(3 * time.Second)
		copied := s.rows.copied()
		second := s.daemon("e")
		pass(3 * time.Second)
		s.drill(copied, 100*time.Millisecond)
		pass(8 * time.Second)
		if s.rows.get(gossip.Members, "e") == "" || first.View().Daemons != 2 || second.View().Daemons != 2 {
			t.Errorf("the daemons know %d and %d, the store has the second one: %v", first.View().Daemons, second.View().Daemons, s.rows.get(gossip.Members, "e") != "")
		}
	})
}

// Whatever order drills, changes and cuts come in, and whoever hears of them first: a daemon
// never goes back, and all know the latest of all within two seconds of the last.
func TestNoOrderOfDrillsTakesADaemonBack(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { playDrills(t, seed) })
		})
	}
}

func playDrills(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	s := newSystem(t)
	s.decode = func(string) storesync.Decoder { return drainDecoder{} }
	s.config(1, "k")
	s.rows.set(gossip.Servers, "a", "v1@h1#100")
	daemons := halls(s, 1)
	pass(4 * time.Second)
	number, gone := uint64(1), false
	highest := make([]uint64, len(daemons))
	look := func() {
		t.Helper()
		for i, n := range numbers(daemons) {
			if n < highest[i] {
				t.Fatalf("daemon %d went back from configuration %d to %d", i, highest[i], n)
			}
			highest[i] = n
		}
	}
	copied := s.rows.copied()
	ids := []string{"h1-0-1", "h1-1-1", "h1-2-1", "h2-0-1", "h2-1-1", "h2-2-1"}
	for range 30 {
		switch random.IntN(6) {
		case 0:
			copied = s.rows.copied()
		case 1:
			s.rows.returns(copied)
			// The operator and the servers write theirs again.
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			s.config(number, "k")
			if gone {
				s.rows.set(gossip.Servers, "a", "v1@h1#100!")
			}
		case 2, 3:
			number += 1 + random.Uint64N(3)
			s.config(number, "k")
		case 4:
			s.links[ids[random.IntN(len(ids))]].fail(errDown)
		case 5:
			for _, l := range s.links {
				l.fail(nil)
			}
		}
		if random.IntN(12) == 0 {
			gone = true
			s.rows.set(gossip.Servers, "a", "v1@h1#100!")
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		look()
	}
	for _, l := range s.links {
		l.fail(nil)
	}
	number++
	s.config(number, "k")
	pass(2 * time.Second)
	look()
	for i, k := range daemons {
		if n := k.View().Map.Number; n != number {
			t.Errorf("daemon %d has configuration %d in force, %d was written two seconds ago", i, n, number)
		}
		if gone != leaving(k, "a") {
			t.Errorf("daemon %d: the server leaves %v, known %v", i, gone, leaving(k, "a"))
		}
	}
}
