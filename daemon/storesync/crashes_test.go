package storesync_test

import (
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
	"ladderridge.example/daemon/storesync"
)

const (
	crashingPart = quarantine.Part(1000)
	commonPart   = quarantine.Part(1)
)

// crashPart records the exit of a server at a daemon, with a request in flight that has some parts.
func crashPart(d *storesync.Syncer, server int, parts ...quarantine.Part) {
	d.RecordServerExit(fmt.Sprintf("i-%d", server), []quarantine.Suspect{{Content: quarantine.Fingerprint(server), Parts: parts}})
}

// confinedAt counts the daemons that confine requests with some parts.
func confinedAt(daemons []*storesync.Syncer, parts ...quarantine.Part) int {
	n := 0
	for _, d := range daemons {
		if _, in := d.View().Confined(parts, time.Now()); in {
			n++
		}
	}
	return n
}

// Guards against a part that crashes servers at each daemon anew: requests with it come to any daemon, and
// each sees few of the crashes. Sound requests share the other part, and few daemons answer one.
func TestCrashesOfAPartSeenByDifferentDaemonsAddUp(t *testing.T) {
	for _, perHall := range []int{3, 30, 150} {
		t.Run(fmt.Sprint(2*perHall), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k")
				var daemons []*storesync.Syncer
				for n := range 2 * perHall {
					daemons = append(daemons, s.startDaemonIn(fmt.Sprintf("d%d", n), fmt.Sprintf("h%d", n%2)))
				}
				advance(4 * time.Second)
				for n := range 5 {
					if got := confinedAt(daemons, crashingPart); got > 0 {
						t.Fatalf("%d daemons confine the part after %d crashes", got, n)
					}
					crashPart(daemons[n%len(daemons)], n, commonPart, crashingPart)
					advance(200 * time.Millisecond)
				}
				daemons[5].Answered("i-99", quarantine.Suspect{Content: 99, Parts: []quarantine.Part{commonPart}})
				advance(1300 * time.Millisecond)
				if got := confinedAt(daemons, commonPart, crashingPart); got != len(daemons) {
					t.Errorf("%d of %d daemons confine the part", got, len(daemons))
				}
				if got := confinedAt(daemons, commonPart); got > 0 {
					t.Errorf("%d daemons confine the part that was answered", got)
				}
			})
		})
	}
}

// Guards against daemons that send requests with a crashing part since they start after its crashes, all
// at once or one of them, or since their hall was cut off meanwhile.
func TestConfinementIsKnownToDaemonsThatMissedItsCrashes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		before := startTwoHalls(s, 1)
		advance(3 * time.Second)
		for n := range 4 {
			crashPart(before[n], n, commonPart, crashingPart)
		}
		advance(time.Second)
		// The daemon missed four crashes.
		late := s.startDaemonIn("late", "h2")
		advance(3 * time.Second)
		before[0].Answered("i-99", quarantine.Suspect{Content: 99, Parts: []quarantine.Part{commonPart}})
		crashPart(late, 4, crashingPart)
		advance(1500 * time.Millisecond)
		all := append(before[:len(before):len(before)], late)
		if got := confinedAt(all, crashingPart); got != len(all) {
			t.Errorf("%d of %d daemons confine the part", got, len(all))
		}
		s.stopAll()
		after := startTwoHalls(s, 2)
		advance(3 * time.Second)
		if got := confinedAt(after, crashingPart); got != len(after) {
			t.Errorf("of %d daemons that were started anew %d confine the part", len(after), got)
		}
		// An answer ends it, at daemons that start later, too.
		after[2].Answered("i-99", quarantine.Suspect{Content: 98, Parts: []quarantine.Part{crashingPart}})
		advance(3 * time.Second)
		after = append(after, s.startDaemonIn("later", "h1"))
		advance(3 * time.Second)
		if got := confinedAt(after[2:3], crashingPart) + confinedAt(after[len(after)-1:], crashingPart); got > 0 {
			t.Errorf("%d daemons confine a part that was answered", got)
		}
	})
}

// Guards against crashes that only a reader knew which is gone.
func TestPartCrashesOutliveTheReader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		var daemons []*storesync.Syncer
		for n := range 6 {
			daemons = append(daemons, s.startDaemonIn(fmt.Sprintf("d%d", n), "h1"))
		}
		advance(3 * time.Second)
		var remaining []*storesync.Syncer
		for _, d := range daemons {
			if !d.ReadsStore() {
				remaining = append(remaining, d)
			}
		}
		for n := range 4 {
			crashPart(remaining[n%len(remaining)], n, crashingPart)
		}
		for _, d := range daemons {
			if d.ReadsStore() {
				s.network.dropOutgoing(d.Self.ID)
				s.network.dropIncoming(d.Self.ID)
			}
		}
		crashPart(remaining[0], 4, crashingPart)
		advance(3 * time.Second)
		if got := confinedAt(remaining, crashingPart); got != len(remaining) {
			t.Errorf("%d of %d daemons confine the part", got, len(remaining))
		}
	})
}
