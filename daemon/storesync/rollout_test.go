package storesync_test

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// rollout is a system of daemons with both versions of a service and an order
// for the new one.
func rollout(t *testing.T, daemons, seconds int) (*system, []*storesync.Syncer) {
	t.Helper()
	s := newSystem(t)
	s.config(1, "k")
	s.rows.set(gossip.Servers, "old", "v1")
	var keepers []*storesync.Syncer
	for i := range daemons {
		keepers = append(keepers, s.daemon(fmt.Sprintf("d%d", i)))
	}
	// All daemons know each other after the second read of their list.
	pass(12 * time.Second)
	s.rows.set(gossip.Servers, "new", "v2")
	s.rows.set(gossip.Operator, "order/s", fmt.Sprintf(`{"Version":"v2","Seconds":%d}`, seconds))
	pass(time.Second)
	return s, keepers
}

func (s *system) progress() canary.Progress {
	var p canary.Progress
	_ = json.Unmarshal([]byte(s.rows.get(gossip.Progress, "s")), &p)
	return p
}

// uses reports whether a session's first choice is a version.
func uses(k *storesync.Syncer, hash uint64, version string) bool {
	first, _ := k.View().Versions("s", hash, time.Now())
	return first.Allows(version)
}

// fail lets a daemon see that a number of answers of the new version fail.
func fail(k *storesync.Syncer, answers int) {
	for range answers {
		k.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", Failed: true})
	}
}

// usualTime is the relative time of one of many answers, of which a tenth take twice the
// usual and more.
func usualTime(i int) float64 { return 0.4 * math.Pow(1.12, float64(i%20)) }

const (
	// lowest falls to the new version first, highest last.
	lowest  = uint64(0)
	highest = ^uint64(0)
)

func TestGoodVersionTakesOverInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 3, 20)
		for _, k := range keepers {
			if !uses(k, lowest, "v2") || !uses(k, highest, "v1") {
				t.Fatal("the first share is wrong")
			}
		}
		pass(20 * time.Second)
		if p := s.progress(); p.State != canary.Completed || p.Version != "v2" {
			t.Fatalf("the state is %v", p)
		}
		for _, k := range keepers {
			if !uses(k, highest, "v2") {
				t.Error("a daemon does not use the new version alone")
			}
		}
	})
}

func TestBadVersionIsTakenBackByAllFromWhatAllSee(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 3, 20)
		// No daemon alone sees enough.
		for _, k := range keepers {
			for i := range 8 {
				k.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", Failed: i%2 == 0})
			}
		}
		pass(time.Second)
		for i, k := range keepers {
			if uses(k, lowest, "v2") {
				t.Errorf("daemon %d still uses the bad version", i)
			}
		}
		pass(2 * time.Second)
		if p := s.progress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p)
		}
	})
}

func TestLostAnswersAndADriverThatIsCutOffDoNotStopARollout(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, _ := rollout(t, 3, 20)
		s.links["d0"].fail(errDown)
		for _, id := range []string{"d1", "d2"} {
			s.links[id].mu.Lock()
			s.links[id].loseWrites = true
			s.links[id].mu.Unlock()
		}
		pass(20 * time.Second)
		if p := s.progress(); p.State != canary.Completed {
			t.Errorf("the state is %v", p)
		}
	})
}

func TestDaemonThatStartsTakesUpTheRolloutAtItsAge(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, _ := rollout(t, 2, 40)
		pass(10 * time.Second)
		late := s.daemon("late")
		pass(2 * time.Second)
		r, ok := late.View().Rollout("s")
		if age := time.Since(r.Since); !ok || !r.Started || age < 12*time.Second || age > 14*time.Second {
			t.Errorf("the order is taken for %v old (started %v)", age, r.Started)
		}
	})
}

func TestVersionWithoutAnOrderWaitsForOne(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "old", "v1")
		k := s.daemon("a")
		pass(3 * time.Second)
		if !uses(k, lowest, "v1") {
			t.Error("the version of the first list is not used")
		}
		s.rows.set(gossip.Servers, "new", "v2")
		pass(time.Second)
		if uses(k, lowest, "v2") {
			t.Error("a version is used before an order could have come")
		}
		pass(time.Second)
		if !uses(k, lowest, "v2") {
			t.Error("a version without an order is never used")
		}
	})
}

