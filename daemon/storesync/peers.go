package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// responseTimeout is how long the response to a request is accepted. A later one may be from
// before a pause of this process.
const responseTimeout = time.Second

// gossipedTopics are the topics that daemons exchange.
var gossipedTopics = []gossip.Topic{gossip.Operator, gossip.Servers, gossip.Progress, gossip.Members}

// queryReader sends a request to the daemon that reads the store for this one, and starts
// reading itself if there is none.
func (k *Syncer) queryReader(now time.Time) {
	fresh, still := k.readers.expire(now)
	for _, id := range still {
		// The daemon may have restarted and not know the connection.
		k.Peers.Forget(id)
	}
	for _, id := range fresh {
		k.Log.Warn().Str("reader", id).Msg("storesync: reader of this hall does not answer")
	}
	k.updateReading(now)
	due := k.readers.queryTargets(now.Sub(k.topics[gossip.Operator].confirmed), now)
	if len(due) == 0 {
		return
	}
	ask := k.newRequest(gossipedTopics, now)
	reader, ok := k.readers.reader()
	for _, m := range due {
		k.readers.recordQuery(m.ID, now)
		to := ask
		if ok && m.ID == reader.ID && !k.reading.Load() {
			// Only the reader passes sessions on. The other daemons may not even run.
			to.Sessions = k.sessions.takeUnsent(now)
			to.Usage = k.unacknowledgedUsage(reader, ask.Nonce, now)
		}
		k.Peers.Send(m.ID, m.Addr, to)
	}
}

// updateReading starts or stops reading the store.
func (k *Syncer) updateReading(now time.Time) {
	if !k.hasAllTopics() {
		return
	}
	age := now.Sub(k.topics[gossip.Operator].confirmed)
	reads := k.readers.mayRead(age, now)
	k.passive.Store(k.readers.passive(now))
	reader, ok := k.readers.reader()
	if k.reading.Load() && k.readers.hadReader && !ok {
		// It keeps reading until there is a reader.
		reads = true
	}
	if k.reading.Load() == reads {
		return
	}
	k.reading.Store(reads)
	k.Log.Info().Bool("reading", reads).Str("reader", reader.ID).Dur("age", age).Msg("storesync: reader of the store has changed")
	if !reads {
		k.stopReading()
	}
}

// firstStartTimeout is how long a daemon leaves the reading to the reader of its hall at the
// first start. That one reads within half a second, and the connections of a hundred daemons to
// it take one or two seconds on small VMs. This saves two calls to the store per daemon.
const firstStartTimeout = 3 * time.Second

// endFirstStart ends the time in which a daemon leaves the reading to another one: when that
// one has answered, when no daemon of its hall precedes it, or when the time is over.
func (k *Syncer) endFirstStart(now time.Time) {
	if !k.deferReading.Load() {
		return
	}
	first := k.topics[gossip.Members].known && k.readers.isFirst()
	if first || !k.reading.Load() || now.Sub(k.startedAt) >= firstStartTimeout {
		k.deferReading.Store(false)
	}
}

// hasAllTopics reports whether the topics that every daemon needs have been read once.
func (k *Syncer) hasAllTopics() bool {
	return k.topics[gossip.Operator].known && k.topics[gossip.Servers].known && k.topics[gossip.Members].known
}

// stopReading ends the calls to the store. From now on the reader finds out whether the store
// answers.
func (k *Syncer) stopReading() {
	for _, f := range k.followers {
		f.interrupt()
	}
	now := time.Now()
	for _, t := range k.topics {
		if !t.unavailableSince.IsZero() {
			t.unavailableSince, t.recoveredAt = time.Time{}, now
		}
	}
}

