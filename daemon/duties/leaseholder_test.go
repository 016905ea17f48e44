package duties_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"ladderridge.example/core/autoscaling"
	"ladderridge.example/core/duty"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/usage"
)

// full are the windows of which all daemons counted all.
func full(reports map[usage.Window][]usage.Count, requests uint64) (n int) {
	for _, counts := range reports {
		if len(counts) == 1 && counts[0].Requests == requests {
			n++
		}
	}
	return n
}

func TestOneDaemonReportsWhatAllHaveCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, duty.Usage)
		s.start(t.Context())
		s.play(40 * time.Second)
		if n := full(s.platform.reported(), 3*5); n < 6 {
			t.Errorf("%d windows are told with all requests: %v", n, s.platform.reported())
		}
		if s.holder(duty.Usage) == nil {
			t.Error("nobody holds the duty")
		}
	})
}

func TestAnotherDaemonReportsOnceTheHolderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, duty.Usage)
		s.start(t.Context())
		s.play(20 * time.Second)
		was := s.holder(duty.Usage)
		was.way.set(true, false)
		s.play(20 * time.Second)
		if now := s.holder(duty.Usage); now == nil || now == was {
			t.Errorf("%v holds the duty", now)
		}
		if n := full(s.platform.reported(), 3*5); n < 6 {
			t.Errorf("%d windows are told with all requests: %v", n, s.platform.reported())
		}
		was.way.set(false, false)
		s.play(10 * time.Second)
		if s.holder(duty.Usage) == was {
			t.Error("it took the duty back from one that holds it")
		}
	})
}

// A holder whose row still stands, but whose token the platform refuses, does not go on
// with that token.
func TestOvertakenHolderDoesNotReportUnderItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, duty.Usage)
		s.start(t.Context())
		s.play(20 * time.Second)
		before := len(s.platform.reported())
		s.platform.mu.Lock()
		s.platform.highest[usageSubject] += 3
		s.platform.mu.Unlock()
		s.play(60 * time.Second)
		s.platform.mu.Lock()
		defer s.platform.mu.Unlock()
		for token, n := range s.platform.refused {
			if n > 1 {
				t.Errorf("%d calls were refused under token %d", n, token)
			}
		}
		if len(s.platform.refused) == 0 || len(s.platform.reports) < before+8 {
			t.Errorf("%d refused tokens, %d reports after %d", len(s.platform.refused), len(s.platform.reports), before)
		}
	})
}

// All renewals are done and none of them is answered: the holder reads its row again, and goes
// on with its token.
func TestHolderWhoseAnswersAreLostLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, duty.Usage)
		s.start(t.Context())
		s.play(12 * time.Second)
		was := s.holder(duty.Usage)
		was.way.set(false, true)
		s.play(6 * time.Second)
		was.way.set(false, false)
		s.play(20 * time.Second)
		if s.holder(duty.Usage) != was {
			t.Error("another daemon holds the duty")
		}
		if n := full(s.platform.reported(), 2*5); n < 5 {
			t.Errorf("%d windows are told: %v", n, s.platform.reported())
		}
	})
}

func TestReportsWaitForAPlatformThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, duty.Usage)
		s.start(t.Context())
		s.play(9 * time.Second)
		s.platform.setMute(true)
		s.play(6 * time.Second)
		before := len(s.platform.reported())
		s.platform.setMute(false)
		s.play(3 * time.Second)
		if now := len(s.platform.reported()); now <= before {
			t.Errorf("%d windows are told, %d before the platform came back", now, before)
		}
	})
}

func TestHolderOrdersServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, duty.Autoscaling)
		s.start(t.Context())
		time.Sleep(10 * time.Second)
		for _, hall := range []string{"hall-a", "hall-b"} {
			if n := s.platform.newest(autoscaling.Pool{Hall: hall, Kind: autoscaling.Spot}); n != 4 {
				t.Errorf("%d spot servers are ordered in %s", n, hall)
			}
		}
	})
}

