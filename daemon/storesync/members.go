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
func (sy *Syncer) publishMember(ctx context.Context) {
	data, err := cbor.Marshal(sy.Self)
	if err != nil {
		sy.Log.Error().Err(err).Msg("storesync: cannot encode the entry of this daemon")
		return
	}
	for pause := minBackoff; ctx.Err() == nil; pause = min(2*pause, maxBackoff) {
		if !sy.putMember(ctx, data) {
			clock.Wait(ctx, pause)
			continue
		}
		pause = minBackoff
		sy.publishedAt.Store(time.Now().UnixNano())
		select {
		case <-sy.republish:
		case <-ctx.Done():
		}
	}
}

// relistInterval is the least time between two requests to write the entry of this daemon again.
const relistInterval = 2 * time.Second

// relist has the entry of this daemon written again if the store has lost it: a list that was read after
// the store had accepted the entry lacks it or has something else in its place, and was confirmed since. A
// list that another daemon has sent by mistake is not confirmed.
func (sy *Syncer) relist(now time.Time) {
	t, published := sy.topics[gossip.Members], sy.publishedAt.Load()
	// A version of 0 says that the store has lost the row, and that others hold it for a while.
	row, known := t.rows[sy.Self.ID]
	switch {
	case known && row.Version.Number > 0 && !sy.selfMalformed || published == 0 || !t.known || !t.confirmed.After(time.Unix(0, published)):
		sy.unlistedSince = time.Time{}
		return
	case !sy.selfMalformed && sy.unlistedSince.IsZero():
		sy.unlistedSince = now
		return
	case !sy.selfMalformed && !t.confirmed.After(sy.unlistedSince) || now.Sub(sy.relistedAt) < relistInterval:
		return
	}
	sy.relistedAt = now
	sy.Log.Warn().Stringer("version", t.version).Msg("storesync: the store has no valid entry of this daemon; it is written again")
	sy.requestRepublish()
}

// requestRepublish has the entry of this daemon written again.
func (sy *Syncer) requestRepublish() {
	select {
	case sy.republish <- struct{}{}:
	default:
	}
}

// putMember writes the entry of this daemon once.
func (sy *Syncer) putMember(ctx context.Context, data []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sy.Calls.Add(1)
	if err := sy.Store.Put(ctx, gossip.Members, sy.Self.ID, data); err != nil {
		sy.Log.Warn().Err(err).Msg("storesync: write of the entry of this daemon failed; it is retried")
		return false
	}
	return true
}

// readMembers reads the list of daemons and the requests in quarantine.
func (sy *Syncer) readMembers(now time.Time) {
	members := map[string]Member{}
	sy.selfMalformed = false
	for _, row := range sy.topics[gossip.Members].rows {
		if strings.HasPrefix(row.Key, quarantinePrefix) {
			sy.readQuarantine(row, now)
			continue
		}
		var m Member
		err := cbor.Unmarshal(row.Data, &m)
		if err == nil && m.ID != row.Key {
			err = errMemberKey
		}
		if err != nil {
			sy.malformed(gossip.Members, row, err)
			sy.selfMalformed = sy.selfMalformed || row.Key == sy.Self.ID
			continue
		}
		members[m.ID] = m
		if was, ok := (*sy.members.Load())[m.ID]; ok && was.Start != m.Start {
			sy.Peers.CloseConnections(m.ID)
		}
	}
	sy.members.Store(&members)
	sy.shareLimits(now)
	sy.readers.setMembers(members)
}

// daemons is the number of daemons including this one. It is 0 while their list is unknown.
func (sy *Syncer) daemons() int {
	if !sy.topics[gossip.Members].known {
		return 0
	}
	members := *sy.members.Load()
	if _, ok := members[sy.Self.ID]; ok {
		return len(members)
	}
	return len(members) + 1
}

// PublicKey returns the public key that a daemon has published, or nil.
func (sy *Syncer) PublicKey(id string) ed25519.PublicKey {
	m, ok := (*sy.members.Load())[id]
	if !ok || len(m.Public) != ed25519.PublicKeySize {
		return nil
	}
	return m.Public
}

// Others returns the other daemons, as far as they are known, in any order.
func (sy *Syncer) Others() []Member {
	members := *sy.members.Load()
	out := make([]Member, 0, len(members))
	for id, m := range members {
		if id != sy.Self.ID {
			out = append(out, m)
		}
	}
	return out
}

// others returns the other daemons in a fixed order.
func (sy *Syncer) others() []Member {
	out := sy.Others()
	slices.SortFunc(out, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}
