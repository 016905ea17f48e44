package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/daemon/storesync"
)

// Daemons that stop in turn took with them what they had seen of a version: two seconds later
// it counted for nothing, and a bad version went on with the evidence that others had. A reader
// that had just started judged a good one by its own twelve answers.
//
//	13.868 "age":8200,"seen":"... of 86 answers"   21.909 "age":16200,"seen":"... of 59 answers"
//	22.212 "the version is bad" "age":16500,"doubt_for":0,"why":"not known to be good: slower than the old version in 0.66 of pairs (sd 0.10 ...) of 12 answers"
func TestWhatADaemonHasSeenOutlivesIt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 3, 90)
		var first, second int
		for i, k := range keepers {
			if !k.ReadsStore() {
				first, second = second, i
			}
		}
		// Two failures are not enough to condemn a version, four are.
		fail(keepers[second], 2)
		pass(2 * time.Second)
		s.stops[second]()
		pass(5 * time.Second)
		if p := s.progress(); p.State != canary.Running {
			t.Fatalf("two failures: the state is %v", p.State)
		}
		fail(keepers[first], 2)
		pass(3 * time.Second)
		if p := s.progress(); p.State != canary.RolledBack {
			t.Errorf("two failures at a daemon that is gone, and two more: the state is %v", p.State)
		}
	})
}

// A hall's new reader knows less than the one before it. What that one has told other halls
// counts until the new one has more to tell.
func TestWhatAHallHasSeenOutlivesItsReader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set("servers", "old", "v1")
		a := s.daemonIn("a", "h1")
		b := s.daemonIn("b", "h1")
		other := s.daemonIn("c", "h2")
		pass(12 * time.Second)
		s.rows.set("servers", "new", "v2")
		s.rows.set("operator", "order/s", `{"Version":"v2","Seconds":90}`)
		pass(time.Second)
		reader, left := a, b
		if b.ReadsStore() {
			reader, left = b, a
		}
		fail(reader, 2)
		pass(2 * time.Second)
		for i, k := range []*storesync.Syncer{a, b} {
			if k == reader {
				s.stops[i]()
			}
		}
		pass(10 * time.Second)
		if !left.ReadsStore() {
			t.Fatal("nobody reads for the hall")
		}
		fail(other, 2)
		pass(3 * time.Second)
		if p := s.progress(); p.State != canary.RolledBack {
			t.Errorf("two failures told by a reader that is gone, and two more in another hall: the state is %v", p.State)
		}
	})
}

// A doubt counts once it has stood while all daemons told what they had seen: one that comes
// and goes with a few answers takes no version back, however much of its time has gone.
func TestDoubtOfAMomentTakesNoVersionBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 3, 40)
		see := func(n int, factor float64) {
			for i := range n {
				k, usual := keepers[i%len(keepers)], usualTime(i)
				k.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: usual})
				k.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: factor * usual, Server: "new"})
			}
		}
		see(60, 1)
		pass(27 * time.Second)
		see(180, 1.7)
		pass(1300 * time.Millisecond)
		if p := s.progress(); p.State != canary.Running {
			t.Errorf("after a doubt of a moment the state is %v", p.State)
		}
		pass(2 * time.Second)
		if p := s.progress(); p.State != canary.RolledBack {
			t.Errorf("after a doubt that stands the state is %v", p.State)
		}
	})
}
