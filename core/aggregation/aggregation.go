// Package aggregation adds up, over all daemons, what each of them sees: how much
// each organisation asks for, how well each version answers, and which table
// generation is in force.
//
// The daemons of a data hall form a tree (package member). At every tick each
// sends the sum of its own figures and its children's to its parent, and gets
// the totals of all data halls back from it. So a daemon's work depends on the
// number of organisations and versions, and not on the number of daemons.
// Figures are cumulative or levels, never differences: a lost or doubled
// message does no harm.
package aggregation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/table"
)

// Key stands for a name on the wire.
type Key uint32

// KeyOf is the key of an organisation's name.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// KeyOfRef is the key of a version.
func KeyOfRef(ref table.Ref) Key { return KeyOf(ref.String()) }

// RequestsUnit is how many units of Demand.Requests are one request a second.
const RequestsUnit = 10

// Demand is what one organisation asks for.
type Demand struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Requests, in parts of RequestsUnit, and Tokens are asked for a second, refused ones
	// included. Whole numbers are short on the wire.
	Requests uint32
	Tokens   uint32
	// InFlight is how many requests are under way.
	InFlight uint32
}

// Evidence is how one version has answered, counted since a daemon started.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Answers uint64
	Bad     uint64
}

// Sums are figures added up over a number of daemons.
type Sums struct {
	_       struct{} `cbor:",toarray"`
	Daemons uint32
	// Set is the sum of the hashes of the daemons' ids: it tells whether just
	// the expected daemons were added up, each of them once.
	Set uint64
	// Oldest is the lowest table generation in force on any of them.
	Oldest   uint64
	Demands  []Demand
	Evidence []Evidence
}

// Add returns the sum of two sums.
func (s Sums) Add(o Sums) Sums {
	if s.Daemons == 0 {
		return o
	}
	if o.Daemons == 0 {
		return s
	}
	out := Sums{Daemons: s.Daemons + o.Daemons, Set: s.Set + o.Set, Oldest: min(s.Oldest, o.Oldest)}
	out.Demands = merge(s.Demands, o.Demands, func(d Demand) Key { return d.Key }, func(a, b Demand) Demand {
		return Demand{Key: a.Key, Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens, InFlight: a.InFlight + b.InFlight}
	})
	out.Evidence = merge(s.Evidence, o.Evidence, func(e Evidence) Key { return e.Key }, func(a, b Evidence) Evidence {
		return Evidence{Key: a.Key, Answers: a.Answers + b.Answers, Bad: a.Bad + b.Bad}
	})
	return out
}

// Demand returns the demand of one organisation.
func (s Sums) Demand(key Key) Demand {
	i, ok := slices.BinarySearchFunc(s.Demands, key, func(d Demand, k Key) int { return cmp.Compare(d.Key, k) })
	if !ok {
		return Demand{Key: key}
	}
	return s.Demands[i]
}

// EvidenceOf returns the evidence on one version.
func (s Sums) EvidenceOf(key Key) Evidence {
	i, ok := slices.BinarySearchFunc(s.Evidence, key, func(e Evidence, k Key) int { return cmp.Compare(e.Key, k) })
	if !ok {
		return Evidence{Key: key}
	}
	return s.Evidence[i]
}

// merge adds two lists that are sorted by key.
func merge[T any](a, b []T, key func(T) Key, add func(T, T) T) []T {
	out := make([]T, 0, max(len(a), len(b)))
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case key(a[i]) < key(b[j]):
			out = append(out, a[i])
			i++
		case key(a[i]) > key(b[j]):
			out = append(out, b[j])
			j++
		default:
			out = append(out, add(a[i], b[j]))
			i++
			j++
		}
	}
	out = append(out, a[i:]...)
	return append(out, b[j:]...)
}

// Status is how one data hall stands, without its figures.
type Status struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Members is how many daemons its root counts on; Daemons of them have
	// reported.
	Members uint32
	Daemons uint32
	// Down is how many listed daemons the root does not count on.
	Down uint32
	// Complete tells that just the members have reported, each once.
	Complete bool
	// Oldest is the lowest table generation in force on those that reported.
	Oldest uint64
	// Round grows with every total that the hall's roots make.
	Round uint64
	// AgeMS is how old the total is, in milliseconds.
	AgeMS uint64
}

