package storesync

import (
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
)

// ResponseTimeout is how long the response to a request is accepted.
const ResponseTimeout = responseTimeout

// ServerList is the state of the servers topic, for benchmarks.
type ServerList struct{ syncer *Syncer }

// NewServerList returns a list of servers with the given rows.
func NewServerList(d Decoder, rows []gossip.Row) *ServerList {
	s := New()
	s.Decoder = d
	s.topics[gossip.Servers].replace(rows, revision.New(1, 1), time.Now(), time.Now())
	s.readServers(time.Now())
	return &ServerList{syncer: s}
}

// ApplyRow applies one changed row read from the store.
func (t *ServerList) ApplyRow(row gossip.Row) {
	now := time.Now()
	t.syncer.topics[gossip.Servers].applyPage(Page{Rows: []gossip.Row{row}, Version: row.Version}, now, now)
	t.syncer.applyServerChanges(now)
}

// ApplyUpdate applies one changed row received from another daemon.
func (t *ServerList) ApplyUpdate(row gossip.Row) {
	now := time.Now()
	topic := t.syncer.topics[gossip.Servers]
	old := topic.rows[row.Key]
	sum := topic.sum - gossip.Sum([]gossip.Row{old}) + gossip.Sum([]gossip.Row{row})
	topic.apply(gossip.Update{Topic: gossip.Servers, Version: row.Version, Sum: sum, Base: topic.sum, Rows: []gossip.Row{row}}, now, now)
	t.syncer.applyServerChanges(now)
}
