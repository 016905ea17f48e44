package storesync_test

import (
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/gossip"
)

// A row that cannot be read must not keep daemons from following the others, at a start and afterwards, and
// all daemons must agree on the rows.
func TestUnreadableRowStopsNoDaemonFromFollowing(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		inBubble(t, func(t *testing.T) {
			s := newCluster(t)
			s.writeConfig(1, "k")
			s.store.spoil("odd", keyed)
			for _, topic := range []gossip.Topic{gossip.Servers, gossip.Operator, gossip.Members, gossip.Progress} {
				s.store.set(topic, "odd", "v1")
			}
			s.store.set(gossip.Servers, "i-1", "v1")
			daemons := startTwoHalls(s, 2)
			advance(4 * time.Second)
			s.store.set(gossip.Servers, "odd", "v2")
			s.store.set(gossip.Servers, "i-2", "v1")
			s.store.set(gossip.Servers, "i-1", "")
			s.writeConfig(2, "other")
			advance(2 * time.Second)
			for _, d := range daemons {
				v := d.View()
				if !v.Ready() || v.Map.Number != 2 || !slices.Equal(serverIDs(d), []string{"i-2"}) {
					t.Errorf("%s, key known %v: ready %v, servers %v", d.Self.ID, keyed, v.Ready(), serverIDs(d))
				}
				if sum := daemons[0].View().Topics[1].Sum; v.Topics[1].Sum != sum {
					t.Errorf("%s, key known %v: the rows of the servers differ", d.Self.ID, keyed)
				}
			}
		})
	}
}

// The end of a server must be known although the change that tells it names no row.
func TestRemovalWithoutAKeyIsFound(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "i-1", "v1")
		s.store.set(gossip.Servers, "i-2", "v1")
		d := s.startDaemon("d1")
		advance(4 * time.Second)
		s.store.spoil("i-1", false)
		s.store.set(gossip.Servers, "i-1", "")
		advance(2 * time.Second)
		if got := serverIDs(d); !slices.Equal(got, []string{"i-2"}) {
			t.Errorf("servers %v", got)
		}
		reads := s.store.reads
		advance(20 * time.Second)
		if n := s.store.reads - reads; n > 0 {
			t.Errorf("all rows are read %d times more", n)
		}
	})
}

// An unreadable row in the place of a sound one is no server. The configuration in force stays in force.
func TestUnreadableRowReplacesASoundOne(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "i-1", "v1")
		s.store.set(gossip.Servers, "i-2", "v1")
		d := s.startDaemon("d1")
		advance(4 * time.Second)
		s.store.spoil("i-1", true)
		s.store.spoil("config", true)
		s.store.set(gossip.Servers, "i-1", "v1")
		s.writeConfig(2, "other")
		advance(2 * time.Second)
		if got := serverIDs(d); !slices.Equal(got, []string{"i-2"}) || d.View().Map.Number != 1 {
			t.Errorf("servers %v, configuration %d", got, d.View().Map.Number)
		}
		if d.View().Corrupted["i-1"] == "" {
			t.Error("the row is not among the corrupted ones")
		}
	})
}
