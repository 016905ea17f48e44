package reach_test

import (
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/reach"
)

func candidates(hall string, ids ...string) []reach.Candidate {
	var out []reach.Candidate
	for _, id := range ids {
		out = append(out, reach.Candidate{ID: id, Hall: hall})
	}
	return out
}

// All VMs without a path once chose the same helper.
func TestCutDaemonsSpreadOverHelpers(t *testing.T) {
	now := time.Unix(1000, 0)
	all := candidates("h", "a", "b", "c")
	serving := map[string]int{}
	for n := range 4 {
		h := &reach.Helpers{Self: fmt.Sprint("cut-", n)}
		for range 30 {
			id, ok := h.Choose(all, reach.Request{Addr: "s", Hall: "h", OwnHall: "h"}, now)
			if !ok {
				t.Fatal("no helper")
			}
			serving[id]++
			h.Opened(id)
			h.Answered(id, "s", reach.Connected, serving[id], now)
		}
	}
	for id, n := range serving {
		if n < 30 || n > 50 {
			t.Errorf("%s serves %d of 120", id, n)
		}
	}
}

func TestHelpersNearbyAreAskedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &reach.Helpers{Self: "self"}
	all := append(candidates("far", "a", "b", "c", "d"), candidates("near", "e")...)
	r := reach.Request{Addr: "s", Hall: "near", OwnHall: "own"}
	if id, _ := h.Choose(all, r, now); id != "e" {
		t.Errorf("chose %s", id)
	}
	h.Answered("e", "s", reach.Connected, 9, now)
	if id, _ := h.Choose(all, r, now); id == "e" {
		t.Error("chose a busy helper although others are idle")
	}
}

// A helper that could not help is not asked again at once; one that does not reach one server may
// reach another.
func TestHelpersThatCannotHelpAreLeftOut(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		answer reach.Answer
		pause  time.Duration
		other  bool
	}{
		{reach.CutOff, time.Second, true},
		{reach.Full, time.Second, false},
		{reach.Silent, time.Second, false},
		{reach.Stopping, 3 * time.Second, false},
		{reach.Unsupported, 30 * time.Second, false},
	} {
		h := &reach.Helpers{Self: "self"}
		all := candidates("h", "a")
		h.Answered("a", "s", c.answer, 0, start)
		choose := func(addr string, now time.Time) bool {
			_, ok := h.Choose(all, reach.Request{Addr: addr, Hall: "h", OwnHall: "h"}, now)
			return ok
		}
		if choose("s", start) || choose("s", start.Add(c.pause-time.Millisecond)) || !choose("s", start.Add(c.pause)) {
			t.Errorf("%v: not left out for %v", c.answer, c.pause)
		}
		if choose("t", start) != c.other {
			t.Errorf("%v: asked for another server: %v", c.answer, !c.other)
		}
		h.Answered("a", "t", reach.CutOff, 0, start)
		if choose("u", start) {
			t.Errorf("%v: asked although it does not reach two servers", c.answer)
		}
	}
}

// The state of daemons that are gone must not grow without bound.
func TestHelpersThatAreGoneAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	h := &reach.Helpers{Self: "self"}
	for _, id := range []string{"gone", "busy"} {
		h.Answered(id, "s", reach.Unsupported, 0, now)
	}
	h.Opened("busy")
	h.Prune(func(string) bool { return false }, now)
	r := reach.Request{Addr: "s", Hall: "h", OwnHall: "h"}
	if id, ok := h.Choose(candidates("h", "gone", "busy"), r, now); !ok || id != "gone" || h.Open() != 1 {
		t.Errorf("chose %q, %v; %d open", id, ok, h.Open())
	}
}
