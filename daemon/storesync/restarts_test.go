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

// onlyServer returns the one server that a daemon uses, or nil.
func onlyServer(t *testing.T, d *storesync.Syncer) *fleet.Server {
	t.Helper()
	listed := d.View().Servers.Service("s")
	if len(listed) > 1 {
		t.Fatalf("%d servers", len(listed))
	}
	if len(listed) == 0 {
		return nil
	}
	return listed[0]
}

func TestRestartedServerWithTheSameIDIsAnother(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1#100")
		d := s.startDaemon("d")
		var restarted []fleet.Incarnation
		d.OnServerRestart = func(was, _ *fleet.Server) { restarted = append(restarted, was.Incarnation()) }
		advance(2 * time.Second)
		before := onlyServer(t, d)
		before.State.Begin(3)
		before.State.NoResponse(time.Now())
		before.State.NoResponse(time.Now())
		// A change of the entry does not make it another server.
		s.store.set(gossip.Servers, "a", "v1@h2#100")
		advance(time.Second)
		if onlyServer(t, d).State != before.State || len(restarted) > 0 {
			t.Error("a change of the entry makes another server")
		}
		s.store.set(gossip.Servers, "a", "v1#200")
		advance(time.Second)
		after := onlyServer(t, d)
		if after.State == before.State || after.State.OwnLoad() != 0 || after.State.Slowness() != 1 || after.State.InBackoff(time.Now()) {
			t.Error("state from before the restart is kept")
		}
		if len(restarted) != 1 || restarted[0] != (fleet.Incarnation{ID: "a", Born: 100}) {
			t.Errorf("the restarts reported are %v", restarted)
		}
		// An entry with an earlier start time, from another writer, lists no server.
		s.store.set(gossip.Servers, "a", "v1#100")
		advance(time.Second)
		if got := onlyServer(t, d); got != nil {
			t.Errorf("a server with an earlier start time is used: %+v", got.Incarnation())
		}
		s.store.set(gossip.Servers, "a", "v1#200")
		advance(time.Second)
		if got := onlyServer(t, d); got == nil || got.Born != 200 {
			t.Errorf("the server with the latest start time is not used again: %+v", got)
		}
	})
}

// Three start times of one server are written in any order. Daemons of three halls, some of
// which receive all rows from another daemon, end with the same list.
func TestStartTimesInAnyOrderGiveTheSameList(t *testing.T) {
	for seed := range uint64(40) {
		inBubble(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			s := newCluster(t)
			s.writeConfig(1, "k")
			s.store.set(gossip.Servers, "a", "v1#100")
			var daemons []*storesync.Syncer
			for n := range 5 {
				daemons = append(daemons, s.startDaemonIn(fmt.Sprintf("d%d", n), fmt.Sprintf("h%d", n/2)))
			}
			advance(3 * time.Second)
			for range 8 {
				s.store.set(gossip.Servers, "a", fmt.Sprintf("v1#%d", 100*(1+rng.IntN(3))))
				time.Sleep(time.Duration(rng.Int64N(int64(time.Second))))
			}
			s.store.set(gossip.Servers, "a", "v1#300")
			advance(2 * time.Second)
			for _, d := range daemons {
				if got := onlyServer(t, d); got == nil || got.Born != 300 {
					t.Errorf("seed %d: %s uses %+v", seed, d.Self.ID, got)
				}
			}
			s.store.set(gossip.Servers, "a", "v1#200")
			advance(2 * time.Second)
			for _, d := range daemons {
				if got := onlyServer(t, d); got != nil {
					t.Errorf("seed %d: %s goes back to %+v", seed, d.Self.ID, got.Incarnation())
				}
			}
		})
	}
}

// An entry that another writer corrupted lists no server until it is valid again. Other servers
// keep their state, and the list counts as confirmed as before.
func TestCorruptedEntryListsNoServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1")
		s.store.set(gossip.Servers, "b", "v1")
		reader, other := s.startDaemon("d1"), s.startDaemon("d2")
		advance(3 * time.Second)
		load := reader.View().Servers.Service("s")[1].State
		s.store.set(gossip.Servers, "a", "!")
		advance(2 * time.Second)
		for _, d := range []*storesync.Syncer{reader, other} {
			if got := serverIDs(d); len(got) != 1 || got[0] != "b" || d.CorruptedRows.Load() != 1 || d.View().Corrupted["a"] == "" {
				t.Errorf("%s uses %v and counts %d corrupted entries", d.Self.ID, got, d.CorruptedRows.Load())
			}
		}
		if reader.View().Servers.Service("s")[0].State != load {
			t.Error("another server lost its state")
		}
		s.store.set(gossip.Servers, "a", "v1")
		advance(2 * time.Second)
		if got := serverIDs(other); len(got) != 2 || len(other.View().Corrupted) > 0 {
			t.Errorf("after the entry is valid again: %v", got)
		}
	})
}

// A server whose address a later server has is not listed, though its entry still exists.
func TestServerWhoseAddressWasReusedIsNotListed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1#100")
		s.store.set(gossip.Servers, "b", "v1#150")
		d := s.startDaemon("d")
		advance(2 * time.Second)
		if got := serverIDs(d); len(got) != 2 {
			t.Fatalf("before the reuse of the address: %v", got)
		}
		s.store.set(gossip.Servers, "c=a", "v1#200")
		advance(time.Second)
		if got := serverIDs(d); len(got) != 2 || got[0] != "b" || got[1] != "c=a" {
			t.Errorf("the servers in use are %v", got)
		}
	})
}
