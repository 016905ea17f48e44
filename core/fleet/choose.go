package fleet

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the server for a request, or false if no server may be used. Servers
// that have failed recently are chosen only if there is no other.
//
// The servers are scanned once, without building lists of candidates: with 116 servers,
// a third of which have the prompt cached, this takes a fifth of the time that lists
// and a hash of each name took (BenchmarkChoose).
func (l *List) Choose(w Criteria, now time.Time) (*Server, bool) {
	for {
		s := l.choose(w, now)
		if s == nil {
			return nil, false
		}
		// A concurrent request may have used up the server's limit since the scan. The
		// next scan then sees the server as full.
		if s.State.take(now) {
			return s, true
		}
	}
}

// choose returns the best server, or nil if there is none.
func (l *List) choose(w Criteria, now time.Time) *Server {
	if w.Fraction > 0 {
		return l.chooseFromSubset(w, now)
	}
	preferred, slow, fallback := newSelector(w, now), newSelector(w, now), newSelector(w, now)
	for _, s := range l.open[w.Service] {
		if !eligible(s, w, now) {
			continue
		}
		seen := s.State.snapshot(now)
		switch {
		case seen.availability == full:
		case seen.availability == inBackoff || isFallback(s, w):
			fallback.consider(s, seen)
		case w.tooSlow(seen):
			slow.consider(s, seen)
		default:
			preferred.consider(s, seen)
		}
	}
	return best(&preferred, &slow, &fallback)
}

// chooseFromSubset chooses from the fraction of the servers that the request may use.
func (l *List) chooseFromSubset(w Criteria, now time.Time) *Server {
	var preferred, slow, fallback []*Server
	for _, s := range l.open[w.Service] {
		seen := s.State.snapshot(now)
		switch {
		case seen.availability == full || !eligible(s, w, now):
		case seen.availability == inBackoff || isFallback(s, w):
			fallback = append(fallback, s)
		case w.tooSlow(seen):
			slow = append(slow, s)
		default:
			preferred = append(preferred, s)
		}
	}
	if len(preferred) == 0 {
		preferred = slow
	}
	if len(preferred) == 0 {
		preferred = fallback
	}
	sel := newSelector(w, now)
	for _, s := range l.subset(preferred, w) {
		sel.consider(s, s.State.snapshot(now))
	}
	return sel.winner()
}

// best returns the winner of the preferred servers, or else that of the slow ones, or else that
// of the fallback servers.
func best(preferred, slow, fallback *selector) *Server {
	if s := preferred.winner(); s != nil {
		return s
	}
	if s := slow.winner(); s != nil {
		return s
	}
	return fallback.winner()
}

// take counts a request that is about to be sent, and reports whether the server's
// limit still allows it.
func (s *ServerState) take(now time.Time) bool {
	s.mu.Lock()
	ok := s.takeSlot(now) && s.limit.take(now)
	if ok {
		s.cold.recordRequest(now)
	}
	s.mu.Unlock()
	if ok {
		s.hall.recordRequest(now)
	}
	return ok
}

// eligible reports whether a server may receive the request at all.
func eligible(s *Server, w Criteria, now time.Time) bool {
	switch {
	case !s.Open(now), slices.Contains(w.Exclude, s.Incarnation()):
		return false
	case w.Allowed != nil && !w.Allowed(s.Version):
		return false
	}
	return w.HallAllowed == nil || w.HallAllowed(s.Hall)
}

// isFallback reports whether a server is used only if there is no other.
func isFallback(s *Server, w Criteria) bool {
	return slices.Contains(w.TimedOutHalls, s.Hall) || slices.Contains(w.Ejected, s.name)
}

// tooSlow reports whether the request is not expected to end in time at a server. Such servers
// are preferred to those in back-off, which probably do not answer at all.
//
// The pace has no other part in the choice. As a factor on the cost it moved requests from slow
// servers that were idle to others, and more answers were late: all daemons know the same paces.
func (w Criteria) tooSlow(seen snapshot) bool {
	return w.MaxPace > 0 && seen.pace > max(1, w.MaxPace)
}

// selector finds the server with the lowest cost for a request: the load ahead of the
// request and the tokens that the server has to process for it, in the same unit. Ties
// are broken by a rendezvous hash, so that all daemons choose alike. The preferred
// server of the hash is assumed to have the shared part of the prompt cached, because
// all daemons send it there.
//
// A prompt therefore moves to another server only when waiting costs more than
// processing the prompt again, which costs ten times as much on the largest model.
// Compared with a preferred server whose requests are bounded (consistent hashing with
// bounded loads), this earns more value during faults with long prompts on few servers,
// and about the same with shorter prompts on more servers.
type selector struct {
	criteria Criteria
	now      time.Time

	// ownCost is the cost of processing the part of the prompt that no other request
	// shares.
	ownCost float64

	best *Server
	cost float64
	hash uint64
	// overall and inHall are the preferred servers among all halls and in the request's
	// own hall.
	overall, inHall preferredServer
}

// preferredServer is the server with the highest rendezvous hash, and the load ahead of
// a request there.
type preferredServer struct {
	server *Server
	hash   uint64
	load   float64
}

func newSelector(w Criteria, now time.Time) selector {
	return selector{criteria: w, now: now, ownCost: w.BlockCost * float64(w.Prompt.UniqueTokens()) / BlockTokens, cost: math.Inf(1)}
}

// consider compares one more server with the best so far.
func (sel *selector) consider(s *Server, seen snapshot) {
	c := (seen.load + 1) * seen.slowness
	if s.Hall != sel.criteria.Hall {
		c += otherHallCost
	}
	hash := rendezvousHash(s, sel.criteria.Affinity)
	if sel.criteria.Affinity != 0 {
		sel.updatePreferred(s, seen, hash)
		if c+sel.ownCost >= sel.cost {
			// Every server has to process at least the request's own part.
			return
		}
		c += sel.criteria.BlockCost * float64(s.State.PrefixCache.MissingTokens(sel.criteria.Prompt, sel.now)) / BlockTokens
	}
	if c < sel.cost || (c == sel.cost && hash > sel.hash) {
		sel.best, sel.cost, sel.hash = s, c, hash
	}
}

// updatePreferred records the server if its rendezvous hash is the highest so far.
func (sel *selector) updatePreferred(s *Server, seen snapshot, hash uint64) {
	p := preferredServer{server: s, hash: hash, load: seen.load * seen.slowness}
	if sel.overall.server == nil || hash > sel.overall.hash {
		sel.overall = p
	}
	if s.Hall == sel.criteria.Hall && (sel.inHall.server == nil || hash > sel.inHall.hash) {
		sel.inHall = p
	}
}

// winner returns the best server, or nil if there is none.
func (sel *selector) winner() *Server {
	preferred := sel.overall
	if sel.criteria.KeepInHall && sel.inHall.server != nil {
		preferred = sel.inHall
	}
	if preferred.server == nil {
		return sel.best
	}
	if c := preferred.load + sel.ownCost; c < sel.cost || (c == sel.cost && preferred.hash > sel.hash) {
		return preferred.server
	}
	return sel.best
}

// rendezvousHash returns the hash of a server for a key (rendezvous hashing): the
// server with the highest hash wins, and all daemons find the same one.
func rendezvousHash(s *Server, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.hash)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
