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
func (sy *Syncer) loadTracker() *serverload.Tracker {
	if t := sy.topics[gossip.Servers]; sy.serverLoad.Checksum() != t.sum {
		sy.serverLoad.SetServers(t.sum, slices.Sorted(maps.Keys(t.rows)))
	}
	return sy.serverLoad
}

// requestLoad returns the load of this daemon for a request, or nothing if it was sent
// recently.
func (sy *Syncer) requestLoad(now time.Time) gossip.Load {
	b := sy.loadTracker()
	if now.Sub(sy.loadReportedAt) < b.ReportInterval() {
		return gossip.Load{}
	}
	sy.loadReportedAt = now
	return b.OwnReport(sy.ownLoad())
}

// ownLoad returns the current load of this daemon at each server.
func (sy *Syncer) ownLoad() map[string]float64 {
	load := make(map[string]float64, len(sy.states))
	for i, l := range sy.states {
		load[i.ID] = l.OwnLoad()
	}
	return load
}

// handleRequestLoad records the load in the request of a daemon and returns the total of all
// daemons for the response.
func (sy *Syncer) handleRequestLoad(from Member, m gossip.Load, now time.Time) gossip.Load {
	if len(m.Packed) == 0 {
		return gossip.Load{}
	}
	b := sy.loadTracker()
	if from.Hall == sy.Self.Hall {
		b.SetDaemonLoad(from.ID, m, now)
	}
	return b.Total(sy.ownLoad, now)
}

// handleLoad handles the load in a message: that of all daemons in a response, otherwise that
// of the sender's hall.
func (sy *Syncer) handleLoad(from string, m gossip.Response, now time.Time) {
	member, ok := (*sy.members.Load())[from]
	if !ok || sy.View().Servers == nil {
		return
	}
	if m.Nonce == 0 {
		if member.Hall != sy.Self.Hall {
			sy.loadTracker().SetHallLoad(member.Hall, m.Load, now)
		}
		return
	}
	if others, ok := sy.loadTracker().OthersFromResponse(m.Load); ok {
		sy.View().Servers.SetRemoteLoad(others, now)
	}
}

// sendLoad sends the load of the hall from a reader to other halls, and applies the load that
// other halls have sent: a reader sends no requests.
func (sy *Syncer) sendLoad(now time.Time) {
	if !sy.reading.Load() || sy.View().Servers == nil || now.Sub(sy.loadBroadcastAt) < sy.loadTracker().ReportInterval() {
		return
	}
	sy.loadBroadcastAt = now
	b := sy.loadTracker()
	sy.broadcast(gossip.Response{Load: b.HallTotal(sy.ownLoad(), now)})
	sy.View().Servers.SetRemoteLoad(b.Others(now), now)
}
