package storesync

import (
	"fmt"
	"slices"

	"ladderridge.example/core/fleet"
)

// Servers that begin again under their id. All that is kept about a server is kept by its
// incarnation, so that a new one is empty, and cold and slow by its own word alone.

// maxStarts bounds the starts that are remembered: far more than servers are listed.
const maxStarts = 16384

// checkStart notes a server's start. An entry of an earlier one than is known already is
// another writer's and names no server.
func (k *Syncer) checkStart(s fleet.Server) error {
	if s.Born == 0 {
		return nil
	}
	if latest := k.starts[s.ID]; s.Born < latest {
		return fmt.Errorf("the server has begun at %d, later than %d", latest, s.Born)
	}
	if len(k.starts) >= maxStarts {
		clear(k.starts)
	}
	k.starts[s.ID] = s.Born
	return nil
}

// latestAtAddress leaves out servers at whose address a later one has begun: they are gone,
// and their entries not yet.
func latestAtAddress(servers []*fleet.Server) []*fleet.Server {
	latest := map[string]int64{}
	for _, s := range servers {
		latest[s.Addr] = max(latest[s.Addr], s.Born)
	}
	return slices.DeleteFunc(servers, func(s *fleet.Server) bool { return s.Born > 0 && s.Born < latest[s.Addr] })
}

// reportRestarts tells of servers that have begun again under their id, by what they were: what
// this daemon has under way there is lost.
func (k *Syncer) reportRestarts(was *fleet.List, servers []*fleet.Server) {
	if was == nil || k.OnServerRestart == nil {
		return
	}
	before := map[string]*fleet.Server{}
	for _, s := range was.All() {
		before[s.ID] = s
	}
	for _, s := range servers {
		old, ok := before[s.ID]
		if !ok || old.Born == s.Born {
			continue
		}
		k.reportRestart(old, s)
	}
}

// reportRestart tells of one of them.
func (k *Syncer) reportRestart(was, is *fleet.Server) {
	if k.OnServerRestart == nil {
		return
	}
	k.Log.Info().Str("server", is.ID).Int64("born", is.Born).Bool("was_leaving", was.Leaving).Msg("knowledge: a server has begun again under its id")
	k.OnServerRestart(was)
}
