package autoscaling

import (
	"cmp"
	"slices"
	"time"
)

// Decide returns the orders to send now. Those that start servers come first.
func Decide(in Input) []Order {
	if !in.Policy.Enabled() || in.Slots == 0 {
		return nil
	}
	if in.firstDecision() && !in.CountSteady {
		// Servers that start together appear in the VM list one after the other.
		return nil
	}
	targets := in.Targets()
	var downTo map[Pool]int
	if in.Now.Sub(in.ScaledDownAt) >= scaleDownInterval {
		downTo = in.scaleDown(targets)
	}
	var out []Order
	for pool, n := range targets {
		if o, ok := in.order(pool, n, downTo); ok {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(in.rank(a), in.rank(b)), cmp.Compare(a.Pool.Hall, b.Pool.Hall), cmp.Compare(a.Pool.Kind, b.Pool.Kind))
	})
	return out
}

// firstDecision reports whether neither the load nor an earlier decision is known.
func (in Input) firstDecision() bool { return !in.HasLoad && in.LastNeed == 0 }

// rank sorts orders that start servers before those that stop servers.
func (in Input) rank(o Order) int {
	if o.Count > in.size(o.Pool) {
		return 0
	}
	return 1
}

// size returns the number of servers that a pool has or will have after the last order. It may have more than
// were ordered, since a version that is rolled out brings its own servers.
func (in Input) size(p Pool) int {
	s := in.Pools[p]
	if s.HasOrder {
		return max(s.Ordered, s.Serving)
	}
	return s.Serving
}

// order returns the order for one pool, if any. downTo holds the pools whose servers may be stopped, with the
// number that remains.
func (in Input) order(p Pool, n int, downTo map[Pool]int) (Order, bool) {
	s := in.Pools[p]
	// The limit applies to both kinds together, so one kind only grows after the other has shrunk.
	size := in.size(p)
	n = min(n, max(size, in.Policy.MaxServers-in.otherServers(p)))
	remaining, mayStop := downTo[p]
	switch {
	case s.Unavailable:
		return Order{}, false
	case s.ServersLost && n > 0:
		return Order{Pool: p, Count: n, Reason: "servers were lost"}, true
	case n > size:
		return Order{Pool: p, Count: n, Reason: "more servers are needed"}, true
	case mayStop:
		return Order{Pool: p, Count: remaining, ScaleDown: true, Reason: "fewer servers carry the load"}, true
	case s.HasOrder && !s.ShortSince.IsZero() && in.Now.Sub(s.ShortSince).Seconds() > reorderFactor*in.Policy.BootTime.Seconds():
		return Order{Pool: p, Count: size, Reason: "ordered servers have not started in time"}, true
	}
	return Order{}, false
}

// otherServers returns the number of servers in the hall that do not belong to the pool.
func (in Input) otherServers(p Pool) int {
	regular, spot := Pool{p.Hall, OnDemand}, Pool{p.Hall, Spot}
	sum := in.Pools[regular].RollingOut + in.Pools[spot].RollingOut
	if p.Kind == Spot {
		return sum + in.size(regular)
	}
	return sum + in.size(spot)
}

const (
	// reorderFactor is how long an order may take, as a multiple of the boot time, before it is repeated.
	reorderFactor = 1.5
	// scaleDownSteps is the number of steps in which surplus servers may be stopped.
	scaleDownSteps = 4
	// scaleDownInterval is the minimum time between two of these steps. The effect of one step must show in the
	// latency of requests before the next one.
	scaleDownInterval = 5 * time.Second
)

// scaleDown returns the pools whose servers are to be stopped, with the number that remains. Enough warm
// servers remain to carry the load without any one hall. Where spot servers replace on-demand servers and a hall
// has no room for both, this takes several steps.
func (in Input) scaleDown(targets map[Pool]int) map[Pool]int {
	for step := range scaleDownSteps {
		remaining := map[Pool]int{}
		for p, n := range targets {
			// A new holder of the duty does not know yet how many of the cheap servers are needed.
			if size := in.size(p); n < size && (in.PeakSettled || p.Kind == OnDemand) {
				remaining[p] = n + (size-n)*step/scaleDownSteps
			}
		}
		if in.suffices(remaining) {
			return remaining
		}
	}
	return nil
}

// suffices reports whether the servers that remain can carry the load without any one hall.
func (in Input) suffices(remaining map[Pool]int) bool {
	sum, largest := 0, 0
	for _, hall := range in.openHalls() {
		warmInHall := 0
		for _, kind := range []Kind{OnDemand, Spot} {
			p := Pool{hall, kind}
			warm := in.Pools[p].Warm
			if n, fewer := remaining[p]; fewer {
				warm = min(warm, n)
			}
			warmInHall += warm
		}
		sum, largest = sum+warmInHall, max(largest, warmInHall)
	}
	if in.hallLost() {
		largest = 0
	}
	return sum-largest >= min(in.Need(), in.Policy.MaxServers*in.carryingHalls())
}

// hallLost reports whether a hall is lost already, so that the loss of another one need not be covered: it has no
// servers and cannot get any.
func (in Input) hallLost() bool {
	open := in.openHalls()
	return len(open) == 1 || slices.ContainsFunc(open, func(hall string) bool {
		regular, spot := in.Pools[Pool{hall, OnDemand}], in.Pools[Pool{hall, Spot}]
		return spot.Unavailable && regular.Warm+spot.Warm == 0
	})
}
