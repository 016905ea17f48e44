package storesync_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/daemon/storesync"
)

const crashingRequest = quarantine.Fingerprint(77)

// quarantineCount counts the daemons that quarantine the crashing request.
func quarantineCount(daemons ...*storesync.Syncer) int {
	n := 0
	for _, d := range daemons {
		if _, in := d.View().Quarantined(crashingRequest, time.Now()); in {
			n++
		}
	}
	return n
}

// startTwoHalls starts three daemons in each of two halls.
func startTwoHalls(s *cluster, generation int) []*storesync.Syncer {
	var out []*storesync.Syncer
	for _, hall := range []string{"h1", "h2"} {
		for n := range 3 {
			out = append(out, s.startDaemonIn(fmt.Sprintf("%s-%d-%d", hall, n, generation), hall))
		}
	}
	return out
}

// A request that crashes servers came to seven daemons in turn. Each of them saw one or two
// servers crash, less than the threshold of three, so that none quarantined the request. The
// crashes were logged by daemons of two halls within five seconds.
func TestCrashesSeenByDifferentDaemonsAddUp(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		daemons := startTwoHalls(s, 1)
		advance(3 * time.Second)
		for n, d := range []int{1, 2, 5} {
			if got := quarantineCount(daemons...); got > 0 {
				t.Fatalf("%d daemons quarantine the request after %d server crashes", got, n)
			}
			daemons[d].RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Suspect{{Content: crashingRequest}})
			advance(300 * time.Millisecond)
		}
		advance(700 * time.Millisecond)
		if got := quarantineCount(daemons...); got != len(daemons) {
			t.Errorf("a second after the third crash %d of %d daemons quarantine the request", got, len(daemons))
		}
	})
}

// The crash of one server counts once, also if several daemons had sent the request there.
func TestCrashOfOneServerCountsOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		daemons := startTwoHalls(s, 1)
		advance(3 * time.Second)
		for _, d := range daemons {
			d.RecordServerExit("i-1", []quarantine.Suspect{{Content: crashingRequest}})
		}
		advance(2 * time.Second)
		if got := quarantineCount(daemons...); got > 0 {
			t.Errorf("%d daemons count one crash several times", got)
		}
	})
}

// Daemons keep nothing on disk. If a quarantine were not in the store, the request would crash
// three more servers each time all daemons are killed.
func TestQuarantineOutlivesAllDaemons(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		before := startTwoHalls(s, 1)
		advance(3 * time.Second)
		for n := range 3 {
			before[n].RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Suspect{{Content: crashingRequest}})
		}
		advance(time.Second)
		s.stopAll()
		after := startTwoHalls(s, 2)
		advance(3 * time.Second)
		if got := quarantineCount(after...); got != len(after) {
			t.Errorf("of %d restarted daemons %d quarantine the request", len(after), got)
		}
		advance(10 * time.Minute)
		if got := quarantineCount(after...); got > 0 {
			t.Errorf("%d daemons still quarantine the request after its expiry", got)
		}
	})
}

// Crashes are announced in datagrams, which may be lost, or sent to a reader that is gone. The
// crashes that one daemon alone has seen reach all daemons through the store.
func TestQuarantineReachesAllThroughTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		daemons := startTwoHalls(s, 1)
		advance(3 * time.Second)
		s.network.dropOutgoing(daemons[0].Self.ID)
		for n := range 3 {
			daemons[0].RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Suspect{{Content: crashingRequest}})
		}
		advance(2 * time.Second)
		if got := quarantineCount(daemons...); got != len(daemons) {
			t.Errorf("%d of %d daemons quarantine the request", got, len(daemons))
		}
	})
}

// The reader of a hall is gone when crashes are announced to it. Each of the other daemons saw one
// server crash: they must announce it again to the next reader.
func TestCrashesAreAnnouncedAgainAfterLossOfTheReader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		var daemons []*storesync.Syncer
		for n := range 5 {
			daemons = append(daemons, s.startDaemonIn(fmt.Sprintf("d%d", n), "h1"))
		}
		advance(3 * time.Second)
		var remaining []*storesync.Syncer
		for _, d := range daemons {
			if d.ReadsStore() {
				s.network.dropOutgoing(d.Self.ID)
				s.network.dropIncoming(d.Self.ID)
			} else {
				remaining = append(remaining, d)
			}
		}
		for n, d := range remaining[:3] {
			d.RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Suspect{{Content: crashingRequest}})
		}
		advance(3 * time.Second)
		if got := quarantineCount(remaining...); got != len(remaining) {
			t.Errorf("%d of %d daemons quarantine the request", got, len(remaining))
		}
	})
}

// Guards against daemons that doubt their own path when a server refuses them, though others know that
// it has exited.
func TestExitIsKnownToDaemonsWithoutARequestThere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "i-1", "v1")
		var told atomic.Int64
		s.onServerExit = func(string) { told.Add(1) }
		daemons := startTwoHalls(s, 1)
		advance(3 * time.Second)
		daemons[1].RecordServerExit(daemons[1].View().Servers.All()[0].Incarnation().String(), []quarantine.Suspect{{Content: crashingRequest}})
		advance(2 * time.Second)
		if n := told.Load(); n != int64(len(daemons))-1 {
			t.Errorf("%d of %d other daemons know of the exit", n, len(daemons)-1)
		}
	})
}

// Guards against daemons that count crashes which an answer at another daemon has cleared, and against an
// answer by one version that clears the crashes of another.
func TestAnswersOfAContentAreKnownToAllDaemonsByGroup(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		daemons := startTwoHalls(s, 1)
		advance(3 * time.Second)
		crash := func(n int) {
			daemons[n%len(daemons)].RecordServerExit(fmt.Sprintf("i-%d", n), []quarantine.Suspect{{Content: crashingRequest, Group: 1}})
			advance(time.Second)
		}
		answer := func(g quarantine.Group) {
			daemons[5].Answered("i-99", quarantine.Suspect{Content: crashingRequest, Group: g})
			advance(2 * time.Second)
		}
		crash(0)
		crash(1)
		answer(1)
		crash(2)
		crash(3)
		if got := quarantineCount(daemons...); got > 0 {
			t.Errorf("%d daemons quarantine the request after two crashes since its last answer", got)
		}
		answer(2)
		crash(4)
		if got := quarantineCount(daemons...); got != len(daemons) {
			t.Errorf("%d of %d daemons quarantine the request after three crashes without an answer of that version", got, len(daemons))
		}
	})
}
