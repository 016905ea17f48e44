package permits_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ladderridge.example/core/permits"
)

var start = time.Unix(1e9, 0)

// Guards against limits that add up to more than the servers hold, also with daemons cut off, and
// against limits in a pool that is not busy or declines few requests.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := permits.Pool{Slots: rapid.IntRange(1, 50).Draw(t, "slots"), Queue: rapid.IntRange(0, 200).Draw(t, "queue"), Limited: rapid.Bool().Draw(t, "limited")}
		n := rapid.IntRange(1, 100).Draw(t, "daemons")
		value := rapid.Float64Range(0, 20)
		var total permits.Demand
		var own []permits.Demand
		for range rapid.IntRange(1, n).Draw(t, "reports") {
			own = append(own, permits.Demand{
				Rate: value.Draw(t, "rate"), InFlight: value.Draw(t, "in flight"), Waiting: value.Draw(t, "waiting"), Daemons: 1,
				Arrived: value.Draw(t, "arrived"), Declined: rapid.Float64Range(0, 2).Draw(t, "declined"),
			})
			total = total.Plus(own[len(own)-1])
		}
		sum := float64(n-len(own)) * p.Static(n)
		for _, d := range own {
			sum += permits.Divide(p, total, d, n)
		}
		least := 0.05
		if p.Limited {
			least = 0.02
		}
		calm := total.Load() < float64(p.Slots) || total.Declined == 0 || total.Declined < least*total.Arrived
		if calm != math.IsInf(sum, 1) || !calm && sum > float64(p.Slots+p.Queue)*(1+1e-9) {
			t.Fatalf("limits add up to %v with a load of %v", sum, total.Load())
		}
	})
}

// gate returns a gate with a limit that has learned a service time of 100 ms, and a request that
// is in flight since then.
func gate(limit float64) (*permits.Gate, permits.ID, time.Time) {
	g, now := permits.NewGate(start), start
	for range 20 {
		id, _ := g.Enter(ticket("", 0), now, 0)
		now = now.Add(100 * time.Millisecond)
		g.Leave(id, true, now)
	}
	g.SetShares(limit, now, permits.Share{Limit: limit, Until: now.Add(time.Hour)})
	id, _ := g.Enter(ticket("busy", 0), now, 0)
	return g, id, now
}

func ticket(organisation string, rank int) permits.Ticket {
	return permits.Ticket{Organisation: organisation, Rank: rank, Objective: time.Second, Left: time.Second}
}

// Guards against limits without figures that follow from declines by chance, and against those that
// stay when servers no longer decline requests.
func TestLimitWithoutFigures(t *testing.T) {
	g, _, now := gate(1)
	g.SetShares(1, now)
	for n := range 4 {
		if got := g.Limit(now); math.IsInf(got, 1) != (n < 3) {
			t.Errorf("limit %v after %d declines", got, n)
		}
		g.Declined(now)
	}
	_, d := g.Enter(ticket("", 0), now, 0)
	if _, ok := d.(permits.Wait); !ok || g.Next(now).After(now.Add(time.Second)) {
		t.Errorf("%T, next %v", d, g.Next(now))
	}
	if now = now.Add(8 * time.Second); !math.IsInf(g.Limit(now), 1) {
		t.Errorf("limit %v without recent declines", g.Limit(now))
	}
}

// Guards against a wrong order, and against requests of a low rank that are never sent.
func TestOrderOfWaiting(t *testing.T) {
	g, inFlight, now := gate(1)
	low, _ := g.Enter(ticket("low", 2), now, 0)
	busy, _ := g.Enter(ticket("busy", 0), now, 0)
	idle, _ := g.Enter(ticket("idle", 0), now, 0)
	var got []permits.ID
	for range 8 {
		g.Enter(ticket("busy", 1), now, 0)
		now = now.Add(100 * time.Millisecond)
		g.Leave(inFlight, true, now)
		for _, o := range g.Expire(now, 0) {
			if o.Decision == (permits.Go{}) {
				inFlight = o.ID
				got = append(got, o.ID)
			}
		}
	}
	if got[0] != idle || got[1] != busy || got[7] != low {
		t.Errorf("order %v, with %v %v %v", got, idle, busy, low)
	}
}

// Guards against waits that cannot succeed, and retry-after times that ignore the queue or draw.
func TestRefusedAtOnce(t *testing.T) {
	g, _, now := gate(0.5)
	for range 5 {
		g.Enter(ticket("a", 0), now, 0)
	}
	_, d := g.Enter(ticket("a", 0), now, 0)
	_, e := g.Enter(ticket("a", 0), now, 0.5)
	first, second := d.(permits.Refuse).RetryAfter, e.(permits.Refuse).RetryAfter
	if g.Waiting() < 2 || first < 800*time.Millisecond || (second-first*3/2).Abs() > time.Microsecond {
		t.Errorf("%d wait, retry after %v and %v", g.Waiting(), first, second)
	}
}

// Guards against a service time that is learned from requests that no server has answered: a limit
// below one would then be earned a hundred times as fast when the servers are back.
func TestUnansweredRequestsAreNotFast(t *testing.T) {
	g, id, now := gate(1)
	for range 100 {
		now = now.Add(time.Millisecond)
		g.Leave(id, false, now)
		id, _ = g.Enter(ticket("", 0), now, 0)
	}
	if got := g.Service(); got != 100*time.Millisecond {
		t.Errorf("service time %v", got)
	}
	g.Leave(id, false, now.Add(time.Second))
	if got := g.Service(); got <= 100*time.Millisecond {
		t.Errorf("service time %v after a request that was not answered within a second", got)
	}
}

// Guards against waiters without a decision in time, and requests that are lost or counted twice.
func TestWaitersAreAnsweredInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.01, 5).Draw(t, "limit")
		g, id, now := gate(limit)
		g.Leave(id, true, now)
		var inFlight []permits.ID
		until := map[permits.ID]time.Time{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond)
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "leave") {
				g.Leave(inFlight[0], true, now)
				inFlight = inFlight[1:]
			}
			for _, o := range g.Expire(now, 0) {
				if o.Decision == (permits.Go{}) {
					inFlight = append(inFlight, o.ID)
				}
				delete(until, o.ID)
			}
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				switch id, d := g.Enter(ticket("a", 0), now, 0); d := d.(type) {
				case permits.Go:
					inFlight = append(inFlight, id)
				case permits.Wait:
					until[id] = d.Until
				}
			}
			if g.InFlight() != len(inFlight) || g.Waiting() != len(until) {
				t.Fatalf("%d in flight, %d waiting", g.InFlight(), g.Waiting())
			}
			for id, at := range until {
				if at.Before(now) || g.Next(now).After(at) {
					t.Fatalf("%v waits until %v at %v", id, at, now)
				}
			}
		}
	})
}
