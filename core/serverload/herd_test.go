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

// simulation plays a load on many daemons in simulated time: prompts of which some are
// popular, servers that process one prompt after the other and cache what they have
// processed, and daemons that each know their own requests and, if load is shared, the
// delayed load of all daemons.
type simulation struct {
	rng     *rand.Rand
	now     time.Time
	daemons []*daemon
	servers []*modelServer
	// lag is the age of the load when daemons receive it.
	lag time.Duration
	// history holds the load at past times, oldest first.
	history    []loadAt
	inFlight   []*request
	sharesLoad bool
	// waits are the times to first token of all answers; processed counts the shared
	// prompt parts that servers had to process.
	waits     []time.Duration
	processed int
}

// daemon is one daemon with its own view of the servers.
type daemon struct {
	list   *fleet.List
	states map[string]*fleet.ServerState
}

// modelServer is one model server.
type modelServer struct {
	id     string
	freeAt time.Time
	cached map[int]bool
}

// request is one request in flight.
type request struct {
	state  *fleet.ServerState
	id     string
	endsAt time.Time
}

type loadAt struct {
	at   time.Time
	load map[string]float64
}

// The load: the number of requests a second that uses half of each server's capacity,
// with prompts whose shared part takes three times as long to process as the rest.
const (
	sharedPart        = 3 * fleet.BlockTokens
	uniquePart        = fleet.BlockTokens
	blockTime         = 60 * time.Millisecond
	answerTime        = 400 * time.Millisecond
	requestsPerServer = 6
	reportInterval    = 450 * time.Millisecond
)

func newSimulation(daemons, servers int, lag time.Duration, shares bool) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(1, uint64(daemons))), now: start, lag: lag, sharesLoad: shares}
	for i := range servers {
		s.servers = append(s.servers, &modelServer{id: "s" + strconv.Itoa(i), cached: map[int]bool{}, freeAt: start})
	}
	for range daemons {
		d := &daemon{states: map[string]*fleet.ServerState{}}
		var list []*fleet.Server
		hall := fleet.NewHallState()
		for _, e := range s.servers {
			d.states[e.id] = fleet.NewServerState(hall)
			list = append(list, &fleet.Server{ID: e.id, Service: "llm", Version: "v", Hall: "h", State: d.states[e.id]})
		}
		d.list = fleet.NewList(list)
		s.daemons = append(s.daemons, d)
	}
	return s
}

// play plays the load for a while. It returns the 95th percentile of the waiting times,
// and the ratio of the highest load at a server to the mean.
func (s *simulation) play(length time.Duration) (p95 time.Duration, imbalance float64) {
	keys := rand.NewZipf(s.rng, 1.3, 4, uint64(len(s.servers)))
	step := time.Second / time.Duration(requestsPerServer*len(s.servers))
	next := s.now
	reports := 0
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		s.finish()
		if !s.now.Before(next) {
			next = next.Add(reportInterval)
			imbalance += s.report()
			reports++
		}
		s.send(int(keys.Uint64()))
	}
	slices.Sort(s.waits)
	return s.waits[len(s.waits)*19/20], imbalance / float64(reports)
}

// send sends a request with a shared prompt from a random daemon.
func (s *simulation) send(key int) {
	d := s.daemons[s.rng.IntN(len(s.daemons))]
	parts := []prefixcache.Part{{ID: strconv.Itoa(key), Tokens: sharedPart}, {ID: fmt.Sprint(key, "-", len(s.waits)), Tokens: uniquePart}}
	prompt := prefixcache.NewPrompt("m", parts)
	chosen, _ := d.list.Choose(fleet.Criteria{Service: "llm", Hall: "h", Affinity: uint64(key) + 1, Prompt: prompt, BlockCost: 1}, s.now)
	e := s.servers[slices.IndexFunc(s.servers, func(e *modelServer) bool { return e.id == chosen.ID })]
	processing := blockTime
	if !e.cached[key] {
		processing += blockTime * sharedPart / fleet.BlockTokens
		e.cached[key] = true
		s.processed++
	}
	e.freeAt = slices.MaxFunc([]time.Time{e.freeAt, s.now}, time.Time.Compare).Add(processing)
	s.waits = append(s.waits, e.freeAt.Sub(s.now))
	chosen.State.PrefixCache.Add(prompt, s.now)
	chosen.State.Begin(2)
	s.inFlight = append(s.inFlight, &request{state: chosen.State, id: e.id, endsAt: e.freeAt.Add(answerTime)})
}

// finish ends the requests that are over.
func (s *simulation) finish() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r *request) bool {
		if r.endsAt.After(s.now) {
			return false
		}
		r.state.End(2)
		return true
	})
}

// report sends the load of lag ago to all daemons, and returns the ratio of the highest
// load at a server to the mean.
func (s *simulation) report() float64 {
	load := map[string]float64{}
	for _, r := range s.inFlight {
		load[r.id] += 2
	}
	s.history = append(s.history, loadAt{s.now, load})
	for s.sharesLoad && len(s.history) > 0 && s.now.Sub(s.history[0].at) >= s.lag {
		for _, d := range s.daemons {
			others := map[string]float64{}
			for id, w := range s.history[0].load {
				others[id] = max(0, w-d.states[id].OwnLoad())
			}
			d.list.SetRemoteLoad(others, s.now)
		}
		s.history = s.history[1:]
	}
	most, sum := 0.0, 0.0
	for _, w := range load {
		most, sum = max(most, w), sum+w
	}
	return cmp.Or(most*float64(len(s.servers))/max(1, sum), 1)
}

// Popular prompts overload the servers that they prefer if each daemon knows only its
// own requests. With the load of all daemons they spread without herding to another
// server, also if the figures are two seconds old.
func TestManyDaemonsNeitherOverloadNorHerd(t *testing.T) {
	const length = 15 * time.Second
	for _, daemons := range []int{30, 100, 300} {
		p95Alone, imbalanceAlone := newSimulation(daemons, 40, 0, false).play(length)
		for _, lag := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			s := newSimulation(daemons, 40, lag, true)
			p95, imbalance := s.play(length)
			t.Logf("%d daemons, lag %v: 95th percentile of waits %v, without shared load %v; highest load %.1f times the mean, without shared load %.1f; %d prompts processed", daemons, lag, p95, p95Alone, imbalance, imbalanceAlone, s.processed)
			if p95 > p95Alone {
				t.Errorf("%d daemons, lag %v: 95th percentile of waits %v, without shared load %v", daemons, lag, p95, p95Alone)
			}
			if imbalance > imbalanceAlone {
				t.Errorf("%d daemons, lag %v: the highest load is %.1f times the mean, without shared load %.1f times", daemons, lag, imbalance, imbalanceAlone)
			}
		}
	}
}
