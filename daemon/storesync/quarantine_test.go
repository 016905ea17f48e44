package storesync_test

import (
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
	"ladderridge.example/daemon/storesync"
)

const deadly = quarantine.Fingerprint(77)

// confined is how many daemons send the deadly request no more.
func confined(daemons ...*storesync.Syncer) int {
	n := 0
	for _, k := range daemons {
		if _, in := k.View().Quarantined(deadly, time.Now()); in {
			n++
		}
	}
	return n
}

// halls starts three daemons in each of two halls.
func halls(s *system, generation int) []*storesync.Syncer {
	var out []*storesync.Syncer
	for _, hall := range []string{"h1", "h2"} {
		for n := range 3 {
			out = append(out, s.daemonIn(fmt.Sprintf("%s-%d-%d", hall, n, generation), hall))
		}
	}
	return out
}

// A request under which servers ended came to seven daemons in turn. Each of them saw one or
// two servers end and none of them three, so that none had reason to stop: its log lines
// are from front-vad-hall-b-1 at 8.89 s, b-2 at 9.30 s, a-1 at 13.05 s and a-2 at 13.79 s.
func TestCrashesSeenByDifferentDaemonsAddUp(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		daemons := halls(s, 1)
		pass(3 * time.Second)
		for n, k := range []int{1, 2, 5} {
			if got := confined(daemons...); got > 0 {
				t.Fatalf("%d daemons stop after %d servers", got, n)
			}
			daemons[k].RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Fingerprint{deadly})
			pass(300 * time.Millisecond)
		}
		pass(700 * time.Millisecond)
		if got := confined(daemons...); got != len(daemons) {
			t.Errorf("a second after the third server %d of %d daemons know", got, len(daemons))
		}
	})
}

// One server's end, seen by all daemons that had the request there, is one.
func TestOneServersEndIsOneCrashForAll(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		daemons := halls(s, 1)
		pass(3 * time.Second)
		for _, k := range daemons {
			k.RecordServerExit("i-1", []quarantine.Fingerprint{deadly})
		}
		pass(2 * time.Second)
		if got := confined(daemons...); got > 0 {
			t.Errorf("%d daemons count one end several times", got)
		}
	})
}

// Daemons keep nothing on a disk. With all of them killed the request would have three
// servers more each time: the store has it.
func TestQuarantineOutlivesAllDaemons(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		before := halls(s, 1)
		pass(3 * time.Second)
		for n := range 3 {
			before[n].RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Fingerprint{deadly})
		}
		pass(time.Second)
		s.stopAll()
		after := halls(s, 2)
		pass(3 * time.Second)
		if got := confined(after...); got != len(after) {
			t.Errorf("of %d daemons that start anew %d know", len(after), got)
		}
		pass(10 * time.Minute)
		if got := confined(after...); got > 0 {
			t.Errorf("%d daemons still refuse after its time", got)
		}
	})
}

// The news is a datagram, and its daemon's reader may be gone: what one daemon has seen
// alone is enough for all as soon as the store has it.
func TestQuarantineIsKnownThoughItsDaemonIsNotHeard(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		daemons := halls(s, 1)
		pass(3 * time.Second)
		s.mesh.lose(daemons[0].Self.ID)
		for n := range 3 {
			daemons[0].RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Fingerprint{deadly})
		}
		pass(2 * time.Second)
		if got := confined(daemons...); got != len(daemons) {
			t.Errorf("%d of %d daemons know", got, len(daemons))
		}
	})
}

// The daemon that reads for a hall is gone when a crash is told to it. Each of the others
// saw one server end: their news goes to who reads then.
func TestCrashesAreToldAgainWhenTheReaderWasGone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		var daemons []*storesync.Syncer
		for n := range 5 {
			daemons = append(daemons, s.daemonIn(fmt.Sprintf("d%d", n), "h1"))
		}
		pass(3 * time.Second)
		var rest []*storesync.Syncer
		for _, k := range daemons {
			if k.ReadsStore() {
				s.mesh.lose(k.Self.ID)
				s.mesh.deafen(k.Self.ID)
			} else {
				rest = append(rest, k)
			}
		}
		for n, k := range rest[:3] {
			k.RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Fingerprint{deadly})
		}
		pass(3 * time.Second)
		if got := confined(rest...); got != len(rest) {
			t.Errorf("%d of %d daemons know", got, len(rest))
		}
	})
}
