package storesync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// Intervals and limits of roll-outs.
const (
	// evidenceInterval is the time between two evidence messages. A faulty version may receive
	// requests for some seconds after the first daemon has found it faulty.
	evidenceInterval = 700 * time.Millisecond
	// writeTurnDelay is how long a daemon waits for each daemon before it in the order of
	// writing a state.
	writeTurnDelay = 350 * time.Millisecond
	// writeTimeout bounds a write, and the pause after a failed one.
	writeTimeout = 900 * time.Millisecond
	// reportTTL is how long the reported in-flight requests of another daemon or hall count.
	// Reported evidence counts as long as the order.
	reportTTL = 2 * time.Second
	// minSuspicionAge is how long a version must have been suspected before it is rolled back.
	// Within two evidence intervals every daemon has reported what it has seen. Without this
	// delay daemons that had just started rolled good versions back on the few answers they had
	// heard of, in 3 of 12 runs in which daemons were stopped in turn.
	minSuspicionAge = 2 * evidenceInterval
	// readersPerHall is how many daemons of each other hall receive the evidence of this one.
	readersPerHall = 2
	// nonReaderWriteDelay is how long a daemon that does not read the store leaves the writing
	// of states to those that do. rollbackWriteDelay replaces it for a faulty version: long
	// enough for a reader to learn of it and write.
	nonReaderWriteDelay = 3 * time.Second
	rollbackWriteDelay  = 700 * time.Millisecond
	// minAnswersToComplete is how many answers of a version the daemons must have seen before
	// it may be completed, which cannot be undone. The number is large enough to recognise a
	// faulty version reliably. maxWaitForAnswers is how long a daemon must have known the order
	// if fewer answers arrive.
	minAnswersToComplete = 30
	maxWaitForAnswers    = 3 * time.Second
)

// Observe records an observation of an answer of a version in roll-out.
func (sy *Syncer) Observe(f Observation) {
	if sy.rollouts.open.Load() {
		sy.enqueue(answerObserved{observation: f})
	}
}

// advanceRollouts performs the next step of each open order.
func (sy *Syncer) advanceRollouts(ctx context.Context, now time.Time) {
	if !sy.rollouts.open.Load() {
		return
	}
	sy.rollouts.expireReports(now)
	own := sy.oldInFlight(now)
	for service, r := range sy.rollouts.byService {
		if r.State == canary.Running {
			sy.advanceRollout(ctx, service, r, own, now)
		}
	}
	if sy.rollouts.sentAt.IsZero() {
		// Daemons that receive an order together must not all send at the same moment.
		sy.rollouts.sentAt = now.Add(-time.Duration(sy.random.Int64N(int64(evidenceInterval))))
	}
	if now.Sub(sy.rollouts.sentAt) >= evidenceInterval {
		sy.sendEvidence(own, now)
	}
}

// sendEvidence sends the evidence: from a daemon to the reader of its hall, and from a reader
// the sums of its hall to the readers of other halls.
func (sy *Syncer) sendEvidence(own map[string]int, now time.Time) {
	sy.rollouts.sentAt = now
	if reader, ok := sy.readers.reader(); ok && !sy.reading.Load() {
		sy.Peers.Send(reader.ID, reader.Addr, sy.rollouts.message(sy.Self.Start, "", sy.rollouts.own, own))
		return
	}
	m := sy.rollouts.message(sy.Self.Start, sy.Self.Hall, sy.rollouts.totals(), sy.rollouts.oldInFlight(own))
	for _, other := range sy.readersOfOtherHalls() {
		sy.Peers.Send(other.ID, other.Addr, m)
	}
}

// readersOfOtherHalls returns the likely readers of the other halls: the first two in the order
// of each hall, since one of them may be gone.
func (sy *Syncer) readersOfOtherHalls() []Member {
	halls := map[string][]Member{}
	for _, m := range sy.others() {
		if m.Hall != sy.Self.Hall {
			halls[m.Hall] = append(halls[m.Hall], m)
		}
	}
	var out []Member
	for _, members := range halls {
		slices.SortFunc(members, rank)
		out = append(out, members[:min(readersPerHall, len(members))]...)
	}
	return out
}

