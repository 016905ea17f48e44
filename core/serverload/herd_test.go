package serverload_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
)

// site replays a load on many daemons in modelled time: prompts of which some are
// popular, servers that read one prompt after the other and keep what they have read,
// and daemons that each know what they sent and, if they share it, what all had under
// way a while ago.
type site struct {
	rng     *rand.Rand
	now     time.Time
	daemons []*member
	servers []*engine
	// lag is how old the work is that daemons are told.
	lag time.Duration
	// told is work under way at past times, oldest first.
	told    []toldAt
	pending []*run
	shares  bool
	// waits are the times to the first part of all answers, read the prompts' shared
	// parts that were read.
	waits []time.Duration
	read  int
}

// member is one daemon with its own knowledge of the servers.
type member struct {
	list  *fleet.List
	loads map[string]*fleet.ServerState
}

// engine is one model server.
type engine struct {
	id   string
	free time.Time
	has  map[int]bool
}

// run is one request under way.
type run struct {
	load *fleet.ServerState
	id   string
	ends time.Time
}

type toldAt struct {
	at   time.Time
	work map[string]float64
}

// The load: as many requests a second for each server as fill half of it, with prompts
// whose shared part takes three times as long to read as their own.
const (
	sharedPart = 3 * fleet.BlockTokens
	ownPart    = fleet.BlockTokens
	pieceTime  = 60 * time.Millisecond
	answerTime = 400 * time.Millisecond
	perServer  = 6
	tellEvery  = 450 * time.Millisecond
)

func newSite(daemons, servers int, lag time.Duration, shares bool) *site {
	s := &site{rng: rand.New(rand.NewPCG(1, uint64(daemons))), now: start, lag: lag, shares: shares}
	for i := range servers {
		s.servers = append(s.servers, &engine{id: "s" + strconv.Itoa(i), has: map[int]bool{}, free: start})
	}
	for range daemons {
		m := &member{loads: map[string]*fleet.ServerState{}}
		var list []*fleet.Server
		hall := fleet.NewHallState()
		for _, e := range s.servers {
			m.loads[e.id] = fleet.NewServerState(hall)
			list = append(list, &fleet.Server{ID: e.id, Service: "llm", Version: "v", Hall: "h", State: m.loads[e.id]})
		}
		m.list = fleet.NewList(list)
		s.daemons = append(s.daemons, m)
	}
	return s
}

// play plays the load for a while and returns how long the slowest twentieth waited at
// least, and the largest work at a server in terms of the mean.
func (s *site) play(length time.Duration) (slow time.Duration, crowding float64) {
	keys := rand.NewZipf(s.rng, 1.3, 4, uint64(len(s.servers)))
	step := time.Second / time.Duration(perServer*len(s.servers))
	next := s.now
	looks := 0
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		s.settle()
		if !s.now.Before(next) {
			next = next.Add(tellEvery)
			crowding += s.tell()
			looks++
		}
		s.request(int(keys.Uint64()))
	}
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*19/20], crowding / float64(looks)
}

// request has any daemon send a request with a shared prompt.
func (s *site) request(key int) {
	m := s.daemons[s.rng.IntN(len(s.daemons))]
	parts := []prefixcache.Part{{ID: strconv.Itoa(key), Tokens: sharedPart}, {ID: fmt.Sprint(key, "-", len(s.waits)), Tokens: ownPart}}
	prompt := prefixcache.For("m", parts)
	chosen, _ := m.list.Choose(fleet.Criteria{Service: "llm", Hall: "h", Affinity: uint64(key) + 1, Prompt: prompt, BlockCost: 1}, s.now)
	e := s.servers[slices.IndexFunc(s.servers, func(e *engine) bool { return e.id == chosen.ID })]
	reading := pieceTime
	if !e.has[key] {
		reading += pieceTime * sharedPart / fleet.BlockTokens
		e.has[key] = true
		s.read++
	}
	e.free = slices.MaxFunc([]time.Time{e.free, s.now}, time.Time.Compare).Add(reading)
	s.waits = append(s.waits, e.free.Sub(s.now))
	chosen.State.PrefixCache.Read(prompt, s.now)
	chosen.State.Begin(2)
	s.pending = append(s.pending, &run{load: chosen.State, id: e.id, ends: e.free.Add(answerTime)})
}

// settle ends the requests that are over.
func (s *site) settle() {
	s.pending = slices.DeleteFunc(s.pending, func(r *run) bool {
		if r.ends.After(s.now) {
			return false
		}
		r.load.End(2)
		return true
	})
}

// tell tells all daemons the work of a while ago, and returns how crowded the most
// crowded server is.
func (s *site) tell() float64 {
	work := map[string]float64{}
	for _, r := range s.pending {
		work[r.id] += 2
	}
	s.told = append(s.told, toldAt{s.now, work})
	for s.shares && len(s.told) > 0 && s.now.Sub(s.told[0].at) >= s.lag {
		for _, m := range s.daemons {
			others := map[string]float64{}
			for id, w := range s.told[0].work {
				others[id] = max(0, w-m.loads[id].OwnLoad())
			}
			m.list.SetRemoteLoad(others, s.now)
		}
		s.told = s.told[1:]
	}
	most, sum := 0.0, 0.0
	for _, w := range work {
		most, sum = max(most, w), sum+w
	}
	return cmp.Or(most*float64(len(s.servers))/max(1, sum), 1)
}

// Popular prompts crowd the servers that they prefer where each daemon knows only its own
// requests. Told what all have under way, daemons spread them without meeting elsewhere:
// also where what they are told is two seconds old.
func TestManyDaemonsDoNotCrowdNorHerd(t *testing.T) {
	const length = 15 * time.Second
	for _, daemons := range []int{30, 100, 300} {
		alone, alike := newSite(daemons, 40, 0, false).play(length)
		for _, lag := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			s := newSite(daemons, 40, lag, true)
			slow, crowding := s.play(length)
			t.Logf("%d daemons, %v: the slowest twentieth %v, alone %v; crowding %.1f, alone %.1f; %d prompts read", daemons, lag, slow, alone, crowding, alike, s.read)
			if slow > alone {
				t.Errorf("%d daemons, work told %v old: the slowest twentieth waits %v, and %v where each knows its own", daemons, lag, slow, alone)
			}
			if crowding > alike {
				t.Errorf("%d daemons, work told %v old: the most crowded server has %.1f times the mean, and %.1f where each knows its own", daemons, lag, crowding, alike)
			}
		}
	}
}
