package quarantine_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

// planNews is when daemons learn of planned ends.
type planNews int

const (
	// newsFirst: all daemons know before the first exit.
	newsFirst planNews = iota
	// newsLate: most daemons know by a second after the order, some by four.
	newsLate
	// newsLost: as newsLate, but some daemons never know.
	newsLost
)

// planEnds plans the end of servers: the operator's order comes at a time, the exits follow, and each daemon
// learns of the order.
func (h *history) planEnds(order time.Duration, servers []*modelServer, news planNews) {
	var ids []uint64
	for _, s := range servers {
		ids = append(ids, s.id)
	}
	exits, spread := order+h.between(0, 300*time.Millisecond), h.between(time.Millisecond, 3*time.Second)
	if h.rng.IntN(2) == 0 {
		spread = time.Millisecond
	}
	for i, s := range servers {
		h.after(exits+h.between(0, spread), func() {
			if s.up && s.id == ids[i] {
				h.crash(s)
				s.group = 2
			}
		})
	}
	for _, d := range h.daemons {
		at := order + h.between(0, time.Second)
		switch n := h.rng.IntN(8); {
		case news == newsFirst:
			at = order
		case n == 0:
			at = order + h.between(time.Second, 4*time.Second)
		case n == 1 && news == newsLost:
			continue
		}
		h.after(at, func() {
			for _, id := range ids {
				d.planned.Add(id, h.now)
			}
		})
	}
}

// drawPlannedEnds plans one or two ends of one to all servers.
func (h *history) drawPlannedEnds(news planNews) {
	h.noticed = time.Second
	for range 1 + h.rng.IntN(2) {
		servers := slices.Clone(h.servers)
		h.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
		n := len(servers)
		if h.rng.IntN(2) == 0 {
			n = 1 + h.rng.IntN(n)
		}
		h.planEnds(h.between(3*time.Second, 12*time.Second), servers[:n], news)
	}
}

// drawPlannedHistory returns a history of sound requests, by their parts or their whole content, some of
// which most requests share, and of planned ends.
func drawPlannedHistory(seed uint64, news planNews) *history {
	parts := seed%2 == 0
	h := newHistory(seed, quarantine.NewContentRegistry, quarantine.CrashThreshold)
	if parts {
		h = newHistory(seed, quarantine.NewPartRegistry, quarantine.PartCrashThreshold)
	} else {
		// The suspects of an exit include requests that were just answered.
		h.byRequest = map[uint64]bool{}
	}
	h.loss = h.rng.Float64() * 0.2
	h.drawDaemonsAndServers()
	firsts, documents := 1+h.rng.IntN(4), 1+h.rng.IntN(20)
	h.poisson(20+h.rng.Float64()*180, func() {
		request := []quarantine.Part{quarantine.Part(1 + h.rng.IntN(firsts))}
		if parts {
			request = append(request, quarantine.Part(100+h.rng.IntN(documents)))
		}
		h.arrive(request, true)
	})
	h.drawPlannedEnds(news)
	h.tick(0)
	return h
}

// eachPlannedHistory plays drawn histories of planned ends, and reports those in which sound requests are
// refused.
func eachPlannedHistory(t *testing.T, news planNews) {
	t.Helper()
	const groups = 10
	first := *firstHistory
	for group := range uint64(groups) {
		t.Run(strconv.FormatUint(group, 10), func(t *testing.T) {
			t.Parallel()
			broken, sound := 0, 0
			for seed := first + group; seed < first+drawnHistories; seed += groups {
				h := drawPlannedHistory(seed, news)
				h.run()
				sound += h.sound
				if h.refused > 0 {
					broken++
					t.Errorf("seed %d: %d of %d sound requests refused", seed, h.refused, h.sound)
				}
			}
			t.Logf("%d histories, %d with refusals, %d sound requests", drawnHistories/groups, broken, sound)
		})
	}
}

// Guards against sound requests that are refused since their servers ended as planned, at once or one after
// the other, while the requests were in flight or had just been answered.
func TestPlannedEndsRefuseNoSoundRequests(t *testing.T) { eachPlannedHistory(t, newsFirst) }

// Guards against the same while the news of the plan arrives after the exits, or never.
func TestLateNewsOfPlannedEndsRefusesNoSoundRequests(t *testing.T) { eachPlannedHistory(t, newsLost) }

// Guards against crashing parts that are served on since some of their servers were due to end, and against
// planned ends that have their neighbours refused.
func TestCrashingPartIsConfinedBesidePlannedEnds(t *testing.T) {
	const groups = 10
	for group := range uint64(groups) {
		t.Run(strconv.FormatUint(group, 10), func(t *testing.T) {
			t.Parallel()
			for seed := *firstHistory + group; seed < *firstHistory+drawnHistories; seed += groups {
				h := drawHistory(seed)
				h.drawPlannedEnds(newsLate)
				h.run()
				for p, n := range h.late {
					if n > 3 {
						t.Errorf("seed %d: part %d reached servers %d times later than contactTime after its fifth crash, %d crashes", seed, p, n, len(h.crashes[p]))
					}
				}
				if h.sound >= 20 && 2*h.refused > h.sound {
					t.Errorf("seed %d: %d of %d sound requests refused", seed, h.refused, h.sound)
				}
			}
		})
	}
}
