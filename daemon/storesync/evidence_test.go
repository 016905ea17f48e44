package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/daemon/storesync"
)

// The evidence about a version that a daemon collected must count after the daemon stops. When
// daemons stopped in turn, their evidence was dropped two seconds later (86 answers became 59 in
// eight seconds): a faulty version went on although others had evidence against it. A
// reader that had just started rejected a good version on its own twelve answers (slower than the
// old version in 0.66 of pairs, standard deviation 0.10).
func TestEvidenceOfADaemonOutlivesIt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 90)
		var first, second int
		for i, d := range syncers {
			if !d.ReadsStore() {
				first, second = second, i
			}
		}
		// Two failures are too few to reject a version, four are enough.
		observeFailures(syncers[second], 2)
		advance(2 * time.Second)
		s.cancels[second]()
		advance(5 * time.Second)
		if p := s.storedProgress(); p.State != canary.Running {
			t.Fatalf("two failures: the state is %v", p.State)
		}
		observeFailures(syncers[first], 2)
		advance(3 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("two failures at a daemon that has stopped, and two more: the state is %v", p.State)
		}
	})
}

// The new reader of a hall has less evidence than the one before it. What the old one sent to
// other halls counts until the new one has more.
func TestEvidenceOfAHallOutlivesItsReader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set("servers", "old", "v1")
		a := s.startDaemonIn("a", "h1")
		b := s.startDaemonIn("b", "h1")
		other := s.startDaemonIn("c", "h2")
		advance(12 * time.Second)
		s.store.set("servers", "new", "v2")
		s.store.set("operator", "order/s", `{"Version":"v2","Seconds":90}`)
		advance(time.Second)
		reader, left := a, b
		if b.ReadsStore() {
			reader, left = b, a
		}
		observeFailures(reader, 2)
		advance(2 * time.Second)
		for i, d := range []*storesync.Syncer{a, b} {
			if d == reader {
				s.cancels[i]()
			}
		}
		advance(10 * time.Second)
		if !left.ReadsStore() {
			t.Fatal("no daemon reads the store for the hall")
		}
		observeFailures(other, 2)
		advance(3 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("two failures sent by a reader that has stopped, and two more in another hall: the state is %v", p.State)
		}
	})
}

// A suspicion counts once it has lasted while all daemons reported their evidence: one that comes
// and goes with a few answers rolls no version back, however late in the roll-out.
func TestBriefSuspicionDoesNotRollBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 40)
		observeBoth := func(n int, factor float64) {
			for i := range n {
				d, typical := syncers[i%len(syncers)], typicalRatio(i)
				d.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: typical})
				d.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: factor * typical, Server: "new"})
			}
		}
		observeBoth(60, 1)
		advance(27 * time.Second)
		observeBoth(180, 1.7)
		advance(1300 * time.Millisecond)
		if p := s.storedProgress(); p.State != canary.Running {
			t.Errorf("after a brief suspicion the state is %v", p.State)
		}
		advance(2 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("after a lasting suspicion the state is %v", p.State)
		}
	})
}
