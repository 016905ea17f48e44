package contact_test

import (
	"testing"
	"time"

	"ladderridge.example/core/contact"
)

// A daemon that was slow for its own reasons, or whose calls are answered late, took its path to the
// store for lost and went on with an old configuration.
func TestSlowPathIsNotTakenForALostOne(t *testing.T) {
	const silence = 3 * time.Second
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	failed := func(from int) contact.Event {
		return contact.CallFailed{Start: at(from), TimedOut: true}
	}
	heard := func(from, to int) contact.Event { return contact.Heard{Start: at(from), End: at(to)} }
	for name, c := range map[string]struct {
		events []contact.Event
		nowMS  int
		lost   bool
	}{
		"nothing has failed":                {nil, 5000, false},
		"refused":                           {[]contact.Event{contact.CallFailed{Start: at(0)}}, 2, true},
		"refused, then answered":            {[]contact.Event{contact.CallFailed{Start: at(0)}, contact.Answered{Start: at(5), End: at(9)}}, 10, false},
		"refused, then confirmed":           {[]contact.Event{contact.CallFailed{Start: at(0)}, contact.Confirmed{At: at(5)}}, 10, false},
		"confirmed, then refused":           {[]contact.Event{contact.Confirmed{At: at(-5)}, contact.CallFailed{Start: at(0)}}, 10, true},
		"timed out, others prompt":          {[]contact.Event{failed(0), heard(100, 120)}, 500, true},
		"timed out, others slow":            {[]contact.Event{failed(0), heard(100, 480)}, 2900, false},
		"timed out, others prompt before":   {[]contact.Event{heard(-100, -80), failed(0)}, 500, false},
		"timed out while not run":           {[]contact.Event{failed(0), heard(100, 120), contact.Delayed{Start: at(200), End: at(420)}}, 500, false},
		"run a little late":                 {[]contact.Event{failed(0), heard(100, 120), contact.Delayed{Start: at(200), End: at(350)}}, 500, true},
		"timed out, a late answer":          {[]contact.Event{failed(0), heard(100, 120), contact.Answered{Start: at(-700), End: at(450)}}, 500, false},
		"answered after it was called late": {[]contact.Event{contact.Answered{Start: at(0), End: at(490)}, failed(0), heard(100, 120)}, 510, false},
		"nobody heard, not for long":        {[]contact.Event{failed(0)}, 2900, false},
		"nobody heard for long":             {[]contact.Event{failed(0), failed(600)}, 3000, true},
		"heard, but slowly":                 {[]contact.Event{failed(0), heard(900, 1900)}, 3000, false},
	} {
		var s contact.State
		for _, e := range c.events {
			s = s.With(e)
		}
		if got := s.Lost(at(c.nowMS), silence); got != c.lost {
			t.Errorf("%s: lost is %v", name, got)
		}
	}
}
