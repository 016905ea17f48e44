//go:build measure

package peer_test

import (
	"testing"
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/limit"
)

// A limit that 40 daemons in 4 data halls share, in tenths of requests per
// second, the unit of aggregated demand.
const (
	sharedLimit   = 10_000.0
	sharesDaemons = 40
	sharesHalls   = 4
)

// sharedLimitCluster simulates one organisation's demand on daemons that share
// its limit.
type sharedLimitCluster struct {
	*network
	demand func(id string) uint32
}

func newSharedLimitCluster(demand func(l *network, id string) uint32) *sharedLimitCluster {
	s := &sharedLimitCluster{network: newNetwork(1)}
	s.demand = func(id string) uint32 { return demand(s.network, id) }
	s.own = func(id string) aggregation.Sums {
		return aggregation.Sums{Demands: []aggregation.Demand{{Key: 1, Requests: s.demand(id)}}}
	}
	s.startAll(sharesDaemons, sharesHalls)
	s.platform.generation = 1
	s.run(20 * time.Second)
	return s
}

// admitted returns the fraction of the limit that all daemons together admit
// now.
func (s *sharedLimitCluster) admitted() float64 {
	sum := 0.0
	for id, n := range s.nodes {
		totals, fresh := n.Tree.Totals(s.now)
		own := float64(s.demand(id))
		hall, others := totals.Own.Demand(1), totals.Others.Demand(1)
		in := limit.ShareInput{
			Limit: sharedLimit, Halls: n.Halls(), Own: own, Fresh: fresh, FreshOthers: int(totals.FreshOthers),
			Hall:   limit.HallDemand{Demand: float64(hall.Requests), Daemons: int(totals.Own.Daemons)},
			Others: limit.HallDemand{Demand: float64(others.Requests), Daemons: int(totals.Others.Daemons)},
		}
		if !fresh {
			in.Hall.Daemons = n.Group.Size()
		}
		sum += min(own, limit.Share(in))
	}
	return sum / sharedLimit
}

// watch advances the simulation by d. It returns the largest admitted fraction
// and the time after which the fraction stays within 5% of its final value.
func (s *sharedLimitCluster) watch(d time.Duration) (most float64, settled time.Duration) {
	begun := s.now
	var samples []float64
	const every = 100 * time.Millisecond
	for s.now.Sub(begun) < d {
		s.run(every)
		samples = append(samples, s.admitted())
		most = max(most, samples[len(samples)-1])
	}
	last := samples[len(samples)-1]
	for i, x := range samples {
		if x > last*1.05 || x < last*0.95 {
			settled = time.Duration(i+1) * every
		}
	}
	return most, settled
}

// TestCapacityOfShares measures how far daemons that share a limit over- and
// under-admit: with steady uneven demand, when all of the demand moves to
// another data hall, and when data halls are disconnected from each other.
func TestCapacityOfShares(t *testing.T) {
	busy := "hall-0"
	uneven := func(l *network, id string) uint32 {
		switch {
		case l.listed(id).Hall == busy:
			return 3000
		case id[len(id)-1]%2 == 0:
			return 100
		}
		return 0
	}
	s := newSharedLimitCluster(uneven)
	printFigure("shares, steady uneven demand, admitted", s.admitted(), "of the limit")
	busy = "hall-1"
	most, settled := s.watch(20 * time.Second)
	printFigure("shares, demand moves to another hall, admitted at most", most, "of the limit")
	printFigure("shares, demand moves to another hall, settled after", settled.Seconds(), "s")
	printFigure("shares, demand moves to another hall, admitted then", s.admitted(), "of the limit")
	for i := range sharesHalls {
		for j := range i {
			s.partitioned[[2]string{hallOf(i, sharesHalls), hallOf(j, sharesHalls)}] = true
		}
	}
	most, _ = s.watch(20 * time.Second)
	printFigure("shares, halls cut off, admitted at most", most, "of the limit")
	printFigure("shares, halls cut off, admitted then", s.admitted(), "of the limit")
}
