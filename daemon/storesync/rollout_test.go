package storesync_test

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// startRollout starts daemons, servers of both versions of a service, and an order for the new one.
func startRollout(t *testing.T, daemons, seconds int) (*cluster, []*storesync.Syncer) {
	t.Helper()
	s := newCluster(t)
	return s, s.startRollout(daemons, seconds)
}

// startRollout starts daemons and orders a roll-out that is to be completed within some seconds.
func (s *cluster) startRollout(daemons, seconds int) []*storesync.Syncer {
	s.t.Helper()
	s.writeConfig(1, "k")
	s.store.set(gossip.Servers, "old", "v1")
	var syncers []*storesync.Syncer
	for i := range daemons {
		syncers = append(syncers, s.startDaemon(fmt.Sprintf("d%d", i)))
	}
	// All daemons know each other after the second read of the list of daemons.
	advance(12 * time.Second)
	s.store.set(gossip.Servers, "new", "v2")
	s.store.set(gossip.Operator, "order/s", fmt.Sprintf(`{"Version":"v2","Seconds":%d}`, seconds))
	advance(time.Second)
	return syncers
}

func (s *cluster) storedProgress() canary.Progress {
	var p canary.Progress
	_ = json.Unmarshal([]byte(s.store.get(gossip.Progress, "s")), &p)
	return p
}

// prefersVersion reports whether a session's first choice is a version.
func prefersVersion(d *storesync.Syncer, hash uint64, version string) bool {
	first, _ := d.View().Versions("s", hash, time.Now())
	return first.Allows(version)
}

// observeFailures lets a daemon observe failed answers of the new version.
func observeFailures(d *storesync.Syncer, answers int) {
	for range answers {
		d.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", Failed: true})
	}
}

// observeGoodAnswers lets daemons observe answers of two versions that take as long. A version that is
// not shown to be good is not completed.
func observeGoodAnswers(syncers []*storesync.Syncer, was, is string) {
	const answers = 60
	for i := range answers {
		for _, version := range []string{was, is} {
			syncers[i%len(syncers)].Observe(storesync.Observation{Service: "s", Version: version, Route: "r", FirstRatio: typicalRatio(i)})
		}
	}
}

// typicalRatio returns the relative latency of the i-th answer; a tenth of them take at least twice
// the typical time.
func typicalRatio(i int) float64 { return 0.4 * math.Pow(1.12, float64(i%20)) }

const (
	// lowestHash is the first session that moves to the new version, highestHash the last one.
	lowestHash  = uint64(0)
	highestHash = ^uint64(0)
)

func TestGoodVersionTakesOverInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 20)
		for _, d := range syncers {
			if !prefersVersion(d, lowestHash, "v2") || !prefersVersion(d, highestHash, "v1") {
				t.Fatal("the initial share of the new version is wrong")
			}
		}
		observeGoodAnswers(syncers, "v1", "v2")
		advance(20 * time.Second)
		if p := s.storedProgress(); p.State != canary.Completed || p.Version != "v2" {
			t.Fatalf("the state is %v", p)
		}
		for _, d := range syncers {
			if !prefersVersion(d, highestHash, "v2") {
				t.Error("a daemon does not use the new version alone")
			}
		}
	})
}

func TestFaultyVersionIsRolledBackOnEvidenceOfAllDaemons(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 20)
		// No daemon has enough evidence by itself.
		for _, d := range syncers {
			for i := range 8 {
				d.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", Failed: i%2 == 0})
			}
		}
		advance(time.Second)
		for i, d := range syncers {
			if prefersVersion(d, lowestHash, "v2") {
				t.Errorf("daemon %d still uses the faulty version", i)
			}
		}
		advance(2 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p)
		}
	})
}

func TestLostWriteAnswersAndACutOffWriterDoNotStopARollout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 20)
		observeGoodAnswers(syncers[1:], "v1", "v2")
		s.links["d0"].fail(errDown)
		for _, id := range []string{"d1", "d2"} {
			s.links[id].mu.Lock()
			s.links[id].loseWrites = true
			s.links[id].mu.Unlock()
		}
		advance(20 * time.Second)
		if p := s.storedProgress(); p.State != canary.Completed {
			t.Errorf("the state is %v", p)
		}
	})
}

