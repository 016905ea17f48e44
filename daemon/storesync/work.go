package storesync

import (
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/serverload"
)

// What all daemons have under way at the servers goes along with questions to the hall's
// reader and its answers, and from reader to reader between halls.

// workBoard returns the board for the present list of servers.
func (k *Keeper) workBoard() *serverload.Tracker {
	if t := k.topics[gossip.Servers]; k.board.Checksum() != t.sum {
		k.board.SetServers(t.sum, slices.Sorted(maps.Keys(t.rows)))
	}
	return k.board
}

// askWork is this daemon's work, for a question, or nothing if it was told a moment ago.
func (k *Keeper) askWork(now time.Time) gossip.Load {
	b := k.workBoard()
	if now.Sub(k.workAskedAt) < b.ReportInterval() {
		return gossip.Load{}
	}
	k.workAskedAt = now
	return b.OwnReport(k.ownWork())
}

// ownWork is this daemon's work at each server now.
func (k *Keeper) ownWork() map[string]float64 {
	work := make(map[string]float64, len(k.loads))
	for i, l := range k.loads {
		work[i.ID] = l.OwnLoad()
	}
	return work
}

// askedWork takes the work that a daemon tells with its question, and returns that of all
// for the answer.
func (k *Keeper) askedWork(from Member, m gossip.Load, now time.Time) gossip.Load {
	if len(m.Packed) == 0 {
		return gossip.Load{}
	}
	b := k.workBoard()
	if from.Hall == k.Self.Hall {
		b.SetDaemonLoad(from.ID, m, now)
	}
	return b.Total(k.ownWork, now)
}

// toldWork takes what another daemon tells of work: that of all daemons with an answer,
// and otherwise that of its hall.
func (k *Keeper) toldWork(from string, m gossip.Response, now time.Time) {
	member, ok := (*k.members.Load())[from]
	if !ok || k.View().Servers == nil {
		return
	}
	if m.Nonce == 0 {
		if member.Hall != k.Self.Hall {
			k.workBoard().SetHallLoad(member.Hall, m.Load, now)
		}
		return
	}
	if others, ok := k.workBoard().OthersFromResponse(m.Load); ok {
		k.View().Servers.SetRemoteLoad(others, now)
	}
}

// shareWork has a reader tell other halls of this one's work, and take what it has been
// told itself: it has nobody to ask.
func (k *Keeper) shareWork(now time.Time) {
	if !k.reading.Load() || k.View().Servers == nil || now.Sub(k.workAbroadAt) < k.workBoard().ReportInterval() {
		return
	}
	k.workAbroadAt = now
	b := k.workBoard()
	k.broadcast(gossip.Response{Load: b.HallTotal(k.ownWork(), now)})
	k.View().Servers.SetRemoteLoad(b.Others(now), now)
}
