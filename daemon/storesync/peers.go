package storesync

import (
	"slices"
	"time"

	"ladderridge.example/core/contact"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// responseTimeout is how long the response to a request is accepted. On a VM without processor time
// or bandwidth to spare a response may take seconds; its age counts from when the request was sent.
const responseTimeout = 5 * time.Second

// gossipedTopics are the topics that daemons exchange.
var gossipedTopics = []gossip.Topic{gossip.Operator, gossip.Servers, gossip.Progress, gossip.Members}

// queryReader sends a request to the daemon that reads the store for this one, and starts
// reading itself if there is none.
func (sy *Syncer) queryReader(now time.Time) {
	newlySilent, still := sy.readers.expire(now)
	for _, id := range still {
		// The daemon may have restarted and not know the connection.
		sy.Peers.CloseConnections(id)
	}
	sy.trace.failed += len(newlySilent) + len(still)
	for _, id := range newlySilent {
		sy.Log.Warn().Str("reader", id).Msg("storesync: reader of this hall does not answer")
	}
	sy.updateReading(now)
	due := sy.readers.queryTargets(now.Sub(sy.topics[gossip.Operator].confirmed), now)
	if len(due) == 0 {
		return
	}
	req := sy.newRequest(gossipedTopics, now)
	reader, ok := sy.readers.reader()
	for _, m := range due {
		sy.readers.recordQuery(m.ID, now)
		to := req
		if ok && m.ID == reader.ID && !sy.reading.Load() {
			// Only the reader passes sessions on. The other daemons may not even run.
			to.Sessions = sy.sessions.takeUnsent(now)
			to.Usage = sy.unacknowledgedUsage(reader, req.Nonce, now)
			to.Digests = sy.reportFigures(reader, req.Digests, now)
		}
		sy.Peers.Send(m.ID, m.Addr, to)
	}
}

// updateReading starts or stops reading the store.
func (sy *Syncer) updateReading(now time.Time) {
	if !sy.hasAllTopics() {
		return
	}
	age := now.Sub(sy.topics[gossip.Operator].confirmed)
	reads := sy.readers.mayRead(age, now)
	if !sy.reading.Load() && !sy.readers.isFirst() && now.Sub(sy.contact.AnsweredAt()) > sy.verifyAge()+verifyTimeout {
		// It reads once the store has answered its verification. While the store answers, the next
		// one begins within this time.
		reads = false
	}
	sy.passive.Store(sy.readers.passive(now))
	reader, ok := sy.readers.reader()
	if sy.reading.Load() && sy.readers.hadReader && !ok {
		// It keeps reading until there is a reader.
		reads = true
	}
	if sy.reading.Load() == reads {
		return
	}
	sy.reading.Store(reads)
	for _, t := range sy.topics {
		t.served = false
	}
	sy.Log.Info().Bool("reading", reads).Str("reader", reader.ID).Dur("age", age).Msg("storesync: reader of the store has changed")
	if !reads {
		sy.stopReading()
	}
}

// firstStartTimeout is how long a daemon leaves the reading to the reader of its hall at the
// first start. That one reads within half a second, and the connections of a hundred daemons to
// it take one or two seconds on small VMs. This saves two calls to the store per daemon.
const firstStartTimeout = 3 * time.Second

// endFirstStart ends the time in which a daemon leaves the reading to another one: when that
// one has answered, when no daemon of its hall precedes it, or when the time is over.
func (sy *Syncer) endFirstStart(now time.Time) {
	if !sy.deferReading.Load() {
		return
	}
	first := sy.topics[gossip.Members].known && sy.readers.isFirst()
	if first || !sy.reading.Load() || now.Sub(sy.startedAt) >= firstStartTimeout {
		sy.deferReading.Store(false)
	}
}

// hasAllTopics reports whether the topics that every daemon needs have been read once.
func (sy *Syncer) hasAllTopics() bool {
	return sy.topics[gossip.Operator].known && sy.topics[gossip.Servers].known && sy.topics[gossip.Members].known
}

// stopReading ends the calls to the store. From now on the reader finds out whether the store
// answers.
func (sy *Syncer) stopReading() {
	for _, f := range sy.followers {
		f.interrupt()
	}
	now := time.Now()
	for _, t := range sy.topics {
		t.endOutage(sy.entriesMayHaveExpired(now), now)
	}
}

// newRequest creates a request about topics.
func (sy *Syncer) newRequest(topics []gossip.Topic, now time.Time) gossip.Request {
	sy.nonce++
	sy.pendingRequests[sy.nonce] = now
	req := gossip.Request{Nonce: sy.nonce, Load: sy.requestLoad(now)}
	sy.addLimits(&req, now)
	for _, topic := range topics {
		t := sy.topics[topic]
		req.Digests = append(req.Digests, gossip.TopicDigest{Topic: topic, Version: t.version, Sum: t.sum, LostRows: t.lostRows()})
	}
	return req
}

// handlePeerMessage handles a message of another daemon.
func (sy *Syncer) handlePeerMessage(e peerMessage, now time.Time) {
	switch m := e.message.(type) {
	case gossip.Request:
		sy.handleRequest(e.from, m, now)
	case gossip.Response:
		sy.handleResponse(e.from, m, now)
	case gossip.Evidence:
		sy.rollouts.handleEvidence(e.from, m, now)
	}
}

// handleRequest answers the request of another daemon with the state of this one.
func (sy *Syncer) handleRequest(to string, m gossip.Request, now time.Time) {
	member, ok := (*sy.members.Load())[to]
	if !ok {
		return
	}
	sy.subscribers[to] = now
	sy.handleRequestSessions(m.Sessions, now)
	sy.mergeUsage(m.Usage)
	resp := gossip.Response{Nonce: m.Nonce, Withdrawn: sy.rollouts.withdrawnNames(), StoreUnreachable: sy.storeUnreachable(now), Load: sy.handleRequestLoad(member, m.Load, now)}
	resp.Limits = sy.handleRequestLimits(to, m, now)
	resp.LimitSum = sy.limits.sum()
	holdsMore := false
	for _, digest := range m.Digests {
		t := sy.topics[digest.Topic]
		if t == nil || !t.known {
			continue
		}
		resp.Updates = append(resp.Updates, t.updateFor(digest.Topic, digest.Sum, now))
		holdsMore = holdsMore || digest.LostRows > t.lostRows()
	}
	// Daemons of this hall report to its reader only. Others know the sums of other halls at most.
	if sy.reading.Load() && member.Hall == sy.Self.Hall && requestsFigures(m.Digests) {
		resp.Updates = append(resp.Updates, sy.figuresUpdate(func(f Figures) []byte { return f.Total(now) })...)
	}
	sy.Peers.Send(to, member.Addr, resp)
	if holdsMore && now.Sub(sy.heldQueriedAt) >= queryInterval {
		sy.heldQueriedAt = now
		sy.Peers.Send(to, member.Addr, sy.newRequest(gossipedTopics, now))
	}
}

// updateFor returns the update of a topic for a daemon whose rows have a checksum.
func (t *topicState) updateFor(topic gossip.Topic, sum uint64, now time.Time) gossip.Update {
	out := gossip.Update{Topic: topic, Version: t.version, AgeMS: uint64(max(0, now.Sub(t.confirmed).Milliseconds())), Sum: t.sum, Base: sum, LostRows: t.lostRows()}
	if !t.recoveredAt.IsZero() {
		out.ReturnedMS = uint64(max(1, now.Sub(t.recoveredAt).Milliseconds()))
	}
	if sum == t.sum {
		return out
	}
	var known, inTransit bool
	out.Rows, out.Removed, known, inTransit = t.changesSince(sum, now)
	switch {
	case inTransit:
		// The update with this change was sent a moment ago. The next request shows whether it
		// has arrived.
		out.Rows, out.Removed = nil, nil
	case !known:
		out.Rows, out.Removed, out.Complete = t.rowList(), t.ignoredKeys(), true
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
func (sy *Syncer) sendUpdates(now time.Time) {
	var resp gossip.Response
	for _, topic := range gossipedTopics {
		t := sy.topics[topic]
		if t.known && t.sum != sy.announcedSums[topic] {
			resp.Updates = append(resp.Updates, t.updateSince(topic, sy.announcedSums[topic], now))
			sy.announcedSums[topic] = t.sum
		}
	}
	if to := sy.subscriberAddrs(now); len(resp.Updates) > 0 && len(to) > 0 {
		sy.Peers.SendAll(to, resp)
	}
}

// subscriberAddrs returns the addresses of the daemons that this one reads the store for, by
// ID.
func (sy *Syncer) subscriberAddrs(now time.Time) map[string]string {
	to := map[string]string{}
	for id, at := range sy.subscribers {
		member, ok := (*sy.members.Load())[id]
		if !ok || now.Sub(at) > subscriptionTTL {
			delete(sy.subscribers, id)
			continue
		}
		to[id] = member.Addr
	}
	return to
}

// sendWithdrawn sends the names of the withdrawn versions to the subscribers.
func (sy *Syncer) sendWithdrawn(now time.Time) {
	sy.Peers.SendAll(sy.subscriberAddrs(now), gossip.Response{Withdrawn: sy.rollouts.withdrawnNames()})
}

// handleResponse merges the state of another daemon. Its age counts from when the request was
// sent, so that a delayed response does not appear younger. An update without a request
// confirms nothing.
func (sy *Syncer) handleResponse(from string, m gossip.Response, now time.Time) {
	defer sy.publishView()
	sy.handleSessions(from, m.Sessions, now)
	if !slices.ContainsFunc(m.Updates, func(u gossip.Update) bool { return u.Topic == gossip.Contents }) {
		sy.mergeContentCrashes(from, m.Crashes, now)
	}
	for _, name := range m.Withdrawn {
		sy.rollouts.withdrawNamed(name)
	}
	sy.handleLoad(from, m, now)
	sy.handleResponseLimits(from, m, now)
	sy.mergeUsage(m.Usage)
	if m.StoreRecovered {
		sy.handleStoreFound(from, now)
	}
	sentAt, ok := sy.pendingRequests[m.Nonce]
	if ok {
		sy.contact = sy.contact.With(contact.Heard{Start: sentAt, End: now})
	}
	if m.Nonce != 0 && (!ok || now.Sub(sentAt) > responseTimeout) {
		return
	}
	if ok && sy.Usage != nil {
		sy.Usage.Acknowledged(m.Nonce)
	}
	for _, update := range m.Updates {
		sy.handleUpdate(from, m.Nonce, update, sentAt, now)
	}
	if m.Nonce == 0 {
		return
	}
	for _, update := range m.Updates {
		if update.Topic == gossip.Operator {
			sy.traceExchange(from, sentAt, now, 0, false)
			age := now.Sub(sentAt.Add(-time.Duration(update.AgeMS) * time.Millisecond))
			sy.readers.recordAnswer(from, age, m.StoreUnreachable, now)
			sy.updateSource(from, !m.StoreUnreachable && age <= sy.readers.maxUsableAge)
		}
	}
}

// handleUpdate merges the update of one topic. Updates of unknown topics, from daemons of a newer
// build, are ignored.
func (sy *Syncer) handleUpdate(from string, nonce uint64, update gossip.Update, sentAt, now time.Time) {
	var confirmed time.Time
	if nonce != 0 {
		confirmed = sentAt.Add(-time.Duration(update.AgeMS) * time.Millisecond)
	}
	switch {
	case update.Topic == gossip.Contents:
		sy.mergeReport(sy.contents, from, update, now)
	case update.Topic == gossip.Parts:
		sy.mergeReport(sy.parts, from, update, now)
	case update.Topic == gossip.Figures:
		sy.handleFigures(from, nonce, update, now)
	case sy.topics[update.Topic] != nil:
		sy.applyUpdate(from, update, confirmed, now)
	}
}

// applyUpdate merges the state of a topic at another daemon.
func (sy *Syncer) applyUpdate(from string, update gossip.Update, confirmed, now time.Time) {
	t := sy.topics[update.Topic]
	if update.Topic == gossip.Operator {
		sy.servedOthersAt = latest(sy.servedOthersAt, confirmed)
	}
	if recoveredAt := now.Add(-time.Duration(update.ReturnedMS) * time.Millisecond); update.ReturnedMS > 0 && recoveredAt.After(t.recoveredAt) {
		t.recoveredAt = recoveredAt
	}
	var gone []string
	newer := false
	switch {
	case update.Sum == t.sum:
		t.known = true
		sy.checkEra(update.Topic, update.Version, now)
		if !sy.storeServes(t, now) {
			t.mergeLost(update)
		}
		t.version = revision.Latest(t.version, update.Version)
		t.confirm(confirmed)
	case t.known && update.Version == t.version && sy.isUpstream(from, t, confirmed, now):
		gone, newer = sy.repair(from, t, update, confirmed, now)
	case t.known && !update.Version.After(t.version):
		if update.Version == t.version && !t.restoredAt.IsZero() {
			// One of the two daemons holds rows that the store has lost.
			t.confirm(confirmed)
		}
		// Servers removed before the restore have not just expired.
		newer = t.mergeHeld(update, now)
	case update.Complete:
		sy.checkEra(update.Topic, update.Version, now)
		t.recordHeldByPeer(update, now)
		gone, newer = t.replace(update.Rows, update.Version, confirmed, now)
		t.lostAtPeer = update.LostRows
	default:
		sy.checkEra(update.Topic, update.Version, now)
		t.recordHeldByPeer(update, now)
		gone, newer = t.apply(update, confirmed, now)
	}
	if newer {
		sy.Log.Info().Str("topic", string(update.Topic)).Str("from", from).Stringer("version", update.Version).Uint64("age_ms", update.AgeMS).Msg("storesync: update received from another daemon")
		sy.applyTopicChange(update.Topic, gone, newer, now)
	}
}

// storeServes reports whether the rows of a topic come from the store itself: it answers this
// daemon, and has not been restored since it answered about this topic.
func (sy *Syncer) storeServes(t *topicState, now time.Time) bool {
	return sy.reading.Load() && t.served && t.unavailableSince.IsZero() && now.Sub(sy.storeAnsweredAt) <= sy.readers.maxUsableAge &&
		t.version.Era >= sy.topics[gossip.Operator].version.Era
}

// isUpstream reports whether this daemon has its rows from the sender of an update: from its
// reader, or without one from a daemon whose state is recent enough. A reader precedes the
// daemons that follow it, so two daemons with a reader never follow each other.
func (sy *Syncer) isUpstream(from string, t *topicState, confirmed, now time.Time) bool {
	if sy.storeServes(t, now) {
		return false
	}
	if reader, ok := sy.readers.reader(); ok {
		return reader.ID == from
	}
	return now.Sub(confirmed) <= sy.readers.maxUsableAge
}

// repair replaces rows that differ from those of the reader at the same version.
func (sy *Syncer) repair(from string, t *topicState, update gossip.Update, confirmed, now time.Time) (gone []string, newer bool) {
	before, rows := t.sum, len(t.rows)
	if update.Complete {
		gone, _ = t.replace(update.Rows, update.Version, confirmed, now)
		t.lostAtPeer = update.LostRows
	} else {
		gone, _ = t.apply(update, confirmed, now)
	}
	if t.sum == before {
		return gone, false
	}
	sy.Mismatches.Add(1)
	sy.Log.Warn().Str("topic", string(update.Topic)).Str("from", from).Stringer("version", update.Version).Int("rows", len(t.rows)).Int("rows_before", rows).Strs("keys", t.history[len(t.history)-1].keys).Uint64("lost_rows", update.LostRows).Msg("storesync: rows differed from those of the reader at the same version; replaced")
	return gone, true
}
