package storesync_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// only is the one server that a daemon uses, or nil.
func only(t *testing.T, k *storesync.Syncer) *fleet.Server {
	t.Helper()
	of := k.View().Servers.Service("s")
	if len(of) > 1 {
		t.Fatalf("%d servers", len(of))
	}
	if len(of) == 0 {
		return nil
	}
	return of[0]
}

func TestServerThatBeginsAgainUnderItsIDIsAnother(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1#100")
		k := s.daemon("d")
		var again []fleet.Incarnation
		k.OnServerRestart = func(was *fleet.Server) { again = append(again, was.Incarnation()) }
		pass(2 * time.Second)
		before := only(t, k)
		before.State.Begin(3)
		before.State.NoResponse(time.Now())
		before.State.NoResponse(time.Now())
		// Its entry changes and it is the same.
		s.rows.set(gossip.Servers, "a", "v1@h2#100")
		pass(time.Second)
		if only(t, k).State != before.State || len(again) > 0 {
			t.Error("an entry that changes makes another server")
		}
		s.rows.set(gossip.Servers, "a", "v1#200")
		pass(time.Second)
		after := only(t, k)
		if after.State == before.State || after.State.OwnLoad() != 0 || after.State.Slowness() != 1 || after.State.InBackoff(time.Now()) {
			t.Error("it has something of what was before")
		}
		if len(again) != 1 || again[0] != (fleet.Incarnation{ID: "a", Born: 100}) {
			t.Errorf("told is %v", again)
		}
		// An entry of the earlier start, by another writer, names no server.
		s.rows.set(gossip.Servers, "a", "v1#100")
		pass(time.Second)
		if got := only(t, k); got != nil {
			t.Errorf("an earlier start is used: %+v", got.Incarnation())
		}
		s.rows.set(gossip.Servers, "a", "v1#200")
		pass(time.Second)
		if got := only(t, k); got == nil || got.Born != 200 {
			t.Errorf("the latest start is not used again: %+v", got)
		}
	})
}

// Three starts of one server, told in any order, by its own entry and by others': daemons of
// three halls, one of which hears of all from another, end alike.
func TestStartsInAnyOrderEndAlike(t *testing.T) {
	for seed := range uint64(40) {
		inBubble(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			s := newSystem(t)
			s.config(1, "k")
			s.rows.set(gossip.Servers, "a", "v1#100")
			var daemons []*storesync.Syncer
			for n := range 5 {
				daemons = append(daemons, s.daemonIn(fmt.Sprintf("d%d", n), fmt.Sprintf("h%d", n/2)))
			}
			pass(3 * time.Second)
			for range 8 {
				s.rows.set(gossip.Servers, "a", fmt.Sprintf("v1#%d", 100*(1+rng.IntN(3))))
				time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
			}
			s.rows.set(gossip.Servers, "a", "v1#300")
			pass(2 * time.Second)
			for _, k := range daemons {
				if got := only(t, k); got == nil || got.Born != 300 {
					t.Errorf("seed %d: %s uses %+v", seed, k.Self.ID, got)
				}
			}
			s.rows.set(gossip.Servers, "a", "v1#200")
			pass(2 * time.Second)
			for _, k := range daemons {
				if got := only(t, k); got != nil {
					t.Errorf("seed %d: %s goes back to %+v", seed, k.Self.ID, got.Incarnation())
				}
			}
		})
	}
}

// What another writer spoils names no server; the others hold, and the list is as fresh as
// it was.
func TestSpoiledEntryNamesNoServerUntilItIsGoodAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1")
		s.rows.set(gossip.Servers, "b", "v1")
		reader, other := s.daemon("d1"), s.daemon("d2")
		pass(3 * time.Second)
		load := reader.View().Servers.Service("s")[1].State
		s.rows.set(gossip.Servers, "a", "!")
		pass(2 * time.Second)
		for _, k := range []*storesync.Syncer{reader, other} {
			if got := servers(k); len(got) != 1 || got[0] != "b" || k.CorruptedRows.Load() != 1 || k.View().Corrupted["a"] == "" {
				t.Errorf("%s uses %v, counted are %d", k.Self.ID, got, k.CorruptedRows.Load())
			}
		}
		if reader.View().Servers.Service("s")[0].State != load {
			t.Error("another server is not what it was")
		}
		s.rows.set(gossip.Servers, "a", "v1")
		pass(2 * time.Second)
		if got := servers(other); len(got) != 2 || len(other.View().Corrupted) > 0 {
			t.Errorf("good again: %v", got)
		}
	})
}

// A server whose address another one has taken is gone, though its entry stands.
func TestServerWhoseAddressWasTakenIsGone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1#100")
		s.rows.set(gossip.Servers, "b", "v1#150")
		k := s.daemon("d")
		pass(2 * time.Second)
		if got := servers(k); len(got) != 2 {
			t.Fatalf("at first %v", got)
		}
		s.rows.set(gossip.Servers, "c=a", "v1#200")
		pass(time.Second)
		if got := servers(k); len(got) != 2 || got[0] != "b" || got[1] != "c=a" {
			t.Errorf("used are %v", got)
		}
	})
}
