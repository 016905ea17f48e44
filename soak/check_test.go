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

// after returns the time that many seconds after start.
func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// good returns a request that was served correctly.
func good() (soak.Request, soak.Execution) {
	a := soak.Request{
		ID: "a", Kind: standin.Unsafe, Service: "api", Method: http.MethodPost, Target: "/once/x", Key: "key-0", Body: "b",
		Limit: 2 * time.Second, Process: 1, ProcessAfter: 1, Sent: after(10), Ended: after(10.1),
		Reply: standin.Reply{Status: http.StatusOK, Server: "s", Complete: true, Body: (&standin.Runner{ID: "s"}).Answer("a")},
	}
	r := soak.Execution{Run: standin.Run{ID: "a", Method: a.Method, Target: a.Target, Tenant: "org", Body: a.Body}, Server: "s", Service: "api", At: after(10.05)}
	return a, r
}

// crashing adds a request that is sent repeatedly and crashes a server each time: three times
// at first, and then, when all daemons must have quarantined it, three times in every ten
// seconds, one second apart.
func crashing(s *soak.Observations, times int) {
	for n := range times {
		at := after(float64(1 + n/3*10 + n%3))
		a := soak.Request{
			ID: fmt.Sprintf("d%d", n), Kind: standin.Streaming, Service: "llm", Method: http.MethodPost, Target: "/chat/deadly", Key: "key-0", Body: "deadly",
			Limit: 2 * time.Second, Process: 1, ProcessAfter: 1, Sent: at, Ended: at.Add(100 * time.Millisecond), Reply: standin.Reply{Status: http.StatusBadGateway, Complete: true},
		}
		r := soak.Execution{Run: standin.Run{ID: a.ID, Method: a.Method, Target: a.Target, Tenant: "org", Body: a.Body}, Server: fmt.Sprintf("m%d", n), Service: "llm", At: at}
		s.Requests, s.Runs = append(s.Requests, a), append(s.Runs, r)
	}
}

// crashingPart adds different requests with a part that crashes servers: five at first, and then, when all
// daemons must have stopped them, as many as late, with sound streams that share their other parts. Of
// these answered are answered.
func crashingPart(s *soak.Observations, late, answered int) {
	stream := func(id, prompt string, crashing bool, seconds float64, status int) {
		a := soak.Request{
			ID: id, Kind: standin.Streaming, Service: "llm", Method: http.MethodPost, Target: "/chat/" + id, Key: "key-0", Body: id, CrashingPart: crashing,
			Limit: 2 * time.Second, Process: 1, ProcessAfter: 1, Sent: after(seconds), Ended: after(seconds + 0.1), Reply: standin.Reply{Status: status, Complete: true},
		}
		if status == http.StatusOK {
			a.Reply.Server = "m" + id
			for n := range 6 {
				a.Reply.Body += fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, id)
			}
		}
		s.Requests = append(s.Requests, a)
		if status != http.StatusServiceUnavailable {
			r := soak.Execution{Run: standin.Run{ID: id, Method: a.Method, Target: a.Target, Tenant: "org", Body: id, Prompt: prompt}, Server: "m" + id, Service: "llm", At: after(seconds)}
			s.Runs = append(s.Runs, r)
		}
	}
	for n := range 20 {
		stream(fmt.Sprintf("early%d", n), "c0c0:10", false, 1, http.StatusOK)
		status := http.StatusOK
		if n >= answered {
			status = http.StatusServiceUnavailable
		}
		stream(fmt.Sprintf("sound%d", n), "c0c0:10", false, 26, status)
	}
	for n := range 5 {
		stream(fmt.Sprintf("p%d", n), "c0c0:10,deadbeef:10", true, 11+0.1*float64(n), http.StatusBadGateway)
	}
	for n := range late {
		stream(fmt.Sprintf("late%d", n), "c0c0:10,deadbeef:10", true, 25, http.StatusBadGateway)
	}
	stream("last", "c0c0:10,deadbeef:10", true, 28, http.StatusServiceUnavailable)
}

