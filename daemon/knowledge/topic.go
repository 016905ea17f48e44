package knowledge

import (
	"maps"
	"slices"
	"time"

	"ladderridge.example/core/relay"
)

// topicState is what is known of one topic.
type topicState struct {
	rows    map[string]relay.Row
	version uint64
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
}

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

func newTopicState() *topicState { return &topicState{rows: map[string]relay.Row{}} }

// replace takes all rows as of a version. It reports whether it is newer than
// what was known, and which keys are gone.
func (t *topicState) replace(rows []relay.Row, version uint64, confirmed time.Time) (gone []string, newer bool) {
	if t.known && version < t.version {
		return nil, false
	}
	next := make(map[string]relay.Row, len(rows))
	for _, row := range rows {
		next[row.Key] = row
	}
	for key := range t.rows {
		if _, ok := next[key]; !ok {
			gone = append(gone, key)
		}
	}
	newer = !t.known || version > t.version
	changed := gone
	for key, row := range next {
		if t.rows[key].Version != row.Version {
			changed = append(changed, key)
		}
	}
	t.rows, t.version, t.known = next, version, true
	t.remember(changed)
	t.confirm(confirmed)
	return gone, newer
}

// remember notes which rows have changed.
func (t *topicState) remember(keys []string) {
	before := t.sum
	t.sum = relay.Sum(t.list())
	if t.sum == before {
		return
	}
	t.past = append(t.past, change{before: before, keys: keys, at: time.Now()})
	if len(t.past) > pastChanges {
		t.past = slices.Delete(t.past, 0, len(t.past)-pastChanges)
	}
}

// since returns what has changed since the rows had a sum, if that is known, and
// whether all of it is so new that the news of it may still be on its way.
func (t *topicState) since(sum uint64, now time.Time) (rows []relay.Row, removed []string, known, onItsWay bool) {
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
func (t *topicState) apply(k relay.Known, confirmed time.Time) (gone []string, ok bool) {
	if t.sum != k.Base {
		return nil, false
	}
	next := maps.Clone(t.rows)
	for _, row := range k.Rows {
		next[row.Key] = row
	}
	for _, key := range k.Removed {
		delete(next, key)
	}
	rows := slices.Collect(maps.Values(next))
	if relay.Sum(rows) != k.Sum {
		return nil, false
	}
	gone, _ = t.replace(rows, max(k.Version, t.version), confirmed)
	return gone, true
}

// change takes the rows that have changed up to a version.
func (t *topicState) change(p Page, confirmed time.Time) (gone []string, newer bool) {
	if p.Version < t.version {
		return nil, false
	}
	var changed []string
	for _, row := range p.Rows {
		if was, ok := t.rows[row.Key]; !ok || row.Version > was.Version {
			t.rows[row.Key] = row
			changed = append(changed, row.Key)
		}
	}
	for _, key := range p.Removed {
		if _, ok := t.rows[key]; ok {
			delete(t.rows, key)
			gone = append(gone, key)
		}
	}
	changed = append(changed, gone...)
	newer = len(changed) > 0
	t.remember(changed)
	t.version = p.Version
	t.confirm(confirmed)
	return gone, newer
}

func (t *topicState) confirm(at time.Time) {
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// list returns the rows.
func (t *topicState) list() []relay.Row {
	out := make([]relay.Row, 0, len(t.rows))
	for _, row := range t.rows {
		out = append(out, row)
	}
	return out
}
