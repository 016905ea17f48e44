package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/notice"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/wire"
)

// Intervals of polls, and limits of the ejection of failing servers.
const (
	// pollInterval is the time between two polls by one daemon. All servers share
	// these polls, so that the work of a daemon does not grow with their number.
	pollInterval = 125 * time.Millisecond
	// ownHallPollInterval and otherHallPollInterval are the minimum times from the
	// last poll or response of a server of the own or another data hall to the next
	// poll.
	ownHallPollInterval   = 2 * time.Second
	otherHallPollInterval = 10 * time.Second
	// busyPollInterval is the minimum time between two polls of a server that answers
	// requests. Its answers report its load, but not which versions it has loaded.
	busyPollInterval = 10 * time.Second
	// ejectThreshold is the number of consecutive failures that ejects a server.
	ejectThreshold = 3
	minEjection    = time.Second
	// maxEjection is the maximum time that a failing server stays ejected.
	maxEjection = 30 * time.Second
)

// backend is the state of one backend server.
type backend struct {
	vm             platform.VM
	state          *route.ServerState
	loaded         []table.Ref
	loading        []table.Ref
	slots          int
	reportedLoad   int
	capacity       int
	loadReportedAt time.Time
	ownInFlight    int
	lastResponse   time.Time
	// lastPollEnd is when the last poll ended, with or without success.
	lastPollEnd time.Time
	// reportedAt is when its last complete report arrived.
	reportedAt    time.Time
	lastPollStart time.Time
	failures      int
	ejectedUntil  time.Time
}

// servers holds the backend servers of all data halls. It is owned by the control
// goroutine.
type servers struct {
	hall string
	byID map[string]*backend
	// sorted contains all servers in the order of their ids.
	sorted []*backend
}

func newServers(hall string) *servers {
	return &servers{hall: hall, byID: map[string]*backend{}}
}

// setVMs replaces the servers by those of a new VM list. It keeps the state of a
// server whose address has not changed.
func (s *servers) setVMs(vms []platform.VM) {
	seen := map[string]bool{}
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			continue
		}
		seen[vm.ID] = true
		if b := s.byID[vm.ID]; b != nil && b.vm.Addr == vm.Addr {
			b.vm = vm
			continue
		}
		s.byID[vm.ID] = &backend{vm: vm, state: &route.ServerState{}}
	}
	for id := range s.byID {
		if !seen[id] {
			delete(s.byID, id)
		}
	}
	s.sorted = slices.SortedFunc(maps.Values(s.byID), func(a, b *backend) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
}

// leaving reports whether a server is leaving according to the VM list, the server
// itself or other daemons.
func (b *backend) leaving(announced func(id string) bool) bool {
	return b.vm.Leaving || b.state.Notices.State().Leaving() || announced(b.vm.ID)
}

// firstPollBatch is the maximum number of servers that are polled at once for the
// first time.
const firstPollBatch = 16

// duePolls returns the servers to poll now: those that were never polled, or else
// the one whose poll is most overdue. Ties are resolved by the random order of the
// map, so that daemons that start together do not all poll the same servers.
func (s *servers) duePolls(now time.Time) []*backend {
	var due []*backend
	for _, b := range s.byID {
		if b.lastPollStart.IsZero() && len(due) < firstPollBatch {
			b.lastPollStart = now
			due = append(due, b)
		}
	}
	if len(due) > 0 {
		return due
	}
	if b := s.mostOverdue(now); b != nil {
		b.lastPollStart = now
		due = append(due, b)
	}
	return due
}

// allPolled reports whether each server of the own data hall has been polled.
func (s *servers) allPolled() bool {
	for _, b := range s.sorted {
		if b.vm.Hall == s.hall && b.lastPollEnd.IsZero() {
			return false
		}
	}
	return true
}

