package knowledge

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/relay"
)

// Fact is what one answer says of the version that gave it.
type Fact struct {
	Service string
	Version string
	// Route names the route and the model.
	Route  string
	Failed bool
	Slow   bool
}

// rollouts are the orders that a daemon knows, and what is seen of them. All
// but open belongs to the keeper's goroutine.
type rollouts struct {
	// open tells that an order is neither completed nor rolled back.
	open atomic.Bool

	byService map[string]canary.Rollout
	// rows are the versions of the rows with the states.
	rows      map[string]uint64
	own       map[countKey]canary.Count
	told      map[string]relay.Evidence
	toldAt    map[string]time.Time
	withdrawn map[string]bool
	sequence  uint64
	sentAt    time.Time
	// busy are services whose state is being written, by when that began.
	busy map[string]time.Time
	// clockMS is the store's clock at clockAt.
	clockMS uint64
	clockAt time.Time
	seenAt  map[string]time.Time
}

// countKey is what counts are kept by.
type countKey struct {
	service string
	version string
	route   string
}

func newRollouts() *rollouts {
	return &rollouts{
		byService: map[string]canary.Rollout{}, rows: map[string]uint64{}, own: map[countKey]canary.Count{},
		told: map[string]relay.Evidence{}, toldAt: map[string]time.Time{}, withdrawn: map[string]bool{},
		busy: map[string]time.Time{}, seenAt: map[string]time.Time{},
	}
}

// clock notes the store's clock.
func (r *rollouts) clock(ms uint64, now time.Time) {
	if ms > 0 {
		r.clockMS, r.clockAt = ms, now
	}
}

// storeClock is the store's clock now, in milliseconds.
func (r *rollouts) storeClock(now time.Time) uint64 {
	return r.clockMS + uint64(max(0, now.Sub(r.clockAt).Milliseconds()))
}

// order takes an order; it reports whether it is new.
func (r *rollouts) order(o canary.Order, now time.Time) bool {
	if was, ok := r.byService[o.Service]; ok && was.Order.Number >= o.Number {
		return false
	}
	r.byService[o.Service] = canary.Rollout{Order: o, Since: now}
	r.seenAt[o.Service] = now
	for key := range r.own {
		if key.service == o.Service {
			delete(r.own, key)
		}
	}
	r.look()
	return true
}

// progress takes the shared state of an order; it reports whether that is news.
func (r *rollouts) progress(service string, p canary.Progress, row uint64, now time.Time) bool {
	if row <= r.rows[service] {
		return false
	}
	was, ok := r.byService[service]
	if !ok || p.Order != was.Order.Number {
		return false
	}
	r.rows[service] = row
	was.Started = true
	was.State = max(was.State, p.State)
	was.Since = now.Add(-time.Duration(int64(r.storeClock(now))-int64(p.SinceMS)) * time.Millisecond)
	r.byService[service] = was
	r.look()
	return true
}

// look works out whether an order is open.
func (r *rollouts) look() {
	open := false
	for _, o := range r.byService {
		open = open || o.State == canary.Running
	}
	r.open.Store(open)
}

// withdraw stops the use of a version here and now; it reports whether that is
// news.
func (r *rollouts) withdraw(service, version string) bool {
	name := versionName(service, version)
	if r.withdrawn[name] {
		return false
	}
	r.withdrawn[name] = true
	return true
}

func (r *rollouts) snapshot() map[string]canary.Rollout { return maps.Clone(r.byService) }

func (r *rollouts) withdrawnCopy() map[string]bool { return maps.Clone(r.withdrawn) }

// observe counts an answer.
func (r *rollouts) observe(f Fact) {
	if o, ok := r.byService[f.Service]; !ok || o.State != canary.Running {
		return
	}
	key := countKey{service: f.Service, version: f.Version, route: f.Route}
	c := r.own[key]
	c.Answers++
	if f.Failed {
		c.Failed++
	}
	if f.Slow {
		c.Slow++
	}
	r.own[key] = c
}

// hear takes what another daemon has seen.
func (r *rollouts) hear(from string, m relay.Evidence, now time.Time) {
	was, ok := r.told[from]
	if ok && was.Start == m.Start && was.Sequence >= m.Sequence {
		return
	}
	r.told[from], r.toldAt[from] = m, now
	for service, o := range r.byService {
		if o.State == canary.Running && slices.Contains(m.Withdrawn, versionName(service, o.Order.Version)) {
			r.withdraw(service, o.Order.Version)
		}
	}
}

// pairs adds up what all daemons have seen of a service's versions, by route.
func (r *rollouts) pairs(service string) map[string]canary.Pair {
	out := map[string]canary.Pair{}
	version := r.byService[service].Order.Version
	add := func(route, of string, c canary.Count) {
		p := out[route]
		if of == version {
			p.New = p.New.Plus(c)
		} else {
			p.Old = p.Old.Plus(c)
		}
		out[route] = p
	}
	for key, c := range r.own {
		if key.service == service {
			add(key.route, key.version, c)
		}
	}
	for _, m := range r.told {
		for _, c := range m.Counts {
			if c.Service == service {
				add(c.Route, c.Version, canary.Count{Answers: c.Answers, Failed: c.Failed, Slow: c.Slow})
			}
		}
	}
	return out
}

// evidence is what this daemon has seen, for the others.
func (r *rollouts) evidence(start uint64, old map[string]int) relay.Evidence {
	r.sequence++
	m := relay.Evidence{Start: start, Sequence: r.sequence, OldInFlight: old}
	for key, c := range r.own {
		m.Counts = append(m.Counts, relay.Count{Service: key.service, Version: key.version, Route: key.route, Answers: c.Answers, Failed: c.Failed, Slow: c.Slow})
	}
	for name := range r.withdrawn {
		m.Withdrawn = append(m.Withdrawn, name)
	}
	return m
}
