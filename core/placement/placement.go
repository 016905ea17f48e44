// Package placement decides which version an engine is to load or unload next, so that
// each data hall has as many servers of each version as the table specifies. It issues
// one order at a time, because weights are read from a store that limits its rate, and
// never removes a server that is still needed.
package placement

import (
	"cmp"
	"slices"

	"ladderridge.example/core/table"
)

// Engine is one model engine of a data hall.
type Engine struct {
	ID string
	// ChecksFence reports that the engine refuses orders with an outdated fence. An
	// engine that does not check is only ordered to load: a late load order does no
	// harm.
	ChecksFence bool
	Leaving     bool
	// Slots is how many versions fit; 0 is unknown, and the engine then receives no
	// orders.
	Slots int
	// Loaded are the versions that the engine serves, Loading those that it is loading.
	Loaded  []table.Ref
	Loading []table.Ref
	// InFlight is the number of requests in flight.
	InFlight int
}

func (e Engine) has(ref table.Ref) bool {
	return slices.Contains(e.Loaded, ref) || slices.Contains(e.Loading, ref)
}

func (e Engine) free() bool { return len(e.Loaded)+len(e.Loading) < e.Slots }

// Action is the operation that an order requests.
type Action string

// The actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Order is one order to one engine.
type Order struct {
	Engine string    `json:"engine"`
	Action Action    `json:"action"`
	Ref    table.Ref `json:"ref"`
}

// Next returns the next order for a data hall, if there is any.
func Next(t *table.Table, engines []Engine) (Order, bool) {
	for _, e := range engines {
		if len(e.Loading) > 0 {
			return Order{}, false
		}
	}
	versions := slices.Clone(t.Versions)
	slices.SortFunc(versions, func(a, b table.Version) int {
		return cmp.Or(cmp.Compare(a.Status, b.Status), cmp.Compare(a.Ref.String(), b.Ref.String()))
	})
	for _, v := range versions {
		if v.Status == table.Withdrawn || copies(engines, v.Ref) >= v.Copies {
			continue
		}
		if id, ok := place(engines, v.Ref); ok {
			return Order{Engine: id, Action: Load, Ref: v.Ref}, true
		}
		if o, ok := makeRoom(t, engines, v.Ref); ok {
			return o, true
		}
	}
	return unloadWithdrawn(t, engines)
}

// copies returns how many engines that are not leaving have a version.
func copies(engines []Engine, ref table.Ref) int {
	n := 0
	for _, e := range engines {
		if !e.Leaving && e.has(ref) {
			n++
		}
	}
	return n
}

// place returns the least loaded engine that has a free slot for a version.
func place(engines []Engine, ref table.Ref) (string, bool) {
	var best *Engine
	for i, e := range engines {
		if e.Leaving || e.has(ref) || !e.free() {
			continue
		}
		if best == nil || e.InFlight < best.InFlight {
			best = &engines[i]
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// makeRoom unloads a surplus version from an engine that does not have ref yet.
func makeRoom(t *table.Table, engines []Engine, ref table.Ref) (Order, bool) {
	for _, e := range engines {
		if !e.ChecksFence || e.Leaving || e.has(ref) || e.Slots == 0 {
			continue
		}
		for _, loaded := range e.Loaded {
			if surplus(t, engines, loaded) {
				return Order{Engine: e.ID, Action: Unload, Ref: loaded}, true
			}
		}
	}
	return Order{}, false
}

// surplus reports whether a version has more servers than needed. Versions that the
// table does not place are never surplus, withdrawn ones always are.
func surplus(t *table.Table, engines []Engine, ref table.Ref) bool {
	v, known := t.Version(ref)
	switch {
	case !known:
		return false
	case v.Status == table.Withdrawn:
		return true
	}
	return v.Copies > 0 && copies(engines, ref) > v.Copies
}

// unloadWithdrawn unloads withdrawn versions.
func unloadWithdrawn(t *table.Table, engines []Engine) (Order, bool) {
	for _, e := range engines {
		if !e.ChecksFence || e.Leaving {
			continue
		}
		for _, ref := range e.Loaded {
			if v, known := t.Version(ref); known && v.Status == table.Withdrawn && v.Copies > 0 {
				return Order{Engine: e.ID, Action: Unload, Ref: ref}, true
			}
		}
	}
	return Order{}, false
}
