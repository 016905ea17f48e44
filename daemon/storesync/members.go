package storesync

import (
	"context"
	"crypto/ed25519"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/gossip"
)

// Member is a daemon's entry in the list of daemons.
type Member struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Hall string
	// Addr is the address at which it listens for other daemons.
	Addr string
	// Public is the public key of its certificate.
	Public []byte
	// Start distinguishes the processes of a daemon.
	Start uint64
	// Capacity ranks daemons by the size of their VMs. Those with the largest read the store
	// for their halls.
	Capacity int
}

// publishMember writes the entry of this daemon until the store has accepted it, and again when
// the store may have lost it.
func (k *Syncer) publishMember(ctx context.Context) {
	data, err := cbor.Marshal(k.Self)
	if err != nil {
		k.Log.Error().Err(err).Msg("storesync: cannot encode the entry of this daemon")
		return
	}
	for pause := minBackoff; ctx.Err() == nil; pause = min(2*pause, maxBackoff) {
		if !k.putMember(ctx, data) {
			clock.Wait(ctx, pause)
			continue
		}
		pause = minBackoff
		select {
		case <-k.republish:
		case <-ctx.Done():
		}
	}
}

// putMember writes the entry of this daemon once.
func (k *Syncer) putMember(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.Calls.Add(1)
	if err := k.Store.Put(ctx, gossip.Members, k.Self.ID, data); err != nil {
		k.Log.Warn().Err(err).Msg("storesync: write of the entry of this daemon failed; it is retried")
		return false
	}
	return true
}

// readMembers reads the list of daemons and the requests in quarantine.
func (k *Syncer) readMembers(now time.Time) {
	members := map[string]Member{}
	for _, row := range k.topics[gossip.Members].rows {
		if strings.HasPrefix(row.Key, quarantinePrefix) {
			k.readQuarantine(row, now)
			continue
		}
		var m Member
		err := cbor.Unmarshal(row.Data, &m)
		if err == nil && m.ID != row.Key {
			err = errMemberKey
		}
		if err != nil {
			k.malformed(gossip.Members, row, err)
			continue
		}
		members[m.ID] = m
		if was, ok := (*k.members.Load())[m.ID]; ok && was.Start != m.Start {
			k.Peers.Forget(m.ID)
		}
	}
	k.members.Store(&members)
	k.shareLimits(now)
	k.readers.setMembers(members)
}

// daemons is the number of daemons including this one. It is 0 while their list is unknown.
func (k *Syncer) daemons() int {
	if !k.topics[gossip.Members].known {
		return 0
	}
	members := *k.members.Load()
	if _, ok := members[k.Self.ID]; ok {
		return len(members)
	}
	return len(members) + 1
}

// PublicKey returns the public key that a daemon has published, or nil.
func (k *Syncer) PublicKey(id string) ed25519.PublicKey {
	m, ok := (*k.members.Load())[id]
	if !ok || len(m.Public) != ed25519.PublicKeySize {
		return nil
	}
	return m.Public
}

// others returns the other daemons in a fixed order.
func (k *Syncer) others() []Member {
	var out []Member
	for id, m := range *k.members.Load() {
		if id != k.Self.ID {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
