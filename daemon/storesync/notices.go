package storesync

import (
	"maps"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
)

// What a server has said of itself outlives its entry: one that lapses, or that another
// writer has spoiled, may come back as it was before the server said that it leaves.

const (
	// unlistedTTL is how long the notices of a server that is not listed are kept: the
	// longest that stores were seen away, several times over.
	unlistedTTL = 10 * time.Minute
	// maxUnlisted bounds them; beyond it the ones that come are not kept.
	maxUnlisted = 4096
)

// unlisted are the notices of a server that is not listed, since a time.
type unlisted struct {
	notices *notice.Tracker
	since   time.Time
}

// noticesOf returns what an incarnation of a server has said, be it before its entry went.
func (k *Syncer) noticesOf(i fleet.Incarnation) *notice.Tracker {
	if was, ok := k.unlisted[i]; ok {
		delete(k.unlisted, i)
		return was.notices
	}
	return &notice.Tracker{}
}

// keepNotices keeps the notices of servers that were listed and are not any more.
func (k *Syncer) keepNotices(listed map[fleet.Incarnation]*fleet.ServerState, now time.Time) {
	maps.DeleteFunc(k.unlisted, func(_ fleet.Incarnation, u unlisted) bool { return now.Sub(u.since) > unlistedTTL })
	for i, l := range k.loads {
		if listed[i] == nil && l.Notices.Active(now) && len(k.unlisted) < maxUnlisted {
			k.unlisted[i] = unlisted{notices: l.Notices, since: now}
		}
	}
}
