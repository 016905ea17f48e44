package fleet

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// HallState is the reachability of a data hall, derived from this daemon's requests to
// all of its servers. When the network path to a hall fails, each of its servers would
// cost some requests a time-out. Here the first few failures back off the whole hall.
type HallState struct {
	mu sync.Mutex
	// failed holds the servers that were unreachable, broke the connection or timed out
	// since any server of the hall last answered.
	failed  map[*ServerState]bool
	backoff time.Duration

	// until is when the back-off ends, as a duration since began. It is atomic because
	// each choice of a server reads it for each server, and a lock took a third of the
	// time of a choice.
	until atomic.Int64
	began time.Time
}

// never is the end of a back-off that ended long ago.
const never = math.MinInt64

const (
	// hallFailureThreshold is how many servers must fail, with none answering, before
	// the hall is backed off: one or two may have crashed at the same time.
	hallFailureThreshold = 3
	// hallBackoffMin and hallBackoffMax bound the back-off, which doubles. When it
	// ends, requests probe the hall again.
	hallBackoffMin = time.Second
	hallBackoffMax = 2 * time.Second
	// hallProbeInterval is the time between two requests that probe a hall after its
	// back-off, until one is answered.
	hallProbeInterval = 300 * time.Millisecond
)

// NewHallState returns the state of a hall to which nothing has been sent.
func NewHallState() *HallState {
	h := &HallState{failed: map[*ServerState]bool{}, began: time.Now()}
	h.until.Store(never)
	return h
}

func (h *HallState) inBackoff(now time.Time) bool { return int64(now.Sub(h.began)) < h.until.Load() }

// backoffUntil sets the end of the back-off.
func (h *HallState) backoffUntil(at time.Time) { h.until.Store(int64(at.Sub(h.began))) }

func (h *HallState) failure(l *ServerState, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failed[l] = true
	if len(h.failed) < hallFailureThreshold || h.inBackoff(now) {
		return
	}
	h.backoff = min(max(2*h.backoff, hallBackoffMin), hallBackoffMax)
	h.backoffUntil(now.Add(h.backoff))
}

// recordRequest records that a request is sent to the hall. If it probes a hall after
// its back-off, other requests wait for the result.
func (h *HallState) recordRequest(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.failed) >= hallFailureThreshold && !h.inBackoff(now) {
		h.backoffUntil(now.Add(hallProbeInterval))
	}
}

func (h *HallState) answered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.failed) == 0 {
		return
	}
	clear(h.failed)
	h.backoff = 0
	h.until.Store(never)
}
