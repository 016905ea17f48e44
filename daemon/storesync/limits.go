package storesync

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/quota"
)

// Exchange of the rate limits that servers announce. In a large cluster most daemons send no
// requests to a limited server, and so learn neither of its limit nor of the end of it. A
// request to the reader carries a checksum of the limits in force at the sender. If the
// checksums differ, both sides send all limits that they know. Readers send changes to other
// halls.

const (
	// maxLimitsPerMessage bounds the limits of one message. The most recently announced ones
	// are sent.
	maxLimitsPerMessage = 256
	// endedLimitTTL is how long the end of a limit is still sent to other daemons.
	endedLimitTTL = 10 * time.Minute
	// limitsInterval is the time between two messages to other halls while limits are in force
	// and unchanged.
	limitsInterval = 5 * time.Second
)

// limits tracks the servers that have announced a limit. The syncer's goroutine owns it.
type limits struct {
	known map[fleet.Incarnation]*fleet.Server
	// changed is set if a limit has changed that other daemons do not know yet. readerDiffers
	// is set if the reader knows other limits.
	changed       bool
	readerDiffers bool
	// sentAt is when limits were last sent to other halls.
	sentAt time.Time
}

func newLimits() *limits { return &limits{known: map[fleet.Incarnation]*fleet.Server{}} }

// limitObserved is a server whose limit was changed by the answer to a request of this daemon.
type limitObserved struct{ server *fleet.Server }

func (limitObserved) event() {}

// AnnounceLimit announces the limit of a server to the other daemons.
func (sy *Syncer) AnnounceLimit(s *fleet.Server) { sy.enqueue(limitObserved{server: s}) }

func (sy *Syncer) handleLimitObserved(e limitObserved) {
	sy.limits.known[e.server.Incarnation()] = e.server
	sy.limits.changed = true
}

// sharers returns the daemons that share limits. There are none while the list of daemons is
// unknown.
func (sy *Syncer) sharers() quota.Daemons {
	out := quota.Daemons{Self: sy.Self.ID, ByHall: map[string][]string{}}
	members := *sy.members.Load()
	for _, m := range members {
		out.ByHall[m.Hall] = append(out.ByHall[m.Hall], m.ID)
	}
	if _, listed := members[sy.Self.ID]; !listed && len(members) > 0 {
		out.ByHall[sy.Self.Hall] = append(out.ByHall[sy.Self.Hall], sy.Self.ID)
	}
	return out
}

// shareLimits divides the limits among the daemons that are listed now.
func (sy *Syncer) shareLimits(now time.Time) {
	v := *sy.view.Load()
	v.Sharers = sy.sharers()
	sy.view.Store(&v)
	for _, s := range sy.limits.known {
		s.ApplyLimit(v.Sharers, now)
	}
}

// relistLimits updates the limits for a rebuilt server list. A limit belongs to the incarnation
// of the server that announced it.
func (sy *Syncer) relistLimits(servers []*fleet.Server, now time.Time) {
	maps.DeleteFunc(sy.limits.known, func(i fleet.Incarnation, _ *fleet.Server) bool { return sy.states[i] == nil })
	for _, s := range servers {
		sy.relistLimit(s, now)
	}
}

// relistChangedLimits updates the limits for the changed servers only.
func (sy *Syncer) relistChangedLimits(c serverChanges, now time.Time) {
	for _, s := range c.removed {
		if sy.states[s.Incarnation()] == nil {
			delete(sy.limits.known, s.Incarnation())
		}
	}
	for _, s := range c.added {
		sy.relistLimit(s, now)
	}
}

func (sy *Syncer) relistLimit(s *fleet.Server, now time.Time) {
	if s.State.Notices.State().Limit.ReceivedAt.IsZero() {
		return
	}
	was := sy.limits.known[s.Incarnation()]
	sy.limits.known[s.Incarnation()] = s
	if was == nil || was.State != s.State || was.Hall != s.Hall {
		s.ApplyLimit(sy.view.Load().Sharers, now)
	}
}

