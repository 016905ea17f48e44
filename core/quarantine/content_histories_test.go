package quarantine_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

// drawContentHistory returns a history of requests that have one part, their whole content. One content
// crashes servers, from the first request on or after it was answered, those of all versions or of one of
// two, at the start of a run, later, or right after a complete answer. Many callers send some others, which
// are in flight at most crashes.
func drawContentHistory(seed uint64) *history {
	h := newHistory(seed, quarantine.NewContentRegistry, quarantine.CrashThreshold)
	h.byRequest, h.reported = map[uint64]bool{}, map[uint64]bool{}
	h.loss, h.otherCrashes = h.rng.Float64()*0.2, h.rng.Float64()*0.3
	h.drawDaemonsAndServers()
	if h.rng.IntN(3) == 0 {
		share := 0.1 + 0.6*h.rng.Float64()
		for _, s := range h.servers {
			if h.rng.Float64() < share {
				s.group = 2
			}
		}
		if h.rng.IntN(2) == 0 {
			h.crashGroup = 2
		}
	}
	switch h.rng.IntN(3) {
	case 0:
		h.crashAfter = func() time.Duration { return h.between(20*time.Millisecond, 100*time.Millisecond) }
	case 1:
		h.crashAfter = func() time.Duration { return h.between(100*time.Millisecond, 900*time.Millisecond) }
	default:
		h.crashAfter = func() time.Duration { return h.between(200*time.Millisecond, 600*time.Millisecond) }
		h.answerBefore = h.between(10*time.Millisecond, 100*time.Millisecond)
	}
	h.crashing = []quarantine.Part{1000}
	h.crashFrom = h.now
	if h.rng.IntN(3) > 0 {
		h.crashFrom = h.now.Add(h.between(0, 10*time.Second))
	}
	popular, soundRate, crashRate := 1+h.rng.IntN(5), 5+h.rng.Float64()*60, 0.5+h.rng.Float64()*10
	h.poisson(soundRate, func() { h.arrive([]quarantine.Part{quarantine.Part(1 + h.rng.IntN(popular))}, true) })
	h.after(time.Second, func() { h.poisson(crashRate, func() { h.arrive([]quarantine.Part{1000}, false) }) })
	h.poisson(h.otherCrashes, func() {
		if s := h.servers[h.rng.IntN(len(h.servers))]; s.up {
			h.crash(s)
		}
	})
	h.drawTroubles()
	h.tick(0)
	return h
}

// Guards against a request that goes on reaching servers after the third crash, since it was answered
// before, by another version or right before each crash, and against contents that are refused since many
// callers send them, so that they are in flight at whatever server crashes: both sides of one decision, over
// drawn histories.
func TestCrashingContentIsStoppedAndPopularOnesAreNot(t *testing.T) {
	first := *firstHistory
	var sound, refused atomic.Int64
	t.Run("history", func(t *testing.T) {
		for seed := first; seed < first+drawnHistories; seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				h := drawContentHistory(seed)
				h.run()
				if n := h.late[1000]; n > 3 {
					t.Errorf("the request reached servers %d times later than contactTime after word of its third crash, %d crashes", n, len(h.crashes[1000]))
				}
				if 2*h.refused > h.sound {
					t.Errorf("%d of %d sound requests refused", h.refused, h.sound)
				}
				sound.Add(int64(h.sound))
				refused.Add(int64(h.refused))
			})
		}
	})
	if 100*refused.Load() > sound.Load() {
		t.Errorf("%d of %d sound requests refused: more than one in a hundred", refused.Load(), sound.Load())
	}
	t.Logf("%d of %d sound requests refused", refused.Load(), sound.Load())
}
