package soak_test

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"ladderridge.example/platform/standin"
	"ladderridge.example/soak"
)

var start = time.Unix(1000, 0)

// after is a time after the start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// good is a request that was served as it should be.
func good() (soak.Ask, soak.Ran) {
	a := soak.Ask{
		ID: "a", Kind: standin.Unsafe, Service: "api", Method: http.MethodPost, Target: "/once/x", Key: "key-0", Body: "b",
		Limit: 2 * time.Second, Life: 1, LifeAfter: 1, Sent: after(10), Ended: after(10.1),
		Reply: standin.Reply{Status: http.StatusOK, Server: "s", Complete: true, Body: (&standin.Runner{ID: "s"}).Answer("a")},
	}
	r := soak.Ran{Run: standin.Run{ID: "a", Method: a.Method, Target: a.Target, Tenant: "org", Body: a.Body}, Server: "s", Service: "api", At: after(10.05)}
	return a, r
}

// deadly adds a request that comes again and again, each time to a server that ends: three
// times at first and then, when all daemons must know, once a second.
func deadly(s *soak.Seen, times int) {
	for n := range times {
		at := after(float64(1 + n/3*10 + n%3))
		a := soak.Ask{
			ID: fmt.Sprintf("d%d", n), Kind: standin.Streaming, Service: "llm", Method: http.MethodPost, Target: "/chat/deadly", Key: "key-0", Body: "deadly",
			Limit: 2 * time.Second, Life: 1, LifeAfter: 1, Sent: at, Ended: at.Add(100 * time.Millisecond), Reply: standin.Reply{Status: http.StatusBadGateway, Complete: true},
		}
		r := soak.Ran{Run: standin.Run{ID: a.ID, Method: a.Method, Target: a.Target, Tenant: "org", Body: a.Body}, Server: fmt.Sprintf("m%d", n), Service: "llm", At: at}
		s.Asks, s.Runs = append(s.Asks, a), append(s.Runs, r)
	}
}

// another is one more request like the good one, which reaches the same server.
func another(s *soak.Seen, id string, seconds float64, w standin.Announcement) {
	a, r := good()
	a.ID, a.Sent, a.Ended, a.Reply.Body = id, after(10.1+seconds), after(10.2+seconds), (&standin.Runner{ID: "s"}).Answer(id)
	r.Run.ID, r.At = id, after(10.15+seconds)
	s.Asks, s.Runs = append(s.Asks, a), append(s.Runs, r)
	s.Arrivals = append(s.Arrivals, soak.Arrival{ID: id, Server: "s", Start: 1, Word: w, At: after(10.15 + seconds)})
}

// leaves has the server say that it leaves, and one more request reach it some time after
// the daemon has passed that on.
func leaves(s *soak.Seen, seconds float64) {
	s.Arrivals = []soak.Arrival{{ID: "a", Server: "s", Start: 1, Word: standin.Announcement{Leaving: true}, At: after(10.05)}}
	s.Asks[0].Reply.Leaving = true
	another(s, "late", seconds, standin.Announcement{Leaving: true})
}

// rests has the server decline the request and want three seconds of rest, and some more
// requests reach it later.
func rests(s *soak.Seen, n int, seconds float64) {
	s.Asks[0].Reply, s.Runs = standin.Reply{Status: http.StatusServiceUnavailable, Complete: true}, nil
	s.Arrivals = []soak.Arrival{{ID: "a", Server: "s", Start: 1, Word: standin.Announcement{Rest: 3 * time.Second}, At: after(10.05)}}
	for i := range n {
		another(s, fmt.Sprintf("more-%d", i), seconds+float64(i)/100, standin.Announcement{})
	}
}

// limits has the server name two requests a second for ten seconds, in which it gets some.
func limits(s *soak.Seen, n int) {
	for i := range n {
		another(s, fmt.Sprintf("limited-%d", i), 10*float64(i)/float64(n), standin.Announcement{Limit: "2"})
		s.Asks[len(s.Asks)-1].Reply.Limit = "2"
	}
}

