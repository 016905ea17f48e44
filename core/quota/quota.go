// Package quota divides the rate limit of a backend server among the daemons, which do not
// communicate while they handle a request. Each daemon has a token bucket per limited server.
// The buckets together keep to the platform's limit on requests to the server.
package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The platform's limit: in any interval of length Span a server of a given rate receives at
// most Factor*rate*Span + Slack requests.
const (
	// Span is the interval over which requests are counted.
	Span = 4 * time.Second
	// Factor multiplies the rate of the server.
	Factor = 1.5
	// Slack is the number of requests allowed on top.
	Slack = 5
)

const (
	// usedFraction is the fraction of a server's rate that the daemons divide: their lists of
	// daemons may differ for a short time.
	usedFraction = 0.9
	// maxDelay is the longest time between the choice of a server and the arrival of the
	// request, with a new connection.
	maxDelay = time.Second
	// depthTime limits the depth of a bucket to the tokens of this time at the daemon's rate.
	depthTime = time.Second
)

// Daemons lists the daemons that share the servers' limits. The zero value is an empty list.
// It is immutable.
type Daemons struct {
	Self string
	// ByHall holds the ids of the daemons by data hall, including Self.
	ByHall map[string][]string
}

// Share is one daemon's share of a server's rate limit. The zero value allows no requests.
type Share struct {
	// Rate is the daemon's rate, in requests per second.
	Rate float64
	// Depth is the capacity of the daemon's bucket, in requests.
	Depth float64
	// InitialLevel is the initial level of the bucket, from -1 to 0. It differs between daemons, so
	// that daemons that receive a limit at the same time do not all send at the same time.
	InitialLevel float64
	// TotalRate is the rate of all daemons together, in requests per second.
	TotalRate float64
}

// Share returns this daemon's share of a server's rate, in requests per second. The rate is
// divided among the daemons of the server's data hall, which prefer the server, or among all
// daemons if that hall has none. Where the burst is too small for a token per daemon, only some
// daemons get a share: the same ones for equal lists of daemons, and different ones for each
// server.
func (d Daemons) Share(server, hall string, rate float64) Share {
	share := Share{TotalRate: usedFraction * rate}
	senders := d.ByHall[hall]
	if len(senders) == 0 {
		senders = d.all()
	}
	burst := Burst(rate)
	n := min(len(senders), int(burst))
	if !slices.Contains(senders, d.Self) || Rank(server, d.Self, senders) >= n {
		return share
	}
	share.Rate = share.TotalRate / float64(n)
	share.Depth = min(burst/float64(n), max(1, share.Rate*depthTime.Seconds()))
	share.InitialLevel = -float64(score(server, d.Self)>>1) / float64(1<<63)
	return share
}

// Burst returns the tokens that all daemons together may have for a server of a rate, such that
// the limit holds in each interval of length Span: the tokens added during the interval and the
// requests in flight at its start count as well.
func Burst(rate float64) float64 {
	return (Factor*Span.Seconds()-usedFraction*(Span+maxDelay).Seconds())*rate + Slack
}

func (d Daemons) all() []string {
	var out []string
	for _, ids := range d.ByHall {
		out = append(out, ids...)
	}
	return out
}

// Rank returns the position of a daemon among daemons in the order for a server, by rendezvous
// hashing: all daemons compute the same order, which differs between servers.
func Rank(server, self string, daemons []string) (n int) {
	own := score(server, self)
	for _, other := range daemons {
		if other != self && score(server, other) > own {
			n++
		}
	}
	return n
}

func score(server, daemon string) uint64 { return xxhash.Sum64String(server + "\x00" + daemon) }
