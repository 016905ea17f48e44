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

// The times by which backend servers are polled and ejected.
const (
	// pollEvery is the time between two polls by one daemon; the servers share
	// them, so that a daemon's work does not grow with their number.
	pollEvery = 125 * time.Millisecond
	// pollOwn and pollOther are the least times between two polls of a server
	// of the own and of another data hall, if it has not been heard from.
	pollOwn   = 2 * time.Second
	pollOther = 10 * time.Second
	// pollBusy is that of a server whose answers bring its load, but not what
	// it has loaded.
	pollBusy = 10 * time.Second
	// ejectAfter is how many failures in a row eject a server.
	ejectAfter = 3
	ejectFloor = time.Second
	// ejectCeiling bounds how long a failing server stays out.
	ejectCeiling = 30 * time.Second
)

// backend is what is known of one backend server.
type backend struct {
	vm       platform.VM
	load     *route.ServerState
	loaded   []table.Ref
	loading  []table.Ref
	slots    int
	reported int
	capacity int
	at       time.Time
	own      int
	heard    time.Time
	// answered is when a poll of it last ended, well or not.
	answered time.Time
	// reportedAt is when its last whole report came.
	reportedAt time.Time
	polled     time.Time
	failures   int
	ejected    time.Time
}

// servers are the backend servers of all data halls. They are owned by the
// control goroutine.
type servers struct {
	hall string
	byID map[string]*backend
	// sorted are all of them in the order of their ids.
	sorted []*backend
}

func newServers(hall string) *servers {
	return &servers{hall: hall, byID: map[string]*backend{}}
}

// list takes a new list of VMs.
func (s *servers) list(vms []platform.VM) {
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
		s.byID[vm.ID] = &backend{vm: vm, load: &route.ServerState{}}
	}
	for id := range s.byID {
		if !seen[id] {
			delete(s.byID, id)
		}
	}
	s.sorted = slices.SortedFunc(maps.Values(s.byID), func(a, b *backend) int { return cmp.Compare(a.vm.ID, b.vm.ID) })
}

// goes reports whether a server is leaving by anybody's word: the list's, its
// own, or other daemons'.
func (b *backend) goes(told func(id string) bool) bool {
	return b.vm.Leaving || b.load.Notices.State().Leaving() || told(b.vm.ID)
}

// firstPolls is how many servers that were never asked are polled at once.
const firstPolls = 16

// duePolls returns the servers to poll now: those that were never asked, or
// else the one whose poll is most overdue. Among equals the map's random order
// decides, so that daemons that start together do not all ask the same ones.
func (s *servers) duePolls(now time.Time) []*backend {
	var due []*backend
	for _, b := range s.byID {
		if b.polled.IsZero() && len(due) < firstPolls {
			b.polled = now
			due = append(due, b)
		}
	}
	if len(due) > 0 {
		return due
	}
	if b := s.mostOverdue(now); b != nil {
		b.polled = now
		due = append(due, b)
	}
	return due
}

// acquainted reports whether each server of the own data hall has been asked.
func (s *servers) acquainted() bool {
	for _, b := range s.sorted {
		if b.vm.Hall == s.hall && b.answered.IsZero() {
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
		every := pollOther
		if b.vm.Hall == s.hall {
			every = pollOwn
		}
		overdue := max(now.Sub(latest(b.heard, b.polled))-every, now.Sub(b.polled)-pollBusy)
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

// report takes a server's own report, as the answer to a poll.
func (s *servers) report(e reportEvent, now time.Time) {
	b, r := s.byID[e.server], e.report
	if b == nil {
		return
	}
	b.reported, b.capacity, b.at, b.own = r.InFlight, r.Capacity, now, e.own
	b.heard, b.failures, b.ejected = now, 0, time.Time{}
	b.load.ClearFull()
	if r.Leaving {
		b.load.Notices.Observe(notice.Notice{Leaving: true}, now)
	} else {
		b.load.Notices.ObserveStaying(e.sentAt)
	}
	b.reportedAt, b.answered = now, now
	b.loaded, b.loading, b.slots = refs(r.Loaded), refs(r.Loading), r.Slots
}

func refs(loaded []wire.Loaded) []table.Ref {
	out := make([]table.Ref, 0, len(loaded))
	for _, l := range loaded {
		out = append(out, table.Ref{Model: l.Model, Version: l.Version})
	}
	return out
}

// answered takes the load that came with an answer.
func (s *servers) answered(id string, inFlight int, now time.Time) {
	b := s.byID[id]
	if b == nil {
		return
	}
	b.heard, b.failures, b.ejected = now, 0, time.Time{}
	if inFlight >= 0 {
		b.reported, b.at, b.own = inFlight, now, int(b.load.InFlight.Load())
	}
}

// unanswered notes a poll that failed.
func (s *servers) unanswered(id string, now time.Time) {
	if b := s.byID[id]; b != nil {
		b.answered = now
	}
	s.failed(id, now)
}

// failed counts a failure and ejects a server that fails repeatedly.
func (s *servers) failed(id string, now time.Time) {
	b := s.byID[id]
	if b == nil {
		return
	}
	b.failures++
	if b.failures >= ejectAfter {
		out := ejectFloor << min(b.failures-ejectAfter, 8)
		b.ejected = now.Add(min(out, ejectCeiling))
	}
}

// declined notes a server's own word that it has not loaded a version, or is full. One that
// has not loaded it is asked at once what it has.
func (s *servers) declined(id string, notLoaded table.Ref, now time.Time) {
	b := s.byID[id]
	switch {
	case b == nil:
	case notLoaded != table.Ref{}:
		b.loaded = slices.DeleteFunc(slices.Clone(b.loaded), func(r table.Ref) bool { return r == notLoaded })
		b.polled = time.Time{}
	default:
		b.reported, b.at, b.own = max(b.reported, b.capacity), now, int(b.load.InFlight.Load())
	}
}

// view fills in a view's engines and services; told are the servers that other
// daemons say are leaving.
func (s *servers) view(v *route.View, told func(id string) bool) {
	v.Engines = map[table.Ref][]*route.Server{}
	v.Services = map[string][]*route.Server{}
	for _, b := range s.sorted {
		server := &route.Server{
			ID: b.vm.ID, Addr: b.vm.Addr, Hall: b.vm.Hall,
			Leaving:  b.goes(told),
			Reported: b.reported, Capacity: b.capacity, ReportedAt: b.at, OwnAtReport: b.own,
			EjectedUntil: b.ejected, State: b.load,
		}
		for _, ref := range b.loaded {
			v.Engines[ref] = append(v.Engines[ref], server)
		}
		if b.vm.Role == platform.RoleService {
			v.Services[b.vm.Service] = append(v.Services[b.vm.Service], server)
		}
	}
}
