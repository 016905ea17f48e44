package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
)

// Whom a daemon asks while nobody reads the store for it, and how it learns who is worth
// asking.

// askAround asks other daemons when what is known here grows old: first the one that
// last knew something newer, and later any.
func (k *Keeper) askAround(now time.Time) {
	for nonce, at := range k.asked {
		if now.Sub(at) > askedFor {
			delete(k.asked, nonce)
		}
	}
	if k.leavesReading.Load() {
		// Those of other halls know no more, and bytes between halls are paid for.
		return
	}
	age := now.Sub(k.topics[gossip.Operator].confirmed)
	if age <= k.readers.usefulAge || now.Sub(k.askedAt) < askEvery/2 {
		return
	}
	var ask []Member
	if m, ok := (*k.members.Load())[k.source]; ok {
		ask = append(ask, m)
	}
	if others := k.others(); age > k.readers.usefulAge+2*askEvery {
		for i := range min(askPeers, len(others)) {
			ask = append(ask, others[(int(k.nonce%uint64(len(others)))*askPeers+i)%len(others)])
		}
	}
	if len(ask) == 0 {
		return
	}
	k.askedAt = now
	question := k.question(relayed, now)
	for _, m := range ask {
		k.Peers.Send(m.ID, m.Addr, question)
	}
}

// tellFound tells the hall that the store answers this daemon.
func (k *Keeper) tellFound() {
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

// found asks a daemon of the hall that the store has just answered.
func (k *Keeper) found(from string, now time.Time) {
	m, ok := (*k.members.Load())[from]
	if !ok {
		return
	}
	k.source = from
	if now.Sub(k.topics[gossip.Operator].confirmed) > k.readers.usefulAge {
		k.Peers.Send(m.ID, m.Addr, k.question(relayed, now))
	}
}

// noteSource remembers who told something new enough, one of the own hall rather than
// another, and forgets who no longer does.
func (k *Keeper) noteSource(from string, useful bool) {
	members := *k.members.Load()
	switch {
	case !useful && k.source == from:
		k.source = ""
	case useful && (k.source == "" || members[k.source].Hall != k.Self.Hall && members[from].Hall == k.Self.Hall):
		k.source = from
	}
}

// cut reports whether this daemon tries the store and has had no answer for so long
// that its own knowledge is of no use to others.
func (k *Keeper) cut(now time.Time) bool {
	return k.reading.Load() && now.Sub(k.answeredAt) > k.readers.usefulAge
}
