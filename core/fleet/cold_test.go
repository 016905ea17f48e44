package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
)

func TestDrainedHallReceivesNoRequests(t *testing.T) {
	servers := pool(4)
	for _, s := range servers[:2] {
		s.Hall = "drained"
	}
	all := fleet.NewList(servers)
	some := all.WithDrained(map[string]bool{"drained": true})
	for i := range uint64(200) {
		if s, ok := some.Choose(fleet.Criteria{Service: "s", Affinity: i + 1}, now); !ok || s.Hall == "drained" {
			t.Fatal("a drained hall was chosen, or no server")
		}
	}
	if s, ok := some.WithDrained(map[string]bool{"drained": true, "h": true}).Choose(fleet.Criteria{Service: "s"}, now); ok {
		t.Errorf("%s was chosen though all halls are drained", s.ID)
	}
	if s, _ := all.Choose(fleet.Criteria{Service: "s", Hall: "drained"}, now); s.Hall != "drained" {
		t.Error("a hall that is no longer drained receives no requests")
	}
}

func TestOnlyAllowedHallsAreChosen(t *testing.T) {
	servers := pool(4)
	servers[3].Hall = "home"
	w := fleet.Criteria{HallAllowed: func(hall string) bool { return hall == "home" }}
	for i := range uint64(100) {
		w.Affinity = i + 1
		if s := choose(t, servers, w); s != servers[3] {
			t.Fatalf("%s was chosen", s.ID)
		}
	}
	w.Service = "s"
	if s, ok := fleet.NewList(servers[:3]).Choose(w, now); ok {
		t.Errorf("%s was chosen though no server is in an allowed hall", s.ID)
	}
}

// A cold server receives at most this daemon's limit in any second, and the other
// requests go to other servers.
func TestColdServerReceivesAtMostItsLimitInAnySecond(t *testing.T) {
	servers := pool(2)
	servers[0].State.SetColdLimit(fleet.ColdLimit{Until: now.Add(3 * time.Second), MaxRequests: 2})
	list := fleet.NewList(servers)
	var sent []time.Time
	for at := now; at.Before(now.Add(3 * time.Second)); at = at.Add(7 * time.Millisecond) {
		s, ok := list.Choose(fleet.Criteria{Service: "s", Hall: "h"}, at)
		if !ok {
			t.Fatal("no server")
		}
		if s == servers[0] {
			sent = append(sent, at)
			continue
		}
		// The other server is busier, so that the cold one would be preferred.
		s.State.Begin(1)
	}
	for i, at := range sent {
		if n := len(slices.DeleteFunc(slices.Clone(sent[i:]), func(o time.Time) bool { return o.Sub(at) > time.Second })); n > 2 {
			t.Fatalf("%d requests within a second", n)
		}
	}
	if len(sent) < 5 {
		t.Errorf("%d requests in three seconds", len(sent))
	}
	servers[0].State.SetColdLimit(fleet.ColdLimit{Until: now.Add(10 * time.Second)})
	if s, _ := list.Choose(fleet.Criteria{Service: "s"}, now.Add(5*time.Second)); s != servers[1] {
		t.Error("a cold server was chosen though this daemon's share is zero")
	}
	if _, ok := fleet.NewList(servers[:1]).Choose(fleet.Criteria{Service: "s"}, now.Add(5*time.Second)); ok {
		t.Error("it was chosen because there is no other server")
	}
	if s, _ := fleet.NewList(servers[:1]).Choose(fleet.Criteria{Service: "s"}, now.Add(10*time.Second)); s != servers[0] {
		t.Error("a server that has warmed up is not chosen")
	}
}

// A daemon that restarts within a second does not send its share twice.
func TestRestartDoesNotRenewShareOfColdServer(t *testing.T) {
	const most, downFor = 4, 100 * time.Millisecond
	var sent []time.Time
	start := now
	for range 5 {
		servers := pool(1)
		servers[0].State.SetColdLimit(fleet.ColdLimit{From: start.Add(fleet.ColdWindow), Until: now.Add(time.Minute), MaxRequests: most})
		list, end := fleet.NewList(servers), start.Add(fleet.ColdWindow+300*time.Millisecond)
		for at := start; at.Before(end); at = at.Add(7 * time.Millisecond) {
			if _, ok := list.Choose(fleet.Criteria{Service: "s", Hall: "h"}, at); ok {
				sent = append(sent, at)
			}
		}
		start = end.Add(downFor)
	}
	for i, at := range sent {
		if n := len(slices.DeleteFunc(slices.Clone(sent[i:]), func(o time.Time) bool { return o.Sub(at) > time.Second })); n > most {
			t.Fatalf("%d requests within a second", n)
		}
	}
	if len(sent) != 5*most {
		t.Errorf("%d requests in total", len(sent))
	}
}

// The shares of all daemons add up to no more than a cold server's capacity, whatever
// the number of daemons.
func TestColdSharesStayWithinCapacity(t *testing.T) {
	rate, overage, slack := 13.0, 1.5, 5.0
	most := fleet.ColdCapacity(rate, overage, slack)
	if capacity := int(rate*overage + slack); most > capacity || most < capacity*3/4 {
		t.Fatalf("planned capacity is %d requests of %d", most, capacity)
	}
	for _, n := range []int{1, 6, 7, 19, 20, 65, 295, 1000} {
		daemons := make([]string, n)
		for i := range daemons {
			daemons[i] = fmt.Sprintf("d%d", i)
		}
		for server := range 50 {
			sum := 0
			for _, d := range daemons {
				sum += fleet.ColdShare(fmt.Sprint(server), d, daemons, most)
			}
			if sum > most || sum < most/2 {
				t.Fatalf("%d daemons may send %d requests to a server with a capacity of %d", n, sum, most)
			}
		}
	}
}

// The shares stay within the capacity when daemons have different membership lists.
func TestColdSharesWithDifferentMembershipListsStayWithinCapacity(t *testing.T) {
	most := fleet.ColdCapacity(13, 1.5, 5)
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		daemons := make([]string, 65)
		for i := range daemons {
			daemons[i] = fmt.Sprintf("d%d", i)
		}
		sum := 0
		for _, d := range daemons {
			// Each daemon does not know some of the others yet.
			known := slices.DeleteFunc(slices.Clone(daemons), func(o string) bool { return o != d && random.IntN(12) == 0 })
			sum += fleet.ColdShare("server", d, known, most)
		}
		if sum > 24 {
			t.Fatalf("with different membership lists %d requests are sent to a server with a capacity of 24", sum)
		}
	}
}
