package storesync

import (
	"maps"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
)

// The list of servers by what has changed. Of thousands of servers a few change at a time, and
// each change comes to each daemon: work on all of them at each would grow with the square of
// the fleet.

// incrementalDivisor is the part of the rows, as a divisor, up to which changes are taken one by one.
const incrementalDivisor = 8

// applyServerChanges makes the list of servers anew, by what has changed if that is little and
// stands by itself.
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
			// Two servers have one address: which of them is gone shows among all of them.
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

// serverChanges are what changed rows make of the list.
type serverChanges struct {
	removed   []*fleet.Server
	added     []*fleet.Server
	corrupted map[string]string
	restarted []serverRestart
}

// serverRestart is a server that has begun again under its id.
type serverRestart struct{ was, is *fleet.Server }

// applyServerRow takes one row that has changed or is gone. It returns false if the address is
// another server's too.
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

// releaseAddress notes that a server has an address no more.
func (k *Syncer) releaseAddress(addr string) {
	if k.atAddress[addr]--; k.atAddress[addr] <= 0 {
		delete(k.atAddress, addr)
	}
}

// currentEntry is what a key's row says now; without a row it is empty.
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

// dropServer forgets what is known of an incarnation that is not listed any more, but for
// what it has said of itself.
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

// recordAddresses notes the addresses of the servers of the whole list.
func (k *Syncer) recordAddresses(servers []*fleet.Server) {
	k.atAddress = make(map[string]int, len(servers))
	for _, s := range servers {
		k.atAddress[s.Addr]++
	}
}
