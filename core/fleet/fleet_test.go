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
	hall := fleet.NewHall()
	for i := range n {
		out = append(out, &fleet.Server{ID: fmt.Sprintf("e%02d", i), Service: "s", Hall: "h", Version: "v1", Load: fleet.NewLoad(hall)})
	}
	return out
}

var now = time.Unix(1000, 0)

func choose(t *testing.T, servers []*fleet.Server, w fleet.Want) *fleet.Server {
	t.Helper()
	w.Service = "s"
	s, ok := fleet.NewList(servers).Choose(w, now)
	if !ok {
		t.Fatal("no server")
	}
	return s
}

func TestLeavingAvoidedAndOtherVersionsAreNeverChosen(t *testing.T) {
	servers := pool(4)
	servers[0].Leaving = true
	servers[1].Version = "v2"
	only := fleet.Want{Service: "s", Avoid: []fleet.Incarnation{{ID: "e02"}}, Allowed: func(v string) bool { return v == "v1" }}
	for i := range uint64(100) {
		only.Affinity = i
		if s := choose(t, servers, only); s.ID != "e03" {
			t.Fatalf("%s was chosen", s.ID)
		}
	}
	only.Avoid = append(only.Avoid, fleet.Incarnation{ID: "e03"})
	if s, ok := fleet.NewList(servers).Choose(only, now); ok {
		t.Errorf("%s was chosen though none may be", s.ID)
	}
}

func TestLikePromptsMeetOnOneServerUntilItIsMuchBusier(t *testing.T) {
	servers := pool(8)
	first := choose(t, servers, fleet.Want{Affinity: 42})
	for range 4 {
		if s := choose(t, servers, fleet.Want{Affinity: 42}); s != first {
			t.Fatalf("%s after %s", s.ID, first.ID)
		}
	}
	for range 10 {
		first.Load.Begin(1)
	}
	if s := choose(t, servers, fleet.Want{Affinity: 42}); s == first {
		t.Error("a server that is much busier than the others was chosen")
	}
}

