package storesync_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// usedHalls returns the halls to which a daemon would send requests.
func usedHalls(d *storesync.Syncer) map[string]bool {
	out := map[string]bool{}
	for i := range uint64(50) {
		if s, ok := d.View().Servers.Choose(fleet.Criteria{Service: "s", Affinity: i + 1}, time.Now()); ok {
			out[s.Hall] = true
		}
	}
	return out
}

// newTwoHallCluster starts daemons in the hall "a", with servers in the halls "a" and "b".
func newTwoHallCluster(t *testing.T, daemons int) (*cluster, []*storesync.Syncer) {
	t.Helper()
	s := newCluster(t)
	s.writeConfig(1, "k")
	for _, hall := range []string{"a", "b"} {
		for i := range 3 {
			s.store.set(gossip.Servers, fmt.Sprintf("%s%d", hall, i), "v1@"+hall)
		}
	}
	var syncers []*storesync.Syncer
	for i := range daemons {
		syncers = append(syncers, s.startDaemonIn(fmt.Sprintf("d%d", i), "a"))
	}
	advance(12 * time.Second)
	return s, syncers
}

// Within a second, no daemon sends requests to a drained hall, including daemons that the store
// rejects and one that starts meanwhile. This lasts until the hall is no longer drained; another hall
// may be drained at the same time.
func TestDrainedHallGetsNoRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := newTwoHallCluster(t, 6)
		for _, id := range []string{"d1", "d3", "d5"} {
			s.disconnectStore(id, id == "d3")
		}
		advance(4 * time.Second)
		s.store.set(gossip.Operator, "empty/b", "{}")
		advance(time.Second)
		syncers = append(syncers, s.startDaemonIn("late", "a"))
		advance(time.Second)
		for i, d := range syncers {
			if used := usedHalls(d); used["b"] || !used["a"] {
				t.Errorf("daemon %d uses the halls %v", i, used)
			}
			if age := time.Since(d.View().Drained["b"]); age > 2*time.Second {
				t.Errorf("daemon %d: the hall is drained since %v ago", i, age)
			}
		}
		s.store.set(gossip.Operator, "empty/a", "{}")
		advance(time.Second)
		for i, d := range syncers {
			if used := usedHalls(d); len(used) > 0 {
				t.Errorf("with both halls drained daemon %d uses %v", i, used)
			}
		}
		s.store.set(gossip.Operator, "empty/b", "")
		advance(time.Second)
		for i, d := range syncers {
			if used := usedHalls(d); used["a"] || !used["b"] {
				t.Errorf("with one hall no longer drained daemon %d uses %v", i, used)
			}
		}
	})
}

// A daemon that was cut off learns of a drained hall within a second of its reconnection, and a
// change of the list of servers meanwhile does not bring the hall back into use.
func TestDrainedHallIsKnownAfterAnOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := newTwoHallCluster(t, 3)
		s.network.mu.Lock()
		s.network.delaying["d0"] = true
		s.network.mu.Unlock()
		s.disconnectStore("d0", true)
		s.store.set(gossip.Operator, "empty/b", "{}")
		advance(6 * time.Second)
		if !usedHalls(syncers[0])["b"] {
			t.Fatal("the daemon that should be cut off learned of the drained hall")
		}
		s.network.mu.Lock()
		s.network.delaying["d0"], s.network.delayed["d0"] = false, nil
		s.network.mu.Unlock()
		s.reconnectStore("d0")
		advance(1500 * time.Millisecond)
		s.store.set(gossip.Servers, "b9", "v1@b")
		advance(time.Second)
		for i, d := range syncers {
			if usedHalls(d)["b"] {
				t.Errorf("daemon %d uses the drained hall", i)
			}
		}
	})
}

// writeColdConfig writes a configuration in which servers count as cold for three seconds after
// their start.
func (s *cluster) writeColdConfig(number uint64) {
	data, err := json.Marshal(configRow{Number: number, Keys: []string{"k"}, Cold: 3})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.set(gossip.Operator, "config", string(data))
}

// coldShares sums the requests per second that all daemons may send to a cold server, and counts the
// daemons that consider it cold.
func coldShares(syncers []*storesync.Syncer, id string) (sum, cold int) {
	for _, d := range syncers {
		s := server(d, id)
		if s == nil {
			continue
		}
		if c := s.State.ColdLimit(); time.Now().Before(c.Until) {
			sum, cold = sum+c.MaxRequests, cold+1
		}
	}
	return sum, cold
}

// The servers of a hall that is no longer drained count as cold, and so do servers that report it
// themselves. The shares of all daemons together do not exceed the capacity of such a server.
func TestServersOfAHallNoLongerDrainedAreCold(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const capacity = 24
		s, syncers := newTwoHallCluster(t, 40)
		s.writeColdConfig(2)
		s.store.set(gossip.Operator, "empty/b", "{}")
		advance(2 * time.Second)
		s.store.set(gossip.Operator, "empty/b", "")
		s.store.set(gossip.Servers, "a9", "v1@a@2500ms")
		advance(700 * time.Millisecond)
		for _, id := range []string{"b0", "b1", "a9"} {
			if sum, cold := coldShares(syncers, id); cold != len(syncers) || sum > capacity || sum < capacity/2 {
				t.Errorf("%d daemons consider %s cold and may send %d requests/s", cold, id, sum)
			}
		}
		if _, cold := coldShares(syncers, "a0"); cold != 0 {
			t.Errorf("%d daemons consider a server cold that never was", cold)
		}
		// The server becomes cold again and reports it.
		advance(5 * time.Second)
		if _, cold := coldShares(syncers, "a9"); cold != 0 {
			t.Errorf("%d daemons still consider the server cold", cold)
		}
		s.store.set(gossip.Servers, "a9", "v1@a@1s")
		advance(700 * time.Millisecond)
		if sum, cold := coldShares(syncers, "a9"); cold != len(syncers) || sum > capacity {
			t.Errorf("%d daemons consider the server cold again and may send %d requests/s", cold, sum)
		}
	})
}

// A server that reports to be cold for a day counts as cold for the longest plausible time only.
func TestReportedColdTimeIsBounded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := newTwoHallCluster(t, 2)
		s.writeColdConfig(2)
		s.store.set(gossip.Servers, "a9", "v1@a@24h")
		advance(time.Second)
		if _, cold := coldShares(syncers, "a9"); cold != 2 {
			t.Fatal("the server does not count as cold at all")
		}
		advance(11 * time.Minute)
		if _, cold := coldShares(syncers, "a9"); cold != 0 {
			t.Error("the server still counts as cold after eleven minutes")
		}
	})
}
