package fleet

import (
	"time"

	"ladderridge.example/core/quota"
)

// Cold is how much a daemon may send to a server that has started a moment ago, or
// whose hall has just been taken back: it is slow at first and falls over if all
// daemons, which see that it is idle, send to it at once.
type Cold struct {
	// From is when this daemon may begin to send: a daemon that has just started does not
	// know what was sent before it.
	From time.Time
	// Until is when the server is warm.
	Until time.Time
	// Most is how many requests this daemon may send within ColdSpan.
	Most int
}

const (
	// ColdSpan is the time within which requests to a cold server are counted. Bounds
	// are set for a second: what leaves a daemon further apart than that never falls
	// into one, whatever the second begins with, and the rest is for what a link adds.
	ColdSpan = 1050 * time.Millisecond
	// coldPart is the part of what a cold server bears that daemons plan for: their
	// lists of daemons may differ for a moment.
	coldPart = 0.8
)

// ColdMost is how many requests all daemons together may send to a cold server within
// ColdSpan, by how many a second it works on and what it bears beyond that: a factor
// and some more.
func ColdMost(rate, overage, slack float64) int {
	return int(coldPart * (max(0, rate)*overage + slack))
}

// ColdShare is a daemon's share of what all of them may send to a cold server. With
// fewer requests than daemons only some send, the same ones by all lists that are
// alike, others for each server: each may then send a whole request in each span, and
// no two need to speak to each other. Shares of a token for everybody would add up to
// one request of each daemon at the same moment.
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

// coldness is what a daemon may send to one server and has sent. The owner locks it.
type coldness struct {
	Cold
	// sent are the latest requests, oldest first, as many as may be sent in a span.
	sent []time.Time
}

// full reports whether the server may get no request now.
func (c *coldness) full(now time.Time) bool {
	if !now.Before(c.Until) {
		return false
	}
	return now.Before(c.From) || c.Most <= 0 || len(c.sent) >= c.Most && now.Sub(c.sent[len(c.sent)-c.Most]) < ColdSpan
}

// taken counts a request.
func (c *coldness) taken(now time.Time) {
	if !now.Before(c.Until) || c.Most <= 0 {
		return
	}
	c.sent = append(c.sent, now)
	if len(c.sent) > c.Most {
		c.sent = append(c.sent[:0], c.sent[len(c.sent)-c.Most:]...)
	}
}

// SetCold says until when the server is cold and what this daemon may send to it. What
// it has sent goes on to count.
func (l *Load) SetCold(c Cold) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.Cold = c
}

// Cold returns what was set last.
func (l *Load) Cold() Cold {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.Cold
}
