package peer_test

import (
	"testing"
	"time"

	"ladderridge.example/core/member"
	"ladderridge.example/core/node"
	"ladderridge.example/core/replication"
)

// TestPausedDaemonHoldsItsTableUnconfirmed freezes a daemon while the table is
// edited. After it resumes, with all messages sent in the meantime still
// queued, its table must be unconfirmed until it holds the newest one.
func TestPausedDaemonHoldsItsTableUnconfirmed(t *testing.T) {
	for seed := range uint64(20) {
		l := newNetwork(seed)
		l.startAll(6, 2)
		l.platform.generation = 1
		l.run(10 * time.Second)
		paused := "entry-003"
		l.freeze(paused)
		l.run(20 * time.Second)
		l.platform.generation = 2
		l.run(3 * time.Second)
		// At first only the queued messages are delivered: all new ones are
		// lost and the platform is down.
		l.thaw(paused)
		l.loss, l.platform.down = 1, true
		n := l.nodes[paused]
		// The control goroutine publishes nothing before its first event, so
		// the table is checked only after a recent event.
		for ms := range 7000 {
			if ms == 2100 {
				l.loss, l.platform.down = 0, false
			}
			l.run(time.Millisecond)
			holds := n.Store.Get(replication.Config).Number
			if holds < 2 && !n.Unconfirmed(l.now) && l.now.Sub(n.LastEvent()) < time.Second {
				t.Fatalf("seed %d: after a pause the daemon holds generation %d as confirmed", seed, holds)
			}
		}
		if n.Unconfirmed(l.now) || n.Store.Get(replication.Config).Number != 2 {
			t.Fatalf("seed %d: the table is still unconfirmed, or the edit was missed", seed)
		}
	}
}

// TestPartitionedDaemonKeepsItsTableConfirmed disconnects a data hall from the
// platform and from the other hall: its table stays confirmed, and its age
// grows.
func TestPartitionedDaemonKeepsItsTableConfirmed(t *testing.T) {
	l := newNetwork(1)
	l.startAll(6, 2)
	l.platform.generation = 1
	l.run(10 * time.Second)
	l.partitioned[[2]string{"hall-0", "hall-1"}] = true
	l.platform.cutHalls["hall-1"] = true
	l.run(30 * time.Second)
	n := l.nodes["entry-001"]
	if n.Unconfirmed(l.now) {
		t.Error("the table of a daemon that was partitioned, but never paused, is unconfirmed")
	}
	if age := l.now.Sub(n.Store.ConfirmedAt(replication.Config)); age < 28*time.Second {
		t.Errorf("partitioned for 30 s, its table was confirmed %v ago", age)
	}
}

// TestEditReachesAllInTime checks that an edit is in force on all of 100
// daemons within 5 s, with one in ten frozen and 5% of the messages lost.
func TestEditReachesAllInTime(t *testing.T) {
	l := newNetwork(7)
	l.startAll(100, 4)
	l.platform.generation = 1
	l.loss = 0.05
	l.run(20 * time.Second)
	for i, id := range l.ids {
		if i%10 == 3 {
			l.freeze(id)
		}
	}
	for range 10 {
		l.platform.generation++
		begun := l.now
		for low, _ := l.generations(); low < l.platform.generation; low, _ = l.generations() {
			l.run(50 * time.Millisecond)
			if l.now.Sub(begun) > 5*time.Second {
				t.Fatalf("generation %d is not in force everywhere after 5 s", l.platform.generation)
			}
		}
		t.Logf("generation %d in force everywhere after %v", l.platform.generation, l.now.Sub(begun))
		l.run(3 * time.Second)
	}
}

// TestHallStartsAtOnce starts all daemons of a hall at once with the platform
// up: the reads of the platform stay bounded. Then, with the platform down, a
// restarted daemon gets the table from the others.
func TestHallStartsAtOnce(t *testing.T) {
	l := newNetwork(3)
	l.startAll(50, 1)
	l.platform.generation = 1
	l.run(10 * time.Second)
	if low, _ := l.generations(); low != 1 {
		t.Fatalf("after 10 s some daemon holds generation %d", low)
	}
	before := l.platform.reads
	l.run(60 * time.Second)
	if perSecond := float64(l.platform.reads-before) / 60; perSecond > 6 {
		t.Errorf("50 daemons of a hall read the platform %.1f times a second, want at most 6", perSecond)
	}
	l.platform.down = true
	l.run(10 * time.Second)
	l.kill("entry-017")
	l.start("entry-017")
	l.run(10 * time.Second)
	if got := l.nodes["entry-017"].Store.Get(replication.Config).Number; got != 1 {
		t.Errorf("started while the platform is down, the daemon holds generation %d, want 1", got)
	}
}

