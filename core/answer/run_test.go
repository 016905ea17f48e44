package answer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ladderridge.example/core/answer"
)

// server is one of the servers that send a stream in turn.
type server struct {
	// known is the number of events of the answer as this server has it.
	known int64
	// stops is after how many events it stops; how is what happens then.
	stops int
	how   func(answer.Run) (answer.Run, answer.Next)
	// anew is set if it sends the answer from its beginning, whatever it is asked for.
	anew bool
}

func ended(r answer.Run) (answer.Run, answer.Next) {
	r, next, _ := r.Ended()
	return r, next
}

func interrupted(r answer.Run) (answer.Run, answer.Next) { return r, r.Interrupted() }
func refuted(r answer.Run) (answer.Run, answer.Next)     { return r, r.Refuted() }

// send plays the servers in turn until one has completed the stream or none may. It returns the server of each
// event that the caller received.
func send(servers []server, from int64) (events []int, complete bool) {
	caller := answer.ReceivedUpTo(from)
	for i, s := range servers {
		run, sent := answer.NewRun(answer.LimitsFor(0), caller), 0
		id := max(caller.After(), 0) + 1
		if s.anew {
			id = 1
		}
		end := s.how
		for ; id <= s.known; id++ {
			if sent++; s.stops > 0 && sent > s.stops {
				break
			}
			next, forward, err := run.With(answer.Event{ID: id, Bytes: 20})
			if err != nil {
				end = refuted
				break
			}
			if run = next; forward {
				events = append(events, i)
			}
		}
		if end == nil || (id > s.known && s.stops == 0) {
			end = ended
		}
		run, next := end(run)
		caller = run.Received()
		switch next.(type) {
		case answer.Complete:
			return events, true
		case answer.Abandon:
			return events, false
		case answer.Continue:
		}
	}
	return events, false
}

// Guards against a stream that counts as complete though the server that ended it knows fewer events, or after
// events of a server whose bytes proved to be no answer. Sound servers' streams are completed: 1,000 drawn
// answers, taken up by up to three servers, beside 1,000 in which the first server is faulty.
func TestStreamIsCompleteOnlyOnTheWordOfAServerThatKnowsItsEvents(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		length := 1 + rng.Int64N(30)
		sound := server{known: length, anew: rng.IntN(4) == 0}
		broken := func() server {
			return server{known: length, stops: 1 + rng.IntN(int(length)), how: interrupted, anew: rng.IntN(4) == 0}
		}
		from := rng.Int64N(length+1) - 1
		if from == 0 {
			from = -1
		}
		var servers []server
		for range rng.IntN(3) {
			servers = append(servers, broken())
		}
		// The second sound server confirms an end that the first one could not know.
		servers = append(servers, sound, sound)
		events, complete := send(servers, from)
		if want := length - max(from, 0); !complete || int64(len(events)) != want {
			t.Errorf("seed %d: %d of %d events, complete %v", seed, len(events), want, complete)
		}

		for name, faulty := range map[string]server{
			"more events than the answer has": {known: length + 1 + rng.Int64N(30), how: interrupted, stops: int(length + 1)},
			"no answer, after some events":    {known: length + 30, how: refuted, stops: 1 + rng.IntN(int(length)+20)},
		} {
			if events, complete := send([]server{faulty, sound, sound, sound}, -1); complete {
				t.Errorf("seed %d, %s: complete after %d of %d events", seed, name, len(events), length)
			}
		}
	}
}

// Guards against an end that is asked for again and again: a server that is asked for the last event again and
// does not send it settles that the stream cannot be completed.
func TestDeniedEndIsFinal(t *testing.T) {
	caller := answer.ReceivedUpTo(15)
	run, next, err := answer.NewRun(answer.LimitsFor(0), caller).Ended()
	if _, ok := next.(answer.Continue); !ok || err == nil || run.Received().After() != 14 {
		t.Fatalf("the first end: %T, %v, continues after %d", next, err, run.Received().After())
	}
	if _, next, err = answer.NewRun(answer.LimitsFor(0), run.Received()).Ended(); err == nil || fmt.Sprintf("%T", next) != "answer.Abandon" {
		t.Errorf("the second end: %T, %v", next, err)
	}
}

// Guards against events that are not numbered as those of an answer are, and pass for a part of one.
func TestEventsOfAnAnswerAreNumberedWithoutAGap(t *testing.T) {
	for _, c := range []struct {
		from int64
		ids  []int64
		ok   bool
	}{
		{-1, []int64{1, 2, 3}, true},
		{-1, []int64{0, 1, 2}, true},
		{4, []int64{5, 6}, true},
		{4, []int64{1, 2, 3, 4, 5}, true},
		{4, []int64{3, 4, 5}, true},
		{-1, []int64{2, 3}, false},
		{-1, []int64{1, 3}, false},
		{-1, []int64{1, 1}, false},
		{-1, []int64{1, 2, 1}, false},
		{-1, []int64{-1}, false},
		{-1, []int64{1, -1}, false},
		{4, []int64{6}, false},
		{4, []int64{1, 5}, false},
		{4, []int64{-1}, false},
	} {
		run, err := answer.NewRun(answer.LimitsFor(0), answer.ReceivedUpTo(c.from)), error(nil)
		for _, id := range c.ids {
			if run, _, err = run.With(answer.Event{ID: id, Bytes: 9}); err != nil {
				break
			}
		}
		if (err == nil) != c.ok {
			t.Errorf("events %v behind %d: %v", c.ids, c.from, err)
		}
	}
}
