package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
)

// The monotonic clock of a VM does not advance while the VM is suspended. If a key is revoked
// meanwhile, a daemon that ignored the suspension would still accept it.
func TestConfigAgeIncludesSuspensions(t *testing.T) {
	for _, suspension := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Second, time.Minute} {
		for _, reads := range []bool{true, false} {
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k", "gone")
				first := s.startDaemonIn("d1", "h")
				second := s.startDaemonIn("d2", "h")
				// One of the two daemons reads the store for the other.
				d := first
				advance(3 * time.Second)
				if reads != first.ReadsStore() {
					d = second
				}
				if age := d.View().ConfigAge(time.Now()); age > 2*time.Second || !d.View().Confirmed() {
					t.Fatalf("before the suspension: age %v, confirmed %v", age, d.View().Confirmed())
				}
				s.writeConfig(2, "k")
				s.links[d.Self.ID].suspended.Store(int64(suspension))
				if age := d.View().ConfigAge(time.Now()); age < suspension || d.View().Confirmed() {
					t.Errorf("just after the suspension: age %v after %v, confirmed %v", age, suspension, d.View().Confirmed())
				}
				advance(2 * time.Second)
				v := d.View()
				if age := v.ConfigAge(time.Now()); age > 2*time.Second || !v.Confirmed() || v.Map.Number != 2 || d.Suspensions.Load() != 1 {
					t.Errorf("two seconds after a suspension of %v: configuration %d, age %v, confirmed %v, %d suspensions", suspension, v.Map.Number, age, v.Confirmed(), d.Suspensions.Load())
				}
			})
		}
	}
}

// An answer of the store that was under way during a suspension is older by the length of it.
func TestAnswerFromBeforeASuspensionConfirmsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		d := s.startDaemon("d")
		advance(2 * time.Second)
		l := s.links["d"]
		l.mu.Lock()
		l.answerDelay = 200 * time.Millisecond
		l.mu.Unlock()
		s.store.set(gossip.Servers, "a", "v1")
		s.writeConfig(2, "k")
		time.Sleep(100 * time.Millisecond)
		l.suspended.Store(int64(10 * time.Second))
		advance(150 * time.Millisecond)
		if v := d.View(); v.ConfigAge(time.Now()) < 10*time.Second || v.Confirmed() {
			t.Errorf("age %v, confirmed %v", v.ConfigAge(time.Now()), v.Confirmed())
		}
		l.mu.Lock()
		l.answerDelay = 0
		l.mu.Unlock()
		advance(2 * time.Second)
		if v := d.View(); !v.Confirmed() {
			t.Error("never confirmed again")
		}
	})
}
