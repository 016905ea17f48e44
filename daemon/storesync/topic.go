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
	// away is since when this daemon's own reads fail, or zero; returned is
	// when they last worked again.
	away     time.Time
	returned time.Time
	// sum is the hash of the rows; past has the latest changes, oldest first.
	sum  uint64
	past []change
	// fresh are the keys of rows that have changed since they were last taken; nil if nobody
	// takes them.
	fresh map[string]bool
	// before are contents that rows had and have no more, by key: a store that returns from a
	// copy has them again. returnedAt is when it last did, zero for never.
	before     map[string][]content
	returnedAt time.Time
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
	// copyAge is how old a copy is at most from which the store returns.
	copyAge = time.Minute
	// mostBefore bounds the contents that are remembered of a row.
	mostBefore = 16
)

// change is what a change of the rows replaced.
type change struct {
	// before is the sum of the rows until then.
	before uint64
	keys   []string
	at     time.Time
}

// newsTime is how long news takes to be told, sent and taken at most.
const newsTime = 2*tickEvery + 200*time.Millisecond

// pastChanges is how many changes are remembered for daemons that lag behind;
// one that lags further is told all rows.
const pastChanges = 64

func newTopicState() *topicState {
	return &topicState{rows: map[string]gossip.Row{}, before: map[string][]content{}, held: map[string]time.Time{}}
}

// takeFresh returns the keys of rows that have changed since it was last called.
func (t *topicState) takeFresh() map[string]bool {
	fresh := t.fresh
	t.fresh = map[string]bool{}
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
		t.supersede(key, now)
	}
	before := t.sum
	t.rows, t.version, t.known, t.sum = next, version, true, gossip.Sum(rows)
	t.remember(before, changed)
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
				t.supersede(row.Key, now)
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
			t.supersede(key, now)
			delete(t.rows, key)
			gone = append(gone, key)
		}
	}
	t.remember(before, append(changed, gone...))
	return gone
}

// sumWith is what the sum would be with changed rows and without those that are gone.
func (t *topicState) sumWith(rows []gossip.Row, removed []string) uint64 {
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

// remember notes which rows have changed since the rows had a sum.
func (t *topicState) remember(before uint64, keys []string) {
	if t.sum == before {
		return
	}
	if t.fresh != nil {
		for _, key := range keys {
			t.fresh[key] = true
		}
	}
	t.past = append(t.past, change{before: before, keys: keys, at: time.Now()})
	if len(t.past) > pastChanges {
		t.past = slices.Delete(t.past, 0, len(t.past)-pastChanges)
	}
}

// since returns what has changed since the rows had a sum, if that is known, and
// whether all of it is so new that the news of it may still be on its way.
func (t *topicState) since(sum uint64, now time.Time) (rows []gossip.Row, removed []string, known, onItsWay bool) {
	at := slices.IndexFunc(t.past, func(c change) bool { return c.before == sum })
	if at < 0 {
		return nil, nil, false, false
	}
	seen := map[string]bool{}
	for _, c := range t.past[at:] {
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
	return rows, removed, true, now.Sub(t.past[at].at) < newsTime
}

// apply takes what has changed, if that leads to the rows that the teller has.
func (t *topicState) apply(k gossip.Update, confirmed, now time.Time) (gone []string, ok bool) {
	if t.sum != k.Base || t.sumWith(k.Rows, k.Removed) != k.Sum {
		return nil, false
	}
	gone = t.set(k.Rows, k.Removed, now)
	t.version, t.known = revision.Latest(k.Version, t.version), true
	t.confirm(confirmed)
	return gone, true
}

// change takes the rows that have changed up to a version.
func (t *topicState) change(p Page, confirmed, now time.Time) (gone []string, newer bool) {
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

// list returns the rows.
func (t *topicState) list() []gossip.Row {
	out := make([]gossip.Row, 0, len(t.rows))
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out
}
