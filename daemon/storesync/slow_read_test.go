package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
)

// Each full read of the store was given up after 0.9 s, so that a daemon on a slow VM that nobody informed never
// had any of its contents.
func TestSlowReadOfAllRowsIsCompleted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1")
		d := s.startDaemon("d")
		s.links["d"].delayAnswers(1500 * time.Millisecond)
		advance(10 * time.Second)
		if !d.View().Ready() {
			t.Error("the daemon is not ready after 10 s")
		}
	})
}
