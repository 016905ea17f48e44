package storesync

import (
	"fmt"
	"slices"

	"ladderridge.example/core/fleet"
)

// Restarts of servers under the same ID. All state of a server belongs to its incarnation, so a
// new one starts empty, and counts as cold or slow only by its own announcement.

// maxStarts bounds the recorded start times: far more than the number of listed servers.
const maxStarts = 16384

// checkStart records the start time of a server. An entry with an earlier start than the latest
// known one was written by another writer, and is rejected.
func (sy *Syncer) checkStart(s fleet.Server) error {
	if s.Born == 0 {
		return nil
	}
	if latest := sy.starts[s.ID]; s.Born < latest {
		return fmt.Errorf("the server has begun at %d, later than %d", latest, s.Born)
	}
	if len(sy.starts) >= maxStarts {
		clear(sy.starts)
	}
	sy.starts[s.ID] = s.Born
	return nil
}

// latestAtAddress removes servers if a later one has started at the same address: they are
// gone, though their entries still exist.
func latestAtAddress(servers []*fleet.Server) []*fleet.Server {
	latest := map[string]int64{}
	for _, s := range servers {
		latest[s.Addr] = max(latest[s.Addr], s.Born)
	}
	return slices.DeleteFunc(servers, func(s *fleet.Server) bool { return s.Born > 0 && s.Born < latest[s.Addr] })
}

// reportRestarts reports servers that have restarted under the same ID, as they were before:
// the in-flight requests of this daemon there are lost.
func (sy *Syncer) reportRestarts(was *fleet.List, servers []*fleet.Server) {
	if was == nil || sy.OnServerRestart == nil {
		return
	}
	previous := map[string]*fleet.Server{}
	for _, s := range was.All() {
		previous[s.ID] = s
	}
	for _, s := range servers {
		old, ok := previous[s.ID]
		if !ok || old.Born == s.Born {
			continue
		}
		sy.reportRestart(old, s)
	}
}

// reportRestart reports one restarted server.
func (sy *Syncer) reportRestart(was, is *fleet.Server) {
	if sy.OnServerRestart == nil {
		return
	}
	sy.Log.Info().Str("server", is.ID).Int64("born", is.Born).Bool("was_leaving", was.Leaving).Msg("storesync: server restarted under the same ID")
	sy.OnServerRestart(was, is)
}
