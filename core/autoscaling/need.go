package autoscaling

import (
	"math"
	"slices"
)

// fullUse is the part of a server's slots that the work under way may come to at its peak:
// beyond it requests wait, so that servers are ordered at any price.
const fullUse = 1.0

// Need is how many servers carry what is under way at its peak, if they are full. Until that
// has been watched for long enough it is at least what was needed before, or what now stands
// without its largest hall: what stands was meant to bear that.
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
	if !in.Known {
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
