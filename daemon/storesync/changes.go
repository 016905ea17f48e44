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

// fewPart is the part of the rows, as a divisor, up to which changes are taken one by one.
const fewPart = 8

// serversChanged makes the list of servers anew, by what has changed if that is little and
// stands by itself.
func (k *Keeper) serversChanged(now time.Time) {
	t := k.topics[gossip.Servers]
	v := k.view.Load()
	if !t.known || v.Servers == nil || len(k.lapsed) > 0 || k.hidden || len(t.fresh) > len(t.rows)/fewPart {
		k.readServers(now)
		return
	}
	c := serverChanges{spoiled: maps.Clone(v.Spoiled)}
	for key := range t.takeFresh() {
		if !k.takeServer(key, &c, now) {
			// Two servers have one address: which of them is gone shows among all of them.
			k.readServers(now)
			return
		}
	}
	maps.DeleteFunc(k.unlisted, func(_ fleet.Incarnation, u unlisted) bool { return now.Sub(u.since) > unlistedFor })
	k.noteVersions(c.added, false, now)
	next := *v
	next.Spoiled = c.spoiled
	next.Servers = v.Servers.With(c.removed, c.added).WithDrained(k.emptiedHalls())
	k.listLimitsOf(c, now)
	k.view.Store(&next)
	k.chill(now)
	for _, s := range c.again {
		k.tellBeganAgain(s.was, s.is)
	}
}

// serverChanges are what changed rows make of the list.
type serverChanges struct {
	removed []*fleet.Server
	added   []*fleet.Server
	spoiled map[string]string
	again   []begunAgain
}

// begunAgain is a server that has begun again under its id.
type begunAgain struct{ was, is *fleet.Server }

// takeServer takes one row that has changed or is gone. It returns false if the address is
// another server's too.
func (k *Keeper) takeServer(key string, c *serverChanges, now time.Time) bool {
	old := k.entries[key].server
	next := k.entryNow(key, now)
	delete(c.spoiled, key)
	if next.err != nil {
		c.spoiled[key] = next.err.Error()
	}
	if old != nil {
		c.removed = append(c.removed, old)
		k.leaveAddress(old.Addr)
	}
	if next.server == nil || (old != nil && old.Incarnation() != next.server.Incarnation()) {
		k.forgetServer(old, now)
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
		c.again = append(c.again, begunAgain{was: old, is: next.server})
	}
	return true
}

// leaveAddress notes that a server has an address no more.
func (k *Keeper) leaveAddress(addr string) {
	if k.atAddress[addr]--; k.atAddress[addr] <= 0 {
		delete(k.atAddress, addr)
	}
}

// entryNow is what a key's row says now; without a row it is empty.
func (k *Keeper) entryNow(key string, now time.Time) serverEntry {
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

// forgetServer forgets what is known of an incarnation that is not listed any more, but for
// what it has said of itself.
func (k *Keeper) forgetServer(s *fleet.Server, now time.Time) {
	if s == nil {
		return
	}
	i := s.Incarnation()
	if s.State.Notices.Active(now) && len(k.unlisted) < mostUnlisted {
		k.unlisted[i] = unlisted{notices: s.State.Notices, since: now}
	}
	delete(k.loads, i)
	delete(k.coldUntil, i)
	delete(k.coldRows, i)
}

// noteAddresses notes the addresses of the servers of the whole list.
func (k *Keeper) noteAddresses(servers []*fleet.Server) {
	k.atAddress = make(map[string]int, len(servers))
	for _, s := range servers {
		k.atAddress[s.Addr]++
	}
}
