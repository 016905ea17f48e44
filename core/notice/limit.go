package notice

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"
)

// Limit is the rate limit in an answer of a server, for the requests of all daemons together.
// The zero value is an answer without information on it.
type Limit struct {
	// Rate is in requests per second, 0 if the answer announces no limit.
	Rate float64
	// Lifted reports that the server answered without a limit, which ends an earlier one.
	Lifted bool
	// Malformed is the announced text if it is not a rate. It does not change the limit.
	Malformed string
}

// MinRate is the lowest limit that is applied, in requests per second: a server that receives
// no requests cannot announce the end of its limit.
const MinRate = 0.1

// ParseRates parses the rates that a server announces, in requests per second. The lowest of
// several applies.
func ParseRates(values []string) Limit {
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
	return max(rate, MinRate), true
}

// LimitState is the limit in force for a server. The zero value is no limit. It is immutable.
type LimitState struct {
	// Rate is in requests per second from all daemons together, 0 for no limit.
	Rate float64
	// Since is when this daemon first learned of this rate.
	Since time.Time
	// From is the daemon that reported the limit, "" for an answer to a request of this daemon.
	From string
	// RequestedAt is when the request was sent whose answer announced the limit, ReceivedAt when
	// that answer was read.
	RequestedAt, ReceivedAt time.Time
	// Malformed is the last announced text if it was not a rate.
	Malformed string
}

// With returns the limit in force after another answer.
//
// Answers may arrive out of order: one to a request that was sent before the last answer was read
// may be older than that answer, and may only lower the limit.
func (s LimitState) With(l Limit, requested, received time.Time, from string) LimitState {
	if l.Malformed != "" && from == "" {
		s.Malformed = l.Malformed
	}
	if l.Rate == 0 && (!l.Lifted || s.Rate == 0) {
		return s
	}
	later := !requested.Before(s.ReceivedAt)
	lower := l.Rate > 0 && (s.Rate == 0 || l.Rate < s.Rate) && received.After(s.RequestedAt)
	if !later && !lower {
		return s
	}
	next := LimitState{Rate: l.Rate, Since: s.Since, From: from, RequestedAt: requested, ReceivedAt: received, Malformed: l.Malformed}
	if s.Rate == l.Rate {
		next.From = s.From
	} else {
		next.Since = received
	}
	return next
}

// Differs reports whether the limit or the malformed text differs from the previous one.
func (s LimitState) Differs(was LimitState) bool {
	return s.Rate != was.Rate || s.Malformed != was.Malformed
}