func TestNewDaemonKnowsTheAgeOfTheRollout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, _ := startRollout(t, 2, 40)
		advance(10 * time.Second)
		late := s.startDaemon("late")
		advance(2 * time.Second)
		r, ok := late.View().Rollout("s")
		if age := time.Since(r.Since); !ok || !r.Started || age < 12*time.Second || age > 14*time.Second {
			t.Errorf("the age of the order is %v (started %v)", age, r.Started)
		}
	})
}

func TestVersionWithoutAnOrderWaitsForOne(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "old", "v1")
		d := s.startDaemon("a")
		advance(3 * time.Second)
		if !prefersVersion(d, lowestHash, "v1") {
			t.Error("the version of the first list is not used")
		}
		s.store.set(gossip.Servers, "new", "v2")
		advance(time.Second)
		if prefersVersion(d, lowestHash, "v2") {
			t.Error("a version is used before an order could have come")
		}
		advance(time.Second)
		if !prefersVersion(d, lowestHash, "v2") {
			t.Error("a version without an order is never used")
		}
	})
}

// When a roll-out begins, an active session that an old version served at any daemon stays with
// that version until it pauses. Daemons once moved active sessions.
func TestSessionMovesOnlyAfterAPause(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "old", "v1")
		var syncers []*storesync.Syncer
		for i := range 3 {
			syncers = append(syncers, s.startDaemon(fmt.Sprintf("d%d", i)))
		}
		advance(12 * time.Second)
		syncers[2].RecordSession("s", lowestHash, "v1")
		advance(1200 * time.Millisecond)
		s.store.set(gossip.Servers, "new", "v2")
		s.store.set(gossip.Operator, "order/s", `{"Version":"v2","Seconds":40}`)
		advance(time.Second)
		for i, d := range syncers {
			if prefersVersion(d, lowestHash, "v2") {
				t.Errorf("daemon %d moves an active session", i)
			}
			if !prefersVersion(d, lowestHash+1, "v2") {
				t.Errorf("daemon %d does not move a new session", i)
			}
		}
		// The session continues, and stays; then it pauses.
		syncers[1].RecordSession("s", lowestHash, "v1")
		advance(4500 * time.Millisecond)
		if prefersVersion(syncers[0], lowestHash, "v2") {
			t.Error("the session moved without a pause")
		}
		advance(3 * time.Second)
		if !prefersVersion(syncers[0], lowestHash, "v2") {
			t.Error("the session did not move after its pause")
		}
	})
}

// A session must be announced a bounded number of times, also while all daemons read the store
// themselves and query each other: announcements once circulated and grew in number.
func TestSessionAnnouncementsAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		ids := []string{"a", "b", "c", "d"}
		syncers := map[string]*storesync.Syncer{}
		for i, id := range ids {
			syncers[id] = s.startDaemonIn(id, []string{"h", "far"}[i%2])
		}
		advance(12 * time.Second)
		for _, id := range ids {
			s.links[id].fail(errDown)
		}
		advance(8 * time.Second)
		for _, id := range ids {
			syncers[id].RecordSession("s", lowestHash, "v1")
		}
		advance(10 * time.Second)
		s.network.mu.Lock()
		defer s.network.mu.Unlock()
		if s.network.sessions > 4*len(ids)*len(ids) {
			t.Errorf("four sessions were announced %d times", s.network.sessions)
		}
	})
}

// If all daemons restart near the end of an order, the evidence about the version is lost: the
// roll-out must not complete before there is some. A version that failed was once completed
// 0.1 s after such a restart.
func TestVersionIsNotCompletedWithoutEvidence(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, before := startRollout(t, 3, 10)
		advance(5500 * time.Millisecond)
		for i := range before {
			id := fmt.Sprintf("d%d", i)
			s.network.mu.Lock()
			delete(s.network.syncers, id)
			s.network.mu.Unlock()
			s.links[id].fail(errDown)
		}
		var after []*storesync.Syncer
		for i := range 3 {
			after = append(after, s.startDaemon(fmt.Sprintf("e%d", i)))
		}
		advance(2500 * time.Millisecond)
		for _, d := range after {
			observeFailures(d, 10)
		}
		advance(5 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p)
		}
	})
}

