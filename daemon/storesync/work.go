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

// loadTracker returns the board for the present list of servers.
func (k *Syncer) loadTracker() *serverload.Tracker {
	if t := k.topics[gossip.Servers]; k.serverLoad.Checksum() != t.sum {
		k.serverLoad.SetServers(t.sum, slices.Sorted(maps.Keys(t.rows)))
	}
	return k.serverLoad
}

// requestLoad is this daemon's work, for a question, or nothing if it was told a moment ago.
func (k *Syncer) requestLoad(now time.Time) gossip.Load {
	b := k.loadTracker()
	if now.Sub(k.loadReportedAt) < b.ReportInterval() {
		return gossip.Load{}
	}
	k.loadReportedAt = now
	return b.OwnReport(k.ownLoad())
}

// ownLoad is this daemon's work at each server now.
func (k *Syncer) ownLoad() map[string]float64 {
	work := make(map[string]float64, len(k.loads))
	for i, l := range k.loads {
		work[i.ID] = l.OwnLoad()
	}
	return work
}

// handleRequestLoad takes the work that a daemon tells with its question, and returns that of all
// for the answer.
func (k *Syncer) handleRequestLoad(from Member, m gossip.Load, now time.Time) gossip.Load {
	if len(m.Packed) == 0 {
		return gossip.Load{}
	}
	b := k.loadTracker()
	if from.Hall == k.Self.Hall {
		b.SetDaemonLoad(from.ID, m, now)
	}
	return b.Total(k.ownLoad, now)
}

// handleLoad takes what another daemon tells of work: that of all daemons with an answer,
// and otherwise that of its hall.
func (k *Syncer) handleLoad(from string, m gossip.Response, now time.Time) {
	member, ok := (*k.members.Load())[from]
	if !ok || k.View().Servers == nil {
		return
	}
	if m.Nonce == 0 {
		if member.Hall != k.Self.Hall {
			k.loadTracker().SetHallLoad(member.Hall, m.Load, now)
		}
		return
	}
	if others, ok := k.loadTracker().OthersFromResponse(m.Load); ok {
		k.View().Servers.SetRemoteLoad(others, now)
	}
}

// sendLoad has a reader tell other halls of this one's work, and take what it has been
// told itself: it has nobody to ask.
func (k *Syncer) sendLoad(now time.Time) {
	if !k.reading.Load() || k.View().Servers == nil || now.Sub(k.loadBroadcastAt) < k.loadTracker().ReportInterval() {
		return
	}
	k.loadBroadcastAt = now
	b := k.loadTracker()
	k.broadcast(gossip.Response{Load: b.HallTotal(k.ownLoad(), now)})
	k.View().Servers.SetRemoteLoad(b.Others(now), now)
}
