package permits_test

import (
	"context"
	"math"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"ladderridge.example/core/fault"
	core "ladderridge.example/core/permits"
	"ladderridge.example/daemon/permits"
	"ladderridge.example/daemon/storesync"
)

var _ storesync.Figures = (*permits.Pool)(nil)

// Guards against limits that add up to more than the pool when daemons use totals of different
// ages, or none.
func TestLimitsOfAllStayWithinThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended, end := context.WithCancel(t.Context())
		end()
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			n := rapid.IntRange(2, 8).Draw(t, "daemons")
			pool := core.Pool{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), Queue: rapid.IntRange(0, 24).Draw(t, "queue")}
			pools := make([]*permits.Pool, n)
			for i := range pools {
				pools[i] = permits.New()
				pools[i].SetPool(service, pool, n)
			}
			for range rapid.IntRange(1, 24).Draw(t, "intervals") {
				var releases []func(bool)
				sum := 0.0
				for i, p := range pools {
					for range rapid.SampledFrom([]int{0, 1, 30}).Draw(t, "requests") {
						if release, err := p.Enter(ended, service, core.Ticket{Objective: time.Second, Left: time.Second}); err == nil {
							releases = append(releases, release)
						}
					}
					for range rapid.SampledFrom([]int{0, 1, 5}).Draw(t, "declines") {
						p.Declined(service)
					}
					if rapid.IntRange(0, 3).Draw(t, "connected") > 0 {
						pools[0].SetDaemon(strconv.Itoa(i), p.Report(time.Now()), time.Now())
						p.SetTotal(pools[0].Total(time.Now()), time.Now())
					}
					time.Sleep(450 * time.Millisecond / time.Duration(n))
				}
				for _, p := range pools {
					if s := p.Snapshot(time.Now())[service]; !math.IsInf(s.Limit, 1) {
						sum += s.Limit
					}
				}
				if sum > float64(pool.Slots+pool.Queue)+1e-3 {
					t.Fatalf("limits add up to %v", sum)
				}
				for _, release := range releases {
					release(true)
				}
			}
		})
	})
}

// Guards against permits that stay with a daemon that has stopped or was cut off.
func TestPermitsReturnFromSilentDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, true)
		c.run(300, 5*time.Second, 1)
		limit := c.pools[0].Snapshot(time.Now())[service].Limit
		for range 3 {
			c.pools[71].Declined(service)
		}
		time.Sleep(1500 * time.Millisecond)
		c.pools[0].SetDaemon("0", c.pools[0].Report(time.Now()), time.Now())
		c.pools[0].SetTotal(c.pools[0].Total(time.Now()), time.Now())
		s := c.pools[0].Snapshot(time.Now())[service]
		cutOff := c.pools[71].Snapshot(time.Now())[service].Limit
		if s.Total.Daemons > 1 || s.Limit < limit || cutOff > 30.0/72 {
			t.Errorf("the limit was %v; %+v; cut off: %v", limit, s, cutOff)
		}
		time.Sleep(1500 * time.Millisecond)
		if cutOff = c.pools[71].Snapshot(time.Now())[service].Limit; cutOff != 30.0/72 {
			t.Errorf("without figures the limit is %v", cutOff)
		}
		if s = c.pools[0].Snapshot(time.Now())[service]; s.Total != (core.Demand{}) {
			t.Errorf("expired demand %+v", s.Total)
		}
	})
}

// Guards against reports that grow with the services that need no permits: a report of more than
// 256 services would be dropped as a whole.
func TestReportHoldsOnlySmallPools(t *testing.T) {
	p := permits.New()
	p.SetPool("large", core.Pool{}, 72)
	if data := p.Report(time.Now()); data != nil {
		t.Errorf("report %x without small pools", data)
	}
	p.SetPool(service, core.Pool{Slots: 6}, 72)
	p.SetDaemon("a", p.Report(time.Now()), time.Now())
	p.SetTotal(p.Total(time.Now()), time.Now())
	if s := p.Snapshot(time.Now()); len(s) != 2 || p.Malformed() != 0 {
		t.Errorf("state %+v", s)
	}
}

// Guards against requests that hang, callers without a retry-after time, and leaked waiters.
func TestEnterEndsWithAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := permits.New()
		ticket := core.Ticket{Objective: time.Second, Left: time.Second}
		if _, err := p.Enter(t.Context(), service, ticket); err != nil {
			t.Errorf("without a pool: %v", err)
		}
		p.SetPool(service, core.Pool{Slots: 1}, 1)
		for range 3 {
			p.Declined(service)
		}
		release, err := p.Enter(t.Context(), service, ticket)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := p.Enter(ctx, service, ticket); !fault.Is(err, permits.Cancelled) {
			t.Errorf("with an ended context: %v", err)
		}
		begun := time.Now()
		_, err = p.Enter(t.Context(), service, ticket)
		if took := time.Since(begun); !fault.Is(err, permits.NoSlot) || permits.RetryAfterOf(err) == 0 || took != 500*time.Millisecond {
			t.Errorf("half of the objective without a permit: %v after %v", err, took)
		}
		time.AfterFunc(100*time.Millisecond, func() { release(true) })
		if _, err := p.Enter(t.Context(), service, ticket); err != nil {
			t.Errorf("with a released permit: %v", err)
		}
		p.SetTotal([]byte{255}, time.Now())
		if s := p.Snapshot(time.Now())[service]; s.Waiting != 0 || s.Refused != 1 || s.Granted != 2 || p.Malformed() != 1 {
			t.Errorf("state %+v", s)
		}
	})
}