// Guards against slow versions that are completed because few answers, or none, speak against them: with
// few requests, or after a restart of the daemons.
func TestVersionWithFewAnswersIsNeitherOpenedNorCompleted(t *testing.T) {
	for _, answers := range []int{0, 1, 6} {
		t.Run(fmt.Sprint(answers), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s, syncers := startRollout(t, 3, 20)
				for i := range 60 {
					syncers[i%3].Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: typicalRatio(i)})
					if i < answers {
						syncers[i%3].Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: 1})
					}
				}
				for range 200 {
					advance(100 * time.Millisecond)
					for i, d := range syncers {
						if prefersVersion(d, highestHash, "v2") {
							t.Fatalf("daemon %d sends all sessions to the version", i)
						}
					}
				}
				if p := s.storedProgress(); p.State != canary.RolledBack {
					t.Errorf("the state is %v", p)
				}
			})
		})
	}
}

// Guards against a version that is opened to all sessions by daemons that have just started and have no
// evidence of it.
func TestVersionIsNotOpenedByDaemonsWithoutEvidence(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, before := startRollout(t, 3, 20)
		observeGoodAnswers(before, "v1", "v2")
		advance(15700 * time.Millisecond)
		for i := range before {
			id := fmt.Sprintf("d%d", i)
			s.network.mu.Lock()
			delete(s.network.syncers, id)
			s.network.mu.Unlock()
			s.links[id].fail(errDown)
		}
		var after []*storesync.Syncer
		for i := range 3 {
			after = append(after, s.startDaemon(fmt.Sprintf("e%d", i)))
		}
		for range 100 {
			advance(50 * time.Millisecond)
			for i, d := range after {
				if prefersVersion(d, highestHash, "v2") {
					t.Fatalf("daemon %d sends all sessions to the version", i)
				}
			}
		}
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p)
		}
	})
}

// All daemons once lost their paths to the servers for the time of an order, and completed a version
// that fails since nobody had an answer of it.
func TestVersionThatNoRequestReachesIsNotCompleted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		var reachable atomic.Bool
		s.unreachable = func(time.Time) bool { return !reachable.Load() }
		syncers := s.startRollout(3, 6)
		advance(10 * time.Second)
		if p := s.storedProgress(); p.State != canary.Running {
			t.Fatalf("while no server is reached the state is %v", p)
		}
		for _, d := range syncers {
			observeFailures(d, 10)
		}
		reachable.Store(true)
		advance(5 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("after failed answers the state is %v", p)
		}
	})
}

// A version that is slower than tolerated, but by too little to be rejected at once, is not
// completed, because there would be no version left to roll back to. One that is not slower is
// completed.
func TestVersionIsCompletedOnlyOnEvidenceForIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		factor float64
		state  canary.State
	}{
		{"alike", 1, canary.Completed},
		{"twice as slow", 2, canary.RolledBack},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s, syncers := startRollout(t, 3, 20)
				for i := range 180 {
					d, typical := syncers[i%len(syncers)], typicalRatio(i)
					d.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: typical})
					if i < 60 {
						d.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: c.factor * typical})
					}
				}
				advance(10 * time.Second)
				if p := s.storedProgress(); p.State != canary.Running {
					t.Fatalf("the state is %v halfway through the roll-out", p.State)
				}
				advance(7 * time.Second)
				if p := s.storedProgress(); c.state == canary.RolledBack && p.State != c.state {
					t.Errorf("the state is %v shortly before all sessions would move", p.State)
				}
				advance(3 * time.Second)
				if p := s.storedProgress(); p.State != c.state {
					t.Errorf("the state is %v", p.State)
				}
			})
		})
	}
}

// A daemon that does not write roll-out states has only its own evidence: a few unlucky answers there
// must not reject a version that the evidence of all daemons supports. Good versions of a
// service with 65 daemons were rolled back on four answers of one daemon, though 704 answers
// supported them.
func TestGoodVersionIsNotRolledBackOnEvidenceOfOneDaemon(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 8, 20)
		unlucky := slices.IndexFunc(syncers, func(d *storesync.Syncer) bool { return d.Calls.Load() <= 20 })
		for i := range 400 {
			d, typical := syncers[i%len(syncers)], typicalRatio(i)
			d.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: typical})
			switch {
			case i%len(syncers) != unlucky:
				d.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: typical})
			case i < 5*len(syncers):
				d.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: 3})
			}
		}
		advance(20 * time.Second)
		if p := s.storedProgress(); p.State != canary.Completed {
			t.Errorf("the state is %v", p.State)
		}
	})
}

