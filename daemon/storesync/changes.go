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
func (k *Syncer) applyServerChanges(now time.Time) {
	t := k.topics[gossip.Servers]
	v := k.view.Load()
	if !t.known || v.Servers == nil || len(k.lapsed) > 0 || k.hasSuperseded || len(t.dirty) > len(t.rows)/incrementalDivisor {
		k.readServers(now)
		return
	}
	c := serverChanges{corrupted: maps.Clone(v.Corrupted)}
	for key := range t.takeDirty() {
		if !k.applyServerRow(key, &c, now) {
			// Two servers have the same address. Deciding which one is gone takes the whole
			// list.
			k.readServers(now)
			return
		}
	}
	maps.DeleteFunc(k.unlisted, func(_ fleet.Incarnation, u unlisted) bool { return now.Sub(u.since) > unlistedTTL })
	k.recordVersions(c.added, false, now)
	next := *v
	next.Corrupted = c.corrupted
	next.Servers = v.Servers.With(c.removed, c.added).WithDrained(k.drainedHalls())
	k.relistChangedLimits(c, now)
	k.view.Store(&next)
	k.updateColdLimits(now)
	for _, s := range c.restarted {
		k.reportRestart(s.was, s.is)
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
func (k *Syncer) applyServerRow(key string, c *serverChanges, now time.Time) bool {
	old := k.entries[key].server
	next := k.currentEntry(key, now)
	delete(c.corrupted, key)
	if next.err != nil {
		c.corrupted[key] = next.err.Error()
	}
	if old != nil {
		c.removed = append(c.removed, old)
		k.releaseAddress(old.Addr)
	}
	if next.server == nil || (old != nil && old.Incarnation() != next.server.Incarnation()) {
		k.dropServer(old, now)
	}
	if next.server == nil {
		return true
	}
	if k.atAddress[next.server.Addr] > 0 {
		return false
	}
	k.atAddress[next.server.Addr]++
	c.added = append(c.added, next.server)
	if old != nil && old.Born != next.server.Born {
		c.restarted = append(c.restarted, serverRestart{was: old, is: next.server})
	}
	return true
}

// releaseAddress records that a server no longer uses an address.
func (k *Syncer) releaseAddress(addr string) {
	if k.atAddress[addr]--; k.atAddress[addr] <= 0 {
		delete(k.atAddress, addr)
	}
}

// currentEntry decodes the current row of a key. It is empty if there is no row.
func (k *Syncer) currentEntry(key string, now time.Time) serverEntry {
	row, there := k.topics[gossip.Servers].rows[key]
	if !there {
		delete(k.entries, key)
		return serverEntry{}
	}
	e := k.decode(row, now)
	if e.err != nil {
		k.malformed(gossip.Servers, row, e.err)
	}
	return e
}

// dropServer drops the state of an incarnation that is no longer listed, except for the notices
// that the server has sent.
func (k *Syncer) dropServer(s *fleet.Server, now time.Time) {
	if s == nil {
		return
	}
	i := s.Incarnation()
	if s.State.Notices.Active(now) && len(k.unlisted) < maxUnlisted {
		k.unlisted[i] = unlisted{notices: s.State.Notices, since: now}
	}
	delete(k.loads, i)
	delete(k.coldUntil, i)
	delete(k.coldRows, i)
}

// recordAddresses counts the addresses of all listed servers.
func (k *Syncer) recordAddresses(servers []*fleet.Server) {
	k.atAddress = make(map[string]int, len(servers))
	for _, s := range servers {
		k.atAddress[s.Addr]++
	}
}