// Stale reports whether the status is too old to count.
func (s Status) Stale() bool { return s.AgeMS > uint64(StaleAfter.Milliseconds()) }

// Hall is the total of one data hall, as its root tells the roots of others.
type Hall struct {
	_      struct{} `cbor:",toarray"`
	Status Status
	Sums   Sums
}

// Totals are what a daemon learns from its parent: its own data hall's total,
// that of all others whose total is fresh, and how every hall stands.
type Totals struct {
	_ struct{} `cbor:",toarray"`
	// Own and Others have no evidence: it is all in Seen.
	Own    Sums
	Others Sums
	// FreshOthers is how many data halls Others adds up.
	FreshOthers uint32
	// Seen is the evidence of all daemons that are heard of.
	Seen  []Evidence
	Halls []Status
}

// Evidence is what all daemons that are heard of saw of a version.
func (t Totals) Evidence(key Key) Evidence { return Sums{Evidence: t.Seen}.EvidenceOf(key) }

// StaleAfter is the age from which a total or a child's sum no longer counts.
const StaleAfter = 5 * time.Second

// reported is a sum from a child with the time at which it came.
type reported struct {
	sums Sums
	at   time.Time
}

// known is a data hall's total with the time at which it was made.
type known struct {
	hall Hall
	at   time.Time
}

// Tree is what one daemon holds. It is owned by one goroutine.
type Tree struct {
	children map[string]reported
	// halls are the totals that a root knows.
	halls map[string]known
	// totals are the latest, made here or by the parent, and at is when.
	totals Totals
	at     time.Time
}

// NewTree returns an empty tree.
func NewTree() *Tree {
	return &Tree{children: map[string]reported{}, halls: map[string]known{}}
}

// Child takes a child's sum.
func (t *Tree) Child(id string, sums Sums, now time.Time) {
	t.children[id] = reported{sums: sums, at: now}
}

// Sum is the daemon's own figures and those of its present children.
func (t *Tree) Sum(own Sums, children []string, now time.Time) Sums {
	for id, r := range t.children {
		if now.Sub(r.at) > StaleAfter || !slices.Contains(children, id) {
			delete(t.children, id)
		}
	}
	total := own
	for _, id := range children {
		total = total.Add(t.children[id].sums)
	}
	return total
}

// Root makes the total of the own data hall, because this daemon is the root
// of its tree, and returns it for the roots of other halls.
func (t *Tree) Root(h Hall, now time.Time) Hall {
	name := h.Status.Name
	// Roots change: a new one goes on above the rounds of the old one.
	h.Status.Round = max(t.halls[name].hall.Status.Round+1, uint64(now.UnixMilli()))
	t.halls[name] = known{hall: h, at: now}
	t.totals, t.at = t.compose(name, now), now
	return h
}

// compose makes the totals from what a root knows.
func (t *Tree) compose(own string, now time.Time) Totals {
	out := Totals{Own: t.halls[own].hall.Sums}
	for name, k := range t.halls {
		status := k.hall.Status
		status.AgeMS = uint64(max(0, now.Sub(k.at).Milliseconds()))
		out.Halls = append(out.Halls, status)
		if name != own && !status.Stale() {
			out.Others = out.Others.Add(k.hall.Sums)
			out.FreshOthers++
		}
	}
	slices.SortFunc(out.Halls, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	out.Seen = out.Own.Add(out.Others).Evidence
	out.Own.Evidence, out.Others.Evidence = nil, nil
	return out
}

// Learn takes a data hall's total from its root.
func (t *Tree) Learn(h Hall, now time.Time) {
	name := h.Status.Name
	if was, ok := t.halls[name]; ok && h.Status.Round <= was.hall.Status.Round {
		return
	}
	t.halls[name] = known{hall: h, at: now.Add(-time.Duration(h.Status.AgeMS) * time.Millisecond)}
}

// FromParent takes the totals from the parent.
func (t *Tree) FromParent(totals Totals, now time.Time) { t.totals, t.at = totals, now }

// Totals returns the latest totals, with the halls' ages as of now, and whether
// they are fresh.
func (t *Tree) Totals(now time.Time) (Totals, bool) {
	since := now.Sub(t.at)
	out := t.totals
	out.Halls = slices.Clone(out.Halls)
	for i := range out.Halls {
		out.Halls[i].AgeMS += uint64(max(0, since.Milliseconds()))
	}
	return out, since <= StaleAfter
}