// skewed adds 20 requests before a time in which most connections go to one daemon, and 20 in it, of which
// some are answered.
func skewed(s *soak.Observations, answered int) {
	s.Skews = append(s.Skews, soak.Skew{Daemon: 0, From: after(20), To: after(30)})
	for n := range 20 {
		addRequest(s, fmt.Sprintf("before%d", n), 8, standin.Announcement{})
		addRequest(s, fmt.Sprintf("during%d", n), 15, standin.Announcement{})
		if n >= answered {
			a := &s.Requests[len(s.Requests)-1]
			a.Reply, s.Runs = standin.Reply{Status: http.StatusServiceUnavailable, Complete: true}, s.Runs[:len(s.Runs)-1]
		}
	}
}

// addRequest adds one more request like that of good, which reaches the same server.
func addRequest(s *soak.Observations, id string, seconds float64, w standin.Announcement) {
	a, r := good()
	a.ID, a.Sent, a.Ended, a.Reply.Body = id, after(10.1+seconds), after(10.2+seconds), (&standin.Runner{ID: "s"}).Answer(id)
	r.Run.ID, r.At = id, after(10.15+seconds)
	s.Requests, s.Runs = append(s.Requests, a), append(s.Runs, r)
	s.Arrivals = append(s.Arrivals, soak.Arrival{ID: id, Server: "s", Start: 1, Announcement: w, At: after(10.15 + seconds)})
}

// addLeaving has the server announce that it is draining, and one more request reach it some
// seconds after the daemon has forwarded the announcement.
func addLeaving(s *soak.Observations, seconds float64) {
	s.Arrivals = []soak.Arrival{{ID: "a", Server: "s", Start: 1, Announcement: standin.Announcement{Leaving: true}, At: after(10.05)}}
	s.Requests[0].Reply.Leaving = true
	addRequest(s, "late", seconds, standin.Announcement{Leaving: true})
}

// addBackoff has the server decline the request and ask for three seconds of back-off, and n
// more requests reach it some seconds later.
func addBackoff(s *soak.Observations, n int, seconds float64) {
	s.Requests[0].Reply, s.Runs = standin.Reply{Status: http.StatusServiceUnavailable, Complete: true}, nil
	s.Arrivals = []soak.Arrival{{ID: "a", Server: "s", Start: 1, Announcement: standin.Announcement{Rest: 3 * time.Second}, At: after(10.05)}}
	for i := range n {
		addRequest(s, fmt.Sprintf("more-%d", i), seconds+float64(i)/100, standin.Announcement{})
	}
}

// addLimited has the server announce a rate limit of two requests per second and receive n
// requests within ten seconds.
func addLimited(s *soak.Observations, n int) {
	for i := range n {
		addRequest(s, fmt.Sprintf("limited-%d", i), 10*float64(i)/float64(n), standin.Announcement{Limit: "2"})
		s.Requests[len(s.Requests)-1].Reply.Limit = "2"
	}
}

