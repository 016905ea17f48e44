package storesync_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/gossip"
)

// After a short failure of the reader's own calls, its hall used a removed server for up to two
// seconds more.
func TestShortFailureOfTheReaderKeepsNoRemovedServer(t *testing.T) {
	for _, unanswered := range []bool{false, true} {
		inBubble(t, func(t *testing.T) {
			s := newCluster(t)
			s.writeConfig(1, "k")
			s.store.set(gossip.Servers, "x", "v1")
			s.store.set(gossip.Servers, "y", "v1")
			all := s.startHall(4)
			advance(10 * time.Second)
			reader := firstReader(all)
			s.disconnectStore(reader, unanswered)
			for all[reader].Outages.Load() == 0 {
				advance(50 * time.Millisecond)
			}
			s.reconnectStore(reader)
			advance(500 * time.Millisecond)
			s.store.set(gossip.Servers, "x", "")
			advance(600 * time.Millisecond)
			for id, d := range all {
				if diff := cmp.Diff([]string{"y"}, serverIDs(d)); diff != "" {
					t.Errorf("unanswered %v: %s: %s", unanswered, id, diff)
				}
			}
		})
	}
}

// After a hall had been cut off from a store that served all others, it used a server that had been removed
// at the end of the cut for two seconds more.
func TestServerRemovedWhileTheStoreServedOthersIsDroppedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "x", "v1")
		s.store.set(gossip.Servers, "y", "v1")
		s.startDaemonIn("a", "h1")
		b := s.startDaemonIn("b", "h2")
		advance(5 * time.Second)
		s.links["b"].fail(errDown)
		advance(6 * time.Second)
		s.network.dropOutgoing("a")
		advance(100 * time.Millisecond)
		s.store.set(gossip.Servers, "x", "")
		advance(500 * time.Millisecond)
		s.links["b"].fail(nil)
		// The next call comes within a second.
		advance(1500 * time.Millisecond)
		if diff := cmp.Diff([]string{"y"}, serverIDs(b)); diff != "" {
			t.Error(diff)
		}
	})
}