// TestEachRuleNoticesItsFault spoils what was seen, one thing at a time.
func TestEachRuleNoticesItsFault(t *testing.T) {
	refused := standin.Reply{Status: http.StatusServiceUnavailable, Complete: true}
	cut := standin.Reply{Err: errors.New("cut")}
	stop := soak.Span{Daemon: 0, Trouble: soak.Terminate, From: after(9), To: after(12)}
	for _, c := range []struct {
		rule  string
		spoil func(s *soak.Seen)
	}{
		{"", func(*soak.Seen) {}},
		{"", func(s *soak.Seen) { deadly(s, 6) }},
		{"BUDGET", func(s *soak.Seen) { deadly(s, 7) }},
		{"TWICE", func(s *soak.Seen) { s.Runs = append(s.Runs, s.Runs[0]) }},
		{"REFUSED", func(s *soak.Seen) { s.Asks[0].Reply = refused }},
		{"UNASKED", func(s *soak.Seen) { s.Runs[0].Run.ID = "b"; s.Asks[0].Reply = refused }},
		{"UNASKED", func(s *soak.Seen) { s.Runs[0].Run.Body = "c" }},
		{"UNASKED", func(s *soak.Seen) { s.Runs[0].Run.Tenant = "other" }},
		{"ROUTE", func(s *soak.Seen) { s.Runs[0].Service = "llm" }},
		{"KEY", func(s *soak.Seen) { s.Revoked["key-0"] = after(4.9) }},
		{"", func(s *soak.Seen) { s.Revoked["key-0"] = after(5.1) }},
		{"MIXED", func(s *soak.Seen) { s.Asks[0].Reply.Server = "t" }},
		{"MIXED", func(s *soak.Seen) { s.Asks[0].Reply.Body = s.Asks[0].Reply.Body[:10] }},
		{"", func(s *soak.Seen) { s.Asks[0].Reply.Body, s.Asks[0].Reply.Complete = s.Asks[0].Reply.Body[:10], false }},
		{"MIXED", func(s *soak.Seen) { s.Asks[0].Reply.Body, s.Asks[0].Reply.Complete = "other", false }},
		{"MIXED", func(s *soak.Seen) { s.Asks[0].Reply.Err = errors.New("the answer is to another request") }},
		{"DENIED", func(s *soak.Seen) { s.Asks[0].Reply, s.Runs = standin.Reply{Status: http.StatusUnauthorized}, nil }},
		{"BACKWARDS", func(s *soak.Seen) {
			s.Asks[0].Added = 4
			later := s.Asks[0]
			later.ID, later.Sent, later.Ended, later.Reply = "later", after(11), after(11.1), standin.Reply{Status: http.StatusNotFound}
			s.Asks = append(s.Asks, later)
		}},
		{"CONFIG", func(s *soak.Seen) {
			s.Added[4] = after(7)
			s.Asks[0].Added, s.Asks[0].Reply, s.Runs = 4, standin.Reply{Status: http.StatusNotFound}, nil
		}},
		{"", func(s *soak.Seen) {
			s.Added[4] = after(7)
			s.Asks[0].Added, s.Asks[0].Reply, s.Runs = 4, standin.Reply{Status: http.StatusNotFound}, nil
			s.Spans = []soak.Span{{Daemon: 0, Trouble: soak.Pause, From: after(6), To: after(8)}}
		}},
		{"LEAVING", func(s *soak.Seen) { s.Left[soak.Incarnation{Server: "s"}] = after(7) }},
		{"", func(s *soak.Seen) { s.Left[soak.Incarnation{Server: "s"}] = after(7); s.Runs[0].Start = 1 }},
		{"LOST", func(s *soak.Seen) { s.Asks[0].Reply, s.Spans = cut, []soak.Span{stop} }},
		{"", func(s *soak.Seen) {
			s.Asks[0].Reply, s.Spans = cut, []soak.Span{stop, {Daemon: 0, Trouble: soak.Kill, From: after(10)}}
		}},
		{"HELD", func(s *soak.Seen) { s.Asks[0].Ended = after(14) }},
		{"VERDICT", func(s *soak.Seen) {
			s.Orders = []soak.Order{{Version: "v2", Bad: true, At: after(1), State: standin.RolloutCompleted, Settled: after(5)}}
		}},
		{"EXPOSURE", func(s *soak.Seen) {
			s.Orders = []soak.Order{{Version: "v2", Bad: true, At: after(1)}}
			for i := range 40 {
				a, r := good()
				a.ID = fmt.Sprint(i)
				r.Run.ID, r.Version, a.Reply.Body = a.ID, "v2", (&standin.Runner{ID: "s"}).Answer(a.ID)
				s.Asks, s.Runs = append(s.Asks, a), append(s.Runs, r)
			}
		}},
		{"WITHDRAWN", func(s *soak.Seen) {
			s.Orders = []soak.Order{{Version: "v2", Bad: true, At: after(1), State: standin.RolloutRolledBack, Settled: after(5)}}
			s.Runs[0].Version = "v2"
		}},
		{"DRAIN", func(s *soak.Seen) { leaves(s, 2.7) }},
		{"", func(s *soak.Seen) { leaves(s, 2.4) }},
		{"", func(s *soak.Seen) { leaves(s, 2.7); s.Arrivals[1].Start++ }},
		{"", func(s *soak.Seen) { leaves(s, 2.7); s.Asks[1].Life++ }},
		{"REST", func(s *soak.Seen) { rests(s, 3, 1) }},
		{"", func(s *soak.Seen) { rests(s, 2, 1) }},
		{"", func(s *soak.Seen) { rests(s, 3, 0.3) }},
		{"", func(s *soak.Seen) { rests(s, 3, 4) }},
		{"LIMIT", func(s *soak.Seen) { limits(s, 50) }},
		{"", func(s *soak.Seen) { limits(s, 40) }},
		{"", func(s *soak.Seen) {
			limits(s, 50)
			s.Spans = []soak.Span{{Daemon: 0, Trouble: soak.Pause, From: after(9), To: after(21)}}
		}},
		{"RETURN", func(s *soak.Seen) { s.Settled, s.Asks[0].Reply = after(5), cut }},
	} {
		a, r := good()
		s := soak.Seen{Asks: []soak.Ask{a}, Runs: []soak.Ran{r}, Revoked: map[string]time.Time{}, Added: map[uint64]time.Time{}, Left: map[soak.Incarnation]time.Time{}}
		c.spoil(&s)
		found := append(soak.Check(s), soak.CheckBounds(s)...)
		if c.rule == "" && len(found) > 0 {
			t.Errorf("nothing is wrong, found: %v", found)
		}
		if c.rule != "" && (len(found) == 0 || found[0].Rule != c.rule) {
			t.Errorf("want %s, found: %v", c.rule, found)
		}
	}
}

func TestSeedDecidesThePlan(t *testing.T) {
	o := soak.Options{Seed: 7, Length: 20 * time.Second}
	first, again := soak.NewPlan(o), soak.NewPlan(o)
	if len(first.Faults) == 0 {
		t.Fatal("no faults")
	}
	for i, f := range first.Faults {
		if f != again.Faults[i] {
			t.Errorf("%v, then %v", f, again.Faults[i])
		}
	}
	o.Seed++
	if other := soak.NewPlan(o); other.Faults[0] == first.Faults[0] {
		t.Error("another seed brings the same")
	}
}
