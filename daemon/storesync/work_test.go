package storesync_test

import (
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// server is one of a daemon's servers.
func server(k *storesync.Syncer, id string) *fleet.Server {
	for _, s := range k.View().Servers.Service("s") {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// crowded is what a daemon has been told of others' work at a server.
func crowded(k *storesync.Syncer, id string) float64 {
	return server(k, id).State.ExcessLoad(time.Now())
}

// Work that some daemons have at a server is known to all within four seconds, in their
// hall and in others, and to those that read the store too; when it is over, or whoever
// has it is gone, it is forgotten.
func TestCrowdedServerIsKnownInAllHalls(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		for i := range 5 {
			s.rows.set(gossip.Servers, fmt.Sprint("s", i), "v1@h")
		}
		keepers := map[string]*storesync.Syncer{}
		for _, id := range []string{"a", "b", "c", "d"} {
			keepers[id] = s.daemonIn(id, "h")
		}
		for _, id := range []string{"x", "y", "z"} {
			keepers[id] = s.daemonIn(id, "i")
		}
		pass(10 * time.Second)
		busy := []string{"a", "c"}
		for _, id := range busy {
			server(keepers[id], "s1").State.Begin(20)
		}
		pass(4 * time.Second)
		for id, k := range keepers {
			others := 40.0
			if id == busy[0] || id == busy[1] {
				others = 20
			}
			// A fifth of it is the server's part and half of the rest counts. Of that at most
			// a fifth is missing from the mean over time after six messages, and at most half
			// has lost its weight a second after the last one.
			if got := crowded(k, "s1"); got < 0.16*others || got > 0.4*others {
				t.Errorf("%s takes %.1f at s1 for crowding, others have %.0f there", id, got, others)
			}
			if got := crowded(k, "s2"); got != 0 {
				t.Errorf("%s takes %.1f at s2 for crowding", id, got)
			}
		}
		server(keepers["a"], "s1").State.End(20)
		s.mesh.mu.Lock()
		s.mesh.gone["c"] = true
		s.mesh.mu.Unlock()
		pass(12 * time.Second)
		for id, k := range keepers {
			if got := crowded(k, "s1"); id != "c" && got > 0.2 {
				t.Errorf("%s still takes %.2f at s1 for crowding", id, got)
			}
		}
	})
}
