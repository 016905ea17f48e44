// Package notice is what a backend server says of itself with an answer: that it ends soon,
// that it wants no requests for a time, or how many it takes a second.
package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Notice is one word of a server about itself. The zero value says nothing.
type Notice struct {
	// Leaving says that the server ends soon and is to get no new work.
	Leaving bool
	// Rest is how long the server wants no requests from whom it answers; 0 asks for
	// none.
	Rest time.Duration
	// Limit is the rate that the server takes from all daemons together.
	Limit Limit
}

// Says reports whether the notice says anything.
func (n Notice) Says() bool {
	return n.Leaving || n.Rest > 0 || n.Limit.Rate > 0 || n.Limit.Malformed != ""
}

// String is the notice for a log line, "" if it says nothing.
func (n Notice) String() string {
	var words []string
	if n.Leaving {
		words = append(words, "leaving")
	}
	if n.Rest > 0 {
		words = append(words, "wants rest "+n.Rest.Round(time.Millisecond).String())
	}
	if n.Limit.Rate > 0 {
		words = append(words, "takes "+strconv.FormatFloat(n.Limit.Rate, 'g', 4, 64)+" a second")
	}
	if n.Limit.Malformed != "" {
		words = append(words, "names a limit that is none: "+strconv.Quote(n.Limit.Malformed))
	}
	return strings.Join(words, ", ")
}

// LongestRest bounds the rest that is believed: a server that names more is in error, and
// within the time an operator has seen to it.
const LongestRest = time.Hour

// Seconds reads a rest in seconds, with a fraction if there is one; 0 if it is none.
func Seconds(value string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, LongestRest.Seconds()) * float64(time.Second))
}
