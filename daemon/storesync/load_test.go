package storesync_test

import (
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// server returns one of the servers of a daemon, or nil.
func server(d *storesync.Syncer, id string) *fleet.Server {
	for _, s := range d.View().Servers.Service("s") {
		if s.ID == id {
			return s
		}
	}
	return nil
}

// excessLoad returns the excess load of other daemons at a server, as received by a daemon.
func excessLoad(d *storesync.Syncer, id string) float64 {
	return server(d, id).State.ExcessLoad(time.Now())
}

// Load that some daemons put on a server is known to all within four seconds, in their hall and in
// others, and also to daemons that read the store. When it ends, or when the daemon that
// put it there is gone, it is dropped.
func TestOverloadedServerIsKnownInAllHalls(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		for i := range 5 {
			s.store.set(gossip.Servers, fmt.Sprint("s", i), "v1@h")
		}
		syncers := map[string]*storesync.Syncer{}
		for _, id := range []string{"a", "b", "c", "d"} {
			syncers[id] = s.startDaemonIn(id, "h")
		}
		for _, id := range []string{"x", "y", "z"} {
			syncers[id] = s.startDaemonIn(id, "i")
		}
		advance(10 * time.Second)
		busy := []string{"a", "c"}
		for _, id := range busy {
			server(syncers[id], "s1").State.Begin(20)
		}
		advance(4 * time.Second)
		for id, d := range syncers {
			others := 40.0
			if id == busy[0] || id == busy[1] {
				others = 20
			}
			// A fifth of the load is the average share of each of the five servers, and half of
			// the rest counts as excess. Of that, at most a fifth is missing from the moving
			// average after six messages, and at most half has decayed a second after the last one.
			if got := excessLoad(d, "s1"); got < 0.16*others || got > 0.4*others {
				t.Errorf("%s: excess load at s1 is %.1f, others have %.0f in flight there", id, got, others)
			}
			if got := excessLoad(d, "s2"); got != 0 {
				t.Errorf("%s: excess load at s2 is %.1f", id, got)
			}
		}
		server(syncers["a"], "s1").State.End(20)
		s.network.mu.Lock()
		s.network.muted["c"] = true
		s.network.mu.Unlock()
		advance(12 * time.Second)
		for id, d := range syncers {
			if got := excessLoad(d, "s1"); id != "c" && got > 0.2 {
				t.Errorf("%s: excess load at s1 is still %.2f", id, got)
			}
		}
	})
}
