package storesync

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// Observation is what one answer says of the version that gave it.
type Observation struct {
	Service string
	Version string
	Route   string
	// Server gave the answer.
	Server string
	Failed bool
	// FirstRatio is how long the first part of the answer took in terms of what the
	// settled version takes for the like, Between that for the events of a
	// stream; 0 is not known.
	FirstRatio   float64
	BetweenRatio float64
	// Stage is what of the answer it tells.
	Stage Stage
}

// Stage is what of an answer a fact tells.
type Stage int

// The stages of an answer.
const (
	// Complete is all of an answer.
	Complete Stage = iota
	// Started is the first part of an answer that goes on: a stream's end may come many
	// seconds later.
	Started
	// Remainder is the rest of an answer that has been told as begun.
	Remainder
	// Abandoned is an answer that was given up: First is the least that it would have
	// taken.
	Abandoned
)

// rollouts are the orders that a daemon knows, and what is seen of them. All
// but open belongs to the keeper's goroutine.
type rollouts struct {
	// open tells that an order is neither completed nor rolled back.
	open atomic.Bool

	byService map[string]canary.Rollout
	// rows are the versions of the rows with the states.
	rows map[string]revision.Revision
	own  map[countKey]canary.Count
	// reports is what other daemons of the hall have seen, and other halls as
	// wholes.
	reports    map[source]gossip.Evidence
	reportedAt map[source]time.Time
	// departed is what lives of daemons of the hall have seen that tell nothing any more, halls
	// what other halls have seen, as one of their readers told it.
	departed  map[daemonRun][]gossip.Count
	halls     map[string]hallSeen
	withdrawn map[string]bool
	// ejected are the servers that look bad, by service.
	ejected map[string][]string
	// suspicions are since when there are suspicions of versions, by service.
	suspicions map[string]suspicion
	sequence   uint64
	sentAt     time.Time
	// writing are services whose state is being written, by when that began.
	writing map[string]time.Time
	// clockMS is the store's clock at clockAt.
	clockMS    uint64
	clockAt    time.Time
	knownSince map[string]time.Time
}

// source is who says what was seen: a daemon, or a data hall as a whole.
type source struct {
	daemon string
	hall   string
}

// countKey is what counts are kept by.
type countKey struct {
	service string
	version string
	route   string
	// server is set for a version in roll-out while few of its servers are used.
	server string
}

func newRollouts() *rollouts {
	return &rollouts{
		byService: map[string]canary.Rollout{}, rows: map[string]revision.Revision{}, own: map[countKey]canary.Count{},
		reports: map[source]gossip.Evidence{}, departed: map[daemonRun][]gossip.Count{}, halls: map[string]hallSeen{}, reportedAt: map[source]time.Time{}, withdrawn: map[string]bool{},
		ejected: map[string][]string{}, suspicions: map[string]suspicion{}, writing: map[string]time.Time{}, knownSince: map[string]time.Time{},
	}
}

// clock notes the store's clock.
func (r *rollouts) clock(ms uint64, now time.Time) {
	if ms > 0 {
		r.clockMS, r.clockAt = ms, now
	}
}

// storeClock is the store's clock now, in milliseconds.
func (r *rollouts) storeClock(now time.Time) uint64 {
	return r.clockMS + uint64(max(0, now.Sub(r.clockAt).Milliseconds()))
}

// order takes an order; it reports whether it is new.
func (r *rollouts) order(o canary.Order, now time.Time) bool {
	was, known := r.byService[o.Service]
	switch {
	case known && !o.Number.After(was.Order.Number):
		return false
	case known && o.Number.Era != was.Order.Number.Era && o.Same(was.Order):
		// The operator has written it again since the store returned from a copy.
		was.Order = o
		r.byService[o.Service] = was
		return false
	}
	r.byService[o.Service] = canary.Rollout{Order: o, Since: now}
	r.knownSince[o.Service] = now
	delete(r.ejected, o.Service)
	delete(r.suspicions, o.Service)
	for _, state := range []canary.State{canary.Completed, canary.RolledBack} {
		// What was due of an earlier order is not due of this one.
		delete(r.knownSince, o.Service+state.String())
	}
	for key := range r.own {
		if key.service == o.Service {
			delete(r.own, key)
		}
	}
	r.dropService(o.Service)
	r.updateOpen()
	return true
}

