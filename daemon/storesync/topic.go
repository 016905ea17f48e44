package storesync

import (
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// topicState is the known state of one topic.
type topicState struct {
	rows    map[string]gossip.Row
	version revision.Revision
	// confirmed is the latest time at which the rows were known to be current.
	confirmed time.Time
	known     bool
	// unavailableSince is since when the reads of this daemon fail, or zero. recoveredAt is
	// when they last succeeded again after an outage in which entries may have expired.
	unavailableSince time.Time
	recoveredAt      time.Time
	// sum is the hash of the rows. history has the latest changes, oldest first.
	sum     uint64
	history []change
	// dirty has the keys of rows that have changed since the last call of takeDirty. It is nil
	// before the first call.
	dirty map[string]bool
	// oldContents has previous contents of rows, by key: a store that is restored from a backup
	// copy has them again. restoredAt is when it was last restored, or zero.
	oldContents map[string][]content
	restoredAt  time.Time
	// held has the keys of rows that the store has lost, by since when: their known contents
	// are newer than those of the store.
	held map[string]time.Time
	// ignored has the keys of rows that the restored store has and that were removed before.
	ignored map[string]bool
	// served is set once the store has answered this daemon since it last began to read.
	served bool
	// lostAtPeer is how many of the rows the store has lost according to the daemon that sent
	// them or their version.
	lostAtPeer uint64
	// eraVersion is the first known version of the present era. Rows with later versions were
	// written in it.
	eraVersion revision.Revision
	// unreadSince is since when the store has an era in which it may lack rows that are known
	// from the era before, or zero.
	unreadSince time.Time
}

// content is a previous content of a row, with the number of its version.
type content struct {
	number uint64
	sum    uint64
	at     time.Time
}

const (
	// maxCopyAge is the maximum age of a backup copy from which the store is restored.
	maxCopyAge = time.Minute
	// maxOldContents bounds the recorded contents of a row.
	maxOldContents = 16
)

// change records which rows a change has replaced.
type change struct {
	// before is the checksum of the rows before the change.
	before uint64
	keys   []string
	at     time.Time
}

// maxUpdateDelay is the maximum time to prepare, send and handle an update.
const maxUpdateDelay = 2*tickInterval + 200*time.Millisecond

// maxHistory is how many changes are recorded for daemons that lag behind. A daemon that lags
// further receives all rows.
const maxHistory = 64

func newTopicState() *topicState {
	return &topicState{rows: map[string]gossip.Row{}, oldContents: map[string][]content{}, held: map[string]time.Time{}, ignored: map[string]bool{}}
}

// takeDirty returns the keys of rows that have changed since its last call.
func (t *topicState) takeDirty() map[string]bool {
	dirty := t.dirty
	t.dirty = map[string]bool{}
	return dirty
}

// replace sets all rows as of a version. It reports whether the version is newer than the known
// one, and which keys are gone.
func (t *topicState) replace(rows []gossip.Row, version revision.Revision, confirmed, now time.Time) (gone []string, newer bool) {
	if t.known && version.Before(t.version) {
		return nil, false
	}
	rows = t.reconcile(rows, version, now)
	next := make(map[string]gossip.Row, len(rows))
	for _, row := range rows {
		next[row.Key] = row
	}
	for key := range t.rows {
		if _, ok := next[key]; !ok {
			gone = append(gone, key)
		}
	}
	newer = !t.known || version.After(t.version)
	changed := slices.Clone(gone)
	for key, row := range next {
		if was, ok := t.rows[key]; !ok || was.Sum() != row.Sum() {
			changed = append(changed, key)
		}
	}
	for _, key := range changed {
		t.recordOldContent(key, now)
	}
	before := t.sum
	t.rows, t.version, t.known, t.sum = next, version, true, gossip.Sum(slices.Collect(maps.Values(next)))
	t.recordChange(before, changed)
	t.confirm(confirmed)
	return gone, newer
}

// set applies changed and removed rows. The checksum is updated by the differences: computing
// it from all rows would take work in proportion to the number of servers at each change.
func (t *topicState) set(rows []gossip.Row, removed []string, now time.Time) (gone []string) {
	before, changed := t.sum, make([]string, 0, len(rows)+len(removed))
	for _, row := range rows {
		if was, ok := t.rows[row.Key]; ok {
			t.sum -= was.Sum()
			if was.Sum() != row.Sum() {
				t.recordOldContent(row.Key, now)
			}
		}
		delete(t.held, row.Key)
		delete(t.ignored, row.Key)
		t.sum += row.Sum()
		t.rows[row.Key] = row
		changed = append(changed, row.Key)
	}
	for _, key := range removed {
		delete(t.held, key)
		delete(t.ignored, key)
		if was, ok := t.rows[key]; ok {
			t.sum -= was.Sum()
			t.recordOldContent(key, now)
			delete(t.rows, key)
			gone = append(gone, key)
		}
	}
	t.recordChange(before, append(changed, gone...))
	return gone
}

// sumAfter returns the checksum after the given changes and removals.
func (t *topicState) sumAfter(rows []gossip.Row, removed []string) uint64 {
	sum := t.sum
	for _, row := range rows {
		if was, ok := t.rows[row.Key]; ok {
			sum -= was.Sum()
		}
		sum += row.Sum()
	}
	for _, key := range removed {
		if was, ok := t.rows[key]; ok {
			sum -= was.Sum()
		}
	}
	return sum
}

// recordChange records which rows have changed since the rows had a checksum.
func (t *topicState) recordChange(before uint64, keys []string) {
	if t.sum == before {
		return
	}
	if t.dirty != nil {
		for _, key := range keys {
			t.dirty[key] = true
		}
	}
	t.history = append(t.history, change{before: before, keys: keys, at: time.Now()})
	if len(t.history) > maxHistory {
		t.history = slices.Delete(t.history, 0, len(t.history)-maxHistory)
	}
}

// changesSince returns the changes since the rows had a checksum, if they are known, and
// whether all of them are so recent that the update with them may still be in transit.
func (t *topicState) changesSince(sum uint64, now time.Time) (rows []gossip.Row, removed []string, known, inTransit bool) {
	i := slices.IndexFunc(t.history, func(c change) bool { return c.before == sum })
	if i < 0 {
		return nil, nil, false, false
	}
	seen := map[string]bool{}
	for _, c := range t.history[i:] {
		for _, key := range c.keys {
			if seen[key] {
				continue
			}
			seen[key] = true
			if row, exists := t.rows[key]; exists {
				rows = append(rows, row)
			} else {
				removed = append(removed, key)
			}
		}
	}
	return rows, removed, true, now.Sub(t.history[i].at) < maxUpdateDelay
}

// apply applies the changes of an update if the result equals the rows of the sender.
func (t *topicState) apply(update gossip.Update, confirmed, now time.Time) (gone []string, ok bool) {
	if t.sum != update.Base || t.sumAfter(update.Rows, update.Removed) != update.Sum {
		return nil, false
	}
	if slices.ContainsFunc(update.Rows, t.isOldContent) {
		// The sender does not know what was removed before a restore, and has read it again.
		gone, _ = t.replace(t.rowsAfter(update), update.Version, confirmed, now)
		return gone, true
	}
	gone = t.set(update.Rows, update.Removed, now)
	t.version, t.known, t.lostAtPeer = revision.Latest(update.Version, t.version), true, update.LostRows
	t.confirm(confirmed)
	return gone, true
}

// rowsAfter returns all rows after the changes of an update.
func (t *topicState) rowsAfter(update gossip.Update) []gossip.Row {
	rows := maps.Clone(t.rows)
	for _, row := range update.Rows {
		rows[row.Key] = row
	}
	for _, key := range update.Removed {
		delete(rows, key)
	}
	return slices.Collect(maps.Values(rows))
}

// applyPage applies the rows that have changed up to a version.
func (t *topicState) applyPage(p Page, confirmed, now time.Time) (gone []string, newer bool) {
	if p.Version.Before(t.version) {
		return nil, false
	}
	rows := slices.DeleteFunc(slices.Clone(p.Rows), func(row gossip.Row) bool {
		was, ok := t.rows[row.Key]
		return ok && !row.Version.After(was.Version)
	})
	gone = t.set(rows, p.Removed, now)
	t.version = p.Version
	t.confirm(confirmed)
	return gone, len(rows) > 0 || len(gone) > 0
}

// longUnavailable reports whether reads have failed for so long that entries may have expired.
func (t *topicState) longUnavailable(now time.Time) bool {
	return !t.unavailableSince.IsZero() && now.Sub(t.unavailableSince) >= minOutage
}

// endOutage records that reads succeed again, or that others read for this daemon. Entries that are gone may
// have expired meanwhile, or not.
func (t *topicState) endOutage(mayHaveExpired bool, now time.Time) {
	if mayHaveExpired && t.longUnavailable(now) {
		t.recoveredAt = now
	}
	t.unavailableSince = time.Time{}
}

func (t *topicState) confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// rowList returns all rows.
func (t *topicState) rowList() []gossip.Row {
	out := make([]gossip.Row, 0, len(t.rows))
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out
}
