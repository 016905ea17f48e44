// Package autoscaling decides how many backend servers of a service run in each data hall, where the
// platform starts and stops servers on request.
//
// It handles load that rises by half or more within seconds, while a server takes seconds to start, and a
// provider that reclaims all spot servers of a hall at once and has no replacements there for some time.
// The number of servers is derived from the load in flight, which grows both with the request rate and with
// the duration of the requests. Servers are removed according to the recent peak of that load, so that a
// wave does not stop servers that the next one needs. Spot servers are distributed so that the other halls
// can carry the whole load when those of any one hall are reclaimed.
package autoscaling

import (
	"math"
	"time"
)

// Policy are the limits set by the operator and the prices of the provider.
type Policy struct {
	// MinServers and MaxServers bound the number of servers of a service in one hall, both kinds together.
	MinServers int
	MaxServers int
	// BootTime is the time from ordering a server until it serves requests.
	BootTime time.Duration
	// SpotPrice is the price of a spot server relative to an on-demand server; 0 means that there are no spot
	// servers.
	SpotPrice float64
	// HallPrices are the prices of servers by hall, relative to the other halls. The default is 1.
	HallPrices map[string]float64
}

// Enabled reports whether autoscaling is configured.
func (p Policy) Enabled() bool { return p.MaxServers > 0 }

// spotUtilisation is the target utilisation of slots on spot servers. The waiting time of requests falls
// with the number of servers and their cost grows with it; the sum is least where the number grows with the
// square root of 1/price.
func (p Policy) spotUtilisation() float64 { return maxUtilisation * math.Sqrt(p.SpotPrice) }

// Kind is the pricing model of a server.
type Kind string

// Kinds of servers.
const (
	// OnDemand servers run until they are stopped.
	OnDemand Kind = "regular"
	// Spot servers are cheaper, and the provider may reclaim them.
	Spot Kind = "spot"
)

// Pool identifies the servers of one kind in one data hall.
type Pool struct {
	Hall string
	Kind Kind
}

// PoolState is the observed state of a pool.
type PoolState struct {
	// Serving is the number of servers that accept requests and are not leaving. Warm is how many of them have
	// reached their full speed.
	Serving int
	Warm    int
	// Ordered is the number of servers that was ordered last, if HasOrder is set.
	Ordered  int
	HasOrder bool
	// ShortSince is the time since which fewer servers serve than were ordered, zero if enough do. ServersLost
	// is set if servers that have served since the last order are gone or leaving.
	ShortSince  time.Time
	ServersLost bool
	// Unavailable is set if the provider recently had no servers for this pool.
	Unavailable bool
	// RollingOut is the number of servers of a version that is being rolled out, or of the one that it has just
	// replaced. They count towards the limit of the hall.
	RollingOut int
}

// Input holds everything that a decision depends on.
type Input struct {
	Now    time.Time
	Policy Policy
	// Halls are the data halls of the service, in order. No servers are ordered in those of Drained.
	Halls   []string
	Drained map[string]bool
	// Pools is the state of each pool.
	Pools map[Pool]PoolState
	// Slots is the number of requests that one server processes concurrently. If it is 0 nothing is ordered.
	Slots int
	// Peak is the maximum load in flight in the recent past, where a small request counts 1. HasLoad is set
	// once there has been load, and PeakSettled once the load has been observed for the whole peak window.
	Peak        float64
	HasLoad     bool
	PeakSettled bool
	// LastNeed is the number of servers that the last decision needed, 0 if there was none.
	LastNeed int
	// ScaledDownAt is when servers were last stopped.
	ScaledDownAt time.Time
	// CountSteady is set if the number of servers has not changed for some time.
	CountSteady bool
}

// Order sets the number of servers of a pool.
type Order struct {
	Pool  Pool
	Count int
	// ScaleDown is set if the order stops servers. Reason is a short reason for the log.
	ScaleDown bool
	Reason    string
}