// newRequest creates a request about topics.
func (k *Syncer) newRequest(topics []gossip.Topic, now time.Time) gossip.Request {
	k.nonce++
	k.pendingRequests[k.nonce] = now
	ask := gossip.Request{Nonce: k.nonce, Load: k.requestLoad(now)}
	k.addLimits(&ask, now)
	for _, topic := range topics {
		t := k.topics[topic]
		ask.Digests = append(ask.Digests, gossip.TopicDigest{Topic: topic, Version: t.version, Sum: t.sum, LostRows: uint64(len(t.held))})
	}
	return ask
}

// handlePeerMessage handles a message of another daemon.
func (k *Syncer) handlePeerMessage(e peerMessage, now time.Time) {
	switch m := e.message.(type) {
	case gossip.Request:
		k.handleRequest(e.from, m, now)
	case gossip.Response:
		k.handleResponse(e.from, m, now)
	case gossip.Evidence:
		k.rollouts.handleEvidence(e.from, m, now)
	}
}

// handleRequest answers the request of another daemon with the state of this one.
func (k *Syncer) handleRequest(to string, m gossip.Request, now time.Time) {
	member, ok := (*k.members.Load())[to]
	if !ok {
		return
	}
	k.subscribers[to] = now
	k.handleRequestSessions(m.Sessions, now)
	k.mergeUsage(m.Usage)
	tell := gossip.Response{Nonce: m.Nonce, Withdrawn: k.rollouts.withdrawnNames(), StoreUnreachable: k.storeUnreachable(now), Load: k.handleRequestLoad(member, m.Load, now)}
	tell.Limits = k.handleRequestLimits(to, m, now)
	tell.LimitSum = k.limits.sum()
	holdsMore := false
	for _, have := range m.Digests {
		t := k.topics[have.Topic]
		if t == nil || !t.known {
			continue
		}
		tell.Updates = append(tell.Updates, t.updateFor(have.Topic, have.Sum, now))
		holdsMore = holdsMore || have.LostRows > uint64(len(t.held))
	}
	k.Peers.Send(to, member.Addr, tell)
	if holdsMore && now.Sub(k.heldQueriedAt) >= queryInterval {
		k.heldQueriedAt = now
		k.Peers.Send(to, member.Addr, k.newRequest(gossipedTopics, now))
	}
}

// updateFor returns the update of a topic for a daemon whose rows have a checksum.
func (t *topicState) updateFor(topic gossip.Topic, sum uint64, now time.Time) gossip.Update {
	out := gossip.Update{Topic: topic, Version: t.version, AgeMS: uint64(max(0, now.Sub(t.confirmed).Milliseconds())), Sum: t.sum, Base: sum, LostRows: uint64(len(t.held))}
	if !t.recoveredAt.IsZero() {
		out.ReturnedMS = uint64(max(1, now.Sub(t.recoveredAt).Milliseconds()))
	}
	if sum == t.sum {
		return out
	}
	var known, onItsWay bool
	out.Rows, out.Removed, known, onItsWay = t.changesSince(sum, now)
	switch {
	case onItsWay:
		// The update with this change was sent a moment ago. The next request shows whether it
		// has arrived.
		out.Rows, out.Removed = nil, nil
	case !known:
		out.Rows, out.Removed, out.Complete = t.rowList(), nil, true
	}
	return out
}

// updateSince returns the changes since the last update, which all subscribers have received.
func (t *topicState) updateSince(topic gossip.Topic, sum uint64, now time.Time) gossip.Update {
	out := t.updateFor(topic, t.sum, now)
	rows, removed, known, _ := t.changesSince(sum, now)
	out.Base, out.Rows, out.Removed = sum, rows, removed
	if !known {
		out.Rows, out.Removed, out.Complete = t.rowList(), nil, true
	}
	return out
}

// subscriptionTTL is how long after its last request a daemon receives updates.
const subscriptionTTL = 3 * time.Second

// sendUpdates sends the topics that have changed since the last update to the subscribers.
func (k *Syncer) sendUpdates(now time.Time) {
	var tell gossip.Response
	for _, topic := range gossipedTopics {
		t := k.topics[topic]
		if t.known && t.sum != k.announcedSums[topic] {
			tell.Updates = append(tell.Updates, t.updateSince(topic, k.announcedSums[topic], now))
			k.announcedSums[topic] = t.sum
		}
	}
	if to := k.subscriberAddrs(now); len(tell.Updates) > 0 && len(to) > 0 {
		k.Peers.SendAll(to, tell)
	}
}

