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

// A daemon whose entry another writer had replaced stayed unlisted until it was restarted.
func TestDaemonWhoseEntryWasReplacedIsListedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		daemons := startTwoHalls(s, 1)
		advance(4 * time.Second)
		for _, d := range daemons {
			s.store.set(gossip.Members, d.Self.ID, "nonsense")
		}
		advance(6 * time.Second)
		for _, d := range daemons {
			if n := len(d.Others()); n != len(daemons)-1 || s.store.get(gossip.Members, d.Self.ID) == "nonsense" {
				t.Errorf("%s knows %d others, its entry is %.20q", d.Self.ID, n, s.store.get(gossip.Members, d.Self.ID))
			}
		}
		calls := daemons[0].Calls.Load()
		advance(10 * time.Second)
		if n := daemons[0].Calls.Load() - calls; n > 60 {
			t.Errorf("%d calls in 10 s", n)
		}
	})
}
