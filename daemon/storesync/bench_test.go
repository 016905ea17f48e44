package storesync_test

import (
	"strconv"
	"testing"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/daemon/storesync"
)

// serverRows returns the rows of 10,000 servers.
func serverRows() []gossip.Row {
	rows := make([]gossip.Row, 10_000)
	for i := range rows {
		rows[i] = gossip.Row{Key: "i-" + strconv.Itoa(i), Data: []byte("v1@h" + strconv.Itoa(i%5)), Version: revision.New(1, uint64(i+1))}
	}
	return rows
}

// BenchmarkServerRowChange measures how a daemon applies a change of one server out of 10,000.
func BenchmarkServerRowChange(b *testing.B) {
	rows := serverRows()
	for name, take := range map[string]func(*storesync.ServerList, gossip.Row){"read": (*storesync.ServerList).ApplyRow, "told": (*storesync.ServerList).ApplyUpdate} {
		b.Run(name, func(b *testing.B) {
			table := storesync.NewServerList(decoder{}, rows)
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
