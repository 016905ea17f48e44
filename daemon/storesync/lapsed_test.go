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