func TestLossOfAServerMovesOnlyItsPrompts(t *testing.T) {
	servers := pool(8)
	moved := 0
	for i := range uint64(1000) {
		was := choose(t, servers, fleet.Want{Affinity: i + 1})
		is := choose(t, servers[1:], fleet.Want{Affinity: i + 1})
		if was != servers[0] && was != is {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d prompts moved that were elsewhere", moved)
	}
}

func TestServerThatFailsRestsAndReturns(t *testing.T) {
	servers := pool(2)
	servers[0].Load.Unreachable(now)
	for range 5 {
		servers[1].Load.Begin(1)
	}
	if s := choose(t, servers, fleet.Want{}); s != servers[1] {
		t.Error("a server that could not be reached was chosen")
	}
	later := now.Add(5 * time.Second)
	if s, _ := fleet.NewList(servers).Choose(fleet.Want{Service: "s"}, later); s != servers[0] {
		t.Error("it did not return")
	}
	servers[1].Load.Unreachable(now)
	if _, ok := fleet.NewList(servers).Choose(fleet.Want{Service: "s"}, now); !ok {
		t.Error("with all servers resting there is none")
	}
}

func TestSlowAndFailingServersGetLess(t *testing.T) {
	for name, spoil := range map[string]func(l *fleet.Load){
		"slow":    func(l *fleet.Load) { l.Answered(8) },
		"failing": func(l *fleet.Load) { l.Failed() },
	} {
		servers := pool(2)
		for range 20 {
			spoil(servers[0].Load)
			servers[1].Load.Answered(1)
		}
		servers[1].Load.Begin(1)
		if s := choose(t, servers, fleet.Want{}); s != servers[1] {
			t.Errorf("%s: the bad server was chosen before one with a request more", name)
		}
		for range 60 {
			servers[0].Load.Answered(1)
		}
		if s := choose(t, servers, fleet.Want{}); s != servers[0] {
			t.Errorf("%s: it did not recover", name)
		}
	}
}

func TestOwnHallGoesFirstUntilItIsBusier(t *testing.T) {
	servers := pool(2)
	servers[1].Hall = "other"
	if s := choose(t, servers, fleet.Want{Hall: "h"}); s != servers[0] {
		t.Error("another hall was chosen")
	}
	for range 5 {
		servers[0].Load.Begin(1)
	}
	if s := choose(t, servers, fleet.Want{Hall: "h"}); s != servers[1] {
		t.Error("the own hall was chosen though it is busier")
	}
}

func TestRequestThatSharesLittleStaysInItsHall(t *testing.T) {
	servers := pool(8)
	for _, s := range servers[:4] {
		s.Hall = "other"
	}
	met := map[string]bool{}
	for i := range uint64(200) {
		s := choose(t, servers, fleet.Want{Affinity: i + 1, Hall: "h", Near: true})
		if s.Hall != "h" {
			t.Fatalf("%s of another hall was chosen", s.ID)
		}
		met[s.ID] = true
	}
	if len(met) != 4 {
		t.Errorf("%d of the hall's 4 servers were chosen", len(met))
	}
	if s := choose(t, servers[:4], fleet.Want{Affinity: 1, Hall: "h", Near: true}); s.Hall != "other" {
		t.Error("without a server in the hall none was chosen")
	}
}

// When the way to a hall is cut, a few time-outs tell for all of its servers.
func TestHallWhoseServersTimeOutRestsWhole(t *testing.T) {
	near, far := pool(4), pool(4)
	for _, s := range far {
		s.ID, s.Hall = "far-"+s.ID, "far"
	}
	all := append(near, far...)
	far[0].Load.Silent(now)
	far[1].Load.Silent(now)
	far[0].Load.Silent(now)
	if far[3].Load.Resting(now) {
		t.Fatal("two servers make a hall rest")
	}
	far[2].Load.Silent(now)
	for i := range uint64(200) {
		if s := choose(t, all, fleet.Want{Affinity: i + 1}); s.Hall == "far" {
			t.Fatalf("%s was chosen", s.ID)
		}
	}
	if s, ok := fleet.NewList(far).Choose(fleet.Want{Service: "s"}, now); !ok || s.Hall != "far" {
		t.Error("with no other hall it is not used")
	}
	far[3].Load.Answered(1)
	if far[3].Load.Resting(now) {
		t.Error("an answer does not end the rest")
	}
	if !far[0].Load.Resting(now) {
		t.Error("a server that timed out does not rest itself")
	}
}

// A hall whose way is cut with resets rests as one that is silent does, and an
// answer of any of its servers counts against that.
func TestHallWhoseConnectionsBreakRestsWhole(t *testing.T) {
	far := pool(6)
	far[0].Load.Broke(now)
	far[1].Load.Broke(now)
	far[5].Load.Answered(1)
	far[2].Load.Broke(now)
	if far[3].Load.Resting(now) {
		t.Fatal("it rests though a server has answered")
	}
	far[0].Load.Broke(now)
	far[1].Load.Broke(now)
	if !far[3].Load.Resting(now) {
		t.Error("it does not rest")
	}
}

// After its rest a hall is tried by one request at a time.
func TestHallIsTriedByOneRequestAtATime(t *testing.T) {
	near, far := pool(4), pool(4)
	for i, s := range far {
		s.ID, s.Hall = "far-"+s.ID, "far"
		if i < 3 {
			s.Load.Silent(now)
		}
	}
	all := append(near, far...)
	later := now.Add(1500 * time.Millisecond)
	tried := 0
	for i := range uint64(200) {
		s, ok := fleet.NewList(all).Choose(fleet.Want{Service: "s", Affinity: i + 1}, later)
		if ok && s.Hall == "far" {
			tried++
		}
	}
	if tried != 1 {
		t.Errorf("%d requests tried the hall at once", tried)
	}
}

func TestHallThatWasSilentForTheRequestGoesLast(t *testing.T) {
	near, far := pool(2), pool(2)
	for _, s := range far {
		s.ID, s.Hall = "far-"+s.ID, "far"
	}
	all := append(near, far...)
	for i := range uint64(50) {
		if s := choose(t, all, fleet.Want{Affinity: i + 1, Silent: []string{"far"}}); s.Hall == "far" {
			t.Fatal("it was chosen")
		}
	}
	if s := choose(t, far, fleet.Want{Silent: []string{"far"}}); s.Hall != "far" {
		t.Error("without another it is not used")
	}
}

// A server that reads a long prompt is busier than one with several small
// requests.
func TestLongPromptsWeighMore(t *testing.T) {
	servers := pool(2)
	servers[0].Load.Begin(6)
	for range 3 {
		servers[1].Load.Begin(1)
	}
	if s := choose(t, servers, fleet.Want{}); s != servers[1] {
		t.Error("the server with the long prompt was chosen")
	}
	servers[0].Load.End(6)
	if s := choose(t, servers, fleet.Want{}); s != servers[0] {
		t.Error("its end does not count")
	}
}

// A part of the servers is the same one for all prompts, and goes round those
// that rest.
func TestPartOfTheServersIsTheSameForAll(t *testing.T) {
	used := func(servers []*fleet.Server, part float64) map[string]bool {
		out := map[string]bool{}
		for i := range uint64(200) {
			out[choose(t, servers, fleet.Want{Affinity: i + 1, Part: part}).ID] = true
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
			t.Errorf("%s is not among the larger part", id)
		}
	}
	for _, s := range servers {
		if small[s.ID] {
			s.Load.Unreachable(now)
		}
	}
	if rest := used(servers, 0.08); len(rest) != 1 {
		t.Errorf("%d servers were used while one rests", len(rest))
	}
}

// A prompt stays where it was read until waiting there costs more than reading it
// elsewhere, and goes to a server that has read it before to one that has not.
func TestPromptMovesWhenWaitingCostsMoreThanReading(t *testing.T) {
	servers := pool(6)
	parts := []prefixcache.Part{{ID: "policy", Tokens: 12000}, {ID: "own", Tokens: 1000}}
	want := func(model string, piece float64) fleet.Want {
		return fleet.Want{Affinity: 42, Prompt: prefixcache.For(model, parts), Piece: piece}
	}
	home := choose(t, servers, want("small", 1))
	home.Load.Begin(5)
	if s := choose(t, servers, want("small", 1)); s != home {
		t.Errorf("%s reads again what costs six", s.ID)
	}
	home.Load.Begin(5)
	if s := choose(t, servers, want("large", 10)); s != home {
		t.Errorf("%s reads again what costs sixty", s.ID)
	}
	next := choose(t, servers, want("small", 1))
	if next == home {
		t.Fatal("it waits behind ten to save six")
	}
	// Another server has read it now, and has a little more to do than others.
	var other *fleet.Server
	for _, s := range servers {
		if s != home && s != next {
			other = s
		}
	}
	other.Load.Prompts.Read(prefixcache.For("small", parts), now)
	other.Load.Begin(2)
	if s := choose(t, servers, want("small", 1)); s != other {
		t.Errorf("%s was chosen, %s has read the prompt", s.ID, other.ID)
	}
}

// The part of the servers is rounded to the nearest, so that none carries nearly twice
// what it would with all requests.
func TestPartOfTheServersIsRounded(t *testing.T) {
	for part, want := range map[float64]int{0.01: 1, 0.08: 1, 0.15: 2, 0.1: 1, 0.22: 3} {
		servers := pool(12)
		used := map[string]bool{}
		for i := range uint64(200) {
			used[choose(t, servers, fleet.Want{Affinity: i + 1, Part: part}).ID] = true
		}
		if len(used) != want {
			t.Errorf("a part of %v uses %d of 12 servers, not %d", part, len(used), want)
		}
	}
}

// More servers than the part are used while those have more to do than the servers of
// the other version.
func TestPartOfTheServersGrowsWhenItIsBusy(t *testing.T) {
	servers := pool(18)
	for i, s := range servers {
		if i >= 12 {
			s.Version = "old"
			s.Load.Report(4)
		}
	}
	used := func() map[string]bool {
		out := map[string]bool{}
		for i := range uint64(100) {
			w := fleet.Want{Affinity: i + 1, Part: 0.1, Allowed: func(v string) bool { return v != "old" }}
			out[choose(t, servers, w).ID] = true
		}
		return out
	}
	first := used()
	for _, s := range servers {
		if first[s.ID] {
			s.Load.Report(8)
		}
	}
	if n := len(used()); len(first) != 1 || n != 1 {
		t.Errorf("%d and %d servers are used while they have little to do", len(first), n)
	}
	for _, s := range servers {
		if first[s.ID] {
			s.Load.Report(9)
		}
	}
	if n := len(used()); n != 2 {
		t.Errorf("%d servers are used while the first has much to do", n)
	}
}

// A version of which one server is used at a time is tried on three, one after the
// other, the same ones by all daemons.
func TestFewServersTakeTurns(t *testing.T) {
	servers := pool(12)
	used := func(part, phase float64) map[string]bool {
		out := map[string]bool{}
		for i := range uint64(100) {
			out[choose(t, servers, fleet.Want{Affinity: i + 1, Part: part, Phase: phase}).ID] = true
		}
		return out
	}
	all := map[string]bool{}
	for _, phase := range []float64{0, 0.3, 0.4, 0.6, 0.7, 1} {
		now := used(0.08, phase)
		if len(now) != 1 {
			t.Fatalf("%d servers are used at once", len(now))
		}
		for id := range now {
			all[id] = true
		}
	}
	if len(all) != 3 {
		t.Errorf("%d servers were tried", len(all))
	}
	if diff := cmp.Diff(used(0.25, 0), used(0.25, 1)); diff != "" {
		t.Errorf("three at once take turns: %s", diff)
	}
}

// Whatever servers have to do, the one that is chosen costs least of those that fit.
func TestChosenServerCostsLeast(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 5))
	for range 300 {
		servers := pool(1 + random.IntN(30))
		for _, s := range servers {
			s.Hall = []string{"h", "far"}[random.IntN(2)]
			s.Leaving = random.IntN(8) == 0
			for range random.IntN(6) {
				s.Load.Begin(1 + 3*random.Float64())
				s.Load.Answered(2 * random.Float64())
			}
			if random.IntN(6) == 0 {
				s.Load.Unreachable(now)
			}
		}
		cost := func(s *fleet.Server) float64 {
			c := (s.Load.Work() + 1) * s.Load.Slowness()
			if s.Hall != "h" {
				c += 2
			}
			if s.Load.Resting(now) {
				c += 1e6
			}
			return c
		}
		got, ok := fleet.NewList(servers).Choose(fleet.Want{Service: "s", Hall: "h"}, now)
		for _, s := range servers {
			if s.Leaving {
				continue
			}
			if !ok || got.Leaving || cost(s) < cost(got) {
				t.Fatalf("%v was chosen, %s costs less", got, s.ID)
			}
		}
	}
}