// subscriberAddrs returns the addresses of the daemons that this one reads the store for, by
// ID.
func (k *Syncer) subscriberAddrs(now time.Time) map[string]string {
	to := map[string]string{}
	for id, at := range k.subscribers {
		member, ok := (*k.members.Load())[id]
		if !ok || now.Sub(at) > subscriptionTTL {
			delete(k.subscribers, id)
			continue
		}
		to[id] = member.Addr
	}
	return to
}

// sendWithdrawn sends the names of the withdrawn versions to the subscribers.
func (k *Syncer) sendWithdrawn(now time.Time) {
	k.Peers.SendAll(k.subscriberAddrs(now), gossip.Response{Withdrawn: k.rollouts.withdrawnNames()})
}

// handleResponse merges the state of another daemon. Its age counts from when the request was
// sent, so that a delayed response does not appear younger. An update without a request
// confirms nothing.
func (k *Syncer) handleResponse(from string, m gossip.Response, now time.Time) {
	defer k.publishView()
	k.handleSessions(from, m.Sessions, now)
	k.mergeCrashes(from, m.Crashes, now)
	for _, name := range m.Withdrawn {
		k.rollouts.withdrawNamed(name)
	}
	k.handleLoad(from, m, now)
	k.handleResponseLimits(from, m, now)
	k.mergeUsage(m.Usage)
	if m.StoreRecovered {
		k.handleStoreFound(from, now)
	}
	asked, ok := k.pendingRequests[m.Nonce]
	if m.Nonce != 0 && (!ok || now.Sub(asked) > responseTimeout) {
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
		k.applyUpdate(from, known, confirmed, now)
	}
	if m.Nonce == 0 {
		return
	}
	for _, known := range m.Updates {
		if known.Topic == gossip.Operator {
			age := now.Sub(asked.Add(-time.Duration(known.AgeMS) * time.Millisecond))
			k.readers.recordAnswer(from, age, m.StoreUnreachable, now)
			k.updateSource(from, !m.StoreUnreachable && age <= k.readers.maxUsableAge)
		}
	}
}

// applyUpdate merges the state of a topic at another daemon.
func (k *Syncer) applyUpdate(from string, known gossip.Update, confirmed, now time.Time) {
	t := k.topics[known.Topic]
	if returned := now.Add(-time.Duration(known.ReturnedMS) * time.Millisecond); known.ReturnedMS > 0 && returned.After(t.recoveredAt) {
		t.recoveredAt = returned
	}
	var gone []string
	newer := false
	switch {
	case known.Sum == t.sum:
		t.known = true
		k.checkEra(known.Topic, known.Version, now)
		t.version = revision.Latest(t.version, known.Version)
		t.confirm(confirmed)
	case t.known && !known.Version.After(t.version):
		if known.Version == t.version && !t.restoredAt.IsZero() {
			// One of the two daemons holds rows that the store has lost.
			t.confirm(confirmed)
		}
		gone, newer = t.mergeHeld(known, now)
	case known.Complete:
		k.checkEra(known.Topic, known.Version, now)
		t.noteHeldByPeer(known, now)
		gone, newer = t.replace(known.Rows, known.Version, confirmed, now)
	default:
		k.checkEra(known.Topic, known.Version, now)
		t.noteHeldByPeer(known, now)
		gone, newer = t.apply(known, confirmed, now)
	}
	if newer {
		k.Log.Info().Str("topic", string(known.Topic)).Str("from", from).Stringer("version", known.Version).Uint64("age_ms", known.AgeMS).Msg("storesync: update received from another daemon")
		k.applyTopicChange(known.Topic, gone, newer, now)
	}
}
