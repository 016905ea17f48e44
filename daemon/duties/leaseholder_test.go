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

// full returns the number of windows that were reported with the requests of all daemons.
func full(reports map[usage.Window][]usage.Count, requests uint64) (n int) {
	for _, counts := range reports {
		if len(counts) == 1 && counts[0].Requests == requests {
			n++
		}
	}
	return n
}

func TestOneDaemonReportsUsageOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, duty.Usage)
		s.start(t.Context())
		s.runFor(40 * time.Second)
		if n := full(s.platform.reported(), 3*5); n < 6 {
			t.Errorf("%d windows are reported with all requests: %v", n, s.platform.reported())
		}
		if s.holder(duty.Usage) == nil {
			t.Error("nobody holds the duty")
		}
	})
}

func TestAnotherDaemonReportsOnceTheHolderIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, duty.Usage)
		s.start(t.Context())
		s.runFor(20 * time.Second)
		was := s.holder(duty.Usage)
		was.link.set(true, false)
		s.runFor(20 * time.Second)
		if now := s.holder(duty.Usage); now == nil || now == was {
			t.Errorf("%v holds the duty", now)
		}
		if n := full(s.platform.reported(), 3*5); n < 6 {
			t.Errorf("%d windows are reported with all requests: %v", n, s.platform.reported())
		}
		was.link.set(false, false)
		s.runFor(10 * time.Second)
		if s.holder(duty.Usage) == was {
			t.Error("the previous holder took the duty back from the current one")
		}
	})
}

// The platform refuses the token of a holder whose row in the store is still valid. The holder
// must not make further calls with that token.
func TestSupersededHolderDoesNotReuseItsToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, duty.Usage)
		s.start(t.Context())
		s.runFor(20 * time.Second)
		before := len(s.platform.reported())
		s.platform.mu.Lock()
		s.platform.highest[usageSubject] += 3
		s.platform.mu.Unlock()
		s.runFor(60 * time.Second)
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

// All renewals take effect but none of them is answered. The holder reads its row again and keeps
// the duty under the same token.
func TestHolderKeepsDutyWhenAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, duty.Usage)
		s.start(t.Context())
		s.runFor(12 * time.Second)
		was := s.holder(duty.Usage)
		was.link.set(false, true)
		s.runFor(6 * time.Second)
		was.link.set(false, false)
		s.runFor(20 * time.Second)
		if s.holder(duty.Usage) != was {
			t.Error("another daemon holds the duty")
		}
		if n := full(s.platform.reported(), 2*5); n < 5 {
			t.Errorf("%d windows are reported: %v", n, s.platform.reported())
		}
	})
}

func TestReportsWaitForUnavailablePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, duty.Usage)
		s.start(t.Context())
		s.runFor(9 * time.Second)
		s.platform.setMute(true)
		s.runFor(6 * time.Second)
		before := len(s.platform.reported())
		s.platform.setMute(false)
		s.runFor(3 * time.Second)
		if now := len(s.platform.reported()); now <= before {
			t.Errorf("%d windows are reported, %d before the platform answered again", now, before)
		}
	})
}

func TestHolderOrdersServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, duty.Autoscaling)
		s.start(t.Context())
		time.Sleep(10 * time.Second)
		for _, hall := range []string{"hall-a", "hall-b"} {
			if n := s.platform.newest(autoscaling.Pool{Hall: hall, Kind: autoscaling.Spot}); n != 4 {
				t.Errorf("%d spot servers are ordered in %s", n, hall)
			}
		}
	})
}

// The platform carries out an unanswered order seconds later, after a newer one. The newer order
// has a higher token, so the late one must be refused.
func TestDelayedOrderDoesNotReplaceNewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, duty.Autoscaling)
		s.platform.mute = true
		s.start(t.Context())
		time.Sleep(6 * time.Second)
		s.platform.setMute(false)
		time.Sleep(4 * time.Second)
		taken := s.platform.orderCount()
		s.platform.carryOutDelayed()
		if late := s.platform.orderCount(); taken == 0 || late != taken {
			t.Errorf("%d orders were taken, %d with the late ones", taken, late)
		}
	})
}

// There are no spot servers in one data hall. The holder must not take the refusal to mean that
// another daemon holds the duty.
func TestRefusedOrderKeepsDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, duty.Autoscaling)
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
			t.Errorf("%d on-demand servers are left in hall-a, and nothing has taken their place", n)
		}
	})
}

func TestNextHolderLoadsOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, duty.Autoscaling)
		s.start(t.Context())
		time.Sleep(8 * time.Second)
		orders := s.platform.orderCount()
		s.holder(duty.Autoscaling).link.set(true, false)
		time.Sleep(9 * time.Second)
		if s.holder(duty.Autoscaling) == nil || orders == 0 {
			t.Fatalf("nobody holds the duty, or none was ordered before: %d", orders)
		}
		pool := autoscaling.Pool{Hall: "hall-a", Kind: autoscaling.Spot}
		if n := s.platform.newest(pool); n != 4 {
			t.Errorf("%d are ordered by the next holder", n)
		}
	})
}

// No daemon may overwrite a row that does not decode: two daemons might then hold the duty.
func TestCorruptedRowIsNotOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, duty.Usage)
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
		s := newCluster(t, 1, duty.Usage)
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

// While a data hall is cut off from the store, all of its daemons try to read the store. They must
// not read the rows of duties as well.
func TestDisconnectedDaemonsDoNotReadDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, duty.Usage)
		for _, d := range s.daemons {
			d.StoreSync = fixedView{view: view(4), age: 2 * lease}
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

// The supervisor restarts a component that failed. Guards against lease times that are measured
// from the restart: an expired lease then seemed valid for as long as the daemon had run.
func TestRestartedLeaseholderReadsItsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, duty.Usage)
		first, cancel := context.WithCancel(t.Context())
		s.start(first)
		s.runFor(30 * time.Second)
		cancel()
		synctest.Wait()
		s.daemons[0].link.set(true, false)
		second, cancel := context.WithCancel(t.Context())
		defer cancel()
		s.start(second)
		time.Sleep(2 * lease)
		if s.holder(duty.Usage) != nil {
			t.Error("it holds the duty under an expired lease")
		}
		s.daemons[0].link.set(false, false)
		s.runFor(8 * time.Second)
		if s.holder(duty.Usage) == nil {
			t.Error("it does not take its duty again")
		}
	})
}
