package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
)

func pool(n int) []*fleet.Server {
	var out []*fleet.Server
	hall := fleet.NewHallState()
	for i := range n {
		out = append(out, &fleet.Server{ID: fmt.Sprintf("e%02d", i), Service: "s", Hall: "h", Version: "v1", State: fleet.NewServerState(hall)})
	}
	return out
}

var now = time.Unix(1000, 0)

func choose(t *testing.T, servers []*fleet.Server, w fleet.Criteria) *fleet.Server {
	t.Helper()
	w.Service = "s"
	s, ok := fleet.NewList(servers).Choose(w, now)
	if !ok {
		t.Fatal("no server")
	}
	return s
}

func TestLeavingExcludedAndDisallowedServersAreNeverChosen(t *testing.T) {
	servers := pool(4)
	servers[0].Leaving = true
	servers[1].Version = "v2"
	only := fleet.Criteria{Service: "s", Exclude: []fleet.Incarnation{{ID: "e02"}}, Allowed: func(v string) bool { return v == "v1" }}
	for i := range uint64(100) {
		only.Affinity = i
		if s := choose(t, servers, only); s.ID != "e03" {
			t.Fatalf("%s was chosen", s.ID)
		}
	}
	only.Exclude = append(only.Exclude, fleet.Incarnation{ID: "e03"})
	if s, ok := fleet.NewList(servers).Choose(only, now); ok {
		t.Errorf("%s was chosen though no server is allowed", s.ID)
	}
}

func TestSharedPromptStaysOnOneServerUntilItIsMuchBusier(t *testing.T) {
	servers := pool(8)
	first := choose(t, servers, fleet.Criteria{Affinity: 42})
	for range 4 {
		if s := choose(t, servers, fleet.Criteria{Affinity: 42}); s != first {
			t.Fatalf("%s after %s", s.ID, first.ID)
		}
	}
	for range 10 {
		first.State.Begin(1)
	}
	if s := choose(t, servers, fleet.Criteria{Affinity: 42}); s == first {
		t.Error("a server that is much busier than the others was chosen")
	}
}

