package storesync

import (
	"maps"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
)

// Notices of unlisted servers. A notice outlives the entry of its server: an entry that has
// expired, or that another writer has corrupted, may come back in the state from before the
// server announced that it leaves.

const (
	// unlistedTTL is how long the notices of an unlisted server are kept: several times the
	// longest outage of a store that was observed.
	unlistedTTL = 10 * time.Minute
	// maxUnlisted bounds their number. Further ones are dropped.
	maxUnlisted = 4096
)

// unlisted has the notices of an unlisted server, and since when it is unlisted.
type unlisted struct {
	notices *notice.Tracker
	since   time.Time
}

// noticesOf returns the notices of an incarnation of a server, including those from before its
// entry was removed.
func (sy *Syncer) noticesOf(i fleet.Incarnation) *notice.Tracker {
	if was, ok := sy.unlisted[i]; ok {
		delete(sy.unlisted, i)
		return was.notices
	}
	return &notice.Tracker{}
}

// keepNotices keeps the notices of servers that have been removed from the list.
func (sy *Syncer) keepNotices(listed map[fleet.Incarnation]*fleet.ServerState, now time.Time) {
	maps.DeleteFunc(sy.unlisted, func(_ fleet.Incarnation, u unlisted) bool { return now.Sub(u.since) > unlistedTTL })
	for i, l := range sy.states {
		if listed[i] == nil && l.Notices.Active(now) && len(sy.unlisted) < maxUnlisted {
			sy.unlisted[i] = unlisted{notices: l.Notices, since: now}
		}
	}
}
