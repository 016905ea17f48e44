package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// askedFor is how long an answer to a question counts: later it may be one
// from before this process was paused.
const askedFor = time.Second

// relayed are the topics that daemons tell each other.
var relayed = []gossip.Topic{gossip.Operator, gossip.Servers, gossip.Progress, gossip.Members}

// askReader asks the daemon that reads for this one, and reads itself if there
// is none.
func (k *Keeper) askReader(now time.Time) {
	fresh, still := k.readers.expire(now)
	for _, id := range still {
		// Its process may be a new one, which does not know the connection.
		k.Peers.Forget(id)
	}
	for _, id := range fresh {
		k.Log.Warn().Str("reader", id).Msg("knowledge: the reader of this hall does not answer")
	}
	k.settleReading(now)
	due := k.readers.due(now.Sub(k.topics[gossip.Operator].confirmed), now)
	if len(due) == 0 {
		return
	}
	ask := k.question(relayed, now)
	reader, ok := k.readers.reader()
	for _, m := range due {
		k.readers.ask(m.ID, now)
		to := ask
		if ok && m.ID == reader.ID && !k.reading.Load() {
			// Only the reader tells sessions on; others may not even be there.
			to.Sessions = k.sessions.news(now)
			to.Usage = k.tellUsage(reader, ask.Nonce, now)
		}
		k.Peers.Send(m.ID, m.Addr, to)
	}
}

// settleReading begins or ends the reading of the store.
func (k *Keeper) settleReading(now time.Time) {
	if !k.knowsAll() {
		return
	}
	age := now.Sub(k.topics[gossip.Operator].confirmed)
	reads := k.readers.mayRead(age, now)
	k.bystander.Store(k.readers.bystander(now))
	reader, ok := k.readers.reader()
	if k.reading.Load() && k.readers.met && !ok {
		// It goes on until there is a reader.
		reads = true
	}
	if k.reading.Load() == reads {
		return
	}
	k.reading.Store(reads)
	k.Log.Info().Bool("reading", reads).Str("reader", reader.ID).Dur("age", age).Msg("knowledge: who reads the store has changed")
	if !reads {
		k.stopReading()
	}
}

// firstStartPatience is how long a daemon leaves the reading to its hall's reader at
// the first start: that one reads within half a second, and the connections of a
// hundred daemons to it take one or two on small VMs. It saves two calls to the store each.
const firstStartPatience = 3 * time.Second

// endPatience ends the time in which a daemon leaves the reading to another one: once
// that one has answered, if nobody of its hall goes before it, or when it has taken too
// long.
func (k *Keeper) endPatience(now time.Time) {
	if !k.leavesReading.Load() {
		return
	}
	first := k.topics[gossip.Members].known && k.readers.first()
	if first || !k.reading.Load() || now.Sub(k.startedAt) >= firstStartPatience {
		k.leavesReading.Store(false)
	}
}

// knowsAll reports whether the rows of the topics that every daemon needs have
// been read once.
func (k *Keeper) knowsAll() bool {
	return k.topics[gossip.Operator].known && k.topics[gossip.Servers].known && k.topics[gossip.Members].known
}

// stopReading ends the calls to the store: whether it is away is now the
// reader's to find out.
func (k *Keeper) stopReading() {
	for _, f := range k.followers {
		f.interrupt()
	}
	now := time.Now()
	for _, t := range k.topics {
		if !t.away.IsZero() {
			t.away, t.returned = time.Time{}, now
		}
	}
}

// question makes a question about topics.
func (k *Keeper) question(topics []gossip.Topic, now time.Time) gossip.Request {
	k.nonce++
	k.asked[k.nonce] = now
	ask := gossip.Request{Nonce: k.nonce, Load: k.askWork(now)}
	k.askLimits(&ask, now)
	for _, topic := range topics {
		t := k.topics[topic]
		ask.Digests = append(ask.Digests, gossip.TopicDigest{Topic: topic, Version: t.version, Sum: t.sum, LostRows: uint64(len(t.held))})
	}
	return ask
}

// heard takes a message of another daemon.
func (k *Keeper) heard(e heard, now time.Time) {
	switch m := e.message.(type) {
	case gossip.Request:
		k.answer(e.from, m, now)
	case gossip.Response:
		k.told(e.from, m, now)
	case gossip.Evidence:
		k.rollouts.hear(e.from, m, now)
	}
}

// answer tells another daemon what is known here.
func (k *Keeper) answer(to string, m gossip.Request, now time.Time) {
	member, ok := (*k.members.Load())[to]
	if !ok {
		return
	}
	k.listeners[to] = now
	k.askedSessions(m.Sessions, now)
	k.mergeUsage(m.Usage)
	tell := gossip.Response{Nonce: m.Nonce, Withdrawn: k.rollouts.withdrawnNames(), StoreUnreachable: k.cut(now), Load: k.askedWork(member, m.Load, now)}
	tell.Limits = k.askedLimits(to, m, now)
	tell.LimitSum = k.limits.sum()
	holdsMore := false
	for _, have := range m.Digests {
		t := k.topics[have.Topic]
		if t == nil || !t.known {
			continue
		}
		tell.Updates = append(tell.Updates, t.tell(have.Topic, have.Sum, now))
		holdsMore = holdsMore || have.LostRows > uint64(len(t.held))
	}
	k.Peers.Send(to, member.Addr, tell)
	if holdsMore && now.Sub(k.askedBack) >= askEvery {
		k.askedBack = now
		k.Peers.Send(to, member.Addr, k.question(relayed, now))
	}
}

