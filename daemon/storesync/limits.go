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

// The limits that servers name, as daemons tell them each other: most daemons of a large fleet
// send a limited server nothing, and hear neither its limit nor the end of that. A question
// carries a sum of the limits that stand at the asker. Where the sums differ, both tell all that
// they know. Readers tell other halls what has changed.

const (
	// maxLimitsPerMessage bounds the limits of one message: those that were heard last.
	maxLimitsPerMessage = 256
	// endedLimitTTL is for how long the end of a limit is told.
	endedLimitTTL = 10 * time.Minute
	// limitsInterval is the time between two messages to other halls while limits stand that
	// have not changed.
	limitsInterval = 5 * time.Second
)

// limits are the servers that have named a limit. They belong to the keeper's goroutine.
type limits struct {
	known map[fleet.Incarnation]*fleet.Server
	// changed tells that a limit has changed that others have not been told of, differs that the
	// reader knows other limits.
	changed       bool
	readerDiffers bool
	// sentAt is when other halls were told last.
	sentAt time.Time
}

func newLimits() *limits { return &limits{known: map[fleet.Incarnation]*fleet.Server{}} }

// limitObserved is a server whose limit a request of this daemon has heard to change.
type limitObserved struct{ server *fleet.Server }

func (limitObserved) event() {}

// AnnounceLimit has the other daemons told what a server says of its limit.
func (k *Syncer) AnnounceLimit(s *fleet.Server) { k.enqueue(limitObserved{server: s}) }

func (k *Syncer) handleLimitObserved(e limitObserved) {
	k.limits.known[e.server.Incarnation()] = e.server
	k.limits.changed = true
}

// sharers are the daemons that share limits: none while their list is not known.
func (k *Syncer) sharers() quota.Daemons {
	out := quota.Daemons{Self: k.Self.ID, ByHall: map[string][]string{}}
	members := *k.members.Load()
	for _, m := range members {
		out.ByHall[m.Hall] = append(out.ByHall[m.Hall], m.ID)
	}
	if _, listed := members[k.Self.ID]; !listed && len(members) > 0 {
		out.ByHall[k.Self.Hall] = append(out.ByHall[k.Self.Hall], k.Self.ID)
	}
	return out
}

// shareLimits divides the limits among the daemons that are listed now.
func (k *Syncer) shareLimits(now time.Time) {
	v := *k.view.Load()
	v.Sharers = k.sharers()
	k.view.Store(&v)
	for _, s := range k.limits.known {
		s.ApplyLimit(v.Sharers, now)
	}
}

// relistLimits takes the servers that are listed now: a limit stays with the start of a server
// that named it.
func (k *Syncer) relistLimits(servers []*fleet.Server, now time.Time) {
	maps.DeleteFunc(k.limits.known, func(i fleet.Incarnation, _ *fleet.Server) bool { return k.loads[i] == nil })
	for _, s := range servers {
		k.relistLimit(s, now)
	}
}

// relistChangedLimits does so for a few servers that have changed.
func (k *Syncer) relistChangedLimits(c serverChanges, now time.Time) {
	for _, s := range c.removed {
		if k.loads[s.Incarnation()] == nil {
			delete(k.limits.known, s.Incarnation())
		}
	}
	for _, s := range c.added {
		k.relistLimit(s, now)
	}
}

func (k *Syncer) relistLimit(s *fleet.Server, now time.Time) {
	if s.State.Notices.State().Limit.ReceivedAt.IsZero() {
		return
	}
	was := k.limits.known[s.Incarnation()]
	k.limits.known[s.Incarnation()] = s
	if was == nil || was.State != s.State || was.Hall != s.Hall {
		s.ApplyLimit(k.view.Load().Sharers, now)
	}
}

// sum is a hash of the limits that stand, whatever their order.
func (l *limits) sum() uint64 {
	var sum uint64
	for i, s := range l.known {
		if rate := s.State.Notices.State().Limit.Rate; rate > 0 {
			sum += xxhash.Sum64String(i.String()) ^ math.Float64bits(rate)
		}
	}
	return sum
}

// list is what is known of limits, the latest first, for a message.
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

// addLimits puts limits into a question.
func (k *Syncer) addLimits(ask *gossip.Request, now time.Time) {
	ask.LimitSum = k.limits.sum()
	if k.limits.readerDiffers || k.limits.changed && !k.reading.Load() {
		ask.Limits = k.limits.list(now)
	}
}

// handleRequestLimits takes the limits of a question, and returns those for the answer.
func (k *Syncer) handleRequestLimits(from string, m gossip.Request, now time.Time) []gossip.Limit {
	k.mergeLimits(from, m.Limits, now)
	if k.limits.sum() == m.LimitSum {
		return nil
	}
	return k.limits.list(now)
}

// handleResponseLimits takes the limits that another daemon tells.
func (k *Syncer) handleResponseLimits(from string, m gossip.Response, now time.Time) {
	k.mergeLimits(from, m.Limits, now)
	if m.Nonce == 0 {
		return
	}
	k.limits.readerDiffers = k.limits.sum() != m.LimitSum
	if !k.reading.Load() && !k.limits.readerDiffers {
		k.limits.changed = false
	}
}

// mergeLimits takes limits that another daemon has heard.
func (k *Syncer) mergeLimits(from string, told []gossip.Limit, now time.Time) {
	for _, l := range told {
		e, ok := k.entries[l.ID]
		if !ok || e.server == nil || e.server.Born != l.Born || math.IsNaN(l.Rate) || l.Rate < 0 {
			continue
		}
		s := e.server
		word := notice.Limit{Rate: l.Rate, Lifted: l.Rate == 0}
		was, is := s.State.Notices.ObserveLimit(word, msBefore(now, l.RequestedMS), msBefore(now, l.ReceivedMS), from)
		if is.Rate == was.Rate {
			continue
		}
		k.limits.known[s.Incarnation()], k.limits.changed = s, true
		s.ApplyLimit(k.view.Load().Sharers, now)
		if k.OnLimitChange != nil {
			k.OnLimitChange(s, was, is)
		}
	}
}

func msBefore(now time.Time, ms uint64) time.Time {
	return now.Add(-time.Duration(min(ms, uint64(endedLimitTTL.Milliseconds()))) * time.Millisecond)
}

// sendLimits tells limits that have changed: a reader its hall and other halls. Others tell
// their reader with the next question.
func (k *Syncer) sendLimits(now time.Time) {
	if !k.reading.Load() || len(k.limits.known) == 0 {
		return
	}
	again := now.Sub(k.limits.sentAt) >= limitsInterval
	if !k.limits.changed && !again {
		return
	}
	tell := gossip.Response{Limits: k.limits.list(now)}
	if to := k.hallSubscribers(now); k.limits.changed && len(to) > 0 {
		k.Peers.SendAll(to, tell)
	}
	k.limits.changed, k.limits.sentAt = false, now
	if len(tell.Limits) > 0 {
		k.broadcast(tell)
	}
}
