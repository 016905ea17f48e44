package fleet_test

import (
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
)

// The recorded load of one daemon: twelve servers, four of which turn every request away and
// ask for three seconds of rest, 20 requests a second, up to three tries each, 100 ms a run.
// A server that declines is idle, so it was the first choice again: those four got 28 to 31
// requests each in their rest and a third of the requests were refused, with eight servers
// at work.
func TestServersThatWantRestAreNotTheFirstChoice(t *testing.T) {
	const (
		rest     = 3 * time.Second
		every    = 50 * time.Millisecond
		run      = 100 * time.Millisecond
		tries    = 3
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
	asked := map[string]time.Time{}
	refused, early := 0, 0
	at := now
	for n := range requests {
		at = at.Add(every)
		for len(running) > 0 && !running[0].at.After(at) {
			running[0].of.Load.End(1)
			running = running[1:]
		}
		var avoid []fleet.Incarnation
		served := false
		for range tries {
			s, ok := l.Choose(fleet.Want{Service: "s", Affinity: uint64(n%50 + 1), Avoid: avoid}, at)
			if !ok {
				break
			}
			if !declines(s) {
				s.Load.Begin(1)
				running = append(running, end{at.Add(run), s})
				served = true
				break
			}
			if was, ok := asked[s.ID]; ok && at.Sub(was) < rest {
				early++
			}
			asked[s.ID] = at
			s.Load.Notices.Hear(notice.Notice{Rest: rest}, at)
			avoid = append(avoid, s.Incarnation())
		}
		if !served {
			refused++
		}
	}
	if early > 0 || refused > 1 {
		t.Errorf("%d requests reached servers in their rest, %d of %d were refused", early, refused, requests)
	}
	if len(asked) != 4 || at.Sub(asked["e00"]) > 2*rest {
		t.Errorf("servers whose rest is over are not asked again: %v", asked)
	}
}

func TestRestEndsOnlyWhereNoneIsOpen(t *testing.T) {
	servers := pool(3)
	l := fleet.NewList(servers)
	servers[0].Load.Notices.Hear(notice.Notice{Rest: 5 * time.Second}, now)
	servers[1].Load.Notices.Hear(notice.Notice{Rest: 2 * time.Second}, now)
	if _, ok := l.RestEnds("s", now); ok {
		t.Error("one server is open")
	}
	servers[2].Load.Notices.Hear(notice.Notice{Leaving: true, Rest: time.Second}, now)
	at, ok := l.RestEnds("s", now)
	if !ok || !at.Equal(now.Add(2*time.Second)) {
		t.Errorf("%v %v", at, ok)
	}
	if _, ok := l.Choose(fleet.Want{Service: "s"}, now); ok {
		t.Error("one was chosen")
	}
	if s, ok := l.Choose(fleet.Want{Service: "s"}, at); !ok || s != servers[1] {
		t.Errorf("%v", s)
	}
	if _, ok := l.RestEnds("other", now); ok {
		t.Error("a service without servers rests")
	}
}

// Part of a service's servers is used for a version in roll-out: one of them that leaves by
// its own word is not.
func TestFewServersLeaveOutOneThatLeaves(t *testing.T) {
	servers := pool(6)
	l := fleet.NewList(servers)
	w := fleet.Want{Service: "s", Part: 0.2}
	first, _ := l.Choose(w, now)
	first.Load.Notices.Hear(notice.Notice{Leaving: true}, now)
	if s, ok := l.Choose(w, now); !ok || s == first {
		t.Errorf("%v after %v", s, first)
	}
}
