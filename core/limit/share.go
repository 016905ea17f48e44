package limit

// HallDemand is the demand of one or more data halls on a limit.
type HallDemand struct {
	Demand float64
	// Daemons is how many share it.
	Daemons int
}

// ShareInput is what one daemon knows when it works out its share of a limit.
type ShareInput struct {
	// Limit is the whole limit, in units a second or units at once.
	Limit float64
	// Halls is the number of data halls of the system, this one included.
	Halls int
	// Own is this daemon's demand.
	Own float64
	// Fresh tells that the own data hall's total is known.
	Fresh bool
	// Hall is the own data hall.
	Hall HallDemand
	// Others are the other data halls whose totals are known, FreshOthers of
	// them; the rest are taken to use their static shares.
	Others      HallDemand
	FreshOthers int
}

// idlePart is the part of a limit that is shared out evenly whatever the
// demand, so that a daemon without demand can admit its first requests.
const idlePart = 0.05

// Share is the part of a limit that this daemon may use now.
//
// The data halls whose demand is not known keep their static share, one part
// in the number of halls, so that halls that cannot see each other together
// never exceed the limit. What is left is shared among the others: where it is enough for
// all demand, each has its own and an even part of the rest, and otherwise by demand.
// A daemon that does not even know its own hall's total uses an even part of
// the hall's static share.
func Share(in ShareInput) float64 {
	halls := float64(max(in.Halls, 1))
	static := in.Limit / halls
	daemons := float64(max(in.Hall.Daemons, 1))
	if !in.Fresh {
		return static / daemons
	}
	left := static * min(halls, float64(1+in.FreshOthers))
	demand := in.Hall.Demand + in.Others.Demand
	sharing := daemons + float64(in.Others.Daemons)
	if demand <= 0 {
		return left / sharing
	}
	// The own demand counts at least as it is now: the total may lag.
	demand = max(demand, in.Own)
	if demand <= left {
		return in.Own + (left-demand)/sharing
	}
	return left*idlePart/sharing + left*(1-idlePart)*in.Own/demand
}