func TestRemovedServerMovesOnlyItsPrompts(t *testing.T) {
	servers := pool(8)
	moved := 0
	for i := range uint64(1000) {
		was := choose(t, servers, fleet.Criteria{Affinity: i + 1})
		is := choose(t, servers[1:], fleet.Criteria{Affinity: i + 1})
		if was != servers[0] && was != is {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d prompts moved that were elsewhere", moved)
	}
}

func TestFailingServerIsBackedOffAndReturns(t *testing.T) {
	servers := pool(2)
	servers[0].State.Unreachable(now)
	for range 5 {
		servers[1].State.Begin(1)
	}
	if s := choose(t, servers, fleet.Criteria{}); s != servers[1] {
		t.Error("a server that could not be reached was chosen")
	}
	later := now.Add(5 * time.Second)
	if s, _ := fleet.NewList(servers).Choose(fleet.Criteria{Service: "s"}, later); s != servers[0] {
		t.Error("the server was not chosen again after its back-off")
	}
	servers[1].State.Unreachable(now)
	if _, ok := fleet.NewList(servers).Choose(fleet.Criteria{Service: "s"}, now); !ok {
		t.Error("no server was chosen while all are in back-off")
	}
}

func TestSlowAndFailingServersReceiveLess(t *testing.T) {
	for name, impair := range map[string]func(l *fleet.ServerState){
		"slow":    func(l *fleet.ServerState) { l.Answered(8) },
		"failing": func(l *fleet.ServerState) { l.Failed() },
	} {
		servers := pool(2)
		for range 20 {
			impair(servers[0].State)
			servers[1].State.Answered(1)
		}
		servers[1].State.Begin(1)
		if s := choose(t, servers, fleet.Criteria{}); s != servers[1] {
			t.Errorf("%s: the impaired server was chosen over one with one more request", name)
		}
		for range 60 {
			servers[0].State.Answered(1)
		}
		if s := choose(t, servers, fleet.Criteria{}); s != servers[0] {
			t.Errorf("%s: the server did not recover", name)
		}
	}
}

func TestOwnHallIsPreferredUntilItIsBusier(t *testing.T) {
	servers := pool(2)
	servers[1].Hall = "other"
	if s := choose(t, servers, fleet.Criteria{Hall: "h"}); s != servers[0] {
		t.Error("a server of another hall was chosen")
	}
	for range 5 {
		servers[0].State.Begin(1)
	}
	if s := choose(t, servers, fleet.Criteria{Hall: "h"}); s != servers[1] {
		t.Error("the request's own hall was chosen though it is busier")
	}
}

func TestKeepInHallChoosesServerOfHall(t *testing.T) {
	servers := pool(8)
	for _, s := range servers[:4] {
		s.Hall = "other"
	}
	met := map[string]bool{}
	for i := range uint64(200) {
		s := choose(t, servers, fleet.Criteria{Affinity: i + 1, Hall: "h", KeepInHall: true})
		if s.Hall != "h" {
			t.Fatalf("%s of another hall was chosen", s.ID)
		}
		met[s.ID] = true
	}
	if len(met) != 4 {
		t.Errorf("%d of the hall's 4 servers were chosen", len(met))
	}
	if s := choose(t, servers[:4], fleet.Criteria{Affinity: 1, Hall: "h", KeepInHall: true}); s.Hall != "other" {
		t.Error("without a server in the hall, no server of another hall was chosen")
	}
}

// When the network path to a hall fails, a few time-outs back off all of its servers.
func TestTimeOutsBackOffWholeHall(t *testing.T) {
	near, far := pool(4), pool(4)
	for _, s := range far {
		s.ID, s.Hall = "far-"+s.ID, "far"
	}
	all := append(near, far...)
	far[0].State.ConnectTimedOut(now)
	far[1].State.ConnectTimedOut(now)
	far[0].State.ConnectTimedOut(now)
	if far[3].State.InBackoff(now) {
		t.Fatal("time-outs of two servers back off a hall")
	}
	far[2].State.ConnectTimedOut(now)
	for i := range uint64(200) {
		if s := choose(t, all, fleet.Criteria{Affinity: i + 1}); s.Hall == "far" {
			t.Fatalf("%s was chosen", s.ID)
		}
	}
	if s, ok := fleet.NewList(far).Choose(fleet.Criteria{Service: "s"}, now); !ok || s.Hall != "far" {
		t.Error("the hall is not used though there is no other")
	}
	far[3].State.Answered(1)
	if far[3].State.InBackoff(now) {
		t.Error("an answer does not end the hall's back-off")
	}
	if !far[0].State.InBackoff(now) {
		t.Error("a server that timed out is not in back-off itself")
	}
}

// Connection resets back off a hall as time-outs do, and an answer from any of its
// servers resets the count.
func TestBrokenConnectionsBackOffWholeHall(t *testing.T) {
	far := pool(6)
	far[0].State.NoResponse(now)
	far[1].State.NoResponse(now)
	far[5].State.Answered(1)
	far[2].State.NoResponse(now)
	if far[3].State.InBackoff(now) {
		t.Fatal("the hall is in back-off though a server has answered")
	}
	far[0].State.NoResponse(now)
	far[1].State.NoResponse(now)
	if !far[3].State.InBackoff(now) {
		t.Error("the hall is not in back-off")
	}
}

// After its back-off, a hall is probed by one request at a time.
func TestHallIsProbedByOneRequestAtATime(t *testing.T) {
	near, far := pool(4), pool(4)
	for i, s := range far {
		s.ID, s.Hall = "far-"+s.ID, "far"
		if i < 3 {
			s.State.ConnectTimedOut(now)
		}
	}
	all := append(near, far...)
	later := now.Add(1500 * time.Millisecond)
	probes := 0
	for i := range uint64(200) {
		s, ok := fleet.NewList(all).Choose(fleet.Criteria{Service: "s", Affinity: i + 1}, later)
		if ok && s.Hall == "far" {
			probes++
		}
	}
	if probes != 1 {
		t.Errorf("%d requests probed the hall at once", probes)
	}
}

func TestHallThatTimedOutForTheRequestIsFallback(t *testing.T) {
	near, far := pool(2), pool(2)
	for _, s := range far {
		s.ID, s.Hall = "far-"+s.ID, "far"
	}
	all := append(near, far...)
	for i := range uint64(50) {
		if s := choose(t, all, fleet.Criteria{Affinity: i + 1, TimedOutHalls: []string{"far"}}); s.Hall == "far" {
			t.Fatal("a server of the hall that timed out was chosen")
		}
	}
	if s := choose(t, far, fleet.Criteria{TimedOutHalls: []string{"far"}}); s.Hall != "far" {
		t.Error("the hall is not used though there is no other")
	}
}

// A server that processes a long prompt is busier than one with several small requests.
func TestLongPromptsWeighMore(t *testing.T) {
	servers := pool(2)
	servers[0].State.Begin(6)
	for range 3 {
		servers[1].State.Begin(1)
	}
	if s := choose(t, servers, fleet.Criteria{}); s != servers[1] {
		t.Error("the server with the long prompt was chosen")
	}
	servers[0].State.End(6)
	if s := choose(t, servers, fleet.Criteria{}); s != servers[0] {
		t.Error("the end of the request does not reduce the load")
	}
}

// The subset of the servers is the same for all prompts, and excludes servers in
// back-off.
func TestSubsetIsTheSameForAllPrompts(t *testing.T) {
	used := func(servers []*fleet.Server, part float64) map[string]bool {
		out := map[string]bool{}
		for i := range uint64(200) {
			out[choose(t, servers, fleet.Criteria{Affinity: i + 1, Fraction: part}).ID] = true
		}
		return out
	}
	servers := pool(12)
	small, larger := used(servers, 0.08), used(servers, 0.5)
	if len(small) != 1 || len(larger) != 6 {
		t.Fatalf("%d and %d servers were used", len(small), len(larger))
	}
	for id := range small {
		if !larger[id] {
			t.Errorf("%s is not in the larger subset", id)
		}
	}
	for _, s := range servers {
		if small[s.ID] {
			s.State.Unreachable(now)
		}
	}
	if others := used(servers, 0.08); len(others) != 1 {
		t.Errorf("%d servers were used while one is in back-off", len(others))
	}
}

// A prompt stays at the server that has it cached until waiting there costs more than
// processing it elsewhere, and prefers another server that has it cached to one that
// has not.
func TestPromptMovesWhenWaitingCostsMoreThanProcessing(t *testing.T) {
	servers := pool(6)
	parts := []prefixcache.Part{{ID: "policy", Tokens: 12000}, {ID: "own", Tokens: 1000}}
	want := func(model string, blockCost float64) fleet.Criteria {
		return fleet.Criteria{Affinity: 42, Prompt: prefixcache.NewPrompt(model, parts), BlockCost: blockCost}
	}
	home := choose(t, servers, want("small", 1))
	home.State.Begin(5)
	if s := choose(t, servers, want("small", 1)); s != home {
		t.Errorf("the prompt was moved to %s, which has to process tokens at a cost of 6", s.ID)
	}
	home.State.Begin(5)
	if s := choose(t, servers, want("large", 10)); s != home {
		t.Errorf("the prompt was moved to %s, which has to process tokens at a cost of 60", s.ID)
	}
	next := choose(t, servers, want("small", 1))
	if next == home {
		t.Fatal("the prompt waits behind a load of 10 to save a cost of 6")
	}
	// Another server has the prompt cached, and slightly more load than the others.
	var other *fleet.Server
	for _, s := range servers {
		if s != home && s != next {
			other = s
		}
	}
	other.State.PrefixCache.Add(prefixcache.NewPrompt("small", parts), now)
	other.State.Begin(2)
	if s := choose(t, servers, want("small", 1)); s != other {
		t.Errorf("%s was chosen, but %s has the prompt cached", s.ID, other.ID)
	}
}

// The size of the subset is rounded to the nearest number, so that no server carries
// nearly twice the load that it would have with all requests.
func TestSubsetSizeIsRounded(t *testing.T) {
	for part, want := range map[float64]int{0.01: 1, 0.08: 1, 0.15: 2, 0.1: 1, 0.22: 3} {
		servers := pool(12)
		used := map[string]bool{}
		for i := range uint64(200) {
			used[choose(t, servers, fleet.Criteria{Affinity: i + 1, Fraction: part}).ID] = true
		}
		if len(used) != want {
			t.Errorf("a fraction of %v uses %d of 12 servers, want %d", part, len(used), want)
		}
	}
}

// The subset grows while its servers have more requests than those of the other
// version.
func TestSubsetGrowsUnderLoad(t *testing.T) {
	servers := pool(18)
	for i, s := range servers {
		if i >= 12 {
			s.Version = "old"
			s.State.SetReportedRequests(4)
		}
	}
	used := func() map[string]bool {
		out := map[string]bool{}
		for i := range uint64(100) {
			w := fleet.Criteria{Affinity: i + 1, Fraction: 0.1, Allowed: func(v string) bool { return v != "old" }}
			out[choose(t, servers, w).ID] = true
		}
		return out
	}
	first := used()
	for _, s := range servers {
		if first[s.ID] {
			s.State.SetReportedRequests(8)
		}
	}
	if n := len(used()); len(first) != 1 || n != 1 {
		t.Errorf("%d and %d servers are used while their load is low", len(first), n)
	}
	for _, s := range servers {
		if first[s.ID] {
			s.State.SetReportedRequests(9)
		}
	}
	if n := len(used()); n != 2 {
		t.Errorf("%d servers are used while the load of the first is high", n)
	}
}

// A version that uses one server at a time is tried on three, one after the other,
// which are the same for all daemons.
func TestSubsetRotatesDuringTrial(t *testing.T) {
	servers := pool(12)
	used := func(part, phase float64) map[string]bool {
		out := map[string]bool{}
		for i := range uint64(100) {
			out[choose(t, servers, fleet.Criteria{Affinity: i + 1, Fraction: part, Progress: phase}).ID] = true
		}
		return out
	}
	all := map[string]bool{}
	for _, phase := range []float64{0, 0.3, 0.4, 0.6, 0.7, 1} {
		now := used(0.08, phase)
		if len(now) != 1 {
			t.Fatalf("%d servers are used at the same time", len(now))
		}
		for id := range now {
			all[id] = true
		}
	}
	if len(all) != 3 {
		t.Errorf("%d servers were tried", len(all))
	}
	if diff := cmp.Diff(used(0.25, 0), used(0.25, 1)); diff != "" {
		t.Errorf("three servers at a time are used in turn: %s", diff)
	}
}

// Whatever the load of the servers, the chosen one has the lowest cost of the eligible
// ones.
func TestChosenServerHasLowestCost(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	for range 300 {
		servers := pool(1 + random.IntN(30))
		for _, s := range servers {
			s.Hall = []string{"h", "far"}[random.IntN(2)]
			s.Leaving = random.IntN(8) == 0
			for range random.IntN(6) {
				s.State.Begin(1 + 3*random.Float64())
				s.State.Answered(2 * random.Float64())
			}
			if random.IntN(6) == 0 {
				s.State.Unreachable(now)
			}
		}
		cost := func(s *fleet.Server) float64 {
			c := (s.State.OwnLoad() + 1) * s.State.Slowness()
			if s.Hall != "h" {
				c += 2
			}
			if s.State.InBackoff(now) {
				c += 1e6
			}
			return c
		}
		got, ok := fleet.NewList(servers).Choose(fleet.Criteria{Service: "s", Hall: "h"}, now)
		for _, s := range servers {
			if s.Leaving {
				continue
			}
			if !ok || got.Leaving || cost(s) < cost(got) {
				t.Fatalf("%v was chosen, %s has a lower cost", got, s.ID)
			}
		}
	}
}
