// Package quota divides the rate that a backend server takes among daemons, which do not ask
// each other on a request's way. Each daemon has a token bucket for each such server; what all
// buckets hold and earn together keeps the platform's bound on the server.
package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// What a server gets at most, by the platform's rule: in any span so many times what its rate
// allows, and some requests more.
const (
	// Span is the time within which requests are counted.
	Span = 4 * time.Second
	// Factor is how many times the rate may come in it.
	Factor = 1.5
	// Slack is how many requests may come besides.
	Slack = 5
)

const (
	// usedPart is the part of a server's rate that daemons plan for: their lists of daemons
	// may differ for a moment.
	usedPart = 0.9
	// onItsWay is the longest time between the choice of a server and the arrival there, which
	// a new connection takes.
	onItsWay = time.Second
	// burstTime is for how long of its rate a daemon may send at once.
	burstTime = time.Second
)

// Daemons are those that share the servers' limits. The zero value knows none. It is never
// changed.
type Daemons struct {
	Self string
	// ByHall are the ids by data hall, this daemon's included.
	ByHall map[string][]string
}

// Share is what one daemon may send to a server. The zero value is nothing.
type Share struct {
	// Rate is in requests a second.
	Rate float64
	// Depth is how many requests it may send at once after a pause.
	Depth float64
	// Start is what its bucket begins with, from -1 to 0: daemons that hear of a limit at the
	// same moment do not send at the same moment.
	Start float64
	// All is what all daemons together send, in requests a second.
	All float64
}

// Share divides a server's rate, in requests a second, among the daemons of its data hall, which
// prefer it, or among all if there are none. Where it takes less than a request of each, some
// send, the same ones by all lists that are alike and others for each server.
func (d Daemons) Share(server, hall string, rate float64) Share {
	out := Share{All: usedPart * rate}
	senders := d.ByHall[hall]
	if len(senders) == 0 {
		senders = d.all()
	}
	burst := Burst(rate)
	n := min(len(senders), int(burst))
	if !slices.Contains(senders, d.Self) || Ahead(server, d.Self, senders) >= n {
		return out
	}
	out.Rate = out.All / float64(n)
	out.Depth = min(burst/float64(n), max(1, out.Rate*burstTime.Seconds()))
	out.Start = -float64(draw(server, d.Self)>>1) / float64(1<<63)
	return out
}

// Burst is how many requests all daemons together may have saved up for a server of a rate, so
// that the bound holds in each span: what they earn within it, and what is on its way when it
// begins, comes on top.
func Burst(rate float64) float64 {
	return (Factor*Span.Seconds()-usedPart*(Span+onItsWay).Seconds())*rate + Slack
}

func (d Daemons) all() []string {
	var out []string
	for _, ids := range d.ByHall {
		out = append(out, ids...)
	}
	return out
}

// Ahead is how many of some daemons go before one for a server (rendezvous hashing): all find the
// same order, and another one for each server.
func Ahead(server, self string, daemons []string) (n int) {
	mine := draw(server, self)
	for _, other := range daemons {
		if other != self && draw(server, other) > mine {
			n++
		}
	}
	return n
}

func draw(server, daemon string) uint64 { return xxhash.Sum64String(server + "\x00" + daemon) }