// The platform carries an order out that it has not answered, seconds later and after a newer
// one. The newer one has a higher token, so that the late one is refused.
func TestLateOrderDoesNotUndoANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, duty.Autoscaling)
		s.platform.mute = true
		s.start(t.Context())
		time.Sleep(6 * time.Second)
		s.platform.setMute(false)
		time.Sleep(4 * time.Second)
		taken := s.platform.taken()
		s.platform.carryOutLate()
		if late := s.platform.taken(); taken == 0 || late != taken {
			t.Errorf("%d orders were taken, %d with the late ones", taken, late)
		}
	})
}

// There are no spot servers in one hall: a refusal says so, and not that another daemon holds
// the duty.
func TestRefusedOrderDoesNotCostTheDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, duty.Autoscaling)
		s.platform.none["hall-a"] = true
		s.start(t.Context())
		time.Sleep(20 * time.Second)
		if s.holder(duty.Autoscaling) == nil {
			t.Error("nobody holds the duty")
		}
		if n := s.platform.newest(autoscaling.Pool{Hall: "hall-b", Kind: autoscaling.Spot}); n < 4 {
			t.Errorf("%d spot servers are ordered where there are some", n)
		}
		if n := s.platform.newest(autoscaling.Pool{Hall: "hall-a", Kind: autoscaling.OnDemand}); n >= 0 {
			t.Errorf("%d dear servers are left in hall-a, and nothing has taken their place", n)
		}
	})
}

func TestNextHolderKnowsWhatWasOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, duty.Autoscaling)
		s.start(t.Context())
		time.Sleep(8 * time.Second)
		orders := s.platform.taken()
		s.holder(duty.Autoscaling).way.set(true, false)
		time.Sleep(9 * time.Second)
		if s.holder(duty.Autoscaling) == nil || orders == 0 {
			t.Fatalf("nobody holds the duty, or none was ordered before: %d", orders)
		}
		place := autoscaling.Pool{Hall: "hall-a", Kind: autoscaling.Spot}
		if n := s.platform.newest(place); n != 4 {
			t.Errorf("%d are ordered by the next holder", n)
		}
	})
}

// A row that does not decode is nobody's to overwrite: two daemons might hold the duty.
func TestRowThatDoesNotDecodeIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, duty.Usage)
		s.store.version = 1
		s.store.rows["usage"] = gossip.Row{Key: "usage", Data: []byte("{"), Version: revision.New(1, 1)}
		s.start(t.Context())
		time.Sleep(10 * time.Second)
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		if s.holder(duty.Usage) != nil || s.store.version != 1 {
			t.Error("a daemon took the duty")
		}
	})
}

func TestCallsToTheStoreGrowWithDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, duty.Usage)
		s.start(t.Context())
		time.Sleep(10 * time.Second)
		s.store.mu.Lock()
		before := s.store.calls
		s.store.mu.Unlock()
		const leases = 20
		time.Sleep(leases * lease)
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		windows := int(leases * lease / window)
		if calls := s.store.calls - before; calls > 2*leases+windows {
			t.Errorf("%d calls in %d leases and %d windows", calls, leases, windows)
		}
	})
}

// While a hall was cut off from the store all of its daemons tried to read it, and each of them
// asked for the duties' rows as well.
func TestDaemonsThatAreCutOffDoNotAskForDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, duty.Usage)
		for _, d := range s.daemons {
			d.Knowledge = known{view: view(4), age: 2 * lease}
		}
		s.start(t.Context())
		time.Sleep(20 * time.Second)
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		if s.store.calls > 0 {
			t.Errorf("%d calls", s.store.calls)
		}
	})
}

// The supervisor runs a part again that has failed. The leases were measured from when the part
// began to run, so that one that was over seemed to last for as long as the daemon had run.
func TestLeaseholderThatIsRunAgainGoesOnFromItsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, duty.Usage)
		first, cancel := context.WithCancel(t.Context())
		s.start(first)
		s.play(30 * time.Second)
		cancel()
		synctest.Wait()
		s.daemons[0].way.set(true, false)
		second, cancel := context.WithCancel(t.Context())
		defer cancel()
		s.start(second)
		time.Sleep(2 * lease)
		if s.holder(duty.Usage) != nil {
			t.Error("it holds the duty by a lease that is over")
		}
		s.daemons[0].way.set(false, false)
		s.play(8 * time.Second)
		if s.holder(duty.Usage) == nil {
			t.Error("it does not take its duty up again")
		}
	})
}
