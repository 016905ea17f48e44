package storesync

import (
	"context"
	"slices"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// The rhythm of roll-outs.
const (
	// evidenceInterval is the time between two messages about what was seen: a bad
	// version may see requests for some seconds after it is known to be bad.
	evidenceInterval = 700 * time.Millisecond
	// writeTurnDelay is how long a daemon waits for each one before it in turn to
	// write a state.
	writeTurnDelay = 350 * time.Millisecond
	// writeTimeout bounds a write, and the pause after one that failed.
	writeTimeout = 900 * time.Millisecond
	// reportTTL is how long what another daemon or hall has under way counts after it
	// was last told. What it has seen counts as long as the order.
	reportTTL = 2 * time.Second
	// minSuspicionAge is how long a doubt must have stood to take a version back: in twice the time
	// between two messages all daemons have told what they have seen. Daemons that had just
	// started took good versions back by the few answers that they had heard of, in 3 of 12
	// plays beside stops in turn.
	minSuspicionAge = 2 * evidenceInterval
	// readersPerHall is how many daemons of another hall are told what this one
	// has seen.
	readersPerHall = 2
	// nonReaderWriteDelay is how long a daemon that does not read leaves the writing
	// of states to those that do; urgentWait is that for a version that is bad,
	// long enough for a reader to hear of it and write.
	nonReaderWriteDelay = 3 * time.Second
	rollbackWriteDelay  = 700 * time.Millisecond
	// minAnswersToComplete is how many answers of a version daemons must have seen
	// before it may be completed, which cannot be taken back: as many as tell a
	// bad one for sure. provenAfter is how long a daemon must have known the
	// order if fewer come.
	minAnswersToComplete = 30
	maxWaitForAnswers    = 3 * time.Second
)

// Observe takes what an answer says of a version in roll-out.
func (k *Syncer) Observe(f Observation) {
	if k.rollouts.open.Load() {
		k.enqueue(observation{fact: f})
	}
}

// driveRollouts takes the next step of each order that is open.
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
		// Daemons that hear of an order together do not all speak at once.
		k.rollouts.sentAt = now.Add(-time.Duration(k.random.Int64N(int64(evidenceInterval))))
	}
	if now.Sub(k.rollouts.sentAt) >= evidenceInterval {
		k.sendEvidence(own, now)
	}
}

// sendEvidence tells what was seen: to the daemon that reads for this one, or,
// from one that reads, what its hall has seen to the readers of other halls.
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

// readersOfOtherHalls are the daemons that read for the other halls: the first two in the
// order of each, since one of them may be gone.
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

// broadcastWith sends it to them and another daemon, unless that is this one or none.
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

// oldInFlight counts this daemon's requests on versions that get no more, by
// service.
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

// advanceRollout takes the next step of an order, if it is this daemon's turn. Whether what was
// seen is enough to complete a version is for those to say whose turn it is: the others
// know little more than what they have seen themselves.
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
		k.withdraw(r, "not known to be good: "+verdict.Suspicion, own, now)
		next.State = canary.RolledBack
	}
	k.writeInTurn(ctx, service, next, verdict.Summary, k.dueSince(service, next.State, now), now)
}

// dueSince is since when a state of an order is to be written.
func (k *Syncer) dueSince(service string, state canary.State, now time.Time) time.Time {
	name := service + state.String()
	if _, ok := k.rollouts.knownSince[name]; !ok {
		k.rollouts.knownSince[name] = now
	}
	return k.rollouts.knownSince[name]
}

// initialShare is the share of the sessions that a new version begins with, by how
// many requests are expected in the order's time.
func (k *Syncer) initialShare(o canary.Order) float64 {
	requests := 0.0
	if k.Rate != nil {
		requests = k.Rate(o.Service) * float64(max(1, k.view.Load().Daemons)) * o.Within.Seconds()
	}
	return k.Exposure.InitialShare(requests, o.Within)
}

// evaluate weighs what all daemons have seen of a version, and stops its use if it is
// bad.
func (k *Syncer) evaluate(seen canary.Evidence, r canary.Rollout, own map[string]int, now time.Time) canary.Verdict {
	service, version := r.Order.Service, r.Order.Version
	verdict := seen.Judge()
	k.recordSuspicion(r, verdict, now)
	for _, id := range verdict.Ejected {
		if !slices.Contains(k.rollouts.ejected[service], id) {
			k.rollouts.ejected[service] = append(slices.Clone(k.rollouts.ejected[service]), id)
			k.Log.Warn().Str("service", service).Str("version", version).Str("server", id).Dur("age", now.Sub(r.Since)).Msg("rollout: a server of the version looks bad: others are asked")
		}
	}
	switch {
	case verdict.Rejection != "":
		k.withdraw(r, verdict.Rejection, own, now)
	case (verdict.ErrorBudgetSpent || k.trialSufficient(r, seen, now)) && k.reading.Load() && k.enoughEvidence(service, seen, now):
		k.withdraw(r, "not known to be good: "+verdict.Suspicion, own, now)
	}
	return verdict
}

