package storesync

import (
	"maps"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
)

// Incremental updates of the server list. Of thousands of servers only a few change at a time,
// and every daemon receives every change. Rebuilding the whole list for each change would cost
// work that grows with the square of the number of servers.

// incrementalDivisor limits incremental updates to changes of at most 1/incrementalDivisor of
// the rows. Larger changes rebuild the list.
const incrementalDivisor = 8

// applyServerChanges updates the list of servers: incrementally if few rows have changed and
// the changes do not depend on other rows, otherwise by rebuilding it.
func (sy *Syncer) applyServerChanges(now time.Time) {
	t := sy.topics[gossip.Servers]
	v := sy.view.Load()
	if !t.known || v.Servers == nil || len(sy.lapsed) > 0 || sy.hasSuperseded || len(t.dirty) > len(t.rows)/incrementalDivisor {
		sy.readServers(now)
		return
	}
	c := serverChanges{corrupted: maps.Clone(v.Corrupted)}
	for key := range t.takeDirty() {
		if !sy.applyServerRow(key, &c, now) {
			// Two servers have the same address. Deciding which one is gone takes the whole
			// list.
			sy.readServers(now)
			return
		}
	}
	maps.DeleteFunc(sy.unlisted, func(_ fleet.Incarnation, u unlisted) bool { return now.Sub(u.since) > unlistedTTL })
	sy.recordVersions(c.added, false, now)
	next := *v
	next.Corrupted = c.corrupted
	next.Servers = v.Servers.With(c.removed, c.added).WithDrained(sy.drainedHalls())
	sy.relistChangedLimits(c, now)
	sy.view.Store(&next)
	sy.updateColdLimits(now)
	sy.planEnds(c.added, now)
	for _, s := range c.restarted {
		sy.reportRestart(s.was, s.is)
	}
}

// serverChanges collects the effect of changed rows on the server list.
type serverChanges struct {
	removed   []*fleet.Server
	added     []*fleet.Server
	corrupted map[string]string
	restarted []serverRestart
}

// serverRestart is a server that has restarted under the same ID.
type serverRestart struct{ was, is *fleet.Server }

// applyServerRow applies one row that was changed or removed. It returns false if another
// server has the same address.
func (sy *Syncer) applyServerRow(key string, c *serverChanges, now time.Time) bool {
	old := sy.entries[key].server
	next := sy.currentEntry(key, now)
	delete(c.corrupted, key)
	if next.err != nil {
		c.corrupted[key] = next.err.Error()
	}
	if old != nil {
		c.removed = append(c.removed, old)
		sy.releaseAddress(old.Addr)
	}
	if next.server == nil || (old != nil && old.Incarnation() != next.server.Incarnation()) {
		sy.dropServer(old, now)
	}
	if next.server == nil {
		return true
	}
	if sy.atAddress[next.server.Addr] > 0 {
		return false
	}
	sy.atAddress[next.server.Addr]++
	next.server.State.SetWithdrawn(next.server.Leaving)
	c.added = append(c.added, next.server)
	if old != nil && old.Born != next.server.Born {
		c.restarted = append(c.restarted, serverRestart{was: old, is: next.server})
	}
	return true
}

// releaseAddress records that a server no longer uses an address.
func (sy *Syncer) releaseAddress(addr string) {
	if sy.atAddress[addr]--; sy.atAddress[addr] <= 0 {
		delete(sy.atAddress, addr)
	}
}

// currentEntry decodes the current row of a key. It is empty if there is no row.
func (sy *Syncer) currentEntry(key string, now time.Time) serverEntry {
	row, exists := sy.topics[gossip.Servers].rows[key]
	if !exists {
		delete(sy.entries, key)
		return serverEntry{}
	}
	e := sy.decode(row, now)
	if e.err != nil {
		sy.malformed(gossip.Servers, row, e.err)
	}
	return e
}

// dropServer drops the state of an incarnation that is no longer listed, except for the notices
// that the server has sent.
func (sy *Syncer) dropServer(s *fleet.Server, now time.Time) {
	if s == nil {
		return
	}
	s.State.SetWithdrawn(true)
	i := s.Incarnation()
	if s.State.Notices.Active(now) && len(sy.unlisted) < maxUnlisted {
		sy.unlisted[i] = unlisted{notices: s.State.Notices, since: now}
	}
	delete(sy.states, i)
	delete(sy.coldUntil, i)
	delete(sy.coldRows, i)
}

// recordAddresses counts the addresses of all listed servers.
func (sy *Syncer) recordAddresses(servers []*fleet.Server) {
	sy.atAddress = make(map[string]int, len(servers))
	for _, s := range servers {
		sy.atAddress[s.Addr]++
	}
}