// sum is a hash of the limits in force that does not depend on their order.
func (l *limits) sum() uint64 {
	var sum uint64
	for i, s := range l.known {
		if rate := s.State.Notices.State().Limit.Rate; rate > 0 {
			sum += xxhash.Sum64String(i.String()) ^ math.Float64bits(rate)
		}
	}
	return sum
}

// list returns the known limits for a message, the most recent first.
func (l *limits) list(now time.Time) []gossip.Limit {
	var out []gossip.Limit
	for _, s := range l.known {
		is := s.State.Notices.State().Limit
		if is.ReceivedAt.IsZero() || is.Rate == 0 && now.Sub(is.ReceivedAt) > endedLimitTTL {
			continue
		}
		out = append(out, gossip.Limit{ID: s.ID, Born: s.Born, Rate: is.Rate, RequestedMS: ageMS(now, is.RequestedAt), ReceivedMS: ageMS(now, is.ReceivedAt)})
	}
	slices.SortFunc(out, func(a, b gossip.Limit) int { return int(a.ReceivedMS) - int(b.ReceivedMS) })
	return out[:min(len(out), maxLimitsPerMessage)]
}

func ageMS(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Milliseconds())) }

// addLimits adds limits to a request.
func (sy *Syncer) addLimits(req *gossip.Request, now time.Time) {
	req.LimitSum = sy.limits.sum()
	if sy.limits.readerDiffers || sy.limits.changed && !sy.reading.Load() {
		req.Limits = sy.limits.list(now)
	}
}

// handleRequestLimits merges the limits of a request and returns those for the response.
func (sy *Syncer) handleRequestLimits(from string, m gossip.Request, now time.Time) []gossip.Limit {
	sy.mergeLimits(from, m.Limits, now)
	if sy.limits.sum() == m.LimitSum {
		return nil
	}
	return sy.limits.list(now)
}

// handleResponseLimits merges the limits that another daemon sends.
func (sy *Syncer) handleResponseLimits(from string, m gossip.Response, now time.Time) {
	sy.mergeLimits(from, m.Limits, now)
	if m.Nonce == 0 {
		return
	}
	sy.limits.readerDiffers = sy.limits.sum() != m.LimitSum
	if !sy.reading.Load() && !sy.limits.readerDiffers {
		sy.limits.changed = false
	}
}

// mergeLimits merges limits that another daemon has learned.
func (sy *Syncer) mergeLimits(from string, received []gossip.Limit, now time.Time) {
	for _, l := range received {
		e, ok := sy.entries[l.ID]
		if !ok || e.server == nil || e.server.Born != l.Born || math.IsNaN(l.Rate) || l.Rate < 0 {
			continue
		}
		s := e.server
		limit := notice.Limit{Rate: l.Rate, Lifted: l.Rate == 0}
		was, is := s.State.Notices.ObserveLimit(limit, msBefore(now, l.RequestedMS), msBefore(now, l.ReceivedMS), from)
		if is.Rate == was.Rate {
			continue
		}
		sy.limits.known[s.Incarnation()], sy.limits.changed = s, true
		s.ApplyLimit(sy.view.Load().Sharers, now)
		if sy.OnLimitChange != nil {
			sy.OnLimitChange(s, was, is)
		}
	}
}

func msBefore(now time.Time, ms uint64) time.Time {
	return now.Add(-time.Duration(min(ms, uint64(endedLimitTTL.Milliseconds()))) * time.Millisecond)
}

// sendLimits sends changed limits from a reader to its hall and to other halls. Other daemons
// send theirs with the next request to their reader.
func (sy *Syncer) sendLimits(now time.Time) {
	if !sy.reading.Load() || len(sy.limits.known) == 0 {
		return
	}
	resend := now.Sub(sy.limits.sentAt) >= limitsInterval
	if !sy.limits.changed && !resend {
		return
	}
	resp := gossip.Response{Limits: sy.limits.list(now)}
	if to := sy.hallSubscribers(now); sy.limits.changed && len(to) > 0 {
		sy.Peers.SendAll(to, resp)
	}
	sy.limits.changed, sy.limits.sentAt = false, now
	if len(resp.Limits) > 0 {
		sy.broadcast(resp)
	}
}