// broadcast sends a message to the likely readers of other halls.
func (sy *Syncer) broadcast(m gossip.Response) { sy.broadcastWith(Member{}, m) }

// broadcastWith sends a message to the likely readers of other halls and to one more daemon,
// unless that is this one or has no ID.
func (sy *Syncer) broadcastWith(extra Member, m gossip.Response) {
	to := map[string]string{}
	for _, other := range append(sy.readersOfOtherHalls(), extra) {
		to[other.ID] = other.Addr
	}
	delete(to, "")
	delete(to, sy.Self.ID)
	if len(to) > 0 {
		sy.Peers.SendAll(to, m)
	}
}

// oldInFlight counts the in-flight requests of this daemon on versions that no longer receive
// requests, by service.
func (sy *Syncer) oldInFlight(now time.Time) map[string]int {
	out := map[string]int{}
	v := sy.view.Load()
	if v.Servers == nil {
		return out
	}
	for service, r := range sy.rollouts.byService {
		if r.Share(now) < 1 {
			continue
		}
		out[service] = 0
		for _, s := range v.Servers.Service(service) {
			if s.Version != r.Order.Version {
				out[service] += s.State.InFlight()
			}
		}
	}
	return out
}

// advanceRollout performs the next step of an order if it is this daemon's turn. Whether the
// evidence suffices to complete a version is decided by the daemons whose turn it is. The
// others have little more than their own observations.
func (sy *Syncer) advanceRollout(ctx context.Context, service string, r canary.Rollout, own map[string]int, now time.Time) {
	version := r.Order.Version
	if !r.Started {
		p := canary.Progress{State: canary.Running, Version: version, SinceMS: sy.storeSince(service, now), Order: r.Order.Number, InitialShare: sy.initialShare(r.Order)}
		sy.writeInTurn(ctx, service, p, "", sy.rollouts.knownSince[service], now)
		return
	}
	seen := sy.rollouts.evidence(service)
	seen.Caching = sy.cachesPrompts(service)
	verdict := sy.evaluate(seen, r, own, now)
	next := canary.Progress{Version: version, SinceMS: sy.storeSince(service, now), Order: r.Order.Number, InitialShare: r.InitialShare}
	switch {
	case sy.rollouts.withdrawn[versionName(service, version)]:
		next.State = canary.RolledBack
	case !sy.enoughEvidence(service, seen, now):
		return
	case r.Share(now) >= 1 && canary.ReadyToComplete(now.Sub(r.Since), r.Order.Within) && (canary.NearDeadline(now.Sub(r.Since), r.Order.Within) || sy.oldVersionIdle(service, own)):
		next.State = canary.Completed
	default:
		return
	}
	if next.State == canary.Completed && seen.Answers() == 0 && sy.unreachable(now) {
		// The version has no answers because no request can reach it.
		return
	}
	if why := cmp.Or(verdict.Suspicion, verdict.Unproven); next.State == canary.Completed && why != "" {
		if now.Sub(sy.dueSince(service, next.State, now)) < sy.writeDelay(next.State) {
			return
		}
		sy.withdraw(r, notProven+why, own, now)
		next.State = canary.RolledBack
	}
	sy.writeInTurn(ctx, service, next, verdict.Summary, sy.dueSince(service, next.State, now), now)
}

// cachesPrompts reports whether the servers of a service cache prompts.
func (sy *Syncer) cachesPrompts(service string) bool {
	m := sy.view.Load().Map
	return m != nil && m.Service(service).CacheTokens > 0
}

// dueSince returns since when a state of an order is due to be written.
func (sy *Syncer) dueSince(service string, state canary.State, now time.Time) time.Time {
	name := service + state.String()
	if _, ok := sy.rollouts.knownSince[name]; !ok {
		sy.rollouts.knownSince[name] = now
	}
	return sy.rollouts.knownSince[name]
}

