package storesync

import (
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/serverload"
)

// In-flight load of the servers over all daemons. It is sent with the requests to the reader of
// the hall and its responses, and between the readers of the halls.

// loadTracker returns the tracker for the current list of servers.
func (k *Syncer) loadTracker() *serverload.Tracker {
	if t := k.topics[gossip.Servers]; k.serverLoad.Checksum() != t.sum {
		k.serverLoad.SetServers(t.sum, slices.Sorted(maps.Keys(t.rows)))
	}
	return k.serverLoad
}

// requestLoad returns the load of this daemon for a request, or nothing if it was sent
// recently.
func (k *Syncer) requestLoad(now time.Time) gossip.Load {
	b := k.loadTracker()
	if now.Sub(k.loadReportedAt) < b.ReportInterval() {
		return gossip.Load{}
	}
	k.loadReportedAt = now
	return b.OwnReport(k.ownLoad())
}

// ownLoad returns the current load of this daemon at each server.
func (k *Syncer) ownLoad() map[string]float64 {
	work := make(map[string]float64, len(k.loads))
	for i, l := range k.loads {
		work[i.ID] = l.OwnLoad()
	}
	return work
}

// handleRequestLoad records the load in the request of a daemon and returns the total of all
// daemons for the response.
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

// handleLoad handles the load in a message: that of all daemons in a response, otherwise that
// of the sender's hall.
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

// sendLoad sends the load of the hall from a reader to other halls, and applies the load that
// other halls have sent: a reader sends no requests.
func (k *Syncer) sendLoad(now time.Time) {
	if !k.reading.Load() || k.View().Servers == nil || now.Sub(k.loadBroadcastAt) < k.loadTracker().ReportInterval() {
		return
	}
	k.loadBroadcastAt = now
	b := k.loadTracker()
	k.broadcast(gossip.Response{Load: b.HallTotal(k.ownLoad(), now)})
	k.View().Servers.SetRemoteLoad(b.Others(now), now)
}
