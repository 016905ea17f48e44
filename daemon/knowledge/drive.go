package knowledge

import (
	"context"
	"slices"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/relay"
)

// The rhythm of roll-outs.
const (
	// evidenceEvery is the time between two messages about what was seen: a bad
	// version may see requests for some seconds after it is known to be bad.
	evidenceEvery = 400 * time.Millisecond
	// turnWait is how long a daemon waits for each one before it in turn to
	// write a state.
	turnWait = 350 * time.Millisecond
	// writeTimeout bounds a write, and the pause after one that failed.
	writeTimeout = 900 * time.Millisecond
	// aliveFor is how long a daemon counts as alive after its last message.
	aliveFor = 2 * time.Second
)

// Observe takes what an answer says of a version in roll-out.
func (k *Keeper) Observe(f Fact) {
	if k.rollouts.open.Load() {
		k.tell(observed{fact: f})
	}
}

// driveRollouts takes the next step of each order that is open.
func (k *Keeper) driveRollouts(ctx context.Context, now time.Time) {
	if !k.rollouts.open.Load() {
		return
	}
	old := k.oldInFlight(now)
	for service, r := range k.rollouts.byService {
		if r.State == canary.Running {
			k.drive(ctx, service, r, old, now)
		}
	}
	if now.Sub(k.rollouts.sentAt) >= evidenceEvery {
		k.tellEvidence(old, now)
	}
}

// tellEvidence tells the other daemons what was seen here.
func (k *Keeper) tellEvidence(old map[string]int, now time.Time) {
	k.rollouts.sentAt = now
	m := k.rollouts.evidence(k.Self.Start, old)
	for _, other := range k.others() {
		k.Peers.Send(other.ID, other.Addr, m)
	}
}

// oldInFlight counts this daemon's requests on versions that get no more, by
// service.
func (k *Keeper) oldInFlight(now time.Time) map[string]int {
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
				out[service] += s.Load.InFlight()
			}
		}
	}
	return out
}

// drive takes the next step of an order, if it is this daemon's turn.
func (k *Keeper) drive(ctx context.Context, service string, r canary.Rollout, old map[string]int, now time.Time) {
	version := r.Order.Version
	if !r.Started {
		k.writeInTurn(ctx, service, canary.Progress{State: canary.Running, Version: version, SinceMS: k.storeSince(service, now), Order: r.Order.Number}, k.rollouts.seenAt[service], now)
		return
	}
	if why := canary.Judge(k.rollouts.pairs(service)); why != "" && k.rollouts.withdraw(service, version) {
		k.Log.Warn().Str("service", service).Str("version", version).Str("why", why).Dur("age", now.Sub(r.Since)).Msg("rollout: the version is bad: it gets nothing more")
		k.tellEvidence(old, now)
	}
	next := canary.Progress{Version: version, SinceMS: k.storeSince(service, now), Order: r.Order.Number}
	switch {
	case k.rollouts.withdrawn[versionName(service, version)]:
		next.State = canary.RolledBack
	case r.Share(now) >= 1 && (canary.Late(now.Sub(r.Since), r.Order.Within) || k.nothingOld(service, old, now)):
		next.State = canary.Completed
	default:
		return
	}
	if _, ok := k.rollouts.seenAt[service+next.State.String()]; !ok {
		k.rollouts.seenAt[service+next.State.String()] = now
	}
	k.writeInTurn(ctx, service, next, k.rollouts.seenAt[service+next.State.String()], now)
}

// storeSince is when the order was first seen, by the store's clock.
func (k *Keeper) storeSince(service string, now time.Time) uint64 {
	age := uint64(max(0, now.Sub(k.rollouts.byService[service].Since).Milliseconds()))
	clock := k.rollouts.storeClock(now)
	return clock - min(age, clock)
}

// nothingOld reports whether no daemon has a request under way on the old
// version.
func (k *Keeper) nothingOld(service string, old map[string]int, now time.Time) bool {
	if n, ok := old[service]; !ok || n > 0 {
		return false
	}
	for _, m := range k.others() {
		if now.Sub(k.peersSeen[m.ID]) > aliveFor {
			continue
		}
		if n, ok := k.rollouts.told[m.ID].OldInFlight[service]; !ok || n > 0 {
			return false
		}
	}
	return true
}

// writeInTurn writes a state when it is this daemon's turn: the others follow
// one after the other, so that usually only one writes.
func (k *Keeper) writeInTurn(ctx context.Context, service string, p canary.Progress, due, now time.Time) {
	if began, busy := k.rollouts.busy[service]; busy && now.Sub(began) < 2*writeTimeout {
		return
	}
	if now.Sub(due) < time.Duration(k.turn(p.Order))*turnWait {
		return
	}
	row, err := k.Decoder.WriteProgress(service, p)
	if err != nil {
		k.Log.Error().Err(err).Str("service", service).Msg("rollout: the state cannot be encoded")
		return
	}
	k.rollouts.busy[service] = now
	was := k.topics[relay.Progress].rows[row.Key].Version
	k.Log.Info().Str("service", service).Str("version", p.Version).Str("state", p.State.String()).Uint64("was", was).Msg("rollout: the state is written")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		k.Calls.Add(1)
		err := k.Store.Write(ctx, relay.Progress, row.Key, row.Data, was)
		k.deliver(ctx, wrote{service: service, err: err})
	}()
}

// turn is this daemon's place in the order in which daemons write.
func (k *Keeper) turn(order uint64) int {
	others := k.others()
	if len(others) == 0 {
		return 0
	}
	at := slices.IndexFunc(others, func(m Member) bool { return m.ID > k.Self.ID })
	if at < 0 {
		at = len(others)
	}
	n := len(others) + 1
	return (at + n - int(order%uint64(n))) % n
}

// wrote notes the outcome of a write. Whatever it was, the topic tells what
// stands: a lost answer may have been a success.
func (k *Keeper) wrote(_ context.Context, e wrote) {
	if e.err != nil {
		k.Log.Warn().Str("service", e.service).Err(e.err).Msg("rollout: the state may not have been written")
		return
	}
	delete(k.rollouts.busy, e.service)
}
