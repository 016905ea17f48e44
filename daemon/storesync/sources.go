package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
)

// Queries to other daemons while no reader is known, and the choice of the daemons to ask.

// queryPeers asks other daemons when the state of this one becomes old: first the one that last
// had a newer state, later any.
func (k *Syncer) queryPeers(now time.Time) {
	for nonce, at := range k.pendingRequests {
		if now.Sub(at) > responseTimeout {
			delete(k.pendingRequests, nonce)
		}
	}
	if k.deferReading.Load() {
		// The daemons of other halls have no newer state, and traffic between halls costs
		// money.
		return
	}
	age := now.Sub(k.topics[gossip.Operator].confirmed)
	if age <= k.readers.maxUsableAge || now.Sub(k.peersQueriedAt) < queryInterval/2 {
		return
	}
	var ask []Member
	if m, ok := (*k.members.Load())[k.source]; ok {
		ask = append(ask, m)
	}
	if others := k.others(); age > k.readers.maxUsableAge+2*queryInterval {
		for i := range min(peersPerQuery, len(others)) {
			ask = append(ask, others[(int(k.nonce%uint64(len(others)))*peersPerQuery+i)%len(others)])
		}
	}
	if len(ask) == 0 {
		return
	}
	k.peersQueriedAt = now
	question := k.newRequest(gossipedTopics, now)
	for _, m := range ask {
		k.Peers.Send(m.ID, m.Addr, question)
	}
}

// announceStoreFound announces to the hall that the store answers this daemon.
func (k *Syncer) announceStoreFound() {
	to := map[string]string{}
	for _, m := range k.others() {
		if m.Hall == k.Self.Hall {
			to[m.ID] = m.Addr
		}
	}
	if len(to) > 0 {
		k.Log.Info().Int("daemons", len(to)).Msg("storesync: store answers this daemon; announced to its hall")
		k.Peers.SendAll(to, gossip.Response{StoreRecovered: true})
	}
}

// handleStoreFound sends a request to a daemon of the hall that the store has just answered.
func (k *Syncer) handleStoreFound(from string, now time.Time) {
	m, ok := (*k.members.Load())[from]
	if !ok {
		return
	}
	k.source = from
	if now.Sub(k.topics[gossip.Operator].confirmed) > k.readers.maxUsableAge {
		k.Peers.Send(m.ID, m.Addr, k.newRequest(gossipedTopics, now))
	}
}

// updateSource records a daemon that sent a recent enough state, preferring the own hall, and
// drops one that no longer does.
func (k *Syncer) updateSource(from string, useful bool) {
	members := *k.members.Load()
	switch {
	case !useful && k.source == from:
		k.source = ""
	case useful && (k.source == "" || members[k.source].Hall != k.Self.Hall && members[from].Hall == k.Self.Hall):
		k.source = from
	}
}

// storeUnreachable reports whether this daemon tries the store and has had no answer for so
// long that its state is too old for others.
func (k *Syncer) storeUnreachable(now time.Time) bool {
	return k.reading.Load() && now.Sub(k.storeAnsweredAt) > k.readers.maxUsableAge
}
