package fleet_test

import (
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
)

// crowdFor tells a list of work again and again for a while, and returns when it ended.
func crowdFor(l *fleet.List, work map[string]float64) time.Time {
	const length, every = 5 * time.Second, 450 * time.Millisecond
	at := now
	for ; at.Sub(now) < length; at = at.Add(every) {
		l.Crowd(work, at)
	}
	return at
}

// alike is the same work at all servers.
func alike(servers []*fleet.Server) map[string]float64 {
	out := map[string]float64{}
	for _, s := range servers {
		out[s.ID] = 10
	}
	return out
}

// popular is a prompt that others share.
func popular() fleet.Want {
	prompt := prefixcache.For("small", []prefixcache.Part{{ID: "policy", Tokens: 3 * fleet.PieceTokens}, {ID: "own", Tokens: 500}})
	return fleet.Want{Service: "s", Affinity: 42, Prompt: prompt, Piece: 1}
}

func TestCrowdedServerIsLeftToOthers(t *testing.T) {
	servers := pool(8)
	list := fleet.NewList(servers)
	home, _ := list.Choose(popular(), now)
	work := alike(servers)
	at := crowdFor(list, work)
	if s, _ := list.Choose(popular(), at); s != home {
		t.Errorf("with the same work everywhere the prompt goes to %s, not %s", s.ID, home.ID)
	}
	work[home.ID] = 40
	at = crowdFor(list, work)
	if s, _ := list.Choose(popular(), at); s == home {
		t.Errorf("the prompt goes to %s, where others have %v, and 10 elsewhere", s.ID, work[s.ID])
	}
	if s, _ := list.Choose(popular(), at.Add(10*time.Second)); s != home {
		t.Errorf("ten seconds after the last word of it the prompt still goes to %s", s.ID)
	}
}

// One moment's work is chance: by the time it is told it is over.
func TestWorkOfAMomentMovesNoPrompt(t *testing.T) {
	servers := pool(8)
	list := fleet.NewList(servers)
	home, _ := list.Choose(popular(), now)
	at := crowdFor(list, alike(servers))
	work := alike(servers)
	work[home.ID] = 20
	list.Crowd(work, at)
	if s, _ := list.Choose(popular(), at); s != home {
		t.Errorf("the prompt goes to %s", s.ID)
	}
}

// Servers of a new version, most of which get nothing yet, do not make those of the
// settled one look crowded.
func TestCrowdingIsToldByVersion(t *testing.T) {
	servers := pool(16)
	for _, s := range servers[8:] {
		s.Version = "v2"
	}
	list := fleet.NewList(servers)
	at := crowdFor(list, alike(servers[:8]))
	for _, s := range servers {
		if c := s.Load.Crowded(at); c > 0 {
			t.Errorf("%s of %s counts as crowded by %v", s.ID, s.Version, c)
		}
	}
}