// initialShare is the share of the sessions that a new version starts with. It depends on how
// many requests are expected within the time of the order.
func (sy *Syncer) initialShare(o canary.Order) float64 {
	requests := 0.0
	if sy.Rate != nil {
		requests = sy.Rate(o.Service) * float64(max(1, sy.view.Load().Daemons)) * o.Within.Seconds()
	}
	return sy.Exposure.InitialShare(requests, o.Within)
}

// evaluate judges a version by the evidence of all daemons, and stops its use if it is faulty.
func (sy *Syncer) evaluate(seen canary.Evidence, r canary.Rollout, own map[string]int, now time.Time) canary.Verdict {
	service, version := r.Order.Service, r.Order.Version
	verdict := seen.Judge()
	sy.recordSuspicion(r, verdict, now)
	for _, id := range verdict.Ejected {
		if !slices.Contains(sy.rollouts.ejected[service], id) {
			sy.rollouts.ejected[service] = append(slices.Clone(sy.rollouts.ejected[service]), id)
			sy.Log.Warn().Str("service", service).Str("version", version).Str("server", id).Dur("age", now.Sub(r.Since)).Msg("rollout: server of the new version ejected as an outlier; other servers are used")
		}
	}
	switch {
	case verdict.Rejection != "":
		sy.withdraw(r, verdict.Rejection, own, now)
	case !sy.reading.Load():
		// Other daemons have little more than their own observations.
	case sy.enoughEvidence(service, seen, now) && (verdict.ErrorBudgetSpent || sy.trialSufficient(r, seen, now)):
		sy.withdraw(r, notProven+verdict.Suspicion, own, now)
	case verdict.Unproven != "" && r.OpensSoon(now) && sy.heardOthers(service, now) && !sy.unreachable(now):
		sy.withdraw(r, notProven+verdict.Unproven, own, now)
	}
	return verdict
}

// heardOthers reports whether this process has known the order for so long that every daemon has reported
// what it has seen.
func (sy *Syncer) heardOthers(service string, now time.Time) bool {
	return now.Sub(sy.rollouts.knownSince[service]) >= minSuspicionAge
}

// notProven is the beginning of the reason for which a version is rejected that was not found faulty.
const notProven = "not enough evidence that the version is good: "

// unreachable reports whether this daemon reaches no server.
func (sy *Syncer) unreachable(now time.Time) bool {
	return sy.Unreachable != nil && sy.Unreachable(now)
}

// trialSufficient reports whether a version has been tried for long enough, or with enough
// answers, that a lasting suspicion suffices to stop its use.
func (sy *Syncer) trialSufficient(r canary.Rollout, seen canary.Evidence, now time.Time) bool {
	lasting := sy.rollouts.suspicions[r.Order.Service].age(now) >= minSuspicionAge
	return lasting && (r.TrialElapsed(now) || seen.SampleSufficient())
}

// summaryLogInterval is the time between two log lines of a reader with the evidence of a
// version.
const summaryLogInterval = time.Second

// recordSuspicion records since when a version is suspected, and makes a reader log the
// evidence so far. The log shows when there was enough evidence for a decision that came late.
func (sy *Syncer) recordSuspicion(r canary.Rollout, v canary.Verdict, now time.Time) {
	service := r.Order.Service
	s := sy.rollouts.suspicions[service]
	if v.Suspicion == "" {
		s.since = time.Time{}
	} else if s.since.IsZero() {
		s.since = now
	}
	if sy.reading.Load() && now.Sub(s.loggedAt) >= summaryLogInterval {
		s.loggedAt = now
		sy.Log.Info().Str("service", service).Str("version", r.Order.Version).Dur("age", now.Sub(r.Since)).Dur("doubt_for", s.age(now)).Bool("tried", r.TrialElapsed(now)).Str("seen", v.Summary).Msg("rollout: evidence so far")
	}
	sy.rollouts.suspicions[service] = s
}

// suspicion records since when a version in roll-out is suspected to be faulty.
type suspicion struct {
	// since is zero without a suspicion. loggedAt is when the evidence was last logged.
	since    time.Time
	loggedAt time.Time
}

// age is how long the suspicion has lasted.
func (s suspicion) age(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}

