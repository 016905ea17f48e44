package fleet

import (
	"time"

	"ladderridge.example/core/quota"
)

// ColdLimit bounds the requests that a daemon sends to a server that has just started,
// or whose hall has just come back into use. Such a server is slow at first and becomes
// overloaded if all daemons see that it is idle and send to it at once.
type ColdLimit struct {
	// From is when this daemon may start to send. A daemon that has just started does
	// not know which requests it sent before.
	From time.Time
	// Until is when the server is warm.
	Until time.Time
	// MaxRequests is how many requests this daemon may send within ColdWindow.
	MaxRequests int
}

const (
	// ColdWindow is the sliding window over which requests to a cold server are
	// counted. The capacity of a server is given for a second. Any second, wherever it
	// starts, holds at most the requests of one window; the extra 50 ms allow for the
	// network, which may deliver two requests closer together than they were sent.
	ColdWindow = 1050 * time.Millisecond
	// coldFraction is the fraction of a cold server's capacity that daemons plan for.
	// It leaves room for daemons whose membership lists differ for a moment.
	coldFraction = 0.8
)

// ColdCapacity returns how many requests all daemons together may send to a cold server
// within ColdWindow. The server handles rate requests a second, times the factor
// overage, and slack requests on top.
func ColdCapacity(rate, overage, slack float64) int {
	return int(coldFraction * (max(0, rate)*overage + slack))
}

// ColdShare returns a daemon's share of the requests that all daemons may send to a
// cold server. If there are fewer requests than daemons, only some daemons send.
// Daemons with the same membership list select the same senders, and each server has
// different ones. Each sender may then send at least one whole request in each window,
// and no two daemons need to communicate. With a fractional token for every daemon, all
// daemons would send one request at the same moment.
func ColdShare(server, self string, daemons []string, most int) int {
	if len(daemons) == 0 || most <= 0 {
		return 0
	}
	each := max(1, most/len(daemons))
	senders := most / each
	if senders >= len(daemons) {
		return each
	}
	if quota.Rank(server, self, daemons) >= senders {
		return 0
	}
	return each
}

// coldState is the limit of one cold server and the requests that were sent to it. The
// owner locks it.
type coldState struct {
	ColdLimit
	// sent holds the times of the latest requests, oldest first, at most as many as the
	// limit allows within a window.
	sent []time.Time
}

// full reports whether the server may receive no request now.
func (c *coldState) full(now time.Time) bool {
	if !now.Before(c.Until) {
		return false
	}
	return now.Before(c.From) || c.MaxRequests <= 0 || len(c.sent) >= c.MaxRequests && now.Sub(c.sent[len(c.sent)-c.MaxRequests]) < ColdWindow
}

// recordRequest counts a request.
func (c *coldState) recordRequest(now time.Time) {
	if !now.Before(c.Until) || c.MaxRequests <= 0 {
		return
	}
	c.sent = append(c.sent, now)
	if len(c.sent) > c.MaxRequests {
		c.sent = append(c.sent[:0], c.sent[len(c.sent)-c.MaxRequests:]...)
	}
}

// SetColdLimit sets until when the server is cold and what this daemon may send to it.
// Requests that were sent before still count.
func (s *ServerState) SetColdLimit(c ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.ColdLimit = c
}

// ColdLimit returns the limit that was set last.
func (s *ServerState) ColdLimit() ColdLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.ColdLimit
}