// TestEachRuleFindsItsViolation changes correct observations in one respect at a time, and
// checks that the rule for that violation finds it, and that permitted changes yield no
// finding.
func TestEachRuleFindsItsViolation(t *testing.T) {
	refused := standin.Reply{Status: http.StatusServiceUnavailable, Complete: true}
	cut := standin.Reply{Err: errors.New("cut")}
	stop := soak.FaultSpan{Daemon: 0, Kind: soak.Terminate, From: after(9), To: after(12)}
	for _, c := range []struct {
		rule   string
		change func(s *soak.Observations)
	}{
		{"", func(*soak.Observations) {}},
		{"", func(s *soak.Observations) { crashing(s, 6) }},
		{"BUDGET", func(s *soak.Observations) { crashing(s, 7) }},
		{"", func(s *soak.Observations) { crashingPart(s, 3, 20) }},
		{"BUDGET", func(s *soak.Observations) { crashingPart(s, 4, 20) }},
		{"LOST", func(s *soak.Observations) { crashingPart(s, 3, 9) }},
		{"", func(s *soak.Observations) { skewed(s, 16) }},
		{"RECOVER", func(s *soak.Observations) { skewed(s, 14) }},
		{"TWICE", func(s *soak.Observations) { s.Runs = append(s.Runs, s.Runs[0]) }},
		{"REFUSED", func(s *soak.Observations) { s.Requests[0].Reply = refused }},
		{"UNASKED", func(s *soak.Observations) { s.Runs[0].Run.ID = "b"; s.Requests[0].Reply = refused }},
		{"UNASKED", func(s *soak.Observations) { s.Runs[0].Run.Body = "c" }},
		{"UNASKED", func(s *soak.Observations) { s.Runs[0].Run.Tenant = "other" }},
		{"ROUTE", func(s *soak.Observations) { s.Runs[0].Service = "llm" }},
		{"KEY", func(s *soak.Observations) { s.Revoked["key-0"] = after(4.9) }},
		{"", func(s *soak.Observations) { s.Revoked["key-0"] = after(5.1) }},
		{"MIXED", func(s *soak.Observations) { s.Requests[0].Reply.Server = "t" }},
		{"MIXED", func(s *soak.Observations) { s.Requests[0].Reply.Body = s.Requests[0].Reply.Body[:10] }},
		{"MIXED", func(s *soak.Observations) {
			s.Requests[0].Kind, s.Requests[0].Reply.Body = standin.Streaming, "id: 1\ndata: "+standin.EndlessData+"\n\n"
		}},
		{"", func(s *soak.Observations) {
			s.Requests[0].Reply.Body, s.Requests[0].Reply.Complete = s.Requests[0].Reply.Body[:10], false
		}},
		{"MIXED", func(s *soak.Observations) { s.Requests[0].Reply.Body, s.Requests[0].Reply.Complete = "other", false }},
		{"MIXED", func(s *soak.Observations) { s.Requests[0].Reply.Err = errors.New("the answer is to another request") }},
		{"DENIED", func(s *soak.Observations) {
			s.Requests[0].Reply, s.Runs = standin.Reply{Status: http.StatusUnauthorized}, nil
		}},
		{"BACKWARDS", func(s *soak.Observations) {
			s.Requests[0].Added = 4
			later := s.Requests[0]
			later.ID, later.Sent, later.Ended, later.Reply = "later", after(11), after(11.1), standin.Reply{Status: http.StatusNotFound}
			s.Requests = append(s.Requests, later)
		}},
		{"CONFIG", func(s *soak.Observations) {
			s.Added[4] = after(7)
			s.Requests[0].Added, s.Requests[0].Reply, s.Runs = 4, standin.Reply{Status: http.StatusNotFound}, nil
		}},
		{"", func(s *soak.Observations) {
			s.Added[4] = after(7)
			s.Requests[0].Added, s.Requests[0].Reply, s.Runs = 4, standin.Reply{Status: http.StatusNotFound}, nil
			s.Spans = []soak.FaultSpan{{Daemon: 0, Kind: soak.Pause, From: after(6), To: after(8)}}
		}},
		{"LEAVING", func(s *soak.Observations) { s.Left[soak.Incarnation{Server: "s"}] = after(7) }},
		{"", func(s *soak.Observations) { s.Left[soak.Incarnation{Server: "s"}] = after(7); s.Runs[0].Start = 1 }},
		{"LOST", func(s *soak.Observations) { s.Requests[0].Reply, s.Spans = cut, []soak.FaultSpan{stop} }},
		{"", func(s *soak.Observations) {
			s.Requests[0].Reply, s.Spans = cut, []soak.FaultSpan{stop, {Daemon: 0, Kind: soak.Kill, From: after(10)}}
		}},
		{"HELD", func(s *soak.Observations) { s.Requests[0].Ended = after(14) }},
		{"VERDICT", func(s *soak.Observations) {
			s.Rollouts = []soak.Rollout{{Version: "v2", Bad: true, At: after(1), State: standin.RolloutCompleted, Settled: after(5)}}
		}},
		{"EXPOSURE", func(s *soak.Observations) {
			s.Rollouts = []soak.Rollout{{Version: "v2", Bad: true, At: after(1)}}
			for i := range 40 {
				a, r := good()
				a.ID = fmt.Sprint(i)
				r.Run.ID, r.Version, a.Reply.Body = a.ID, "v2", (&standin.Runner{ID: "s"}).Answer(a.ID)
				s.Requests, s.Runs = append(s.Requests, a), append(s.Runs, r)
			}
		}},
		{"WITHDRAWN", func(s *soak.Observations) {
			s.Rollouts = []soak.Rollout{{Version: "v2", Bad: true, At: after(1), State: standin.RolloutRolledBack, Settled: after(5)}}
			s.Runs[0].Version = "v2"
		}},
		{"DRAIN", func(s *soak.Observations) { addLeaving(s, 2.7) }},
		{"", func(s *soak.Observations) { addLeaving(s, 2.4) }},
		{"", func(s *soak.Observations) { addLeaving(s, 2.7); s.Arrivals[1].Start++ }},
		{"", func(s *soak.Observations) { addLeaving(s, 2.7); s.Requests[1].Process++ }},
		{"REST", func(s *soak.Observations) { addBackoff(s, 3, 1) }},
		{"", func(s *soak.Observations) { addBackoff(s, 2, 1) }},
		{"", func(s *soak.Observations) { addBackoff(s, 3, 0.3) }},
		{"", func(s *soak.Observations) { addBackoff(s, 3, 4) }},
		{"LIMIT", func(s *soak.Observations) { addLimited(s, 50) }},
		{"", func(s *soak.Observations) { addLimited(s, 40) }},
		{"", func(s *soak.Observations) {
			addLimited(s, 50)
			s.Spans = []soak.FaultSpan{{Daemon: 0, Kind: soak.Pause, From: after(9), To: after(21)}}
		}},
		{"RETURN", func(s *soak.Observations) { s.Settled, s.Requests[0].Reply = after(5), cut }},
	} {
		a, r := good()
		s := soak.Observations{Requests: []soak.Request{a}, Runs: []soak.Execution{r}, Revoked: map[string]time.Time{}, Added: map[uint64]time.Time{}, Left: map[soak.Incarnation]time.Time{}}
		c.change(&s)
		found := append(soak.Check(s), soak.CheckBounds(s)...)
		if c.rule == "" && len(found) > 0 {
			t.Errorf("nothing is wrong, found: %v", found)
		}
		if c.rule != "" && (len(found) == 0 || found[0].Rule != c.rule) {
			t.Errorf("want %s, found: %v", c.rule, found)
		}
	}
}

