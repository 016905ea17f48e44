package peer_test

import (
	"testing"
	"time"

	"ladderridge.example/core/member"
	"ladderridge.example/core/node"
	"ladderridge.example/core/replication"
)

// TestPausedDaemonDoubtsItsTable freezes a daemon while the table is edited.
// When it goes on, with everything that was sent meanwhile waiting in its
// inbox, it must doubt its table until it holds the newest one.
func TestPausedDaemonDoubtsItsTable(t *testing.T) {
	for seed := range uint64(20) {
		l := newLinks(seed)
		l.addAll(6, 2)
		l.platform.generation = 1
		l.run(10 * time.Second)
		paused := "entry-003"
		l.freeze(paused)
		l.run(20 * time.Second)
		l.platform.generation = 2
		l.run(3 * time.Second)
		// Nothing new comes through at first, only what waits in the inbox.
		l.thaw(paused)
		l.loss, l.platform.down = 1, true
		n := l.nodes[paused]
		// The control goroutine publishes nothing before its first event.
		for ms := range 7000 {
			if ms == 2100 {
				l.loss, l.platform.down = 0, false
			}
			l.run(time.Millisecond)
			holds := n.Store.Get(replication.Config).Number
			if holds < 2 && !n.Unconfirmed(l.now) && l.now.Sub(n.LastEvent()) < time.Second {
				t.Fatalf("seed %d: after a pause the daemon trusts generation %d", seed, holds)
			}
		}
		if n.Unconfirmed(l.now) || n.Store.Get(replication.Config).Number != 2 {
			t.Fatalf("seed %d: the daemon still doubts, or missed the edit", seed)
		}
	}
}

// TestCutOffDaemonServesOn cuts a data hall off from the platform and from the
// others: it does not doubt, and its knowledge ages.
func TestCutOffDaemonServesOn(t *testing.T) {
	l := newLinks(1)
	l.addAll(6, 2)
	l.platform.generation = 1
	l.run(10 * time.Second)
	l.cut[[2]string{"hall-0", "hall-1"}] = true
	l.platform.cutHalls["hall-1"] = true
	l.run(30 * time.Second)
	n := l.nodes["entry-001"]
	if n.Unconfirmed(l.now) {
		t.Error("a daemon that was cut off, but never paused, doubts its table")
	}
	if age := l.now.Sub(n.Store.ConfirmedAt(replication.Config)); age < 28*time.Second {
		t.Errorf("cut off for 30 s, its table was confirmed %v ago", age)
	}
}

// TestEditReachesAllInTime counts the time from an edit to in force on the last
// of 100 daemons, with one in ten frozen and 5% of the messages lost.
func TestEditReachesAllInTime(t *testing.T) {
	l := newLinks(7)
	l.addAll(100, 4)
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

// TestHallStartsAtOnce starts all daemons at once with the platform up and
// then down: the platform's reads stay bounded, and with it down a daemon that
// starts anew takes the table from the others.
func TestHallStartsAtOnce(t *testing.T) {
	l := newLinks(3)
	l.addAll(50, 1)
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

// TestHallStartsAtARateLimitedPlatform starts 50 daemons at once while the
// platform takes two calls a second: all get the table from the few that were
// let through, and the others do not hammer it.
func TestHallStartsAtARateLimitedPlatform(t *testing.T) {
	l := newLinks(4)
	l.platform.rate = 2
	l.platform.generation = 1
	l.addAll(50, 1)
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

// TestLostCopyIsSentAgain loses the message with a bill's copy while the
// platform is down: the bill must be safe with another daemon soon after.
func TestLostCopyIsSentAgain(t *testing.T) {
	l := newLinks(5)
	l.addAll(4, 2)
	l.platform.generation = 1
	l.run(10 * time.Second)
	l.platform.down = true
	l.loss = 1
	l.bill("entry-002", "b")
	l.run(100 * time.Millisecond)
	l.loss = 0
	l.run(3 * time.Second)
	if !l.safe["b"] {
		t.Error("the lost copy was not sent again")
	}
}

// TestSecondDaemonHoldsTheBill kills the daemon that holds copies without
// anybody knowing yet: a second one is asked and acknowledges.
func TestSecondDaemonHoldsTheBill(t *testing.T) {
	l := newLinks(6)
	l.addAll(6, 2)
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
	if l.safe["b"] {
		t.Fatal("the bill is safe with a daemon that is gone")
	}
	l.feed("entry-000", node.BillCopyTimedOut{Key: "b"})
	l.run(25 * time.Millisecond)
	if !l.safe["b"] {
		t.Error("no second daemon has the bill")
	}
}

// TestDaemonWhoseVMStoodStillDoubtsItsTable has a VM suspended while the table is edited: by
// its own clock no time has passed. The table is in doubt until it is confirmed by a read
// that was sent afterwards, and is as old as the world has it.
func TestDaemonWhoseVMStoodStillDoubtsItsTable(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	n := node.New(member.Listed{ID: "entry-1", Hall: "h"}, 1, now)
	n.Handle(node.ReadDone{Topic: replication.Config, Number: 1, Data: []byte("table"), SentAt: now}, now)
	now = now.Add(100 * time.Millisecond)
	if n.Unconfirmed(now) {
		t.Fatal("in doubt before")
	}
	n.Handle(node.Suspended{For: 20 * time.Second}, now)
	if age := now.Sub(n.Store.ConfirmedAt(replication.Config)); !n.Unconfirmed(now) || age < 20*time.Second {
		t.Errorf("after the standstill: in doubt %v, confirmed %v ago", n.Unconfirmed(now), age)
	}
	n.Handle(node.ReadDone{Topic: replication.Config, Number: 1, SentAt: now.Add(-time.Millisecond)}, now.Add(time.Second))
	if !n.Unconfirmed(now.Add(time.Second)) {
		t.Error("a read from before confirms the table")
	}
	n.Handle(node.ReadDone{Topic: replication.Config, Number: 2, Data: []byte("newer"), SentAt: now.Add(time.Second)}, now.Add(2*time.Second))
	if n.Unconfirmed(now.Add(2 * time.Second)) {
		t.Error("still in doubt")
	}
}