// A session that an old version has just served, at any daemon, stays there when
// a roll-out begins, until it has paused; sessions once moved under way.
func TestSessionMovesOnlyWhenItHasPaused(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "old", "v1")
		var keepers []*storesync.Syncer
		for i := range 3 {
			keepers = append(keepers, s.daemon(fmt.Sprintf("d%d", i)))
		}
		pass(12 * time.Second)
		keepers[2].RecordSession("s", lowest, "v1")
		pass(1200 * time.Millisecond)
		s.rows.set(gossip.Servers, "new", "v2")
		s.rows.set(gossip.Operator, "order/s", `{"Version":"v2","Seconds":40}`)
		pass(time.Second)
		for i, k := range keepers {
			if uses(k, lowest, "v2") {
				t.Errorf("daemon %d moves a session under way", i)
			}
			if !uses(k, lowest+1, "v2") {
				t.Errorf("daemon %d does not move one that is new", i)
			}
		}
		// It goes on, and stays; then it pauses.
		keepers[1].RecordSession("s", lowest, "v1")
		pass(4500 * time.Millisecond)
		if uses(keepers[0], lowest, "v2") {
			t.Error("the session moved without a pause")
		}
		pass(3 * time.Second)
		if !uses(keepers[0], lowest, "v2") {
			t.Error("the session did not move after its pause")
		}
	})
}

// What is told of sessions dies out, also while all daemons read for themselves
// and ask each other: it once went round in circles and grew.
func TestNewsOfSessionsDiesOut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		ids := []string{"a", "b", "c", "d"}
		keepers := map[string]*storesync.Syncer{}
		for i, id := range ids {
			keepers[id] = s.daemonIn(id, []string{"h", "far"}[i%2])
		}
		pass(12 * time.Second)
		for _, id := range ids {
			s.links[id].fail(errDown)
		}
		pass(8 * time.Second)
		for _, id := range ids {
			keepers[id].RecordSession("s", lowest, "v1")
		}
		pass(10 * time.Second)
		s.mesh.mu.Lock()
		defer s.mesh.mu.Unlock()
		if s.mesh.sessions > 4*len(ids)*len(ids) {
			t.Errorf("four sessions were told %d times", s.mesh.sessions)
		}
	})
}

// When all daemons start anew near the end of an order, nobody remembers what was
// seen of the version: it is not completed before something has been. A version
// that failed was once completed a tenth of a second after such a start.
func TestVersionIsNotCompletedUnseen(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, before := rollout(t, 3, 10)
		pass(5500 * time.Millisecond)
		for i := range before {
			id := fmt.Sprintf("d%d", i)
			s.mesh.mu.Lock()
			delete(s.mesh.keepers, id)
			s.mesh.mu.Unlock()
			s.links[id].fail(errDown)
		}
		var after []*storesync.Syncer
		for i := range 3 {
			after = append(after, s.daemon(fmt.Sprintf("e%d", i)))
		}
		pass(2500 * time.Millisecond)
		for _, k := range after {
			fail(k, 10)
		}
		pass(5 * time.Second)
		if p := s.progress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p)
		}
	})
}

// A version that is a little slower than what is tolerated, too little to be condemned,
// is not completed: nothing would be left to go back to. One that is not slower is.
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
				s, keepers := rollout(t, 3, 20)
				for i := range 180 {
					k, usual := keepers[i%len(keepers)], usualTime(i)
					k.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: usual})
					if i < 60 {
						k.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: c.factor * usual})
					}
				}
				pass(10 * time.Second)
				if p := s.progress(); p.State != canary.Running {
					t.Fatalf("the state is %v after half of the time", p.State)
				}
				pass(7 * time.Second)
				if p := s.progress(); c.state == canary.RolledBack && p.State != c.state {
					t.Errorf("the state is %v before the version would be opened to all", p.State)
				}
				pass(3 * time.Second)
				if p := s.progress(); p.State != c.state {
					t.Errorf("the state is %v", p.State)
				}
			})
		})
	}
}

// A daemon that does not write states knows of a version only what it has seen itself:
// a handful of unlucky answers there says nothing against one that all daemons together
// know to be good. Good versions of a service with 65 daemons were taken back on four
// answers of one of them, though 704 spoke for it.
func TestGoodVersionIsNotTakenBackOnTheAnswersOfOneDaemon(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 8, 20)
		unlucky := slices.IndexFunc(keepers, func(k *storesync.Syncer) bool { return k.Calls.Load() <= 20 })
		for i := range 400 {
			k, usual := keepers[i%len(keepers)], usualTime(i)
			k.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: usual})
			switch {
			case i%len(keepers) != unlucky:
				k.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: usual})
			case i < 5*len(keepers):
				k.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: 3})
			}
		}
		pass(20 * time.Second)
		if p := s.progress(); p.State != canary.Completed {
			t.Errorf("the state is %v", p.State)
		}
	})
}

// A large service need not wait for two thirds of the time: with 300 answers of three
// servers a version that is only doubted is taken back at once.
func TestDoubtIsEnoughOnceManyServersHaveAnswered(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 3, 20)
		for i := range 480 {
			k, usual := keepers[i%len(keepers)], usualTime(i)
			k.Observe(storesync.Observation{Service: "s", Version: "v1", Route: "r", FirstRatio: usual})
			k.Observe(storesync.Observation{Service: "s", Version: "v2", Route: "r", FirstRatio: 1.45 * usual, Server: fmt.Sprint(i / 160)})
		}
		pass(4 * time.Second)
		if p := s.progress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p.State)
		}
	})
}

