package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"
	"ladderridge.example/core/placement"
	"ladderridge.example/core/table"
)

// TestPlacementAgainstOracle executes the orders on random engines. A version never
// loses a server that it needs, engines that do not check fences are only ordered to
// load, and finally the numbers of the table are reached where there are free slots.
func TestPlacementAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab table.Table
		for i := range rapid.IntRange(1, 4).Draw(t, "versions") {
			tab.Versions = append(tab.Versions, table.Version{
				Ref:    table.Ref{Model: "m", Version: fmt.Sprint("v", i)},
				Copies: rapid.IntRange(0, 3).Draw(t, "copies"),
				Status: rapid.SampledFrom([]table.Status{table.Steady, table.RollingOut, table.Withdrawn}).Draw(t, "status"),
			})
		}
		var engines []placement.Engine
		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			e := placement.Engine{ID: fmt.Sprint("e", i), ChecksFence: rapid.Bool().Draw(t, "checks"), Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
			for _, v := range tab.Versions[:rapid.IntRange(0, min(e.Slots, len(tab.Versions))).Draw(t, "loaded")] {
				e.Loaded = append(e.Loaded, v.Ref)
			}
			engines = append(engines, e)
		}
		for range 40 {
			before := counts(engines)
			o, ok := placement.Next(table.New(tab), engines)
			if !ok {
				checkReached(t, tab, engines)
				return
			}
			execute(t, engines, o)
			after := counts(engines)
			for _, v := range tab.Versions {
				if v.Status != table.Withdrawn && after[v.Ref] < before[v.Ref] && after[v.Ref] < v.Copies {
					t.Fatalf("%+v removes a server that %s needs", o, v.Ref)
				}
			}
		}
		t.Fatal("the orders do not end")
	})
}

func counts(engines []placement.Engine) map[table.Ref]int {
	out := map[table.Ref]int{}
	for _, e := range engines {
		for _, ref := range e.Loaded {
			out[ref]++
		}
	}
	return out
}

func execute(t *rapid.T, engines []placement.Engine, o placement.Order) {
	i := slices.IndexFunc(engines, func(e placement.Engine) bool { return e.ID == o.Engine })
	e := &engines[i]
	if o.Action == placement.Load {
		if len(e.Loaded) >= e.Slots || slices.Contains(e.Loaded, o.Ref) {
			t.Fatalf("%+v does not fit", o)
		}
		e.Loaded = append(slices.Clone(e.Loaded), o.Ref)
		return
	}
	if !e.ChecksFence {
		t.Fatalf("%+v goes to an engine that does not check fences", o)
	}
	e.Loaded = slices.DeleteFunc(slices.Clone(e.Loaded), func(ref table.Ref) bool { return ref == o.Ref })
}

// checkReached checks that no version lacks a server for which there is a free slot.
func checkReached(t *rapid.T, tab table.Table, engines []placement.Engine) {
	loaded := counts(engines)
	for _, v := range tab.Versions {
		if v.Status == table.Withdrawn || loaded[v.Ref] >= v.Copies {
			continue
		}
		for _, e := range engines {
			if len(e.Loaded) < e.Slots && !slices.Contains(e.Loaded, v.Ref) {
				t.Fatalf("%s has %d of %d servers although %s has a free slot", v.Ref, loaded[v.Ref], v.Copies, e.ID)
			}
		}
	}
}