// With many answers, a roll-out need not run for two thirds of its time before a suspicion counts:
// after 300 answers of three servers a suspected version is rolled back at once.
func TestSuspicionRollsBackAfterManyAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 20)
		for i := range 480 {
			d, typical := syncers[i%len(syncers)], typicalRatio(i)
			d.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: typical})
			d.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: 1.45 * typical, Server: fmt.Sprint(i / 160)})
		}
		advance(4 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p.State)
		}
	})
}

// A faulty version is rolled back within a second, also while the daemons that normally write
// roll-out states are suspended.
func TestFaultyVersionIsRolledBackWithoutReaders(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 20)
		for i, d := range syncers {
			if d.Calls.Load() > 20 {
				// The reader of the hall is suspended.
				id := fmt.Sprintf("d%d", i)
				s.links[id].setUnresponsive(true)
				s.network.mu.Lock()
				s.network.delaying[id] = true
				s.network.mu.Unlock()
				continue
			}
			observeFailures(d, 10)
		}
		advance(time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p)
		}
	})
}

// A daemon that queries other daemons because its reader is gone must not consume the pending
// session announcements with these queries: active sessions of a hall once moved while its
// first reader was gone.
func TestSessionAnnouncementsGoToTheReaderOnly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 4, 60)
		gone := ""
		for i, d := range syncers {
			if d.Calls.Load() > 15 {
				gone = fmt.Sprintf("d%d", i)
			}
		}
		s.network.mu.Lock()
		delete(s.network.syncers, gone)
		s.network.mu.Unlock()
		s.links[gone].fail(errDown)
		advance(5 * time.Second)
		var left []*storesync.Syncer
		for i, d := range syncers {
			if fmt.Sprintf("d%d", i) != gone {
				left = append(left, d)
			}
		}
		const served = 40
		for i := range uint64(served) {
			left[i%3].RecordSession("s", lowestHash+i, "v1")
			advance(100 * time.Millisecond)
		}
		advance(900 * time.Millisecond)
		for i := range uint64(served) {
			for n, d := range left {
				if prefersVersion(d, lowestHash+i, "v2") {
					t.Errorf("daemon %d moves session %d, which is active at daemon %d", n, i, i%3)
				}
			}
		}
	})
}

// A second order follows the first one at once. Sessions that the first order's version served
// before its completion stay with it until they pause. They once moved, because daemons
// remembered only sessions that old versions had served.
func TestActiveSessionsStayWhenOneOrderFollowsAnother(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 20)
		observeGoodAnswers(syncers, "v1", "v2")
		advance(16500 * time.Millisecond)
		syncers[1].RecordSession("s", lowestHash, "v2")
		advance(2000 * time.Millisecond)
		if p := s.storedProgress(); p.State != canary.Completed {
			t.Fatalf("the first order is %v", p)
		}
		s.store.set(gossip.Servers, "newer", "v3")
		s.store.set(gossip.Operator, "order/s", `{"Version":"v3","Seconds":20}`)
		advance(1500 * time.Millisecond)
		for i, d := range syncers {
			if prefersVersion(d, lowestHash, "v3") {
				t.Errorf("daemon %d moves an active session", i)
			}
			if !prefersVersion(d, lowestHash+1, "v3") {
				t.Errorf("daemon %d does not move a new session", i)
			}
		}
	})
}

