package knowledge

import (
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
}

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
	t.rows, t.version, t.known = next, version, true
	t.confirm(confirmed)
	return gone, newer
}

// change takes the rows that have changed up to a version.
func (t *topicState) change(p Page, confirmed time.Time) (gone []string, newer bool) {
	if p.Version < t.version {
		return nil, false
	}
	for _, row := range p.Rows {
		if was, ok := t.rows[row.Key]; !ok || row.Version > was.Version {
			t.rows[row.Key] = row
			newer = true
		}
	}
	for _, key := range p.Removed {
		if _, ok := t.rows[key]; ok {
			delete(t.rows, key)
			gone = append(gone, key)
			newer = true
		}
	}
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