// progress takes the shared state of an order; it reports whether that is news.
func (r *rollouts) progress(service string, p canary.Progress, row revision.Revision, now time.Time) bool {
	if !row.After(r.rows[service]) {
		return false
	}
	was, ok := r.byService[service]
	if !ok || !was.Order.Matches(p) {
		return false
	}
	r.rows[service] = row
	was.Started, was.InitialShare = true, p.InitialShare
	was.State = max(was.State, p.State)
	was.Since = now.Add(-time.Duration(int64(r.storeClock(now))-int64(p.SinceMS)) * time.Millisecond)
	r.byService[service] = was
	r.updateOpen()
	return true
}

// updateOpen works out whether an order is open.
func (r *rollouts) updateOpen() {
	open := false
	for _, o := range r.byService {
		open = open || o.State == canary.Running
	}
	r.open.Store(open)
}

// withdraw stops the use of a version here and now; it reports whether that is
// news.
func (r *rollouts) withdraw(service, version string) bool {
	name := versionName(service, version)
	if r.withdrawn[name] {
		return false
	}
	r.withdrawn[name] = true
	return true
}

func (r *rollouts) snapshot() map[string]canary.Rollout { return maps.Clone(r.byService) }

func (r *rollouts) withdrawnCopy() map[string]bool { return maps.Clone(r.withdrawn) }

// observe counts an answer.
func (r *rollouts) observe(f Observation, now time.Time) {
	o, ok := r.byService[f.Service]
	if !ok || o.State != canary.Running {
		return
	}
	key := countKey{service: f.Service, version: f.Version, route: f.Route}
	if f.Version == o.Order.Version && o.Share(now) < 1 {
		key.server = f.Server
	}
	r.own[key] = f.addedTo(r.own[key])
}

// addedTo returns a count with what a fact tells.
func (f Observation) addedTo(c canary.Count) canary.Count {
	if f.Stage == Abandoned {
		c.First = c.First.WithAtLeast(f.FirstRatio)
		return c
	}
	if f.Stage != Remainder {
		c.Answers++
	}
	if f.Failed {
		c.Failed++
	}
	c.First, c.Between = c.First.With(f.FirstRatio), c.Between.With(f.BetweenRatio)
	return c
}

// handleEvidence takes what another daemon or hall has seen.
func (r *rollouts) handleEvidence(from string, m gossip.Evidence, now time.Time) {
	src := source{daemon: from}
	if m.Hall != "" {
		// Whoever reads for the hall says so.
		src = source{hall: m.Hall}
	}
	was, ok := r.reports[src]
	if ok && was.Start == m.Start && was.Sequence >= m.Sequence {
		return
	}
	r.retainCounts(from, src, was, m)
	r.reports[src], r.reportedAt[src] = m, now
	for _, name := range m.Withdrawn {
		r.withdrawNamed(name)
	}
}

// daemonRun is one start of a daemon.
type daemonRun struct {
	daemon string
	start  uint64
}

// hallSeen is what another hall has seen, and which reader told it.
type hallSeen struct {
	reader daemonRun
	counts []gossip.Count
}

// retainCounts keeps what is told beside what is kept already: of each life of a daemon of the hall
// its last word, and of another hall the word of its reader. Of two readers' the larger one
// stands, since each has in it what the daemons that live still tell.
func (r *rollouts) retainCounts(from string, src source, was, m gossip.Evidence) {
	if src.hall == "" {
		delete(r.departed, daemonRun{from, m.Start})
		if was.Start != m.Start {
			r.keepDeparted(daemonRun{from, was.Start}, was.Counts)
		}
		return
	}
	reader, kept := daemonRun{from, m.Start}, r.halls[src.hall]
	if kept.reader == reader || totalAnswers(m.Counts) >= totalAnswers(kept.counts) {
		r.halls[src.hall] = hallSeen{reader: reader, counts: m.Counts}
	}
}

// keepDeparted keeps what a life of a daemon of the hall has seen.
func (r *rollouts) keepDeparted(l daemonRun, counts []gossip.Count) {
	if len(counts) > 0 {
		r.departed[l] = counts
	}
}

// totalAnswers is how many totalAnswers are counted.
func totalAnswers(counts []gossip.Count) uint64 {
	sum := uint64(0)
	for _, c := range counts {
		sum += c.Answers
	}
	return sum
}

