package knowledge

import (
	"time"

	"ladderridge.example/core/relay"
	"ladderridge.example/core/revision"
)

// Table is the state of the servers' topic, for benchmarks.
type Table struct{ keeper *Keeper }

// NewTable returns a table with rows.
func NewTable(d Decoder, rows []relay.Row) *Table {
	k := New()
	k.Decoder = d
	k.topics[relay.Servers].replace(rows, revision.New(1, 1), time.Now(), time.Now())
	k.readServers(time.Now())
	return &Table{keeper: k}
}

// Change takes one changed row from the store.
func (t *Table) Change(row relay.Row) {
	now := time.Now()
	t.keeper.topics[relay.Servers].change(Page{Rows: []relay.Row{row}, Version: row.Version}, now, now)
	t.keeper.serversChanged(now)
}

// Told takes one changed row from another daemon.
func (t *Table) Told(row relay.Row) {
	now := time.Now()
	topic := t.keeper.topics[relay.Servers]
	old := topic.rows[row.Key]
	sum := topic.sum - relay.Sum([]relay.Row{old}) + relay.Sum([]relay.Row{row})
	topic.apply(relay.Known{Topic: relay.Servers, Version: row.Version, Sum: sum, Base: topic.sum, Rows: []relay.Row{row}}, now, now)
	t.keeper.serversChanged(now)
}
