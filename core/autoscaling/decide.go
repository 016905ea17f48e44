package autoscaling

import (
	"cmp"
	"slices"
	"time"
)

// Decide returns the orders to give now: first those for more.
func Decide(in Input) []Order {
	if !in.Terms.Ordered() || in.Slots == 0 {
		return nil
	}
	if in.first() && !in.Steady {
		// Servers that start together are listed one after the other.
		return nil
	}
	wanted := in.Wanted()
	var ends map[Place]int
	if in.Now.Sub(in.EndedAt) >= endEvery {
		ends = in.ends(wanted)
	}
	var out []Order
	for place, n := range wanted {
		if o, ok := in.order(place, n, ends); ok {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Order) int {
		return cmp.Or(cmp.Compare(in.rank(a), in.rank(b)), cmp.Compare(a.Place.Hall, b.Place.Hall), cmp.Compare(a.Place.Kind, b.Place.Kind))
	})
	return out
}

// first reports whether nothing is known yet: neither how many are needed nor what was ordered.
func (in Input) first() bool { return !in.Known && in.Planned == 0 }

// rank puts orders for more before those for fewer.
func (in Input) rank(o Order) int {
	if o.Count > in.stands(o.Place) {
		return 0
	}
	return 1
}

// stands is how many servers a place has or is to have by the last order. There may be more
// than were ordered: a version that was brought in comes with servers of its own.
func (in Input) stands(p Place) int {
	s := in.Places[p]
	if s.Asked {
		return max(s.Ordered, s.Serving)
	}
	return s.Serving
}

// order is what is asked of one place, if anything. ends has the places where servers may be
// ended, by how many are to stay.
func (in Input) order(p Place, n int, ends map[Place]int) (Order, bool) {
	s := in.Places[p]
	// Both kinds together have a bound: more of one wait until the other has gone.
	stands := in.stands(p)
	n = min(n, max(stands, in.Terms.Most-in.other(p)))
	stay, mayEnd := ends[p]
	switch {
	case s.None:
		return Order{}, false
	case s.Lost && n > 0:
		return Order{Place: p, Count: n, Why: "servers were taken back"}, true
	case n > stands:
		return Order{Place: p, Count: n, Why: "more are needed"}, true
	case mayEnd:
		return Order{Place: p, Count: stay, Fewer: true, Why: "fewer carry it"}, true
	case s.Asked && !s.Short.IsZero() && in.Now.Sub(s.Short).Seconds() > againAfter*in.Terms.Boot.Seconds():
		return Order{Place: p, Count: stands, Why: "what was ordered has not come"}, true
	}
	return Order{}, false
}

// other is how many servers a hall has besides those of a place.
func (in Input) other(p Place) int {
	regular, spot := Place{p.Hall, Regular}, Place{p.Hall, Spot}
	sum := in.Places[regular].Coming + in.Places[spot].Coming
	if p.Kind == Spot {
		return sum + in.stands(regular)
	}
	return sum + in.stands(spot)
}

const (
	// againAfter is how many times the time to start a server an order may take until it is
	// given again.
	againAfter = 1.5
	// endSteps is in how many steps servers that are too many may be ended.
	endSteps = 4
	// endEvery is the least time between two of them: what was ended must show in what
	// requests take before more are.
	endEvery = 5 * time.Second
)

// ends returns the places where servers are to be ended, by how many stay: as many as leave
// enough that are up to speed to carry what is needed without any one hall. Where spot servers
// take the place of others, and both do not fit into a hall, that goes by steps.
func (in Input) ends(wanted map[Place]int) map[Place]int {
	for step := range endSteps {
		stay := map[Place]int{}
		for p, n := range wanted {
			// A new holder does not know yet how many of those that cost little are needed.
			if stands := in.stands(p); n < stands && (in.Settled || p.Kind == Regular) {
				stay[p] = n + (stands-n)*step/endSteps
			}
		}
		if in.suffices(stay) {
			return stay
		}
	}
	return nil
}

// suffices reports whether what stays carries what is needed without any one hall.
func (in Input) suffices(stay map[Place]int) bool {
	sum, largest := 0, 0
	for _, hall := range in.open() {
		of := 0
		for _, kind := range []Kind{Regular, Spot} {
			p := Place{hall, kind}
			warm := in.Places[p].Warm
			if n, fewer := stay[p]; fewer {
				warm = min(warm, n)
			}
			of += warm
		}
		sum, largest = sum+of, max(largest, of)
	}
	if in.lost() {
		largest = 0
	}
	return sum-largest >= min(in.Need(), in.Terms.Most*in.bearing())
}

// lost reports whether a hall is lost already, so that no other one need be spared: it has no
// servers and gets none.
func (in Input) lost() bool {
	open := in.open()
	return len(open) == 1 || slices.ContainsFunc(open, func(hall string) bool {
		regular, spot := in.Places[Place{hall, Regular}], in.Places[Place{hall, Spot}]
		return spot.None && regular.Warm+spot.Warm == 0
	})
}
