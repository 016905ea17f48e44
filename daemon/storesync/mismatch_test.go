package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// Guards against rows that differ from the store until another row changes: an update that was not
// newer was ignored, even if it had other rows at the same version.
func TestDifferenceAtTheSameVersionIsRepaired(t *testing.T) {
	for topic, key := range map[gossip.Topic]string{gossip.Operator: "empty/h2", gossip.Servers: "a", gossip.Members: "h1-1-1"} {
		t.Run(string(topic), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k")
				s.store.set(gossip.Operator, "empty/h2", "{}")
				s.store.set(gossip.Servers, "a", "v1@h1#100")
				daemons := startTwoHalls(s, 1)
				advance(4 * time.Second)
				rows, next := s.rowsWithout(topic, key)
				for _, d := range daemons {
					if !d.ReadsStore() {
						d.HandleMessage("h1-0-1", gossip.Response{Updates: []gossip.Update{{Topic: topic, Version: next, Complete: true, Rows: rows}}})
					}
				}
				// The readers learn the version with which the rows were removed.
				s.store.set(gossip.Duties, "other", "1")
				advance(8 * time.Second)
				for i, d := range daemons {
					v, reads, n := d.View(), d.ReadsStore(), d.Mismatches.Load()
					if v.Drained["h2"].IsZero() || unusable(d, "a") || v.Daemons != len(daemons) {
						t.Errorf("daemon %d (reads the store: %v): hall drained %v, server in use %v, %d daemons", i, reads, !v.Drained["h2"].IsZero(), !unusable(d, "a"), v.Daemons)
					}
					if reads != (n == 0) {
						t.Errorf("daemon %d (reads the store: %v) has counted %d differences", i, reads, n)
					}
				}
			})
		})
	}
}

// rowsWithout returns the rows of a topic but one, and the next version of the store.
func (s *cluster) rowsWithout(topic gossip.Topic, key string) (rows []gossip.Row, next revision.Revision) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for _, row := range s.store.tables[topic] {
		if row.Key != key {
			rows = append(rows, row)
		}
	}
	return rows, revision.New(s.store.era, s.store.version+1)
}
