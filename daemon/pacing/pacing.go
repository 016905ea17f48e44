// Package pacing shares the pace of the model servers among the daemons, and records it
// in the state of the servers for the choice of a server.
package pacing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/pace"
)

// ownInterval is the minimum time between two updates of the servers by this daemon's
// own observations: the interval between two totals.
const ownInterval = 450 * time.Millisecond

// Tracker implements storesync.Figures for the pace of servers. It is safe for concurrent
// use.
type Tracker struct {
	// Servers returns the current list of servers, or nil if there is none. It is set
	// before use.
	Servers func() *fleet.List
	// Includes reports whether the pace of a server is tracked. It must not differ
	// between daemons. nil includes the servers that run models.
	Includes func(s *fleet.Server) bool

	mu      sync.Mutex
	tracker *pace.Tracker
	// list is the list of servers as of the last call, servers are those included.
	list    *fleet.List
	servers []*fleet.Server
	index   map[fleet.Incarnation]int
	// ownAppliedAt is when own observations were last recorded in the servers.
	ownAppliedAt time.Time
}

// New returns a tracker without figures.
func New() *Tracker { return &Tracker{tracker: pace.NewTracker()} }

// Observe records the time of a complete, successful answer relative to what such an
// answer takes elsewhere; 1 is usual.
func (t *Tracker) Observe(s *fleet.Server, ratio float64, now time.Time) {
	t.observe(s, ratio, now, t.tracker.Observe)
}

// ObserveReported records a figure that a server has reported of itself, on the same
// scale.
func (t *Tracker) ObserveReported(s *fleet.Server, ratio float64, now time.Time) {
	t.observe(s, ratio, now, t.tracker.ObserveReported)
}

func (t *Tracker) observe(s *fleet.Server, ratio float64, now time.Time, record func(pace.Observation, time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateServers()
	if i, ok := t.index[s.Incarnation()]; ok {
		record(pace.Observation{Server: i, Ratio: ratio}, now)
		t.applyOwn(now)
	}
}

// Report returns the figures of this daemon, or nil if there are none.
func (t *Tracker) Report(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateServers()
	t.applyOwn(now)
	return t.tracker.Report(now)
}

// SetDaemon records the report of a daemon of this hall.
func (t *Tracker) SetDaemon(id string, data []byte, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateServers()
	t.tracker.SetDaemon(id, data, now)
}

// HallReport returns the sum of this hall for the readers of other halls, or nil.
func (t *Tracker) HallReport(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateServers()
	return t.tracker.HallReport(now)
}

// SetHall records the sum of another hall.
func (t *Tracker) SetHall(hall string, data []byte, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateServers()
	t.tracker.SetHall(hall, data, now)
}

// Total returns the paces of all servers for the daemons of this hall, or nil.
func (t *Tracker) Total(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateServers()
	return t.tracker.Total(now)
}

// SetTotal records the paces of all servers.
func (t *Tracker) SetTotal(data []byte, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateServers()
	if t.tracker.SetTotal(data, now) {
		t.apply(now)
	}
}

// Malformed returns how many messages could not be decoded.
func (t *Tracker) Malformed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.Malformed()
}

// updateServers passes the list of servers to the tracker if it has changed.
func (t *Tracker) updateServers() {
	list := t.Servers()
	if list == nil || list == t.list {
		return
	}
	t.list, t.servers, t.index = list, nil, map[fleet.Incarnation]int{}
	for _, s := range list.All() {
		if t.includes(s) {
			t.servers = append(t.servers, s)
		}
	}
	slices.SortFunc(t.servers, func(a, b *fleet.Server) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born), cmp.Compare(a.Service, b.Service))
	})
	listed := make([]pace.Server, len(t.servers))
	for i, s := range t.servers {
		listed[i] = pace.Server{Name: s.Incarnation().String(), Service: s.Service}
		t.index[s.Incarnation()] = i
	}
	t.tracker.SetServers(listed)
}

func (t *Tracker) includes(s *fleet.Server) bool {
	if t.Includes == nil {
		return len(s.Models) > 0
	}
	return t.Includes(s)
}

// applyOwn records the paces in the servers if there is no recent total.
func (t *Tracker) applyOwn(now time.Time) {
	if t.tracker.HasTotal(now) || now.Sub(t.ownAppliedAt) < ownInterval {
		return
	}
	t.ownAppliedAt = now
	t.apply(now)
}

func (t *Tracker) apply(now time.Time) {
	for i, p := range t.tracker.Paces(now) {
		if p > 0 {
			t.servers[i].State.SetPace(p, now)
		}
	}
}
