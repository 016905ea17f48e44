package notice

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"
)

// Limit is what one answer of a server says of the rate that it takes from all daemons
// together. The zero value says nothing of it.
type Limit struct {
	// Rate is in requests a second; 0 names none.
	Rate float64
	// Lifted says that the server answers and names no limit.
	Lifted bool
	// Malformed is what it wrote where that is no rate. It changes nothing.
	Malformed string
}

// LeastRate is the least limit that is believed, in requests a second: a server that gets
// nothing can't say when its limit ends.
const LeastRate = 0.1

// PerSecond reads the rates that a server names, in requests a second. Of several the lowest
// counts.
func PerSecond(values []string) Limit {
	var out Limit
	for _, value := range values {
		for field := range strings.SplitSeq(value, ",") {
			rate, ok := readRate(field)
			switch {
			case !ok:
				out.Malformed = cmp.Or(strings.TrimSpace(value), "nothing")
			case out.Rate == 0 || rate < out.Rate:
				out.Rate = rate
			}
		}
	}
	return out
}

func readRate(text string) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return max(rate, LeastRate), true
}

// Standing is the limit that stands for a server. The zero value is none. It is never changed.
type Standing struct {
	// Rate is in requests a second from all daemons together; 0 is no limit.
	Rate float64
	// Since is when this rate was first known here.
	Since time.Time
	// From is the daemon that has told it; "" is an answer to a request of this one.
	From string
	// Asked and Heard are when the request was sent whose answer says so, and when the answer
	// was read.
	Asked, Heard time.Time
	// Malformed is what the server wrote last if that is no rate.
	Malformed string
}

// With returns what stands after one more answer.
//
// Answers overtake one another: one to a request that was sent before the last word was heard
// may be older than that, and only lowers the limit.
func (s Standing) With(l Limit, asked, heard time.Time, from string) Standing {
	if l.Malformed != "" && from == "" {
		s.Malformed = l.Malformed
	}
	if l.Rate == 0 && (!l.Lifted || s.Rate == 0) {
		return s
	}
	later := !asked.Before(s.Heard)
	lower := l.Rate > 0 && (s.Rate == 0 || l.Rate < s.Rate) && heard.After(s.Asked)
	if !later && !lower {
		return s
	}
	next := Standing{Rate: l.Rate, Since: s.Since, From: from, Asked: asked, Heard: heard, Malformed: l.Malformed}
	if s.Rate == l.Rate {
		next.From = s.From
	} else {
		next.Since = heard
	}
	return next
}

// Differs reports whether another limit stands than before, or other text that names none.
func (s Standing) Differs(was Standing) bool {
	return s.Rate != was.Rate || s.Malformed != was.Malformed
}
