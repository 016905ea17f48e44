package storesync_test

import (
	"strconv"
	"testing"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/daemon/storesync"
)

// fleetRows are entries of 10,000 servers.
func fleetRows() []gossip.Row {
	rows := make([]gossip.Row, 10_000)
	for i := range rows {
		rows[i] = gossip.Row{Key: "i-" + strconv.Itoa(i), Data: []byte("v1@h" + strconv.Itoa(i%5)), Version: revision.New(1, uint64(i+1))}
	}
	return rows
}

// BenchmarkChangeOfOneServer is what a daemon does when one server of 10,000 has changed.
func BenchmarkChangeOfOneServer(b *testing.B) {
	rows := fleetRows()
	for name, take := range map[string]func(*storesync.Table, gossip.Row){"read": (*storesync.Table).Change, "told": (*storesync.Table).Told} {
		b.Run(name, func(b *testing.B) {
			table := storesync.NewTable(decoder{}, rows)
			version := uint64(len(rows))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				version++
				row := rows[i%len(rows)]
				row.Version, row.Data = revision.New(1, version), []byte("v1@h"+strconv.Itoa(i%7))
				take(table, row)
			}
		})
	}
}
