package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
)

// Queries to other daemons while no reader is known, and the choice of the daemons to ask.

// queryPeers asks other daemons when the state of this one becomes old: first the one that last
// had a newer state, later any.
func (sy *Syncer) queryPeers(now time.Time) {
	for nonce, at := range sy.pendingRequests {
		if now.Sub(at) > responseTimeout {
			delete(sy.pendingRequests, nonce)
		}
	}
	if sy.deferReading.Load() {
		// The daemons of other halls have no newer state, and traffic between halls costs
		// money.
		return
	}
	age := now.Sub(sy.topics[gossip.Operator].confirmed)
	if age <= sy.readers.maxUsableAge || now.Sub(sy.peersQueriedAt) < queryInterval/2 {
		return
	}
	var targets []Member
	if m, ok := (*sy.members.Load())[sy.source]; ok {
		targets = append(targets, m)
	}
	if others := sy.others(); age > sy.readers.maxUsableAge+2*queryInterval {
		for i := range min(peersPerQuery, len(others)) {
			targets = append(targets, others[(int(sy.nonce%uint64(len(others)))*peersPerQuery+i)%len(others)])
		}
	}
	if len(targets) == 0 {
		return
	}
	sy.peersQueriedAt = now
	req := sy.newRequest(gossipedTopics, now)
	for _, m := range targets {
		sy.Peers.Send(m.ID, m.Addr, req)
	}
}

// announceStoreFound announces to the hall that the store answers this daemon.
func (sy *Syncer) announceStoreFound() {
	to := map[string]string{}
	for _, m := range sy.others() {
		if m.Hall == sy.Self.Hall {
			to[m.ID] = m.Addr
		}
	}
	if len(to) > 0 {
		sy.Log.Info().Int("daemons", len(to)).Msg("storesync: store answers this daemon; announced to its hall")
		sy.Peers.SendAll(to, gossip.Response{StoreRecovered: true})
	}
}

// handleStoreFound sends a request to a daemon of the hall that the store has just answered.
func (sy *Syncer) handleStoreFound(from string, now time.Time) {
	m, ok := (*sy.members.Load())[from]
	if !ok {
		return
	}
	sy.source = from
	if now.Sub(sy.topics[gossip.Operator].confirmed) > sy.readers.maxUsableAge {
		sy.Peers.Send(m.ID, m.Addr, sy.newRequest(gossipedTopics, now))
	}
}

// updateSource records a daemon that sent a recent enough state, preferring the own hall, and
// drops one that no longer does.
func (sy *Syncer) updateSource(from string, useful bool) {
	members := *sy.members.Load()
	switch {
	case !useful && sy.source == from:
		sy.source = ""
	case useful && (sy.source == "" || members[sy.source].Hall != sy.Self.Hall && members[from].Hall == sy.Self.Hall):
		sy.source = from
	}
}

// storeUnreachable reports whether this daemon tries the store and has had no answer for so
// long that its state is too old for others.
func (sy *Syncer) storeUnreachable(now time.Time) bool {
	return sy.reading.Load() && now.Sub(sy.storeAnsweredAt) > sy.readers.maxUsableAge
}
