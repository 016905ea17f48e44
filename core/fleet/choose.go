package fleet

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose returns the server for a request, or false if none may be used. Servers
// that have just failed are taken only if there is no other.
//
// Servers are looked at once, without a list of those that fit: among 116 of them, a
// third of which have read the prompt, that takes a fifth of the time that it took
// with lists and a hash of each name (BenchmarkChoose).
func (l *List) Choose(w Want, now time.Time) (*Server, bool) {
	for {
		s := l.choose(w, now)
		if s == nil {
			return nil, false
		}
		// Another request may have used up the server's limit meanwhile: then it is full.
		if s.Load.take(now) {
			return s, true
		}
	}
}

// choose returns the best server, or nil without one.
func (l *List) choose(w Want, now time.Time) *Server {
	if w.Part > 0 {
		return l.chooseOfFew(w, now)
	}
	fit, last := newRace(w, now), newRace(w, now)
	for _, s := range l.open[w.Service] {
		if !mayTake(s, w, now) {
			continue
		}
		seen := s.Load.look(now)
		switch {
		case seen.full:
		case seen.resting || goesLast(s, w):
			last.enter(s, seen)
		default:
			fit.enter(s, seen)
		}
	}
	return best(fit, last)
}

// chooseOfFew chooses among a part of the servers.
func (l *List) chooseOfFew(w Want, now time.Time) *Server {
	var fit, last []*Server
	for _, s := range l.open[w.Service] {
		seen := s.Load.look(now)
		switch {
		case seen.full || !mayTake(s, w, now):
		case seen.resting || goesLast(s, w):
			last = append(last, s)
		default:
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		fit = last
	}
	r := newRace(w, now)
	for _, s := range l.few(fit, w) {
		r.enter(s, s.Load.look(now))
	}
	return best(r, newRace(w, now))
}

// best returns the best of those that fit, or else of the last.
func best(fit, last race) *Server {
	if s := fit.winner(); s != nil {
		return s
	}
	return last.winner()
}

// take counts a request that is about to be sent, and reports whether the server's limit still
// allows it.
func (l *Load) take(now time.Time) bool {
	l.mu.Lock()
	ok := l.limit.take(now)
	if ok {
		l.cold.taken(now)
	}
	l.mu.Unlock()
	if ok {
		l.hall.taken(now)
	}
	return ok
}

// mayTake reports whether a server may get the request at all.
func mayTake(s *Server, w Want, now time.Time) bool {
	switch {
	case !s.Open(now), slices.Contains(w.Avoid, s.Incarnation()):
		return false
	case w.Allowed != nil && !w.Allowed(s.Version):
		return false
	}
	return w.Home == nil || w.Home(s.Hall)
}

// goesLast reports whether others go before a server.
func goesLast(s *Server, w Want) bool {
	return slices.Contains(w.Silent, s.Hall) || slices.Contains(w.Aside, s.name)
}

// race finds the server where a request costs least: the work before it and what has to
// be read for it, in the same unit. Without a difference all daemons choose alike. The
// server that they prefer has what the request shares with others: they send it there.
//
// A prompt so goes elsewhere only where waiting costs more than reading it again,
// which takes ten times as long for the largest model. Against the same preferred
// server with a bound on its requests (consistent hashing with bounded loads), the
// mean worth of days with trouble rose by 0.017 of what is owed with long prompts on
// few servers, and by 0.004 and -0.003 with shorter ones on more (six and three seeds
// of five days each).
type race struct {
	want Want
	now  time.Time

	// own is what the request's own part costs to be read.
	own float64

	best *Server
	cost float64
	draw uint64
	// any and near are the preferred servers of all halls and of the own.
	any, near favourite
}

// favourite is the server with the highest draw and what is before a request there.
type favourite struct {
	server *Server
	draw   uint64
	work   float64
}

func newRace(w Want, now time.Time) race {
	return race{want: w, now: now, own: w.Piece * float64(w.Prompt.Own()) / PieceTokens, cost: math.Inf(1)}
}

// enter looks at one more server.
func (r *race) enter(s *Server, seen look) {
	c := (seen.work + 1) * seen.slowness
	if s.Hall != r.want.Hall {
		c += awayCost
	}
	draw := score(s, r.want.Affinity)
	if r.want.Affinity != 0 {
		r.favour(s, seen, draw)
		if c+r.own >= r.cost {
			// At least its own part is to be read anywhere.
			return
		}
		c += r.want.Piece * float64(s.Load.Prompts.Missing(r.want.Prompt, r.now)) / PieceTokens
	}
	if c < r.cost || (c == r.cost && draw > r.draw) {
		r.best, r.cost, r.draw = s, c, draw
	}
}

// favour notes the server if it is the preferred one so far.
func (r *race) favour(s *Server, seen look, draw uint64) {
	f := favourite{server: s, draw: draw, work: seen.work * seen.slowness}
	if r.any.server == nil || draw > r.any.draw {
		r.any = f
	}
	if s.Hall == r.want.Hall && (r.near.server == nil || draw > r.near.draw) {
		r.near = f
	}
}

// winner is the best server, or nil without one.
func (r *race) winner() *Server {
	home := r.any
	if r.want.Near && r.near.server != nil {
		home = r.near
	}
	if home.server == nil {
		return r.best
	}
	if c := home.work + r.own; c < r.cost || (c == r.cost && home.draw > r.draw) {
		return home.server
	}
	return r.best
}

// score is a server's draw for a hash (rendezvous hashing): the highest wins,
// and all daemons find the same one.
func score(s *Server, hash uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], s.hash)
	binary.LittleEndian.PutUint64(b[8:], hash)
	return xxhash.Sum64(b[:])
}
