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

// Observation is what one answer shows about the version that gave it.
type Observation struct {
	Service string
	Version string
	Route   string
	// Server is the server that gave the answer.
	Server string
	Failed bool
	// FirstRatio is the time to the first part of the answer relative to that of the settled
	// version for similar requests, BetweenRatio the same for the gaps between the events of a
	// stream. 0 means unknown.
	FirstRatio   float64
	BetweenRatio float64
	// Stage is the part of the answer that the observation covers.
	Stage Stage
}

// Stage is the part of an answer that an observation covers.
type Stage int

// The stages of an answer.
const (
	// Complete is a whole answer.
	Complete Stage = iota
	// Started is the first part of an answer that continues: a stream may end many seconds
	// later.
	Started
	// Remainder is the rest of an answer that was observed as Started.
	Remainder
	// Abandoned is an answer that was no longer waited for. FirstRatio is then a lower bound.
	Abandoned
)

// rollouts has the known orders and the evidence for them. The syncer's goroutine owns all
// fields but open.
type rollouts struct {
	// open is set if an order is neither completed nor rolled back.
	open atomic.Bool

	byService map[string]canary.Rollout
	// rows has the versions of the rows with the states.
	rows map[string]revision.Revision
	own  map[countKey]canary.Count
	// reports has the evidence of other daemons of the hall, and the sums of other halls.
	reports    map[source]gossip.Evidence
	reportedAt map[source]time.Time
	// departed has the evidence of daemon runs of the hall that do not report any more. halls
	// has the evidence of other halls as one of their readers reported it.
	departed  map[daemonRun][]gossip.Count
	halls     map[string]hallSeen
	withdrawn map[string]bool
	// rejected are the versions of earlier orders that were rolled back: they are not old versions of a later
	// one, though their servers may still be listed.
	rejected map[string]bool
	// ejected are the servers ejected as outliers, by service.
	ejected map[string][]string
	// suspicions has since when versions are suspected, by service.
	suspicions map[string]suspicion
	sequence   uint64
	sentAt     time.Time
	// writing has the services whose state is being written, by the start of the write.
	writing map[string]time.Time
	// clockMS is the clock of the store at clockAt.
	clockMS    uint64
	clockAt    time.Time
	knownSince map[string]time.Time
}

// source is the origin of evidence: a daemon, or a data hall as a whole.
type source struct {
	daemon string
	hall   string
}

// countKey is the key of counts.
type countKey struct {
	service string
	version string
	route   string
	// server is set for a version in roll-out while only a part of its servers is used.
	server string
}

func newRollouts() *rollouts {
	return &rollouts{
		byService: map[string]canary.Rollout{}, rows: map[string]revision.Revision{}, own: map[countKey]canary.Count{},
		reports: map[source]gossip.Evidence{}, departed: map[daemonRun][]gossip.Count{}, halls: map[string]hallSeen{}, reportedAt: map[source]time.Time{}, withdrawn: map[string]bool{}, rejected: map[string]bool{},
		ejected: map[string][]string{}, suspicions: map[string]suspicion{}, writing: map[string]time.Time{}, knownSince: map[string]time.Time{},
	}
}

// clock records the clock of the store.
func (r *rollouts) clock(ms uint64, now time.Time) {
	if ms > 0 {
		r.clockMS, r.clockAt = ms, now
	}
}

// storeClock returns the current clock of the store, in milliseconds.
func (r *rollouts) storeClock(now time.Time) uint64 {
	return r.clockMS + uint64(max(0, now.Sub(r.clockAt).Milliseconds()))
}

