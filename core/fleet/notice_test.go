package fleet_test

import (
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
)

// Guards against sending requests to servers that asked for back-off. Replays the
// recorded load of one daemon: twelve servers, four of which decline every request and
// ask for three seconds of back-off, 20 requests a second, up to three attempts each,
// 100 ms per answer. A server that declines is idle, so it was the first choice again:
// two of the four received 31 and 28 requests in one back-off, and requests were
// refused while eight servers were available. In this replay 220 requests reached
// servers in their back-off, and 16 of 400 requests were refused.
func TestServersInRequestedBackoffReceiveNoRequests(t *testing.T) {
	const backoff = 3 * time.Second
	declinedAt := map[string]time.Time{}
	early := 0
	declined := func(s *fleet.Server, at time.Time) {
		if was, ok := declinedAt[s.ID]; ok && at.Sub(was) < backoff {
			early++
		}
		declinedAt[s.ID] = at
		s.State.Notices.Observe(notice.Notice{Backoff: backoff}, at)
	}
	refused, end := replayDeclines(declined)
	if early > 0 || refused > 1 {
		t.Errorf("%d requests reached servers in back-off, %d were refused", early, refused)
	}
	if len(declinedAt) != 4 || end.Sub(declinedAt["e00"]) > 2*backoff {
		t.Errorf("servers are not tried again after their back-off: %v", declinedAt)
	}
}

// The same load with four servers that decline without a retry time: each of them used
// up one attempt of nearly every request.
func TestDecliningServersAreFallback(t *testing.T) {
	declines := map[string]int{}
	refused, _ := replayDeclines(func(s *fleet.Server, at time.Time) {
		declines[s.ID]++
		s.State.Declined(at)
	})
	if refused > 1 {
		t.Errorf("%d requests were refused", refused)
	}
	for id, n := range declines {
		if n > 20 {
			t.Errorf("%s declined %d requests in 20 s", id, n)
		}
	}
}

// An answer resets the count of declined requests at once.
func TestAnswerResetsDeclineBackoff(t *testing.T) {
	servers := pool(2)
	l := fleet.NewList(servers)
	servers[1].State.Begin(5)
	at := now
	for range 10 {
		servers[0].State.Declined(at)
	}
	if s, _ := l.Choose(fleet.Criteria{Service: "s"}, at.Add(time.Second)); s != servers[1] {
		t.Error("a server that has declined ten times is preferred after a second")
	}
	if s, _ := l.Choose(fleet.Criteria{Service: "s", Exclude: []fleet.Incarnation{servers[1].Incarnation()}}, at); s != servers[0] {
		t.Error("the last remaining server is not chosen")
	}
	at = at.Add(2 * time.Second)
	servers[0].State.Answered(1)
	servers[0].State.Declined(at)
	if s, _ := l.Choose(fleet.Criteria{Service: "s"}, at.Add(150*time.Millisecond)); s != servers[0] {
		t.Error("an answer does not reset the count of declined requests")
	}
}

// replayDeclines sends 400 requests to twelve servers, four of which decline every
// request, and calls declined for each declined one. It returns how many requests were
// refused, and when the replay ended.
func replayDeclines(declined func(s *fleet.Server, at time.Time)) (refused int, at time.Time) {
	const (
		every    = 50 * time.Millisecond
		run      = 100 * time.Millisecond
		attempts = 3
		requests = 400
	)
	servers := pool(12)
	l := fleet.NewList(servers)
	declines := func(s *fleet.Server) bool { return s.ID < "e04" }
	type end struct {
		at time.Time
		of *fleet.Server
	}
	var running []end
	at = now
	for n := range requests {
		at = at.Add(every)
		for len(running) > 0 && !running[0].at.After(at) {
			running[0].of.State.End(1)
			running = running[1:]
		}
		var avoid []fleet.Incarnation
		served := false
		for range attempts {
			s, ok := l.Choose(fleet.Criteria{Service: "s", Affinity: uint64(n%50 + 1), Exclude: avoid}, at)
			if !ok {
				break
			}
			if !declines(s) {
				s.State.Begin(1)
				running = append(running, end{at.Add(run), s})
				served = true
				break
			}
			declined(s, at)
			avoid = append(avoid, s.Incarnation())
		}
		if !served {
			refused++
		}
	}
	return refused, at
}

func TestAvailableAtOnlyIfNoServerIsAvailable(t *testing.T) {
	servers := pool(3)
	l := fleet.NewList(servers)
	servers[0].State.Notices.Observe(notice.Notice{Backoff: 5 * time.Second}, now)
	servers[1].State.Notices.Observe(notice.Notice{Backoff: 2 * time.Second}, now)
	if _, _, ok := l.AvailableAt("s", now); ok {
		t.Error("a time was returned though one server is available")
	}
	servers[2].State.Notices.Observe(notice.Notice{Leaving: true, Backoff: time.Second}, now)
	at, limited, ok := l.AvailableAt("s", now)
	if !ok || limited || !at.Equal(now.Add(2*time.Second)) {
		t.Errorf("%v %v", at, ok)
	}
	if _, ok := l.Choose(fleet.Criteria{Service: "s"}, now); ok {
		t.Error("a server was chosen during its back-off")
	}
	if s, ok := l.Choose(fleet.Criteria{Service: "s"}, at); !ok || s != servers[1] {
		t.Errorf("%v", s)
	}
	if _, _, ok := l.AvailableAt("other", now); ok {
		t.Error("a time was returned for a service without servers")
	}
}

// A version in roll-out uses a subset of a service's servers. A server that announces
// that it leaves is excluded from it.
func TestSubsetExcludesLeavingServer(t *testing.T) {
	servers := pool(6)
	l := fleet.NewList(servers)
	w := fleet.Criteria{Service: "s", Fraction: 0.2}
	first, _ := l.Choose(w, now)
	first.State.Notices.Observe(notice.Notice{Leaving: true}, now)
	if s, ok := l.Choose(w, now); !ok || s == first {
		t.Errorf("%v after %v", s, first)
	}
}
