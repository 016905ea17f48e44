package fleet

import (
	"sync"
	"time"
)

// Hall is what this daemon's requests have seen of a data hall's servers
// together. When the way to a hall is cut, each of its servers would cost some
// requests a time-out; here the first few tell for all.
type Hall struct {
	mu sync.Mutex
	// failed are the servers that could not be reached, broke off or timed out
	// since one of the hall last answered.
	failed map[*Load]bool
	until  time.Time
	rest   time.Duration
}

const (
	// hallFailed is how many servers must fail so, with none answering, for a
	// hall to rest: one or two may have crashed at once.
	hallFailed = 3
	// hallRestFloor and hallRestCeiling bound the rest, which doubles. After
	// it requests try the hall again.
	hallRestFloor   = time.Second
	hallRestCeiling = 2 * time.Second
	// hallProbeEvery is the time between two requests that try a hall after
	// its rest, until one is answered.
	hallProbeEvery = 300 * time.Millisecond
)

// NewHall returns a hall of which nothing has been seen.
func NewHall() *Hall { return &Hall{failed: map[*Load]bool{}} }

func (h *Hall) resting(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Before(h.until)
}

func (h *Hall) failure(l *Load, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed[l] = true
	if len(h.failed) < hallFailed || now.Before(h.until) {
		return
	}
	h.rest = min(max(2*h.rest, hallRestFloor), hallRestCeiling)
	h.until = now.Add(h.rest)
}

// taken notes that a request goes to the hall. If it tries whether the hall is
// back, others wait for what comes of it.
func (h *Hall) taken(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.failed) >= hallFailed && !now.Before(h.until) {
		h.until = now.Add(hallProbeEvery)
	}
}

func (h *Hall) answered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.failed) == 0 {
		return
	}
	clear(h.failed)
	h.until, h.rest = time.Time{}, 0
}