// TestHallStartsWithARateLimitedPlatform starts 50 daemons at once while the
// platform accepts two calls per second: all get the table from the few whose
// calls succeed, and the number of rejected calls stays bounded.
func TestHallStartsWithARateLimitedPlatform(t *testing.T) {
	l := newNetwork(4)
	l.platform.rate = 2
	l.platform.generation = 1
	l.startAll(50, 1)
	const seconds = 20
	l.run(seconds * time.Second)
	if low, _ := l.generations(); low != 1 {
		t.Errorf("after %d s some daemon holds generation %d", seconds, low)
	}
	if l.platform.limited > 6*seconds {
		t.Errorf("%d reads in %d s were over the rate", l.platform.limited, seconds)
	}
	t.Logf("%d reads, %d of them over the rate", l.platform.reads, l.platform.limited)
}

// TestLostBillCopyIsResent loses the message with a bill's copy while the
// platform is down: soon after, the bill must be durable on another daemon.
func TestLostBillCopyIsResent(t *testing.T) {
	l := newNetwork(5)
	l.startAll(4, 2)
	l.platform.generation = 1
	l.run(10 * time.Second)
	l.platform.down = true
	l.loss = 1
	l.bill("entry-002", "b")
	l.run(100 * time.Millisecond)
	l.loss = 0
	l.run(3 * time.Second)
	if !l.durable["b"] {
		t.Error("the lost copy was not sent again")
	}
}

// TestBillIsCopiedToASecondDaemon kills all daemons of the other hall, one of
// which is to hold a bill's copy, before the rest detect it: the copy goes to a
// second daemon, which acknowledges it.
func TestBillIsCopiedToASecondDaemon(t *testing.T) {
	l := newNetwork(6)
	l.startAll(6, 2)
	l.platform.generation = 1
	l.run(10 * time.Second)
	l.platform.down = true
	for _, id := range l.ids {
		if l.listed(id).Hall == "hall-1" {
			l.kill(id)
		}
	}
	l.bill("entry-000", "b")
	l.run(25 * time.Millisecond)
	if l.durable["b"] {
		t.Fatal("the bill is durable on a daemon that was killed")
	}
	l.feed("entry-000", node.BillCopyTimedOut{Key: "b"})
	l.run(25 * time.Millisecond)
	if !l.durable["b"] {
		t.Error("no second daemon has the bill")
	}
}

// TestSuspendedVMHoldsItsTableUnconfirmed suspends a VM while the table is
// edited: by its own clock no time has passed. The table is unconfirmed until a
// read that was sent after the suspension confirms it, and its age includes the
// suspension.
func TestSuspendedVMHoldsItsTableUnconfirmed(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	n := node.New(member.Listed{ID: "entry-1", Hall: "h"}, 1, now)
	n.Handle(node.ReadDone{Topic: replication.Config, Number: 1, Data: []byte("table"), SentAt: now}, now)
	now = now.Add(100 * time.Millisecond)
	if n.Unconfirmed(now) {
		t.Fatal("unconfirmed before the suspension")
	}
	n.Handle(node.Suspended{For: 20 * time.Second}, now)
	if age := now.Sub(n.Store.ConfirmedAt(replication.Config)); !n.Unconfirmed(now) || age < 20*time.Second {
		t.Errorf("after the suspension: unconfirmed %v, confirmed %v ago", n.Unconfirmed(now), age)
	}
	n.Handle(node.ReadDone{Topic: replication.Config, Number: 1, SentAt: now.Add(-time.Millisecond)}, now.Add(time.Second))
	if !n.Unconfirmed(now.Add(time.Second)) {
		t.Error("a read sent before the suspension confirms the table")
	}
	n.Handle(node.ReadDone{Topic: replication.Config, Number: 2, Data: []byte("newer"), SentAt: now.Add(time.Second)}, now.Add(2*time.Second))
	if n.Unconfirmed(now.Add(2 * time.Second)) {
		t.Error("still unconfirmed")
	}
}
