package fleet_test

import (
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
)

// reportLoad reports the same remote load to a list for five seconds, and returns when
// it ended.
func reportLoad(l *fleet.List, load map[string]float64) time.Time {
	const length, every = 5 * time.Second, 450 * time.Millisecond
	at := now
	for ; at.Sub(now) < length; at = at.Add(every) {
		l.SetRemoteLoad(load, at)
	}
	return at
}

// equalLoad returns the same load for all servers.
func equalLoad(servers []*fleet.Server) map[string]float64 {
	out := map[string]float64{}
	for _, s := range servers {
		out[s.ID] = 10
	}
	return out
}

// sharedPrompt returns the criteria of a request whose prompt is shared with others.
func sharedPrompt() fleet.Criteria {
	prompt := prefixcache.NewPrompt("small", []prefixcache.Part{{ID: "policy", Tokens: 3 * fleet.BlockTokens}, {ID: "own", Tokens: 500}})
	return fleet.Criteria{Service: "s", Affinity: 42, Prompt: prompt, BlockCost: 1}
}

func TestPromptMovesFromOverloadedServer(t *testing.T) {
	servers := pool(8)
	list := fleet.NewList(servers)
	home, _ := list.Choose(sharedPrompt(), now)
	load := equalLoad(servers)
	at := reportLoad(list, load)
	if s, _ := list.Choose(sharedPrompt(), at); s != home {
		t.Errorf("with equal load on all servers the prompt goes to %s, not %s", s.ID, home.ID)
	}
	load[home.ID] = 40
	at = reportLoad(list, load)
	if s, _ := list.Choose(sharedPrompt(), at); s == home {
		t.Errorf("the prompt goes to %s with a remote load of %v, while the other servers have 10", s.ID, load[s.ID])
	}
	if s, _ := list.Choose(sharedPrompt(), at.Add(10*time.Second)); s != home {
		t.Errorf("ten seconds after the last report of the load the prompt still goes to %s", s.ID)
	}
}

// A single report of high load is noise: by the time it arrives, the requests have
// ended.
func TestMomentaryLoadDoesNotMovePrompt(t *testing.T) {
	servers := pool(8)
	list := fleet.NewList(servers)
	home, _ := list.Choose(sharedPrompt(), now)
	at := reportLoad(list, equalLoad(servers))
	load := equalLoad(servers)
	load[home.ID] = 20
	list.SetRemoteLoad(load, at)
	if s, _ := list.Choose(sharedPrompt(), at); s != home {
		t.Errorf("the prompt goes to %s", s.ID)
	}
}

// Servers of a new version, most of which receive no requests yet, do not make those of
// the stable version look overloaded.
func TestExcessLoadIsComputedPerVersion(t *testing.T) {
	servers := pool(16)
	for _, s := range servers[8:] {
		s.Version = "v2"
	}
	list := fleet.NewList(servers)
	at := reportLoad(list, equalLoad(servers[:8]))
	for _, s := range servers {
		if c := s.State.ExcessLoad(at); c > 0 {
			t.Errorf("%s of version %s has an excess load of %v", s.ID, s.Version, c)
		}
	}
}