// Guards against a version that was rolled back and gets requests again, as an old one, as soon as the next one is
// ordered.
func TestRolledBackVersionIsNoOldVersionOfTheNextOrder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 3, 20)
		for _, d := range syncers {
			observeFailures(d, 20)
		}
		advance(3 * time.Second)
		if p := s.storedProgress(); p.State != canary.RolledBack {
			t.Fatalf("the first order is %v", p)
		}
		s.store.set(gossip.Servers, "newer", "v3")
		s.store.set(gossip.Operator, "order/s", `{"Version":"v3","Seconds":20}`)
		for range 20 {
			advance(time.Second)
			for i, d := range syncers {
				for _, hash := range []uint64{lowestHash, highestHash / 2, highestHash} {
					if first, second := d.View().Versions("s", hash, time.Now()); first.Allows("v2") || second.Allows("v2") {
						t.Fatalf("daemon %d uses the version that was rolled back", i)
					}
				}
			}
		}
		// The operator may order the version again.
		s.store.set(gossip.Operator, "order/s", `{"Version":"v2","Seconds":20}`)
		advance(time.Second)
		s.store.set(gossip.Operator, "order/s", `{"Version":"v4","Seconds":20}`)
		advance(time.Second)
		if first, second := syncers[0].View().Versions("s", highestHash, time.Now()); !first.Allows("v1") || first.Allows("v4") || !second.Allows("v1") {
			t.Error("the old version is not used")
		}
	})
}

// Guards against a late state of an earlier order: one that tells that its version was rolled back counts, but not one
// from before a restore of the store, behind which the version may have been completed.
func TestLateStateOfAnEarlierOrderRejectsItsVersion(t *testing.T) {
	for _, c := range []struct {
		restored bool
		rejected bool
	}{{false, true}, {true, false}} {
		inBubble(t, func(t *testing.T) {
			s, syncers := startRollout(t, 1, 20)
			order := s.storedProgress().Order
			s.store.set(gossip.Servers, "newer", "v3")
			s.store.set(gossip.Operator, "order/s", `{"Version":"v3","Seconds":20}`)
			advance(time.Second)
			if c.restored {
				order.Era++
			}
			s.store.set(gossip.Progress, "s", fmt.Sprintf(`{"State":%d,"Version":"v2","SinceMS":1000,"Order":{"Era":%d,"Number":%d}}`, canary.RolledBack, order.Era, order.Number))
			advance(time.Second)
			first, _ := syncers[0].View().Versions("s", highestHash, time.Now())
			if first.Allows("v2") == c.rejected {
				t.Errorf("after a restore %v: rejected %v", c.restored, !first.Allows("v2"))
			}
		})
	}
}

// Daemons write the states of a second order in turn, as those of the first: 62 daemons once
// wrote "completed" at the same moment.
func TestStatesOfASecondOrderAreWrittenInTurn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 30, 10)
		observeGoodAnswers(syncers, "v1", "v2")
		advance(12 * time.Second)
		s.store.set(gossip.Servers, "newer", "v3")
		s.store.set(gossip.Operator, "order/s", `{"Version":"v3","Seconds":10}`)
		advance(time.Second)
		observeGoodAnswers(syncers, "v2", "v3")
		advance(5 * time.Second)
		all := map[string]*storesync.Syncer{}
		for i, d := range syncers {
			all[fmt.Sprint(i)] = d
		}
		before := totalCalls(all)
		advance(6 * time.Second)
		if p := s.storedProgress(); p.State != canary.Completed || p.Version != "v3" {
			t.Fatalf("the second order is %v", p)
		}
		// The calls of the reader, and one or two writes.
		if n := totalCalls(all) - before; n > 18 {
			t.Errorf("%d store calls", n)
		}
	})
}

// A version that one daemon rejects while another one has completed its roll-out is used, because
// there are no servers of the old version any more. Such a daemon once refused all requests.
func TestCompletedVersionIsUsedByADaemonThatRejectedIt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, syncers := startRollout(t, 1, 20)
		d, order := syncers[0], s.storedProgress().Order
		s.links["d0"].fail(errDown)
		observeFailures(d, 20)
		advance(time.Second)
		if prefersVersion(d, lowestHash, "v2") {
			t.Fatal("the version is not rejected")
		}
		s.store.set(gossip.Progress, "s", fmt.Sprintf(`{"State":%d,"Version":"v2","SinceMS":1000,"Order":{"Era":%d,"Number":%d}}`, canary.Completed, order.Era, order.Number))
		s.links["d0"].fail(nil)
		advance(3 * time.Second)
		if !prefersVersion(d, lowestHash, "v2") || !prefersVersion(d, highestHash, "v2") {
			t.Error("the version is not used although its roll-out is completed")
		}
	})
}
