package storesync

import (
	"context"
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// Restores of the store from a backup copy. A restored store has lost the writes of the seconds
// before the failure. The operator and the servers write their rows again, at once or a moment
// later. The daemons write their own rows again. Until then a daemon uses the rows that it
// knew, which are newer.

// rewriteTimeout is how long a daemon holds a row that the store has lost if nobody writes it
// again.
const rewriteTimeout = 5 * time.Second

// recordOldContent records the content of a row that is about to be changed or removed.
func (t *topicState) recordOldContent(key string, now time.Time) {
	was, ok := t.rows[key]
	if !ok {
		return
	}
	kept := slices.DeleteFunc(t.oldContents[key], func(c content) bool { return now.Sub(c.at) > maxCopyAge })
	if len(kept) >= maxOldContents {
		kept = slices.Delete(kept, 0, 1)
	}
	t.oldContents[key] = append(kept, content{number: was.Version.Number, sum: was.Sum(), at: now})
}

// dropOldContents drops recorded contents that are too old to be in a backup copy.
func (t *topicState) dropOldContents(now time.Time) {
	maps.DeleteFunc(t.oldContents, func(_ string, was []content) bool {
		return !slices.ContainsFunc(was, func(c content) bool { return now.Sub(c.at) <= maxCopyAge })
	})
}

// isOldContent reports whether a row has a content that it once had and that has been changed
// or removed since. A row that was written after the restore may have the number of an old one.
func (t *topicState) isOldContent(row gossip.Row) bool {
	if row.Version.After(t.eraVersion) {
		return false
	}
	sum := row.Sum()
	return slices.ContainsFunc(t.oldContents[row.Key], func(c content) bool { return c.number == row.Version.Number && c.sum == sum })
}

// reconcile merges the rows of a store that may have been restored from a backup copy with the
// known rows. A row that has an old content in the copy is held with its known content, under
// the version that the store has. A row that the copy lacks is held too.
func (t *topicState) reconcile(rows []gossip.Row, version revision.Revision, now time.Time) []gossip.Row {
	clear(t.ignored)
	if t.restoredAt.IsZero() || now.Sub(t.restoredAt) > maxCopyAge && len(t.held) == 0 {
		return rows
	}
	out := make([]gossip.Row, 0, len(rows))
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		was, known := t.rows[row.Key]
		switch {
		case known && was.Sum() == row.Sum() || !t.isOldContent(row):
			delete(t.held, row.Key)
		case known:
			row.Data = was.Data
			t.hold(row.Key, now)
		default:
			t.ignored[row.Key] = true
			continue
		}
		out = append(out, row)
	}
	for key, was := range t.rows {
		if _, held := t.held[key]; !present[key] && (held || t.isUnread(was, version, now)) {
			was.Version = revision.New(version.Era, 0)
			t.hold(key, t.unreadSince)
			out = append(out, was)
		}
	}
	return out
}

// isUnread reports whether a row is known from before the restore only: no daemon has read it
// from the store in the era of the version. A daemon may learn the era from another daemon
// before it reads the store itself.
func (t *topicState) isUnread(row gossip.Row, version revision.Revision, now time.Time) bool {
	return !row.Version.After(revision.New(version.Era, 0)) && now.Sub(t.unreadSince) <= rewriteTimeout
}

// recordHeldByPeer records that another daemon holds rows that the store has lost.
func (t *topicState) recordHeldByPeer(update gossip.Update, now time.Time) {
	if update.LostRows > 0 {
		t.restoredAt = now
	}
}

// mergeHeld takes over the rows that another daemon of the same era holds and the store has
// lost, if this daemon has read them from the restored copy. Rows that the store has accepted
// since the other daemon read it are kept.
func (t *topicState) mergeHeld(update gossip.Update, now time.Time) (changed bool) {
	if update.Version.Era != t.version.Era || update.LostRows <= t.lostRows() || !update.Complete && update.Base != t.sum {
		return false
	}
	t.restoredAt = now
	var lost []gossip.Row
	for _, row := range update.Rows {
		was, has := t.rows[row.Key]
		if has && was.Sum() != row.Sum() && !was.Version.After(update.Version) || !has && row.Version.Number == 0 {
			lost = append(lost, row)
		}
	}
	// The sender may lack a row for other reasons than its removal before the restore.
	removed := slices.DeleteFunc(slices.Clone(update.Removed), func(key string) bool {
		was, has := t.rows[key]
		return !has || was.Version.After(update.Version)
	})
	t.set(lost, removed, now)
	for _, row := range lost {
		t.hold(row.Key, now)
	}
	for _, key := range removed {
		t.ignored[key] = true
	}
	return len(lost)+len(removed) > 0
}

// ignoredKeys returns the keys of rows that the restored store has and that were removed before.
func (t *topicState) ignoredKeys() []string {
	return slices.Collect(maps.Keys(t.ignored))
}