// tell is what is known of a topic, for a daemon whose rows have a sum.
func (t *topicState) tell(topic gossip.Topic, sum uint64, now time.Time) gossip.Update {
	out := gossip.Update{Topic: topic, Version: t.version, AgeMS: uint64(max(0, now.Sub(t.confirmed).Milliseconds())), Sum: t.sum, Base: sum, LostRows: uint64(len(t.held))}
	if !t.returned.IsZero() {
		out.ReturnedMS = uint64(max(1, now.Sub(t.returned).Milliseconds()))
	}
	if sum == t.sum {
		return out
	}
	var known, onItsWay bool
	out.Rows, out.Removed, known, onItsWay = t.since(sum, now)
	switch {
	case onItsWay:
		// The news of it was told a moment ago; another question shows
		// whether it has arrived.
		out.Rows, out.Removed = nil, nil
	case !known:
		out.Rows, out.Removed, out.Complete = t.list(), nil, true
	}
	return out
}

// news is what has changed since the last news, which all listeners have.
func (t *topicState) news(topic gossip.Topic, sum uint64, now time.Time) gossip.Update {
	out := t.tell(topic, t.sum, now)
	rows, removed, known, _ := t.since(sum, now)
	out.Base, out.Rows, out.Removed = sum, rows, removed
	if !known {
		out.Rows, out.Removed, out.Complete = t.list(), nil, true
	}
	return out
}

// listenFor is how long after its last question a daemon is told news.
const listenFor = 3 * time.Second

// tellNews tells the topics that have changed since the last news to the daemons
// that ask here.
func (k *Keeper) tellNews(now time.Time) {
	var tell gossip.Response
	for _, topic := range relayed {
		t := k.topics[topic]
		if t.known && t.sum != k.toldSums[topic] {
			tell.Updates = append(tell.Updates, t.news(topic, k.toldSums[topic], now))
			k.toldSums[topic] = t.sum
		}
	}
	if to := k.audience(now); len(tell.Updates) > 0 && len(to) > 0 {
		k.Peers.SendAll(to, tell)
	}
}

// audience are the daemons that this one reads for, by id and address.
func (k *Keeper) audience(now time.Time) map[string]string {
	to := map[string]string{}
	for id, at := range k.listeners {
		member, ok := (*k.members.Load())[id]
		if !ok || now.Sub(at) > listenFor {
			delete(k.listeners, id)
			continue
		}
		to[id] = member.Addr
	}
	return to
}

// tellWithdrawn tells which versions are bad to the daemons that ask here.
func (k *Keeper) tellWithdrawn(now time.Time) {
	k.Peers.SendAll(k.audience(now), gossip.Response{Withdrawn: k.rollouts.withdrawnNames()})
}

// told takes what another daemon knows. Its age counts from when the question
// was asked, so that an answer that was held up does not make it younger; news
// that nobody has asked for confirms nothing.
func (k *Keeper) told(from string, m gossip.Response, now time.Time) {
	defer k.refresh()
	k.toldSessions(from, m.Sessions, now)
	k.heardCrashes(from, m.Crashes, now)
	for _, name := range m.Withdrawn {
		k.rollouts.withdrawNamed(name)
	}
	k.toldWork(from, m, now)
	k.toldLimits(from, m, now)
	k.mergeUsage(m.Usage)
	if m.StoreRecovered {
		k.found(from, now)
	}
	asked, ok := k.asked[m.Nonce]
	if m.Nonce != 0 && (!ok || now.Sub(asked) > askedFor) {
		return
	}
	if ok && k.Usage != nil {
		k.Usage.Acknowledged(m.Nonce)
	}
	for _, known := range m.Updates {
		t := k.topics[known.Topic]
		if t == nil {
			continue
		}
		var confirmed time.Time
		if m.Nonce != 0 {
			confirmed = asked.Add(-time.Duration(known.AgeMS) * time.Millisecond)
		}
		k.take(from, known, confirmed, now)
	}
	if m.Nonce == 0 {
		return
	}
	for _, known := range m.Updates {
		if known.Topic == gossip.Operator {
			age := now.Sub(asked.Add(-time.Duration(known.AgeMS) * time.Millisecond))
			k.readers.told(from, age, m.StoreUnreachable, now)
			k.noteSource(from, !m.StoreUnreachable && age <= k.readers.usefulAge)
		}
	}
}

// take takes what another daemon knows of a topic.
func (k *Keeper) take(from string, known gossip.Update, confirmed, now time.Time) {
	t := k.topics[known.Topic]
	if returned := now.Add(-time.Duration(known.ReturnedMS) * time.Millisecond); known.ReturnedMS > 0 && returned.After(t.returned) {
		t.returned = returned
	}
	var gone []string
	newer := false
	switch {
	case known.Sum == t.sum:
		t.known = true
		k.noteEra(known.Topic, known.Version, now)
		t.version = revision.Latest(t.version, known.Version)
		t.confirm(confirmed)
	case t.known && !known.Version.After(t.version):
		if known.Version == t.version && !t.returnedAt.IsZero() {
			// One of the two holds rows that the store has lost.
			t.confirm(confirmed)
		}
		gone, newer = t.takeHeld(known, now)
	case known.Complete:
		k.noteEra(known.Topic, known.Version, now)
		t.noteHeld(known, now)
		gone, newer = t.replace(known.Rows, known.Version, confirmed, now)
	default:
		k.noteEra(known.Topic, known.Version, now)
		t.noteHeld(known, now)
		gone, newer = t.apply(known, confirmed, now)
	}
	if newer {
		k.Log.Info().Str("topic", string(known.Topic)).Str("from", from).Stringer("version", known.Version).Uint64("age_ms", known.AgeMS).Msg("knowledge: told by another daemon")
		k.learned(known.Topic, gone, newer, now)
	}
}
