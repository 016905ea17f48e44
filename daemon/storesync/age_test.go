package storesync_test

import (
	"testing"
	"time"
)

// Calls that the store held until there was a change were counted as slow.
func TestHeldCallsAreNoSlowExchanges(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.inForceWithin = 3 * time.Second
		s.writeConfig(1, "k")
		d := s.startDaemon("a")
		advance(30 * time.Second)
		if n := d.SlowExchanges.Load(); n > 0 {
			t.Errorf("%d slow exchanges", n)
		}
		s.links["a"].delayAnswers(700 * time.Millisecond)
		advance(10 * time.Second)
		if d.SlowExchanges.Load() == 0 {
			t.Error("late answers are not counted")
		}
	})
}
