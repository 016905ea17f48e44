package answer_test

import (
	"math/rand/v2"
	"testing"

	"ladderridge.example/core/answer"
	"ladderridge.example/core/fault"
)

// play sends events until the stream is no answer any more, or n events. It returns how many bytes and
// events were accepted.
func play(l answer.Limits, n int, next func(i int) answer.Event) (bytes, events int, err error) {
	s := answer.NewStream(l)
	for i := range n {
		e := next(i)
		if s, err = s.With(e); err != nil {
			return bytes, events, err
		}
		bytes, events = bytes+e.Bytes, events+1
	}
	return bytes, events, nil
}

// soundStream draws a stream of up to as many events as tokens, of up to 1 MB, with up to a thousand
// keep-alive events between them and some events sent twice.
func soundStream(rng *rand.Rand, tokens int) []answer.Event {
	const keepAlive, most = 64, 1 << 20
	var out []answer.Event
	numbered, id := rng.IntN(4) > 0, int64(rng.IntN(100))
	for range 1 + rng.IntN(tokens) {
		if rng.IntN(20) == 0 {
			for range rng.IntN(1000) {
				out = append(out, answer.Event{ID: -1, Bytes: keepAlive, KeepAlive: true})
			}
		}
		e := answer.Event{ID: -1, Bytes: 1 + rng.IntN(most)}
		if numbered {
			e.ID = id
			id += 1 + int64(rng.IntN(2))
		}
		if out = append(out, e); numbered && e.Bytes < keepAlive {
			out = append(out, e)
		}
	}
	return out
}

// Guards against long, bursty or slow answers that are cut: 1,000 drawn streams.
func TestSoundStreamsAreNeverCut(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tokens := 1 + rng.IntN(1000)
		events := soundStream(rng, tokens)
		if _, _, err := play(answer.LimitsFor(tokens), len(events), func(i int) answer.Event { return events[i] }); err != nil {
			t.Errorf("seed %d, %d tokens: %v", seed, tokens, err)
		}
	}
}

// Guards against the processor time that streams without end take: 1,000 drawn ones in each form.
func TestStreamsWithoutEndAreCut(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 2))
		tokens, size, from := 1+rng.IntN(5000), 1+rng.IntN(500), rng.IntN(50)
		limits := answer.LimitsFor(tokens)
		begun := func(endless func(i int) answer.Event) func(i int) answer.Event {
			return func(i int) answer.Event {
				if i < from {
					return answer.Event{ID: int64(i), Bytes: size}
				}
				return endless(i)
			}
		}
		for form, c := range map[string]struct {
			next func(i int) answer.Event
			kind answer.Kind
		}{
			"rising ids":  {begun(func(i int) answer.Event { return answer.Event{ID: int64(i), Bytes: size} }), answer.TooManyEvents},
			"without ids": {begun(func(int) answer.Event { return answer.Event{ID: -1, Bytes: size} }), answer.TooManyEvents},
			"comments":    {begun(func(int) answer.Event { return answer.Event{ID: -1, Bytes: size, KeepAlive: true} }), answer.NoProgress},
			"empty lines": {begun(func(int) answer.Event { return answer.Event{ID: -1, Bytes: 1, KeepAlive: true} }), answer.NoProgress},
			"one id":      {begun(func(int) answer.Event { return answer.Event{ID: 0, Bytes: size} }), answer.NoProgress},
			"falling ids": {begun(func(i int) answer.Event { return answer.Event{ID: int64(1_000_000 - i), Bytes: size} }), answer.NoProgress},
		} {
			bytes, events, err := play(limits, 1<<20, c.next)
			if !fault.Is(err, c.kind) && !fault.Is(err, answer.TooManyEvents) {
				t.Errorf("seed %d, %s: %v", seed, form, err)
			}
			if events > limits.Events+limits.Idle || bytes > size*(limits.Events+from)+2*limits.Idle {
				t.Errorf("seed %d, %s: %d events and %d bytes were accepted", seed, form, events, bytes)
			}
		}
	}
}
