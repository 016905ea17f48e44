// Package sizing decides how many backend servers of a service stand in each data hall,
// where the platform starts and ends them by order.
//
// The load that it answers is one that rises within seconds, by half or more, while a server
// takes seconds to start, and a provider that takes all spot servers of a hall back at once
// and has no others there for a while. What is needed is judged by the work under way, which
// grows both with the requests and with how long each takes; it is lowered by the peak of a
// while, so that a wave does not end servers that the next one needs. Spot servers are spread
// so that the others carry everything when any one hall's are taken back.
package sizing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Terms are what the operator allows and the provider asks.
type Terms struct {
	// Least and Most bound the servers of a service in one hall, of both kinds together.
	Least int
	Most  int
	// Boot is how long a server takes from its order until it serves.
	Boot time.Duration
	// SpotPrice is what a spot server costs in terms of another one; 0 is none to be had.
	SpotPrice float64
	// HallPrices are what a server costs in a hall in terms of one elsewhere; a hall that is
	// missing has 1.
	HallPrices map[string]float64
}

// Ordered reports whether servers are started and ended by order at all.
func (t Terms) Ordered() bool { return t.Most > 0 }

// easyUse is the part of their slots that the work under way is to come to on spot servers.
// What requests lose by waiting falls with the number of servers, what those cost grows with
// it: the sum is least where the number grows with the root of one over the price.
func (t Terms) easyUse() float64 { return fullUse * math.Sqrt(t.SpotPrice) }

// Kind is what a server's place is paid as.
type Kind string

// The kinds.
const (
	// Regular servers stay until they are given back.
	Regular Kind = "regular"
	// Spot servers cost less, and the provider may take them back.
	Spot Kind = "spot"
)

// Place is where servers of a kind stand.
type Place struct {
	Hall string
	Kind Kind
}

// Standing is what is known of a place.
type Standing struct {
	// Serving are the servers that take requests and stay; Warm are those of them that are
	// up to speed.
	Serving int
	Warm    int
	// Ordered is the number last ordered, if Asked.
	Ordered int
	Asked   bool
	// Short is since when fewer serve than were ordered, zero if enough do; Lost tells that
	// servers which served since the last order are gone or about to go.
	Short time.Time
	Lost  bool
	// None tells that there were none to be had a moment ago.
	None bool
	// Coming are servers of a version that is brought in, or that one has just taken the place
	// of: they count against the bound of the hall.
	Coming int
}

// Input is what an order is decided by.
type Input struct {
	Now   time.Time
	Terms Terms
	// Halls are the data halls of the service, in order; Emptied are those that get nothing.
	Halls   []string
	Emptied map[string]bool
	// Places is what stands.
	Places map[Place]Standing
	// Slots is how many requests one server works on.
	Slots int
	// Peak is the most work that was under way at once lately, with a small request as 1.
	// Known is false if there has been no work yet, Settled if that is watched for a shorter
	// time than a peak counts.
	Peak    float64
	Known   bool
	Settled bool
	// Planned is how many servers were last found to be needed, 0 if nobody has found yet.
	Planned int
	// EndedAt is when servers were last ended.
	EndedAt time.Time
	// Steady tells that as many servers as now have stood for a while.
	Steady bool
}

// Order asks for a number of servers in a place.
type Order struct {
	Place Place
	Count int
	// Fewer tells that servers are ended by it, Why in a few words what it rests on.
	Fewer bool
	Why   string
}

const (
	// fullUse is the part of a server's slots that the work under way may come to at its peak:
	// beyond it requests wait, so that servers are ordered at any price.
	fullUse = 1.0
	// againAfter is how many times the time to start a server an order may take until it is
	// given again.
	againAfter = 1.5
)

// Need is how many servers carry what is under way at its peak, if they are full. Until that has been watched
// for long enough it is at least what was needed before, or what now stands without its
// largest hall: what stands was meant to bear that.
func (in Input) Need() int {
	need := in.carry(fullUse)
	switch {
	case in.Settled:
		return need
	case in.Planned > 0:
		return max(need, in.Planned)
	}
	sum, largest := 0, 0
	for _, hall := range in.Halls {
		n := in.Places[Place{hall, Regular}].Serving + in.Places[Place{hall, Spot}].Serving
		sum, largest = sum+n, max(largest, n)
	}
	return max(need, sum-largest)
}

// carry is how many servers carry what is under way at its peak with a part of their slots.
func (in Input) carry(use float64) int {
	if !in.Known || in.Slots == 0 {
		return 1
	}
	return max(1, int(math.Ceil(in.Peak/(use*float64(in.Slots)))))
}

// Wanted is how many servers are to stand in each place of the halls that are not emptied.
func (in Input) Wanted() map[Place]int {
	out := map[Place]int{}
	kind, halls := in.kind()
	if len(halls) == 0 {
		return out
	}
	need := in.Need()
	if kind == Spot {
		need = max(need, in.carry(in.Terms.easyUse()))
	}
	each := int(math.Ceil(float64(need) / float64(min(len(halls), in.bearing()))))
	for _, hall := range in.open() {
		for _, k := range []Kind{Regular, Spot} {
			out[Place{hall, k}] = 0
		}
		if at := (Place{hall, kind}); !in.Places[at].None {
			out[at] = in.Terms.Least
		}
	}
	for _, hall := range halls {
		out[Place{hall, kind}] = min(in.Terms.Most, max(in.Terms.Least, each))
	}
	return out
}

// bearing is how many halls are to carry everything: all that are not emptied but one, so that
// any one may be lost while another is emptied.
func (in Input) bearing() int { return max(1, len(in.open())-1) }

// open are the halls that are not emptied.
func (in Input) open() []string {
	return slices.DeleteFunc(slices.Clone(in.Halls), func(h string) bool { return in.Emptied[h] })
}

// kind is what is ordered, and where it is to be had: spot servers where they cost less, and
// others if there are none of them anywhere and what stands does not carry everything.
func (in Input) kind() (Kind, []string) {
	open := in.open()
	if in.Terms.SpotPrice == 0 || in.Terms.SpotPrice >= 1 {
		return Regular, in.having(open, Regular)
	}
	if halls := in.having(open, Spot); len(halls) > 0 || in.carries() {
		return Spot, halls
	}
	return Regular, in.having(open, Regular)
}

// carries reports whether what stands carries everything, with no hall to spare.
func (in Input) carries() bool {
	sum := 0
	for _, hall := range in.open() {
		sum += in.Places[Place{hall, Regular}].Serving + in.Places[Place{hall, Spot}].Serving
	}
	return sum >= in.Need()
}

func (in Input) having(halls []string, kind Kind) []string {
	return slices.DeleteFunc(slices.Clone(halls), func(h string) bool { return in.Places[Place{h, kind}].None })
}

// Decide returns the orders to give now: first those for more.
func Decide(in Input) []Order {
	if !in.Terms.Ordered() || (in.first() && !in.Steady) {
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