// order records an order and reports whether it is new.
func (r *rollouts) order(o canary.Order, now time.Time) bool {
	was, known := r.byService[o.Service]
	switch {
	case known && !o.Number.After(was.Order.Number):
		return false
	case known && o.Number.Era != was.Order.Number.Era && o.Same(was.Order):
		// The operator has written it again after a restore of the store.
		was.Order = o
		r.byService[o.Service] = was
		return false
	}
	if name := versionName(o.Service, was.Order.Version); known && (was.State == canary.RolledBack || was.State == canary.Running && r.withdrawn[name]) {
		r.rejected[name] = true
	}
	delete(r.rejected, versionName(o.Service, o.Version))
	r.byService[o.Service] = canary.Rollout{Order: o, Since: now}
	r.knownSince[o.Service] = now
	delete(r.ejected, o.Service)
	delete(r.suspicions, o.Service)
	for _, state := range []canary.State{canary.Completed, canary.RolledBack} {
		// The due times of an earlier order do not apply to this one.
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

// progress records the shared state of an order and reports whether it is new.
func (r *rollouts) progress(service string, p canary.Progress, row revision.Revision, now time.Time) bool {
	if !row.After(r.rows[service]) {
		return false
	}
	was, ok := r.byService[service]
	if !ok || !was.Order.Matches(p) {
		// After a restore of the store the state may be older than the completion of the same version.
		current := row.Era == was.Order.Number.Era && p.Order.Era == row.Era
		if ok && current && p.State == canary.RolledBack && p.Version != was.Order.Version {
			r.rejected[versionName(service, p.Version)] = true
		}
		return false
	}
	r.rows[service] = row
	was.Started, was.InitialShare = true, p.InitialShare
	was.State = max(was.State, p.State)
	clock := r.storeClock(now)
	was.Since = now.Add(-time.Duration(clock-min(clock, p.SinceMS)) * time.Millisecond)
	r.byService[service] = was
	r.updateOpen()
	return true
}

// updateOpen updates whether an order is open.
func (r *rollouts) updateOpen() {
	open := false
	for _, o := range r.byService {
		open = open || o.State == canary.Running
	}
	r.open.Store(open)
}

// withdraw stops the use of a version on this daemon and reports whether it was still in use.
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

func (r *rollouts) rejectedCopy() map[string]bool { return maps.Clone(r.rejected) }

// observe counts an observation.
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

// addedTo returns a count with the observation added.
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

// handleEvidence records the evidence of another daemon or hall.
func (r *rollouts) handleEvidence(from string, m gossip.Evidence, now time.Time) {
	src := source{daemon: from}
	if m.Hall != "" {
		// The reader of a hall sends the sums of its hall.
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

// daemonRun is one run of a daemon, from its start to its exit.
type daemonRun struct {
	daemon string
	start  uint64
}

// hallSeen is the evidence of another hall, and the reader that reported it.
type hallSeen struct {
	reader daemonRun
	counts []gossip.Count
}

// retainCounts keeps reported evidence: the last report of each run of a daemon of the hall,
// and the report of the reader of another hall. Of the reports of two readers of one hall the
// larger one is kept, since each includes what the running daemons still report.
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

// keepDeparted keeps the evidence of a run of a daemon of the hall.
func (r *rollouts) keepDeparted(run daemonRun, counts []gossip.Count) {
	if len(counts) > 0 {
		r.departed[run] = counts
	}
}

// totalAnswers returns the sum of the answers.
func totalAnswers(counts []gossip.Count) uint64 {
	sum := uint64(0)
	for _, c := range counts {
		sum += c.Answers
	}
	return sum
}

// expireReports drops the in-flight requests of daemons and halls that have not reported for
// too long. Their evidence is kept.
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

// dropService drops the evidence of other daemons for a service: its next order starts without
// any.
func (r *rollouts) dropService(service string) {
	without := func(counts []gossip.Count) []gossip.Count {
		return slices.DeleteFunc(slices.Clone(counts), func(c gossip.Count) bool { return c.Service == service })
	}
	for src, m := range r.reports {
		m.Counts = without(m.Counts)
		r.reports[src] = m
	}
	for run, counts := range r.departed {
		r.departed[run] = without(counts)
	}
	for hall, seen := range r.halls {
		seen.counts = without(seen.counts)
		r.halls[hall] = seen
	}
}

// withdrawNamed stops the use of a version that another daemon has found faulty.
func (r *rollouts) withdrawNamed(name string) {
	for service, o := range r.byService {
		if o.State == canary.Running && versionName(service, o.Order.Version) == name {
			r.withdraw(service, o.Order.Version)
		}
	}
}

// withdrawnNames returns the names of the versions that this daemon has stopped using.
func (r *rollouts) withdrawnNames() []string {
	var out []string
	for name := range r.withdrawn {
		out = append(out, name)
	}
	return out
}

// totals adds up the evidence of this daemon and the others of its hall.
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

// evidence adds up the evidence of all daemons for the versions of a service.
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

// message returns an evidence message of this daemon, or of its hall.
func (r *rollouts) message(start uint64, hall string, counts map[countKey]canary.Count, old map[string]int) gossip.Evidence {
	r.sequence++
	m := gossip.Evidence{Hall: hall, Start: start, Sequence: r.sequence, OldInFlight: old, Withdrawn: r.withdrawnNames()}
	for key, c := range counts {
		m.Counts = append(m.Counts, gossip.Count{Service: key.service, Version: key.version, Route: key.route, Server: key.server, Answers: c.Answers, Failed: c.Failed, First: c.First, Between: c.Between})
	}
	return m
}

// oldInFlight adds up the in-flight requests of this daemon's hall on old versions. A service
// is left out if a daemon of the hall still uses its old version.
func (r *rollouts) oldInFlight(own map[string]int) map[string]int {
	out := maps.Clone(own)
	for src, m := range r.reports {
		if src.hall == "" {
			addInFlight(out, m.OldInFlight)
		}
	}
	return out
}

// addInFlight adds numbers of requests. A service that is missing on one side is dropped.
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

// allOldInFlight adds up the in-flight requests of all daemons on old versions.
func (r *rollouts) allOldInFlight(own map[string]int) map[string]int {
	out := r.oldInFlight(own)
	for src, m := range r.reports {
		if src.hall != "" {
			addInFlight(out, m.OldInFlight)
		}
	}
	return out
}