// trialSufficient reports whether a version has been trialSufficient for so long, or so often, that a doubt which
// stands is enough to stop its use.
func (k *Syncer) trialSufficient(r canary.Rollout, seen canary.Evidence, now time.Time) bool {
	stands := k.rollouts.suspicions[r.Order.Service].age(now) >= minSuspicionAge
	return stands && (r.TrialElapsed(now) || seen.SampleSufficient())
}

// summaryLogInterval is the time between two lines of a reader about what was seen of a version.
const summaryLogInterval = time.Second

// recordSuspicion notes since when there is a doubt, and has a reader log what was seen so far: a
// decision that comes late is traced by when there was enough for it.
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
		k.Log.Info().Str("service", service).Str("version", r.Order.Version).Dur("age", now.Sub(r.Since)).Dur("doubt_for", s.age(now)).Bool("tried", r.TrialElapsed(now)).Str("seen", v.Summary).Msg("rollout: seen so far")
	}
	k.rollouts.suspicions[service] = s
}

// suspicion is since when there is a suspicion of a version in roll-out.
type suspicion struct {
	// since is zero without a doubt, loggedAt when what was seen was last logged.
	since    time.Time
	loggedAt time.Time
}

// age is how long there has been a doubt.
func (s suspicion) age(now time.Time) time.Duration {
	if s.since.IsZero() {
		return 0
	}
	return now.Sub(s.since)
}

// withdraw stops the use of a version here and tells the others.
func (k *Syncer) withdraw(r canary.Rollout, why string, own map[string]int, now time.Time) {
	service, version := r.Order.Service, r.Order.Version
	if !k.rollouts.withdraw(service, version) {
		return
	}
	k.Log.Warn().Str("service", service).Str("version", version).Str("why", why).Dur("age", now.Sub(r.Since)).Dur("doubt_for", k.rollouts.suspicions[service].age(now)).Msg("rollout: the version is bad: it gets nothing more")
	k.sendEvidence(own, now)
	k.sendWithdrawn(now)
}

// enoughEvidence reports whether enough was seen of a version since this process knows
// the order: with all daemons started anew nobody remembers what was before.
func (k *Syncer) enoughEvidence(service string, seen canary.Evidence, now time.Time) bool {
	return seen.Answers() >= minAnswersToComplete || now.Sub(k.rollouts.knownSince[service]) >= maxWaitForAnswers
}

// storeSince is when the order was first seen, by the store's clock.
func (k *Syncer) storeSince(service string, now time.Time) uint64 {
	age := uint64(max(0, now.Sub(k.rollouts.byService[service].Since).Milliseconds()))
	clock := k.rollouts.storeClock(now)
	return clock - min(age, clock)
}

// oldVersionIdle reports whether no daemon is known to have a request under way on
// the old version.
func (k *Syncer) oldVersionIdle(service string, own map[string]int) bool {
	n, ok := k.rollouts.allOldInFlight(own)[service]
	return ok && n == 0
}

// writeInTurn writes a state when it is this daemon's turn: the others follow
// one after the other, so that usually only one writes. The log tells what it rests on.
func (k *Syncer) writeInTurn(ctx context.Context, service string, p canary.Progress, seen string, due, now time.Time) {
	if began, busy := k.rollouts.writing[service]; busy && now.Sub(began) < 2*writeTimeout {
		return
	}
	if now.Sub(due) < k.writeDelay(p.State) {
		return
	}
	row, err := k.Decoder.WriteProgress(service, p)
	if err != nil {
		k.Log.Error().Err(err).Str("service", service).Msg("rollout: the state cannot be encoded")
		return
	}
	k.rollouts.writing[service] = now
	t := k.topics[gossip.Progress]
	was := revision.New(t.version.Era, 0)
	if known, there := t.rows[row.Key]; there {
		was = known.Version
	}
	k.Log.Info().Str("service", service).Str("version", p.Version).Str("state", p.State.String()).Stringer("was", was).Str("seen", seen).Dur("age", now.Sub(k.rollouts.byService[service].Since)).Msg("rollout: the state is written")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		k.Calls.Add(1)
		err := k.Store.Write(ctx, gossip.Progress, row.Key, row.Data, was)
		k.deliver(ctx, writeDone{service: service, err: err})
	}()
}

// writeDelay is how long this daemon leaves the writing of a state to others: the
// readers of the halls take turns, and other daemons come after them.
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

// handleWriteDone notes the outcome of a write. Whatever it was, the topic tells what
// stands: a lost answer may have been a success.
func (k *Syncer) handleWriteDone(e writeDone) {
	if e.err != nil {
		k.Log.Warn().Str("service", e.service).Err(e.err).Msg("rollout: the state may not have been written")
		return
	}
	delete(k.rollouts.writing, e.service)
}