// A version that is found bad is taken back soon, also while the daemons that
// write states are paused.
func TestBadVersionIsTakenBackWithoutReaders(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 3, 20)
		for i, k := range keepers {
			if k.Calls.Load() > 20 {
				// It reads for the others, and is paused.
				id := fmt.Sprintf("d%d", i)
				s.links[id].silence(true)
				s.mesh.mu.Lock()
				s.mesh.holding[id] = true
				s.mesh.mu.Unlock()
				continue
			}
			fail(k, 10)
		}
		pass(time.Second)
		if p := s.progress(); p.State != canary.RolledBack {
			t.Errorf("the state is %v", p)
		}
	})
}

// A daemon that asks around for one that is gone does not lose the news of its
// sessions with the questions: sessions of a hall once moved under way while its
// first daemon was gone.
func TestNewsOfSessionsGoesToTheReaderAlone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 4, 60)
		gone := ""
		for i, k := range keepers {
			if k.Calls.Load() > 15 {
				gone = fmt.Sprintf("d%d", i)
			}
		}
		s.mesh.mu.Lock()
		delete(s.mesh.keepers, gone)
		s.mesh.mu.Unlock()
		s.links[gone].fail(errDown)
		pass(5 * time.Second)
		var left []*storesync.Syncer
		for i, k := range keepers {
			if fmt.Sprintf("d%d", i) != gone {
				left = append(left, k)
			}
		}
		const served = 40
		for i := range uint64(served) {
			left[i%3].RecordSession("s", lowest+i, "v1")
			pass(100 * time.Millisecond)
		}
		pass(900 * time.Millisecond)
		for i := range uint64(served) {
			for n, k := range left {
				if uses(k, lowest+i, "v2") {
					t.Errorf("daemon %d moves session %d, which daemon %d has just served", n, i, i%3)
				}
			}
		}
	})
}

// The second order follows the first one at once: sessions that the first one's
// version served before it was completed stay there until they pause. They once
// moved, since only what old versions served was remembered.
func TestSessionsStayWhenOneOrderFollowsAnother(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 3, 20)
		pass(16500 * time.Millisecond)
		keepers[1].RecordSession("s", lowest, "v2")
		pass(2000 * time.Millisecond)
		if p := s.progress(); p.State != canary.Completed {
			t.Fatalf("the first order is %v", p)
		}
		s.rows.set(gossip.Servers, "newer", "v3")
		s.rows.set(gossip.Operator, "order/s", `{"Version":"v3","Seconds":20}`)
		pass(1500 * time.Millisecond)
		for i, k := range keepers {
			if uses(k, lowest, "v3") {
				t.Errorf("daemon %d moves a session under way", i)
			}
			if !uses(k, lowest+1, "v3") {
				t.Errorf("daemon %d does not move one that is new", i)
			}
		}
	})
}

// The states of a second order are written in turn as those of the first are: 62
// daemons once wrote "completed" at the same moment.
func TestStatesOfASecondOrderAreWrittenInTurn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 30, 10)
		pass(12 * time.Second)
		s.rows.set(gossip.Servers, "newer", "v3")
		s.rows.set(gossip.Operator, "order/s", `{"Version":"v3","Seconds":10}`)
		pass(6 * time.Second)
		all := map[string]*storesync.Syncer{}
		for i, k := range keepers {
			all[fmt.Sprint(i)] = k
		}
		before := calls(all)
		pass(6 * time.Second)
		if p := s.progress(); p.State != canary.Completed || p.Version != "v3" {
			t.Fatalf("the second order is %v", p)
		}
		// A reader's calls, and a write or two.
		if n := calls(all) - before; n > 18 {
			t.Errorf("%d calls", n)
		}
	})
}

// A version that one daemon finds bad while another one has completed it is used: the
// old version's servers are gone. Such a daemon once refused all requests.
func TestCompletedVersionIsUsedThoughADaemonFoundItBad(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := rollout(t, 1, 20)
		k, order := keepers[0], s.progress().Order
		s.links["d0"].fail(errDown)
		fail(k, 20)
		pass(time.Second)
		if uses(k, lowest, "v2") {
			t.Fatal("the version is not found bad")
		}
		s.rows.set(gossip.Progress, "s", fmt.Sprintf(`{"State":%d,"Version":"v2","SinceMS":1000,"Order":{"Era":%d,"Number":%d}}`, canary.Completed, order.Era, order.Number))
		s.links["d0"].fail(nil)
		pass(3 * time.Second)
		if !uses(k, lowest, "v2") || !uses(k, highest, "v2") {
			t.Error("the version is not used though it is completed")
		}
	})
}