// expireReports drops what was under way at daemons and halls that have told nothing for too long. What
// they have seen stands.
func (r *rollouts) expireReports(now time.Time) {
	for src, at := range r.reportedAt {
		if now.Sub(at) <= reportTTL {
			continue
		}
		if src.hall == "" {
			r.keepDeparted(daemonRun{src.daemon, r.reports[src].Start}, r.reports[src].Counts)
		}
		delete(r.reports, src)
		delete(r.reportedAt, src)
	}
}

// dropService drops what others have seen of a service: its next order begins anew.
func (r *rollouts) dropService(service string) {
	without := func(counts []gossip.Count) []gossip.Count {
		return slices.DeleteFunc(slices.Clone(counts), func(c gossip.Count) bool { return c.Service == service })
	}
	for src, m := range r.reports {
		m.Counts = without(m.Counts)
		r.reports[src] = m
	}
	for l, counts := range r.departed {
		r.departed[l] = without(counts)
	}
	for hall, seen := range r.halls {
		seen.counts = without(seen.counts)
		r.halls[hall] = seen
	}
}

// withdrawNamed stops the use of a version that another daemon found bad.
func (r *rollouts) withdrawNamed(name string) {
	for service, o := range r.byService {
		if o.State == canary.Running && versionName(service, o.Order.Version) == name {
			r.withdraw(service, o.Order.Version)
		}
	}
}

// withdrawnNames are the versions whose use has stopped here.
func (r *rollouts) withdrawnNames() []string {
	var out []string
	for name := range r.withdrawn {
		out = append(out, name)
	}
	return out
}

// totals adds up what this daemon and those of its hall have seen.
func (r *rollouts) totals() map[countKey]canary.Count {
	out := maps.Clone(r.own)
	for src, m := range r.reports {
		if src.hall == "" {
			addCounts(out, m.Counts)
		}
	}
	for _, counts := range r.departed {
		addCounts(out, counts)
	}
	return out
}

func addCounts(to map[countKey]canary.Count, counts []gossip.Count) {
	for _, c := range counts {
		key := countKey{service: c.Service, version: c.Version, route: c.Route, server: c.Server}
		to[key] = to[key].Plus(canary.Count{Answers: c.Answers, Failed: c.Failed, First: c.First, Between: c.Between})
	}
}

// evidence adds up what all daemons have seen of a service's versions.
func (r *rollouts) evidence(service string) canary.Evidence {
	all := r.totals()
	for _, seen := range r.halls {
		addCounts(all, seen.counts)
	}
	out := canary.Evidence{Old: canary.Counts{}, New: map[string]canary.Counts{}}
	version := r.byService[service].Order.Version
	for key, c := range all {
		if key.service != service {
			continue
		}
		if key.version != version {
			out.Old[key.route] = out.Old[key.route].Plus(c)
			continue
		}
		if out.New[key.server] == nil {
			out.New[key.server] = canary.Counts{}
		}
		out.New[key.server][key.route] = out.New[key.server][key.route].Plus(c)
	}
	return out
}

// message is what has been seen, for others: by this daemon, or by its hall.
func (r *rollouts) message(start uint64, hall string, counts map[countKey]canary.Count, old map[string]int) gossip.Evidence {
	r.sequence++
	m := gossip.Evidence{Hall: hall, Start: start, Sequence: r.sequence, OldInFlight: old, Withdrawn: r.withdrawnNames()}
	for key, c := range counts {
		m.Counts = append(m.Counts, gossip.Count{Service: key.service, Version: key.version, Route: key.route, Server: key.server, Answers: c.Answers, Failed: c.Failed, First: c.First, Between: c.Between})
	}
	return m
}

// oldInFlight adds up the requests of this daemon's hall on old versions. A
// service of which a daemon of the hall still uses the old one is left out.
func (r *rollouts) oldInFlight(own map[string]int) map[string]int {
	out := maps.Clone(own)
	for src, m := range r.reports {
		if src.hall == "" {
			addInFlight(out, m.OldInFlight)
		}
	}
	return out
}

// addInFlight adds numbers of requests; a service that one side lacks is
// dropped.
func addInFlight(to, more map[string]int) {
	for service, n := range to {
		add, ok := more[service]
		if !ok {
			delete(to, service)
			continue
		}
		to[service] = n + add
	}
}

// allOldInFlight adds up the requests of all daemons on old versions.
func (r *rollouts) allOldInFlight(own map[string]int) map[string]int {
	out := r.oldInFlight(own)
	for src, m := range r.reports {
		if src.hall != "" {
			addInFlight(out, m.OldInFlight)
		}
	}
	return out
}
