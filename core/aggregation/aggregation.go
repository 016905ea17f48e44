// Package aggregation sums up counters over all daemons: the demand of each organisation, the responses
// of each version, and the table generations in force.
//
// The daemons of a data hall form a tree (see package member). At every tick each daemon sends the sum of
// its own counters and those of its children to its parent, and receives the totals of all data halls from
// it. The work of a daemon therefore depends on the number of organisations and versions, not on the number
// of daemons. Values are cumulative counters or gauges, never differences, so that lost or duplicated
// messages do no harm.
package aggregation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/table"
)

// Key represents a name on the wire.
type Key uint32

// KeyOf returns the key of the name of an organisation.
func KeyOf(name string) Key { return Key(xxhash.Sum64String(name)) }

// KeyOfRef returns the key of a version.
func KeyOfRef(ref table.Ref) Key { return KeyOf(ref.String()) }

// RequestsUnit is the number of units of Demand.Requests per request per second.
const RequestsUnit = 10

// Demand is the demand of one organisation.
type Demand struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Requests, in units of 1/RequestsUnit, and Tokens are requested per second, including requests that were
	// refused. They are integers because these are short on the wire.
	Requests uint32
	Tokens   uint32
	// InFlight is the number of requests in flight.
	InFlight uint32
}

// Evidence counts the responses of one version since the start of a daemon.
type Evidence struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Answers uint64
	Bad     uint64
}

// Sums holds counters summed over a number of daemons.
type Sums struct {
	_       struct{} `cbor:",toarray"`
	Daemons uint32
	// MemberChecksum is the sum of the hashes of the daemons' ids. It shows whether exactly the expected daemons are
	// included, each of them once.
	MemberChecksum uint64
	// OldestGeneration is the oldest table generation in force on any of them.
	OldestGeneration uint64
	Demands          []Demand
	Evidence         []Evidence
}

// Add returns the sum of two sums.
func (s Sums) Add(o Sums) Sums {
	if s.Daemons == 0 {
		return o
	}
	if o.Daemons == 0 {
		return s
	}
	out := Sums{Daemons: s.Daemons + o.Daemons, MemberChecksum: s.MemberChecksum + o.MemberChecksum, OldestGeneration: min(s.OldestGeneration, o.OldestGeneration)}
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

// HallStatus describes the state of one data hall without its counters.
type HallStatus struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Members is the number of usable daemons according to the root; Daemons is how many of them have
	// reported.
	Members uint32
	Daemons uint32
	// Down is the number of listed daemons that the root considers unusable.
	Down uint32
	// Complete is set if exactly the members have reported, each once.
	Complete bool
	// OldestGeneration is the oldest table generation in force on the daemons that have reported.
	OldestGeneration uint64
	// Round increases with every total of the hall, also when its root changes.
	Round uint64
	// AgeMS is the age of the total in milliseconds.
	AgeMS uint64
}

// Stale reports whether the total is too old to be used.
func (s HallStatus) Stale() bool { return s.AgeMS > uint64(StaleAfter.Milliseconds()) }

// HallTotal is the total of one data hall, as its root sends it to the roots of the other halls.
type HallTotal struct {
	_      struct{} `cbor:",toarray"`
	Status HallStatus
	Sums   Sums
}

// Totals are sent from parent to child: the total of the local data hall, the sum of all other halls whose
// totals are not stale, and the state of every hall.
type Totals struct {
	_ struct{} `cbor:",toarray"`
	// Own and Others contain no evidence, which is all in AllEvidence.
	Own    Sums
	Others Sums
	// FreshOthers is the number of data halls included in Others.
	FreshOthers uint32
	// AllEvidence is the evidence of all daemons that are included.
	AllEvidence []Evidence
	Halls       []HallStatus
}

// Evidence returns the evidence on a version from all daemons that are included.
func (t Totals) Evidence(key Key) Evidence { return Sums{Evidence: t.AllEvidence}.EvidenceOf(key) }

// StaleAfter is the age from which a total or the sum of a child is no longer used.
const StaleAfter = 5 * time.Second

// childSums are the sums of a child with the time of their arrival.
type childSums struct {
	sums Sums
	at   time.Time
}

// timedTotal is the total of a data hall with the time at which it was computed.
type timedTotal struct {
	hall HallTotal
	at   time.Time
}

// Tree is the part of the aggregation tree that one daemon keeps. It must be used by one goroutine only.
type Tree struct {
	children map[string]childSums
	// halls holds the totals of the data halls, kept by root daemons.
	halls map[string]timedTotal
	// totals are the latest totals, computed here or received from the parent; totalsAt is when.
	totals   Totals
	totalsAt time.Time
}

// NewTree returns an empty tree.
func NewTree() *Tree {
	return &Tree{children: map[string]childSums{}, halls: map[string]timedTotal{}}
}

// SetChild stores the sums of a child.
func (t *Tree) SetChild(id string, sums Sums, now time.Time) {
	t.children[id] = childSums{sums: sums, at: now}
}

// Sum returns the sum of the daemon's own counters and those of its current children.
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

// ComposeTotal computes the total of the local data hall on the root of its tree, and returns it for the roots of
// the other halls.
func (t *Tree) ComposeTotal(h HallTotal, now time.Time) HallTotal {
	name := h.Status.Name
	// A new root continues above the rounds of the previous one.
	h.Status.Round = max(t.halls[name].hall.Status.Round+1, uint64(now.UnixMilli()))
	t.halls[name] = timedTotal{hall: h, at: now}
	t.totals, t.totalsAt = t.compose(name, now), now
	return h
}

// compose computes the totals from the data that a root has.
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
	slices.SortFunc(out.Halls, func(a, b HallStatus) int { return cmp.Compare(a.Name, b.Name) })
	out.AllEvidence = out.Own.Add(out.Others).Evidence
	out.Own.Evidence, out.Others.Evidence = nil, nil
	return out
}

// SetHall stores the total of another data hall, received from its root.
func (t *Tree) SetHall(h HallTotal, now time.Time) {
	name := h.Status.Name
	if previous, ok := t.halls[name]; ok && h.Status.Round <= previous.hall.Status.Round {
		return
	}
	t.halls[name] = timedTotal{hall: h, at: now.Add(-time.Duration(h.Status.AgeMS) * time.Millisecond)}
}

// SetTotals stores the totals received from the parent.
func (t *Tree) SetTotals(totals Totals, now time.Time) { t.totals, t.totalsAt = totals, now }

// Totals returns the latest totals, with the ages of the halls as of now, and whether they are fresh.
func (t *Tree) Totals(now time.Time) (Totals, bool) {
	since := now.Sub(t.totalsAt)
	out := t.totals
	out.Halls = slices.Clone(out.Halls)
	for i := range out.Halls {
		out.Halls[i].AgeMS += uint64(max(0, since.Milliseconds()))
	}
	return out, since <= StaleAfter
}
