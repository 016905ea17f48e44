// Package notice implements the notices that a backend server sends about itself with its
// answers: that it is leaving (shuts down soon), that clients should back off for a time, or its
// rate limit.
package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Notice is the notice in one answer. The zero value is empty.
type Notice struct {
	// Leaving reports that the server shuts down soon and must get no new requests.
	Leaving bool
	// Backoff is how long the daemon that receives the answer should send no requests, 0 for no
	// back-off.
	Backoff time.Duration
	// Limit is the rate limit of the server for all daemons together.
	Limit Limit
	// Rejections is how many requests the server may reject in a second, from all daemons
	// together: it fails if it has to reject more. 0 is no such bound. MalformedRejections is the
	// announced text if it is not a number; it does not change the bound.
	Rejections          float64
	MalformedRejections string
}

// Any reports whether the notice is not empty.
func (n Notice) Any() bool {
	return n.Leaving || n.Backoff > 0 || n.Limit.Rate > 0 || n.Limit.Malformed != "" || n.Rejections > 0 || n.MalformedRejections != ""
}

// String returns the notice as text for log lines, "" if it is empty.
func (n Notice) String() string {
	var words []string
	if n.Leaving {
		words = append(words, "leaving")
	}
	if n.Backoff > 0 {
		words = append(words, "wants rest "+n.Backoff.Round(time.Millisecond).String())
	}
	if n.Limit.Rate > 0 {
		words = append(words, "takes "+strconv.FormatFloat(n.Limit.Rate, 'g', 4, 64)+" a second")
	}
	if n.Limit.Malformed != "" {
		words = append(words, "names a limit that is none: "+strconv.Quote(n.Limit.Malformed))
	}
	if n.Rejections > 0 {
		words = append(words, "may reject "+strconv.FormatFloat(n.Rejections, 'g', 4, 64)+" a second")
	}
	if n.MalformedRejections != "" {
		words = append(words, "names a number of rejections that is none: "+strconv.Quote(n.MalformedRejections))
	}
	return strings.Join(words, ", ")
}

// MaxBackoff limits the back-off: a server that asks for more is faulty, and this gives an
// operator the time to repair it.
const MaxBackoff = time.Hour

// ParseSeconds parses a back-off in seconds, possibly with a fraction. It returns 0 for any other
// text.
func ParseSeconds(value string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, MaxBackoff.Seconds()) * float64(time.Second))
}