func (t *topicState) hold(key string, now time.Time) {
	if _, held := t.held[key]; !held {
		t.held[key] = now
	}
}

// lostRows returns how many of the rows and removals the store has lost.
func (t *topicState) lostRows() uint64 {
	return max(uint64(len(t.held)+len(t.ignored)), t.lostAtPeer)
}

// mergeLost merges how many of its rows the store has lost according to a daemon with the same
// rows. A held row that is written again with the known content does not change their checksum.
func (t *topicState) mergeLost(update gossip.Update) {
	switch {
	case update.Version.Era < t.version.Era:
	case update.LostRows == 0:
		t.confirmHeld(update.Version)
	case update.Version.After(t.version):
		t.lostAtPeer = update.LostRows
	}
}

// confirmHeld records that the store has all rows as of a version.
func (t *topicState) confirmHeld(version revision.Revision) {
	if t.lostRows() > 0 {
		for key, row := range t.rows {
			if row.Version.Number == 0 {
				row.Version = version
				t.rows[key] = row
			}
		}
	}
	clear(t.held)
	clear(t.ignored)
	t.lostAtPeer, t.unreadSince = 0, time.Time{}
}

// expiredHeld returns the keys of rows that the store lacks and that nobody has written again
// in time.
func (t *topicState) expiredHeld(now time.Time) []string {
	var out []string
	for key, since := range t.held {
		if t.rows[key].Version.Number == 0 && now.Sub(since) > rewriteTimeout {
			out = append(out, key)
		}
	}
	return out
}

// checkEra detects by a new version of a topic that the store was restored from a backup copy.
func (sy *Syncer) checkEra(topic gossip.Topic, version revision.Revision, now time.Time) {
	t := sy.topics[topic]
	if !t.known || version.Era <= t.version.Era {
		return
	}
	t.restoredAt, t.unreadSince, t.eraVersion = now, now, version
	for key := range t.held {
		t.held[key] = now
	}
	sy.Log.Warn().Str("topic", string(topic)).Stringer("version", version).Stringer("was", t.version).Msg("storesync: store restored from a backup copy; rows that it has lost are held until they are written again")
	sy.Restores.Add(1)
	if topic == gossip.Members && now.Sub(sy.startedAt) < maxCopyAge {
		// The backup copy may be older than the entry of this daemon.
		sy.requestRepublish()
	}
}

// handleRestore performs the work that is due while the store lacks rows after a restore.
func (sy *Syncer) handleRestore(ctx context.Context, now time.Time) {
	for topic, t := range sy.topics {
		t.dropOldContents(now)
		if topic == gossip.Progress {
			continue
		}
		keys := t.expiredHeld(now)
		switch {
		case len(keys) == 0:
		case !sy.storeServes(t, now):
			// Only a daemon that reads the store knows whether they are written again.
			for _, key := range keys {
				delete(t.held, key)
			}
		default:
			sy.Log.Warn().Str("topic", string(topic)).Strs("keys", keys).Msg("storesync: rows lost by the store were not written again in time; removed")
			sy.applyTopicChange(topic, t.set(nil, keys, now), true, now)
		}
	}
	progress := sy.topics[gossip.Progress]
	behind := progress.known && progress.version.Era < sy.topics[gossip.Operator].version.Era
	sy.progressLost.Store(behind || len(progress.held) > 0)
	sy.restoreProgress(ctx, now)
}

// restoreProgress writes the states of roll-outs again that the store has lost.
func (sy *Syncer) restoreProgress(ctx context.Context, now time.Time) {
	t := sy.topics[gossip.Progress]
	if !sy.reading.Load() {
		return
	}
	for key, since := range t.held {
		service, p, err := sy.Decoder.Progress(t.rows[key])
		if err != nil {
			sy.malformed(gossip.Progress, t.rows[key], err)
			delete(t.held, key)
			continue
		}
		r, ordered := sy.rollouts.byService[service]
		if !ordered || !r.Order.Matches(p) {
			// A later order has replaced it.
			delete(t.held, key)
			continue
		}
		if p.State != canary.Running || r.State == canary.Running {
			sy.writeInTurn(ctx, service, p, "lost by the store", since, now)
		}
	}
}

// isLeaving reports whether a server leaves according to its entries. Once it has announced
// this, the announcement stays valid in a later era, in which the entry may be older than the
// announcement.
func (sy *Syncer) isLeaving(s fleet.Server, row revision.Revision) bool {
	i := s.Incarnation()
	era, announced := sy.leaving[i]
	switch {
	case s.Leaving:
		sy.leaving[i] = row.Era
	case announced && row.Era <= era:
		delete(sy.leaving, i)
	case announced:
		return true
	}
	if len(sy.leaving) > maxUnlisted {
		maps.DeleteFunc(sy.leaving, func(i fleet.Incarnation, _ uint64) bool { return sy.states[i] == nil })
	}
	return s.Leaving
}
