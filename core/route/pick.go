package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// affinitySlack is the factor of the mean load up to which a server is still
// chosen for its prefix cache.
const affinitySlack = 1.25

// pick chooses among the servers with a free slot, preferring this daemon's data
// hall. If all available servers are full it returns no server and StepWait; if
// none is available, no server and StepRefused.
func pick(v *View, servers []*Server, avoid []string, prefix, seed uint64, now time.Time) (*Server, StepKind) {
	var buf [64]*Server
	own, other := buf[:0], []*Server(nil)
	kind := StepRefused
	for _, s := range servers {
		switch {
		case !s.Available(now) || slices.Contains(avoid, s.ID):
		case s.full(now):
			kind = StepWait
		case s.Hall == v.Hall:
			own = append(own, s)
		default:
			other = append(other, s)
		}
	}
	if len(own) > 0 {
		return pickOne(own, prefix, seed)
	}
	if len(other) > 0 {
		s, _ := pickOne(other, prefix, seed)
		return s, StepSpill
	}
	return nil, kind
}

// anyFree reports whether one of the servers has a free slot.
func anyFree(servers []*Server, avoid []string, now time.Time) bool {
	for _, s := range servers {
		if s.Available(now) && !s.full(now) && !slices.Contains(avoid, s.ID) {
			return true
		}
	}
	return false
}

// FreeSlots is the number of free slots on the servers, at most limit. A server of
// unknown capacity counts as limit.
func FreeSlots(servers []*Server, limit int, now time.Time) int {
	room := 0
	for _, s := range servers {
		switch {
		case !s.Available(now) || s.full(now):
		case s.Capacity == 0:
			return limit
		default:
			room += s.Capacity - s.Estimate()
		}
	}
	return min(room, limit)
}

func pickOne(servers []*Server, prefix, seed uint64) (*Server, StepKind) {
	if len(servers) == 1 {
		return servers[0], StepServer
	}
	if prefix != 0 {
		preferred := rendezvous(servers, prefix)
		if float64(preferred.Estimate()) <= affinitySlack*mean(servers)+1 {
			return preferred, StepAffinity
		}
	}
	rng := rand.New(rand.NewPCG(seed, prefix))
	i := rng.IntN(len(servers))
	j := rng.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	if servers[j].Estimate() < servers[i].Estimate() {
		i = j
	}
	return servers[i], StepServer
}

// rendezvous returns the server with the highest rendezvous hash for the prefix.
func rendezvous(servers []*Server, prefix uint64) *Server {
	var best *Server
	var high uint64
	for _, s := range servers {
		var h xxhash.Digest
		h.ResetWithSeed(prefix)
		_, _ = h.WriteString(s.ID)
		if sum := h.Sum64(); best == nil || sum > high {
			best, high = s, sum
		}
	}
	return best
}

func mean(servers []*Server) float64 {
	total := 0
	for _, s := range servers {
		total += s.Estimate()
	}
	return float64(total) / float64(len(servers))
}
