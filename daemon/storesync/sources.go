package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
)

// Whom a daemon asks while nobody reads the store for it, and how it learns who is worth
// asking.

// queryPeers asks other daemons when what is known here grows old: first the one that
// last knew something newer, and later any.
func (k *Syncer) queryPeers(now time.Time) {
	for nonce, at := range k.pendingRequests {
		if now.Sub(at) > responseTimeout {
			delete(k.pendingRequests, nonce)
		}
	}
	if k.deferReading.Load() {
		// Those of other halls know no more, and bytes between halls are paid for.
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

// announceStoreFound tells the hall that the store answers this daemon.
func (k *Syncer) announceStoreFound() {
	to := map[string]string{}
	for _, m := range k.others() {
		if m.Hall == k.Self.Hall {
			to[m.ID] = m.Addr
		}
	}
	if len(to) > 0 {
		k.Log.Info().Int("daemons", len(to)).Msg("knowledge: the store answers this daemon: its hall is told")
		k.Peers.SendAll(to, gossip.Response{StoreRecovered: true})
	}
}

// handleStoreFound asks a daemon of the hall that the store has just answered.
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

// updateSource remembers who told something new enough, one of the own hall rather than
// another, and forgets who no longer does.
func (k *Syncer) updateSource(from string, useful bool) {
	members := *k.members.Load()
	switch {
	case !useful && k.source == from:
		k.source = ""
	case useful && (k.source == "" || members[k.source].Hall != k.Self.Hall && members[from].Hall == k.Self.Hall):
		k.source = from
	}
}

// storeUnreachable reports whether this daemon tries the store and has had no answer for so long
// that its own knowledge is of no use to others.
func (k *Syncer) storeUnreachable(now time.Time) bool {
	return k.reading.Load() && now.Sub(k.storeAnsweredAt) > k.readers.maxUsableAge
}
