package autoscaling

import (
	"math"
	"slices"
)

// maxUtilisation is the utilisation of a server's slots that the peak load may reach. Above it requests wait, so
// that servers are ordered at any price.
const maxUtilisation = 1.0

// Need returns how many servers carry the peak load when fully utilised. Until the load has been observed for the
// whole peak window, the result is at least the number of the last decision or, if there was none, the number of
// servers that serve now without the largest hall: they were sized to survive its loss.
func (in Input) Need() int {
	need := in.serversFor(maxUtilisation)
	switch {
	case in.PeakSettled:
		return need
	case in.LastNeed > 0:
		return max(need, in.LastNeed)
	}
	sum, largest := 0, 0
	for _, hall := range in.Halls {
		n := in.Pools[Pool{hall, OnDemand}].Serving + in.Pools[Pool{hall, Spot}].Serving
		sum, largest = sum+n, max(largest, n)
	}
	return max(need, sum-largest)
}

// serversFor returns how many servers carry the peak load at the given utilisation.
func (in Input) serversFor(utilisation float64) int {
	if !in.HasLoad {
		return 1
	}
	return max(1, int(math.Ceil(in.Peak/(utilisation*float64(in.Slots)))))
}

// Targets returns the number of servers to run in each pool of the halls that are not drained.
func (in Input) Targets() map[Pool]int {
	out := map[Pool]int{}
	kind, halls := in.kind()
	if len(halls) == 0 {
		return out
	}
	need := in.Need()
	if kind == Spot {
		need = max(need, in.serversFor(in.Policy.spotUtilisation()))
	}
	each := int(math.Ceil(float64(need) / float64(min(len(halls), in.carryingHalls()))))
	for _, hall := range in.openHalls() {
		for _, k := range []Kind{OnDemand, Spot} {
			out[Pool{hall, k}] = 0
		}
		if pool := (Pool{hall, kind}); !in.Pools[pool].Unavailable {
			out[pool] = in.Policy.MinServers
		}
	}
	for _, hall := range halls {
		out[Pool{hall, kind}] = min(in.Policy.MaxServers, max(in.Policy.MinServers, each))
	}
	return out
}

// carryingHalls returns the number of halls that have to carry the whole load: all open halls except one, so that
// one may be lost while another one is drained.
func (in Input) carryingHalls() int { return max(1, len(in.openHalls())-1) }

// openHalls returns the halls that are not drained.
func (in Input) openHalls() []string {
	return slices.DeleteFunc(slices.Clone(in.Halls), func(h string) bool { return in.Drained[h] })
}

// kind returns the kind of servers to order and the halls that can provide it: spot servers where they are cheaper,
// and on-demand servers if no hall has any and the running servers do not carry the load.
func (in Input) kind() (Kind, []string) {
	open := in.openHalls()
	if in.Policy.SpotPrice == 0 || in.Policy.SpotPrice >= 1 {
		return OnDemand, in.available(open, OnDemand)
	}
	if halls := in.available(open, Spot); len(halls) > 0 || in.carriesLoad() {
		return Spot, halls
	}
	return OnDemand, in.available(open, OnDemand)
}

// carriesLoad reports whether the running servers carry the load, without a hall in reserve.
func (in Input) carriesLoad() bool {
	sum := 0
	for _, hall := range in.openHalls() {
		sum += in.Pools[Pool{hall, OnDemand}].Serving + in.Pools[Pool{hall, Spot}].Serving
	}
	return sum >= in.Need()
}

func (in Input) available(halls []string, kind Kind) []string {
	return slices.DeleteFunc(slices.Clone(halls), func(h string) bool { return in.Pools[Pool{h, kind}].Unavailable })
}
