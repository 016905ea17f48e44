// Package autoscaling decides how many backend servers of a service stand in each data hall,
// where the platform starts and ends them by order.
//
// The load that it answers is one that rises within seconds, by half or more, while a server
// takes seconds to start, and a provider that takes all spot servers of a hall back at once
// and has no others there for a while. What is needed is judged by the work under way, which
// grows both with the requests and with how long each takes; it is lowered by the peak of a
// while, so that a wave does not end servers that the next one needs. Spot servers are spread
// so that the others carry everything when any one hall's are taken back.
package autoscaling

import (
	"math"
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
	// Slots is how many requests one server works on; without it nothing is ordered.
	Slots int
	// Peak is the most work that was under way at once lately, with a small request as 1.
	// Known is false if there has been no work yet, Settled while it has been watched for a
	// shorter time than a peak counts.
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
