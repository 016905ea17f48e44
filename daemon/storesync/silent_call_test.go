package storesync_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/gossip"
)

// While only the reader's call about the servers got no answer, its hall used a removed server for
// 8.5 s.
func TestSilentCallAboutServersDelaysNoRemoval(t *testing.T) {
	for _, within := range []time.Duration{2 * time.Second, 3 * time.Second} {
		inBubble(t, func(t *testing.T) {
			s := newCluster(t)
			s.inForceWithin = within
			s.writeConfig(1, "k")
			s.store.set(gossip.Servers, "x", "v1")
			s.store.set(gossip.Servers, "y", "v1")
			all := s.startHall(4)
			advance(10 * time.Second)
			// The present call about the servers ends, the next one has just begun.
			s.store.set(gossip.Servers, "y", "v2")
			advance(time.Second)
			s.links[firstReader(all)].silence(gossip.Servers)
			s.store.set(gossip.Servers, "x", "")
			advance(2 * time.Second)
			for id, d := range all {
				if diff := cmp.Diff([]string{"y"}, serverIDs(d)); diff != "" {
					t.Errorf("%v: %s: %s", within, id, diff)
				}
			}
		})
	}
}

// Each write to a topic that a daemon does not follow would cost a call about each other topic, a
// hundred here, if the number of calls followed that of the writes.
func TestWritesToOtherTopicsCauseFewCalls(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		d := s.startDaemon("a")
		advance(10 * time.Second)
		before := d.Calls.Load()
		for i := range 100 {
			s.store.set(gossip.Duties, "lease", strconv.Itoa(i))
			advance(100 * time.Millisecond)
		}
		// Two calls a second about the configuration, two about each of two other topics.
		if n := d.Calls.Load() - before; n > 60 {
			t.Errorf("%d calls during 100 writes", n)
		}
	})
}