// withdraw stops the use of a version on this daemon and notifies the others.
func (sy *Syncer) withdraw(r canary.Rollout, why string, own map[string]int, now time.Time) {
	service, version := r.Order.Service, r.Order.Version
	if !sy.rollouts.withdraw(service, version) {
		return
	}
	sy.Log.Warn().Str("service", service).Str("version", version).Str("why", why).Dur("age", now.Sub(r.Since)).Dur("doubt_for", sy.rollouts.suspicions[service].age(now)).Msg("rollout: version rejected; it receives no more requests")
	sy.sendEvidence(own, now)
	sy.sendWithdrawn(now)
}

// enoughEvidence reports whether there is enough evidence of a version since this process
// learned of the order. If all daemons restart, none has the earlier evidence.
func (sy *Syncer) enoughEvidence(service string, seen canary.Evidence, now time.Time) bool {
	return seen.Answers() >= minAnswersToComplete || now.Sub(sy.rollouts.knownSince[service]) >= maxWaitForAnswers
}

// storeSince is when the order was first seen, by the clock of the store.
func (sy *Syncer) storeSince(service string, now time.Time) uint64 {
	age := uint64(max(0, now.Sub(sy.rollouts.byService[service].Since).Milliseconds()))
	clock := sy.rollouts.storeClock(now)
	return clock - min(age, clock)
}

// oldVersionIdle reports whether no daemon is known to have an in-flight request on the old
// version.
func (sy *Syncer) oldVersionIdle(service string, own map[string]int) bool {
	n, ok := sy.rollouts.allOldInFlight(own)[service]
	return ok && n == 0
}

// writeInTurn writes a state when it is this daemon's turn. The daemons take turns so that
// usually only one writes. The log line has the evidence for the decision.
func (sy *Syncer) writeInTurn(ctx context.Context, service string, p canary.Progress, seen string, due, now time.Time) {
	if startedAt, busy := sy.rollouts.writing[service]; busy && now.Sub(startedAt) < 2*writeTimeout {
		return
	}
	if now.Sub(due) < sy.writeDelay(p.State) {
		return
	}
	row, err := sy.Decoder.WriteProgress(service, p)
	if err != nil {
		sy.Log.Error().Err(err).Str("service", service).Msg("rollout: cannot encode the state")
		return
	}
	sy.rollouts.writing[service] = now
	t := sy.topics[gossip.Progress]
	was := revision.New(t.version.Era, 0)
	if known, exists := t.rows[row.Key]; exists {
		was = known.Version
	}
	sy.Log.Info().Str("service", service).Str("version", p.Version).Str("state", p.State.String()).Stringer("was", was).Str("seen", seen).Dur("age", now.Sub(sy.rollouts.byService[service].Since)).Msg("rollout: writing the state")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		sy.Calls.Add(1)
		err := sy.Store.Write(ctx, gossip.Progress, row.Key, row.Data, was)
		sy.deliver(ctx, writeDone{service: service, err: err})
	}()
}

// writeDelay is how long this daemon leaves the writing of a state to others: the readers of
// the halls take turns, and the other daemons follow them.
func (sy *Syncer) writeDelay(state canary.State) time.Duration {
	halls := []string{sy.Self.Hall}
	for _, m := range sy.others() {
		if !slices.Contains(halls, m.Hall) {
			halls = append(halls, m.Hall)
		}
	}
	slices.Sort(halls)
	wait := time.Duration(slices.Index(halls, sy.Self.Hall)) * writeTurnDelay
	switch {
	case sy.reading.Load():
	case state == canary.RolledBack:
		wait += rollbackWriteDelay
	default:
		wait += nonReaderWriteDelay
	}
	return wait
}

// handleWriteDone handles the outcome of a write. Whatever it was, the topic shows the state
// that the store has: the answer of a successful write may have been lost.
func (sy *Syncer) handleWriteDone(e writeDone) {
	if e.err != nil {
		sy.Log.Warn().Str("service", e.service).Err(e.err).Msg("rollout: write of the state failed or its outcome is unknown")
		return
	}
	delete(sy.rollouts.writing, e.service)
}
