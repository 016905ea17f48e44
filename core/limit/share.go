package limit

// HallDemand is the demand of one or more data halls on a limit.
type HallDemand struct {
	Demand float64
	// Daemons is the number of daemons in them.
	Daemons int
}

// ShareInput is the input from which a daemon computes its share of a limit.
type ShareInput struct {
	// Limit is the limit of all daemons together, in units per second or concurrent units.
	Limit float64
	// Halls is the number of data halls of the system, including this one.
	Halls int
	// Own is the demand at this daemon.
	Own float64
	// Fresh reports whether the total of this data hall is up to date.
	Fresh bool
	// Hall is the demand of this data hall.
	Hall HallDemand
	// Others is the demand of the other data halls whose totals are up to date, FreshOthers is
	// their number. The remaining data halls are assumed to use their static shares.
	Others      HallDemand
	FreshOthers int
}

// idleFraction is the fraction of a limit that is divided evenly whatever the demand, so that a
// daemon without demand can admit its first requests.
const idleFraction = 0.05

// Share returns the part of a limit that this daemon may use now.
//
// Each data hall whose demand is unknown keeps its static share, the limit divided by the
// number of data halls, so that halls that cannot reach each other never exceed the limit
// together. The rest is divided among the daemons of the other halls: if it covers their whole
// demand, each daemon gets its own demand and an even part of the surplus, otherwise a part in
// proportion to its demand. A daemon that does not know the total of its own hall uses an even
// part of the hall's static share.
func Share(in ShareInput) float64 {
	halls := float64(max(in.Halls, 1))
	static := in.Limit / halls
	daemons := float64(max(in.Hall.Daemons, 1))
	if !in.Fresh {
		return static / daemons
	}
	available := static * min(halls, float64(1+in.FreshOthers))
	demand := in.Hall.Demand + in.Others.Demand
	sharers := daemons + float64(in.Others.Daemons)
	if demand <= 0 {
		return available / sharers
	}
	// The total may lag behind this daemon's own demand.
	demand = max(demand, in.Own)
	if demand <= available {
		return in.Own + (available-demand)/sharers
	}
	return available*idleFraction/sharers + available*(1-idleFraction)*in.Own/demand
}