func TestPlanIsDeterminedBySeed(t *testing.T) {
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

// addCut adds a cut of daemon 1 from all servers, with requests to it and to daemon 2 of which
// some are refused.
func addCut(s *soak.Observations, each, refused int) {
	s.Cuts = append(s.Cuts, soak.ServerCut{Daemons: map[int]bool{1: true}, Mode: "silent", From: after(20), To: after(30)})
	for n := range 2 * each {
		a, r := good()
		a.ID, a.Daemon, a.Sent, a.Ended = fmt.Sprint("cut-", n), 1+n%2, after(24), after(24.1)
		a.Reply.Body = (&standin.Runner{ID: "s"}).Answer(a.ID)
		r.Run.ID = a.ID
		if a.Daemon == 1 && n/2 < refused {
			a.Reply = standin.Reply{Status: http.StatusServiceUnavailable, Complete: true}
		} else {
			s.Runs = append(s.Runs, r)
		}
		s.Requests = append(s.Requests, a)
	}
}

// Without this check the soak did not notice that daemons without a path refused their callers.
func TestCheckFindsCutDaemonsThatServeLittle(t *testing.T) {
	for refused, want := range map[int]int{0: 0, 12: 0, 40: 1} {
		var s soak.Observations
		addCut(&s, 100, refused)
		if got := soak.CheckBounds(s); len(got) != want {
			t.Errorf("%d of 100 refused: %v", refused, got)
		}
	}
}

// Without this check the soak did not notice that daemons made brittle servers fall over.
func TestCheckFindsBrittleServersThatFall(t *testing.T) {
	for falls, want := range map[int]int{0: 0, 2: 0, 3: 1} {
		s := soak.Observations{Brittle: []soak.BrittleTime{{Service: "api", Servers: 3, Bears: 4, Falls: falls, From: after(1), To: after(9)}}}
		if got := soak.CheckBounds(s); len(got) != want {
			t.Errorf("%d falls: %v", falls, got)
		}
	}
}
