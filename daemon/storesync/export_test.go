package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// Table is the state of the servers' topic, for benchmarks.
type Table struct{ keeper *Syncer }

// NewTable returns a table with rows.
func NewTable(d Decoder, rows []gossip.Row) *Table {
	k := New()
	k.Decoder = d
	k.topics[gossip.Servers].replace(rows, revision.New(1, 1), time.Now(), time.Now())
	k.readServers(time.Now())
	return &Table{keeper: k}
}

// Change takes one changed row from the store.
func (t *Table) Change(row gossip.Row) {
	now := time.Now()
	t.keeper.topics[gossip.Servers].applyPage(Page{Rows: []gossip.Row{row}, Version: row.Version}, now, now)
	t.keeper.applyServerChanges(now)
}

// Told takes one changed row from another daemon.
func (t *Table) Told(row gossip.Row) {
	now := time.Now()
	topic := t.keeper.topics[gossip.Servers]
	old := topic.rows[row.Key]
	sum := topic.sum - gossip.Sum([]gossip.Row{old}) + gossip.Sum([]gossip.Row{row})
	topic.apply(gossip.Update{Topic: gossip.Servers, Version: row.Version, Sum: sum, Base: topic.sum, Rows: []gossip.Row{row}}, now, now)
	t.keeper.applyServerChanges(now)
}
