package storesync_test

import (
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/gossip"
)

// Guards against a daemon that stays unlisted: the store is restored from a copy just after the daemon has
// written its entry, and before the daemon reads the list for the first time.
func TestDaemonWhoseEntryIsLostBeforeItsFirstReadIsListed(t *testing.T) {
	for delay := 50 * time.Millisecond; delay <= time.Second; delay += 50 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k")
				startTwoHalls(s, 1)
				advance(4 * time.Second)
				backup := s.store.copyState()
				s.startDaemonIn("late", "h1")
				advance(delay)
				s.store.restore(backup)
				advance(6 * time.Second)
				if s.store.get(gossip.Members, "late") == "" {
					t.Error("the daemon is not listed")
				}
			})
		})
	}
}
