package knowledge

import (
	"time"

	"ladderridge.example/core/relay"
)

// askedFor is how long an answer to a question counts: later it may be one
// from before this process was paused.
const askedFor = time.Second

// relayed are the topics that daemons tell each other.
var relayed = []relay.Topic{relay.Operator, relay.Servers, relay.Progress}

// askAround asks other daemons when this daemon's own knowledge grows old.
func (k *Keeper) askAround(now time.Time) {
	for nonce, at := range k.asked {
		if now.Sub(at) > askedFor {
			delete(k.asked, nonce)
		}
	}
	var have []relay.Have
	for _, topic := range relayed {
		t := k.topics[topic]
		if topic == relay.Progress && !k.rollouts.open.Load() {
			continue
		}
		if now.Sub(t.confirmed) > askAfter {
			have = append(have, relay.Have{Topic: topic, Version: t.version, Sum: relay.Sum(t.list())})
		}
	}
	others := k.others()
	if len(have) == 0 || len(others) == 0 {
		return
	}
	k.nonce++
	k.asked[k.nonce] = now
	for i := range min(askPeers, len(others)) {
		m := others[(int(k.nonce%uint64(len(others)))*askPeers+i)%len(others)]
		k.Peers.Send(m.ID, m.Addr, relay.Ask{Nonce: k.nonce, Have: have})
	}
}

// heard takes a message of another daemon.
func (k *Keeper) heard(e heard, now time.Time) {
	k.peersSeen[e.from] = now
	switch m := e.message.(type) {
	case relay.Ask:
		k.answer(e.from, m, now)
	case relay.Tell:
		k.told(e.from, m, now)
	case relay.Evidence:
		k.rollouts.hear(e.from, m, now)
	}
}

// answer tells another daemon what is known here.
func (k *Keeper) answer(to string, m relay.Ask, now time.Time) {
	member, ok := (*k.members.Load())[to]
	if !ok {
		return
	}
	tell := relay.Tell{Nonce: m.Nonce}
	for _, have := range m.Have {
		t := k.topics[have.Topic]
		if t == nil || !t.known || t.version < have.Version || have.Topic == relay.Members {
			continue
		}
		rows := t.list()
		known := relay.Known{Topic: have.Topic, Version: t.version, AgeMS: uint64(max(0, now.Sub(t.confirmed).Milliseconds())), Sum: relay.Sum(rows)}
		if known.Sum != have.Sum {
			known.Rows = rows
		}
		tell.Known = append(tell.Known, known)
	}
	if len(tell.Known) > 0 {
		k.Peers.Send(to, member.Addr, tell)
	}
}

// told takes what another daemon knows. Its age counts from when the question
// was asked, so that an answer that was held up does not make it younger.
func (k *Keeper) told(from string, m relay.Tell, now time.Time) {
	defer k.refresh()
	asked, ok := k.asked[m.Nonce]
	if !ok || now.Sub(asked) > askedFor {
		return
	}
	for _, known := range m.Known {
		t := k.topics[known.Topic]
		if t == nil || known.Topic == relay.Members {
			continue
		}
		confirmed := asked.Add(-time.Duration(known.AgeMS) * time.Millisecond)
		switch {
		case t.known && known.Version >= t.version && known.Sum == relay.Sum(t.list()):
			t.version = known.Version
			t.confirm(confirmed)
		case known.Version > t.version || !t.known:
			gone, newer := t.replace(known.Rows, known.Version, confirmed)
			k.Log.Info().Str("topic", string(known.Topic)).Str("from", from).Uint64("version", known.Version).Uint64("age_ms", known.AgeMS).Msg("knowledge: told by another daemon")
			k.learned(known.Topic, gone, newer, now)
		}
	}
}
