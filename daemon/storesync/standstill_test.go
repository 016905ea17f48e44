package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
)

// A VM that is suspended for ten seconds finds that no time has passed by its steady clock.
// A key was taken away meanwhile: what the daemon knows would let it pass.
func TestVMThatStoodStillKnowsHowOldItsKnowledgeIs(t *testing.T) {
	for _, still := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Second, time.Minute} {
		for _, reads := range []bool{true, false} {
			inBubble(t, func(t *testing.T) {
				s := newSystem(t)
				s.config(1, "k", "gone")
				first := s.daemonIn("d1", "h")
				second := s.daemonIn("d2", "h")
				// One of the two reads the store for the other.
				k := first
				pass(3 * time.Second)
				if reads != first.ReadsStore() {
					k = second
				}
				if age := k.View().ConfigAge(time.Now()); age > 2*time.Second || !k.View().Confirmed() {
					t.Fatalf("before: %v old, confirmed %v", age, k.View().Confirmed())
				}
				s.config(2, "k")
				s.links[k.Self.ID].stood.Store(int64(still))
				if age := k.View().ConfigAge(time.Now()); age < still || k.View().Confirmed() {
					t.Errorf("at once: %v old after %v, confirmed %v", age, still, k.View().Confirmed())
				}
				pass(2 * time.Second)
				v := k.View()
				if age := v.ConfigAge(time.Now()); age > 2*time.Second || !v.Confirmed() || v.Map.Number != 2 || k.Suspensions.Load() != 1 {
					t.Errorf("two seconds after %v: configuration %d, %v old, confirmed %v, %d times", still, v.Map.Number, age, v.Confirmed(), k.Suspensions.Load())
				}
			})
		}
	}
}

// An answer of the store that was under way while the VM stood still is as old as that.
func TestAnswerFromBeforeTheStandstillConfirmsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		k := s.daemon("d")
		pass(2 * time.Second)
		l := s.links["d"]
		l.mu.Lock()
		l.hold = 200 * time.Millisecond
		l.mu.Unlock()
		s.rows.set(gossip.Servers, "a", "v1")
		s.config(2, "k")
		time.Sleep(100 * time.Millisecond)
		l.stood.Store(int64(10 * time.Second))
		pass(150 * time.Millisecond)
		if v := k.View(); v.ConfigAge(time.Now()) < 10*time.Second || v.Confirmed() {
			t.Errorf("%v old, confirmed %v", v.ConfigAge(time.Now()), v.Confirmed())
		}
		l.mu.Lock()
		l.hold = 0
		l.mu.Unlock()
		pass(2 * time.Second)
		if v := k.View(); !v.Confirmed() {
			t.Error("never confirmed again")
		}
	})
}