// mostOverdue returns the server whose poll is most overdue, or nil.
func (s *servers) mostOverdue(now time.Time) *backend {
	var due *backend
	var most time.Duration
	for _, b := range s.byID {
		interval := otherHallPollInterval
		if b.vm.Hall == s.hall {
			interval = ownHallPollInterval
		}
		overdue := max(now.Sub(latest(b.lastResponse, b.lastPollStart))-interval, now.Sub(b.lastPollStart)-busyPollInterval)
		if overdue >= 0 && (due == nil || overdue > most) {
			due, most = b, overdue
		}
	}
	return due
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyReport stores the load report that a server sent as the answer to a poll.
func (s *servers) applyReport(e reportEvent, now time.Time) {
	b, r := s.byID[e.server], e.report
	if b == nil {
		return
	}
	b.reportedLoad, b.capacity, b.loadReportedAt, b.ownInFlight = r.InFlight, r.Capacity, now, e.ownInFlight
	b.lastResponse, b.failures, b.ejectedUntil = now, 0, time.Time{}
	b.state.ClearFull()
	if r.Leaving {
		b.state.Notices.Observe(notice.Notice{Leaving: true}, now)
	} else {
		b.state.Notices.ObserveStaying(e.sentAt)
	}
	b.reportedAt, b.lastPollEnd = now, now
	b.loaded, b.loading, b.slots = toRefs(r.Loaded), toRefs(r.Loading), r.Slots
}

func toRefs(loaded []wire.Loaded) []table.Ref {
	out := make([]table.Ref, 0, len(loaded))
	for _, l := range loaded {
		out = append(out, table.Ref{Model: l.Model, Version: l.Version})
	}
	return out
}

// recordAnswer stores the load that a server reported with an answer.
func (s *servers) recordAnswer(id string, inFlight int, now time.Time) {
	b := s.byID[id]
	if b == nil {
		return
	}
	b.lastResponse, b.failures, b.ejectedUntil = now, 0, time.Time{}
	if inFlight >= 0 {
		b.reportedLoad, b.loadReportedAt, b.ownInFlight = inFlight, now, int(b.state.InFlight.Load())
	}
}

// recordPollFailure records a failed poll as a failure of the server.
func (s *servers) recordPollFailure(id string, now time.Time) {
	if b := s.byID[id]; b != nil {
		b.lastPollEnd = now
	}
	s.recordFailure(id, now)
}

// recordFailure counts a failure, and ejects the server after ejectThreshold
// consecutive failures. Each further failure doubles the ejection, up to maxEjection.
func (s *servers) recordFailure(id string, now time.Time) {
	b := s.byID[id]
	if b == nil {
		return
	}
	b.failures++
	if b.failures >= ejectThreshold {
		ejection := minEjection << min(b.failures-ejectThreshold, 8)
		b.ejectedUntil = now.Add(min(ejection, maxEjection))
	}
}

// recordDecline records that a server has not loaded a version, or is full. A server that has
// not loaded the version is polled at once, to find out what it has loaded.
func (s *servers) recordDecline(id string, notLoaded table.Ref, now time.Time) {
	b := s.byID[id]
	switch {
	case b == nil:
	case notLoaded != table.Ref{}:
		b.loaded = slices.DeleteFunc(slices.Clone(b.loaded), func(r table.Ref) bool { return r == notLoaded })
		b.lastPollStart = time.Time{}
	default:
		b.reportedLoad, b.loadReportedAt, b.ownInFlight = max(b.reportedLoad, b.capacity), now, int(b.state.InFlight.Load())
	}
}

// fillView sets the engines and services of a view. announced reports whether other
// daemons have announced that a server is leaving.
func (s *servers) fillView(v *route.View, announced func(id string) bool) {
	v.Engines = map[table.Ref][]*route.Server{}
	v.Services = map[string][]*route.Server{}
	for _, b := range s.sorted {
		server := &route.Server{
			ID: b.vm.ID, Addr: b.vm.Addr, Hall: b.vm.Hall,
			Leaving:  b.leaving(announced),
			Reported: b.reportedLoad, Capacity: b.capacity, ReportedAt: b.loadReportedAt, OwnAtReport: b.ownInFlight,
			EjectedUntil: b.ejectedUntil, State: b.state,
		}
		for _, ref := range b.loaded {
			v.Engines[ref] = append(v.Engines[ref], server)
		}
		if b.vm.Role == platform.RoleService {
			v.Services[b.vm.Service] = append(v.Services[b.vm.Service], server)
		}
	}
}
