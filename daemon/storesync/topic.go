package storesync

import (
	"slices"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// topicState is what is known of one topic.
type topicState struct {
	rows    map[string]gossip.Row
	version revision.Revision
	// confirmed is the latest time at which the rows were the newest.
	confirmed time.Time
	known     bool
	// unavailableSince is since when this daemon's own reads fail, or zero; returned is
	// when they last worked again.
	unavailableSince time.Time
	recoveredAt      time.Time
	// sum is the hash of the rows; past has the latest changes, oldest first.
	sum     uint64
	history []change
	// dirty are the keys of rows that have changed since they were last taken; nil if nobody
	// takes them.
	dirty map[string]bool
	// oldContents are contents that rows had and have no more, by key: a store that returns from a
	// copy has them again. returnedAt is when it last did, zero for never.
	oldContents map[string][]content
	restoredAt  time.Time
	// held are the keys of rows that the store has lost, by since when: what is known of them
	// is newer than what the store has.
	held map[string]time.Time
}

// content is what a row was, and the number of its version then.
type content struct {
	number uint64
	sum    uint64
	at     time.Time
}

const (
	// maxCopyAge is how old a copy is at most from which the store returns.
	maxCopyAge = time.Minute
	// maxOldContents bounds the contents that are remembered of a row.
	maxOldContents = 16
)

// change is what a change of the rows replaced.
type change struct {
	// before is the sum of the rows until then.
	before uint64
	keys   []string
	at     time.Time
}

// maxUpdateDelay is how long news takes to be told, sent and taken at most.
const maxUpdateDelay = 2*tickInterval + 200*time.Millisecond

// maxHistory is how many changes are remembered for daemons that lag behind;
// one that lags further is told all rows.
const maxHistory = 64

func newTopicState() *topicState {
	return &topicState{rows: map[string]gossip.Row{}, oldContents: map[string][]content{}, held: map[string]time.Time{}}
}

// takeDirty returns the keys of rows that have changed since it was last called.
func (t *topicState) takeDirty() map[string]bool {
	fresh := t.dirty
	t.dirty = map[string]bool{}
	return fresh
}

// replace takes all rows as of a version. It reports whether it is newer than
// what was known, and which keys are gone.
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
	t.rows, t.version, t.known, t.sum = next, version, true, gossip.Sum(rows)
	t.recordChange(before, changed)
	t.confirm(confirmed)
	return gone, newer
}

// set takes rows that have changed, and those that are gone. The sum follows by their
// differences: adding all rows up again at each change is work that grows with the fleet.
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
		t.sum += row.Sum()
		t.rows[row.Key] = row
		changed = append(changed, row.Key)
	}
	for _, key := range removed {
		delete(t.held, key)
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

// sumAfter is what the sum would be with changed rows and without those that are gone.
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

// recordChange notes which rows have changed since the rows had a sum.
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

// changesSince returns what has changed changesSince the rows had a sum, if that is known, and
// whether all of it is so new that the news of it may still be on its way.
func (t *topicState) changesSince(sum uint64, now time.Time) (rows []gossip.Row, removed []string, known, onItsWay bool) {
	at := slices.IndexFunc(t.history, func(c change) bool { return c.before == sum })
	if at < 0 {
		return nil, nil, false, false
	}
	seen := map[string]bool{}
	for _, c := range t.history[at:] {
		for _, key := range c.keys {
			if seen[key] {
				continue
			}
			seen[key] = true
			if row, there := t.rows[key]; there {
				rows = append(rows, row)
			} else {
				removed = append(removed, key)
			}
		}
	}
	return rows, removed, true, now.Sub(t.history[at].at) < maxUpdateDelay
}

// apply takes what has changed, if that leads to the rows that the teller has.
func (t *topicState) apply(k gossip.Update, confirmed, now time.Time) (gone []string, ok bool) {
	if t.sum != k.Base || t.sumAfter(k.Rows, k.Removed) != k.Sum {
		return nil, false
	}
	gone = t.set(k.Rows, k.Removed, now)
	t.version, t.known = revision.Latest(k.Version, t.version), true
	t.confirm(confirmed)
	return gone, true
}

// applyPage takes the rows that have changed up to a version.
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

func (t *topicState) confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// rowList returns the rows.
func (t *topicState) rowList() []gossip.Row {
	out := make([]gossip.Row, 0, len(t.rows))
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out
}
