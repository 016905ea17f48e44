package pacing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/daemon/pacing"
	"ladderridge.example/daemon/storesync"
)

var (
	_     storesync.Figures = (*pacing.Tracker)(nil)
	start                   = time.Unix(1000, 0)
)

const (
	slots    = 16
	interval = 450 * time.Millisecond
)

// daemon is one daemon with its own view of the servers.
type daemon struct {
	servers []*fleet.Server
	list    *fleet.List
	pace    *pacing.Tracker
}

func newDaemons(n, servers int) (out []*daemon) {
	for range n {
		d, hall := &daemon{pace: pacing.New()}, fleet.NewHallState()
		for i := range servers {
			d.servers = append(d.servers, &fleet.Server{ID: fmt.Sprintf("s%03d", i), Service: "s", Hall: "h", Models: []string{"m"}, State: fleet.NewServerState(hall)})
		}
		d.list = fleet.NewList(d.servers)
		d.pace.Servers = func() *fleet.List { return d.list }
		out = append(out, d)
	}
	return out
}

// exchange sends the figures of all daemons to the first one, and its total to all.
func exchange(daemons []*daemon, now time.Time) {
	for i, d := range daemons {
		if data := d.pace.Report(now); data != nil {
			daemons[0].pace.SetDaemon(fmt.Sprint(i), data, now)
		}
	}
	for _, d := range daemons {
		d.pace.SetTotal(daemons[0].pace.Total(now), now)
	}
}

// request is a request in flight.
type request struct {
	daemon *daemon
	server int
	ratio  float64
	end    time.Time
}

// replay sends requests with shared prompts from random daemons for ten seconds. Load
// above a server's slots slows it down. A quarter have long prompts and can end in time only at
// servers of usual pace. It returns the share of these at each server, and its highest load, after
// three seconds.
func replay(daemons []*daemon, rate int, pace func(server int, at time.Duration) float64, exchanges bool) (shares []float64, peaks []int) {
	n := len(daemons[0].servers)
	rng, load, inFlight := rand.New(rand.NewPCG(1, 1)), make([]int, n), []request(nil)
	shares, peaks = make([]float64, n), make([]int, n)
	for next, at := start, time.Duration(0); at < 10*time.Second; at += time.Second / time.Duration(rate) {
		now := start.Add(at)
		inFlight = slices.DeleteFunc(inFlight, func(r request) bool {
			if r.end.After(now) {
				return false
			}
			s := r.daemon.servers[r.server]
			s.State.End(1)
			s.State.Answered(r.ratio)
			r.daemon.pace.Observe(s, r.ratio, now)
			if r.server%2 == 0 {
				r.daemon.pace.ObserveReported(s, pace(r.server, at), now)
			}
			load[r.server]--
			return true
		})
		if !now.Before(next) {
			next = next.Add(interval)
			for _, d := range daemons {
				others := map[string]float64{}
				for i, s := range d.servers {
					others[s.ID] = float64(load[i]) - s.State.OwnLoad()
				}
				d.list.SetRemoteLoad(others, now)
			}
			if exchanges {
				exchange(daemons, now)
			}
		}
		d, key, shared, unique := daemons[rng.IntN(len(daemons))], rng.IntN(400), 198, 628
		if key%4 == 0 {
			shared, unique = 5382, 6610
		}
		prompt := prefixcache.NewPrompt("m", []prefixcache.Part{{ID: fmt.Sprint(key), Tokens: shared}, {ID: at.String(), Tokens: unique}})
		w := fleet.Criteria{Service: "s", Hall: "h", Affinity: uint64(key) + 1, Prompt: prompt, BlockCost: 1}
		if key%4 == 0 {
			w.MaxPace = 1.2
		}
		s, _ := d.list.Choose(w, now)
		s.State.Begin(1)
		s.State.PrefixCache.Add(prompt, now)
		i := slices.Index(d.servers, s)
		load[i]++
		ratio := pace(i, at) * math.Exp(0.4*rng.NormFloat64()) * max(1, float64(load[i])/slots)
		inFlight = append(inFlight, request{d, i, ratio, now.Add(time.Duration(1.2 * ratio * float64(time.Second)))})
		if at >= 3*time.Second {
			if key%4 == 0 {
				shares[i] += 4 / (7 * float64(rate))
			}
			peaks[i] = max(peaks[i], load[i])
		}
	}
	return shares, peaks
}

// Guards against long runs at slow servers although all daemons together know that these are slow,
// and against daemons that all send to the same servers instead. A daemon alone sees an answer of
// a server every 15 s.
func TestSlowServersReceiveFewLongRuns(t *testing.T) {
	pace := func(i int, at time.Duration) float64 {
		p := 0.7
		if i%3 == 0 {
			p = 1.7
		}
		if (at+time.Duration(i)*311*time.Millisecond)%(4*time.Second) < 600*time.Millisecond {
			p *= 2.5
		}
		return p
	}
	slowShare := func(exchanges bool) (sum float64, peak int) {
		shares, peaks := replay(newDaemons(79, 90), 474, pace, exchanges)
		for i := 0; i < len(shares); i += 3 {
			sum += shares[i]
		}
		return sum, slices.Max(peaks)
	}
	with, peak := slowShare(true)
	without, peakWithout := slowShare(false)
	t.Logf("the slow third receives %.3f of the long runs, %.3f without exchange; highest load %d and %d", with, without, peak, peakWithout)
	if with > 0.2*without || peak > 2*slots {
		t.Errorf("the slow third receives %.3f of the long runs, %.3f without exchange; highest load %d", with, without, peak)
	}
}

// Guards against many daemons that all send to the fastest servers.
func TestManyDaemonsDoNotOverloadFastestServers(t *testing.T) {
	for _, fast := range []int{1, 4} {
		_, peaks := replay(newDaemons(300, 40), 300, func(i int, _ time.Duration) float64 { return []float64{0.3, 1}[min(i/fast, 1)] }, true)
		if most := slices.Max(peaks); most > 2*slots {
			t.Errorf("%d fast servers: the highest load is %d of %d slots", fast, most, slots)
		}
	}
}

// Guards against paces that are lost or kept for too long without a reader, and against
// those of an earlier start of a server.
func TestOwnFiguresWithoutReader(t *testing.T) {
	d := newDaemons(1, 3)[0]
	paces := func(now time.Time) (out []bool) {
		for _, s := range d.servers {
			_, ok := s.State.Pace(now)
			out = append(out, ok)
		}
		return out
	}
	for range 10 {
		d.pace.Observe(d.servers[0], 2, start)
		d.pace.Observe(d.servers[1], 1, start)
	}
	d.pace.Observe(d.servers[2], 8, start)
	exchange([]*daemon{d}, start)
	alone := start.Add(6 * time.Second)
	d.pace.Report(alone)
	if got := fmt.Sprint(paces(start), paces(alone)); got != "[true true true] [true true false]" {
		t.Errorf("known paces with the reader and six seconds after it ended: %s", got)
	}
	restarted := *d.servers[0]
	restarted.Born, restarted.State = 1, fleet.NewServerState(fleet.NewHallState())
	d.servers[0] = &restarted
	d.list = fleet.NewList(d.servers)
	exchange([]*daemon{d}, alone.Add(interval))
	if got := fmt.Sprint(paces(alone.Add(interval))); got != "[false true true]" {
		t.Errorf("known paces after a restart: %s", got)
	}
}
