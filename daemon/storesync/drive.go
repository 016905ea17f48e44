package storesync

import (
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
func (k *Syncer) Observe(f Observation) {
	if k.rollouts.open.Load() {
		k.enqueue(observation{fact: f})
	}
}

// driveRollouts performs the next step of each open order.
func (k *Syncer) driveRollouts(ctx context.Context, now time.Time) {
	if !k.rollouts.open.Load() {
		return
	}
	k.rollouts.expireReports(now)
	own := k.oldInFlight(now)
	for service, r := range k.rollouts.byService {
		if r.State == canary.Running {
			k.advanceRollout(ctx, service, r, own, now)
		}
	}
	if k.rollouts.sentAt.IsZero() {
		// Daemons that receive an order together must not all send at the same moment.
		k.rollouts.sentAt = now.Add(-time.Duration(k.random.Int64N(int64(evidenceInterval))))
	}
	if now.Sub(k.rollouts.sentAt) >= evidenceInterval {
		k.sendEvidence(own, now)
	}
}

// sendEvidence sends the evidence: from a daemon to the reader of its hall, and from a reader
// the sums of its hall to the readers of other halls.
func (k *Syncer) sendEvidence(own map[string]int, now time.Time) {
	k.rollouts.sentAt = now
	if reader, ok := k.readers.reader(); ok && !k.reading.Load() {
		k.Peers.Send(reader.ID, reader.Addr, k.rollouts.message(k.Self.Start, "", k.rollouts.own, own))
		return
	}
	m := k.rollouts.message(k.Self.Start, k.Self.Hall, k.rollouts.totals(), k.rollouts.oldInFlight(own))
	for _, other := range k.readersOfOtherHalls() {
		k.Peers.Send(other.ID, other.Addr, m)
	}
}

// readersOfOtherHalls returns the likely readers of the other halls: the first two in the order
// of each hall, since one of them may be gone.
func (k *Syncer) readersOfOtherHalls() []Member {
	halls := map[string][]Member{}
	for _, m := range k.others() {
		if m.Hall != k.Self.Hall {
			halls[m.Hall] = append(halls[m.Hall], m)
		}
	}
	var out []Member
	for _, of := range halls {
		slices.SortFunc(of, rank)
		out = append(out, of[:min(readersPerHall, len(of))]...)
	}
	return out
}

// broadcast sends a message to the likely readers of other halls.
func (k *Syncer) broadcast(m gossip.Response) { k.broadcastWith(Member{}, m) }

// broadcastWith sends a message to the likely readers of other halls and to one more daemon,
// unless that is this one or has no ID.
func (k *Syncer) broadcastWith(more Member, m gossip.Response) {
	to := map[string]string{}
	for _, other := range append(k.readersOfOtherHalls(), more) {
		to[other.ID] = other.Addr
	}
	delete(to, "")
	delete(to, k.Self.ID)
	if len(to) > 0 {
		k.Peers.SendAll(to, m)
	}
}

// oldInFlight counts the in-flight requests of this daemon on versions that no longer receive
// requests, by service.
func (k *Syncer) oldInFlight(now time.Time) map[string]int {
	out := map[string]int{}
	v := k.view.Load()
	if v.Servers == nil {
		return out
	}
	for service, r := range k.rollouts.byService {
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
func (k *Syncer) advanceRollout(ctx context.Context, service string, r canary.Rollout, own map[string]int, now time.Time) {
	version := r.Order.Version
	if !r.Started {
		p := canary.Progress{State: canary.Running, Version: version, SinceMS: k.storeSince(service, now), Order: r.Order.Number, InitialShare: k.initialShare(r.Order)}
		k.writeInTurn(ctx, service, p, "", k.rollouts.knownSince[service], now)
		return
	}
	seen := k.rollouts.evidence(service)
	verdict := k.evaluate(seen, r, own, now)
	next := canary.Progress{Version: version, SinceMS: k.storeSince(service, now), Order: r.Order.Number, InitialShare: r.InitialShare}
	switch {
	case k.rollouts.withdrawn[versionName(service, version)]:
		next.State = canary.RolledBack
	case !k.enoughEvidence(service, seen, now):
		return
	case r.Share(now) >= 1 && canary.ReadyToComplete(now.Sub(r.Since), r.Order.Within) && (canary.NearDeadline(now.Sub(r.Since), r.Order.Within) || k.oldVersionIdle(service, own)):
		next.State = canary.Completed
	default:
		return
	}
	if next.State == canary.Completed && verdict.Suspicion != "" {
		if now.Sub(k.dueSince(service, next.State, now)) < k.writeDelay(next.State) {
			return
		}
		k.withdraw(r, "not enough evidence that the version is good: "+verdict.Suspicion, own, now)
		next.State = canary.RolledBack
	}
	k.writeInTurn(ctx, service, next, verdict.Summary, k.dueSince(service, next.State, now), now)
}

// dueSince returns since when a state of an order is due to be written.
func (k *Syncer) dueSince(service string, state canary.State, now time.Time) time.Time {
	name := service + state.String()
	if _, ok := k.rollouts.knownSince[name]; !ok {
		k.rollouts.knownSince[name] = now
	}
	return k.rollouts.knownSince[name]
}

// initialShare is the share of the sessions that a new version starts with. It depends on how
// many requests are expected within the time of the order.
func (k *Syncer) initialShare(o canary.Order) float64 {
	requests := 0.0
	if k.Rate != nil {
		requests = k.Rate(o.Service) * float64(max(1, k.view.Load().Daemons)) * o.Within.Seconds()
	}
	return k.Exposure.InitialShare(requests, o.Within)
}

// evaluate judges a version by the evidence of all daemons, and stops its use if it is faulty.
func (k *Syncer) evaluate(seen canary.Evidence, r canary.Rollout, own map[string]int, now time.Time) canary.Verdict {
	service, version := r.Order.Service, r.Order.Version
	verdict := seen.Judge()
	k.recordSuspicion(r, verdict, now)
	for _, id := range verdict.Ejected {
		if !slices.Contains(k.rollouts.ejected[service], id) {
			k.rollouts.ejected[service] = append(slices.Clone(k.rollouts.ejected[service]), id)
			k.Log.Warn().Str("service", service).Str("version", version).Str("server", id).Dur("age", now.Sub(r.Since)).Msg("rollout: server of the new version ejected as an outlier; other servers are used")
		}
	}
	switch {
	case verdict.Rejection != "":
		k.withdraw(r, verdict.Rejection, own, now)
	case (verdict.ErrorBudgetSpent || k.trialSufficient(r, seen, now)) && k.reading.Load() && k.enoughEvidence(service, seen, now):
		k.withdraw(r, "not enough evidence that the version is good: "+verdict.Suspicion, own, now)
	}
	return verdict
}

// trialSufficient reports whether a version has been tried for long enough, or with enough
// answers, that a lasting suspicion suffices to stop its use.
func (k *Syncer) trialSufficient(r canary.Rollout, seen canary.Evidence, now time.Time) bool {
	stands := k.rollouts.suspicions[r.Order.Service].age(now) >= minSuspicionAge
	return stands && (r.TrialElapsed(now) || seen.SampleSufficient())
}

// summaryLogInterval is the time between two log lines of a reader with the evidence of a
// version.
const summaryLogInterval = time.Second

// recordSuspicion records since when a version is suspected, and makes a reader log the
// evidence so far. The log shows when there was enough evidence for a decision that came late.
func (k *Syncer) recordSuspicion(r canary.Rollout, v canary.Verdict, now time.Time) {
	service := r.Order.Service
	s := k.rollouts.suspicions[service]
	if v.Suspicion == "" {
		s.since = time.Time{}
	} else if s.since.IsZero() {
		s.since = now
	}
	if k.reading.Load() && now.Sub(s.loggedAt) >= summaryLogInterval {
		s.loggedAt = now
		k.Log.Info().Str("service", service).Str("version", r.Order.Version).Dur("age", now.Sub(r.Since)).Dur("doubt_for", s.age(now)).Bool("tried", r.TrialElapsed(now)).Str("seen", v.Summary).Msg("rollout: evidence so far")
	}
	k.rollouts.suspicions[service] = s
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
func (k *Syncer) withdraw(r canary.Rollout, why string, own map[string]int, now time.Time) {
	service, version := r.Order.Service, r.Order.Version
	if !k.rollouts.withdraw(service, version) {
		return
	}
	k.Log.Warn().Str("service", service).Str("version", version).Str("why", why).Dur("age", now.Sub(r.Since)).Dur("doubt_for", k.rollouts.suspicions[service].age(now)).Msg("rollout: version rejected; it receives no more requests")
	k.sendEvidence(own, now)
	k.sendWithdrawn(now)
}

// enoughEvidence reports whether there is enough evidence of a version since this process
// learned of the order. If all daemons restart, none has the earlier evidence.
func (k *Syncer) enoughEvidence(service string, seen canary.Evidence, now time.Time) bool {
	return seen.Answers() >= minAnswersToComplete || now.Sub(k.rollouts.knownSince[service]) >= maxWaitForAnswers
}

// storeSince is when the order was first seen, by the clock of the store.
func (k *Syncer) storeSince(service string, now time.Time) uint64 {
	age := uint64(max(0, now.Sub(k.rollouts.byService[service].Since).Milliseconds()))
	clock := k.rollouts.storeClock(now)
	return clock - min(age, clock)
}

// oldVersionIdle reports whether no daemon is known to have an in-flight request on the old
// version.
func (k *Syncer) oldVersionIdle(service string, own map[string]int) bool {
	n, ok := k.rollouts.allOldInFlight(own)[service]
	return ok && n == 0
}

// writeInTurn writes a state when it is this daemon's turn. The daemons take turns so that
// usually only one writes. The log line has the evidence for the decision.
func (k *Syncer) writeInTurn(ctx context.Context, service string, p canary.Progress, seen string, due, now time.Time) {
	if began, busy := k.rollouts.writing[service]; busy && now.Sub(began) < 2*writeTimeout {
		return
	}
	if now.Sub(due) < k.writeDelay(p.State) {
		return
	}
	row, err := k.Decoder.WriteProgress(service, p)
	if err != nil {
		k.Log.Error().Err(err).Str("service", service).Msg("rollout: cannot encode the state")
		return
	}
	k.rollouts.writing[service] = now
	t := k.topics[gossip.Progress]
	was := revision.New(t.version.Era, 0)
	if known, there := t.rows[row.Key]; there {
		was = known.Version
	}
	k.Log.Info().Str("service", service).Str("version", p.Version).Str("state", p.State.String()).Stringer("was", was).Str("seen", seen).Dur("age", now.Sub(k.rollouts.byService[service].Since)).Msg("rollout: writing the state")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		k.Calls.Add(1)
		err := k.Store.Write(ctx, gossip.Progress, row.Key, row.Data, was)
		k.deliver(ctx, writeDone{service: service, err: err})
	}()
}

// writeDelay is how long this daemon leaves the writing of a state to others: the readers of
// the halls take turns, and the other daemons follow them.
func (k *Syncer) writeDelay(state canary.State) time.Duration {
	halls := []string{k.Self.Hall}
	for _, m := range k.others() {
		if !slices.Contains(halls, m.Hall) {
			halls = append(halls, m.Hall)
		}
	}
	slices.Sort(halls)
	wait := time.Duration(slices.Index(halls, k.Self.Hall)) * writeTurnDelay
	switch {
	case k.reading.Load():
	case state == canary.RolledBack:
		wait += rollbackWriteDelay
	default:
		wait += nonReaderWriteDelay
	}
	return wait
}

// handleWriteDone handles the outcome of a write. Whatever it was, the topic shows the state
// that the store has: the answer of a successful write may have been lost.
func (k *Syncer) handleWriteDone(e writeDone) {
	if e.err != nil {
		k.Log.Warn().Str("service", e.service).Err(e.err).Msg("rollout: write of the state failed or its outcome is unknown")
		return
	}
	delete(k.rollouts.writing, e.service)
}
