package storesync_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// countingDecoder counts the servers' rows that are decoded.
type countingDecoder struct {
	decoder
	decoded *atomic.Int64
}

func (d countingDecoder) Server(row gossip.Row) (fleet.Server, error) {
	d.decoded.Add(1)
	return d.decoder.Server(row)
}

// A daemon with 10,000 servers used to decode all rows whenever one changed, so that the
// cost of each change, like the number of changes, grew with the number of servers.
func TestCostOfAChangeIsIndependentOfTheNumberOfServers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const servers, changes = 2000, 20
		s := newCluster(t)
		s.writeConfig(1, "k")
		for i := range servers {
			s.store.set(gossip.Servers, "i-"+strconv.Itoa(i), "v1@h")
		}
		decoded := map[string]*atomic.Int64{"a": {}, "b": {}}
		s.newDecoder = func(id string) storesync.Decoder { return countingDecoder{decoded: decoded[id]} }
		_, follower := s.startDaemon("a"), s.startDaemon("b")
		advance(3 * time.Second)
		for _, n := range decoded {
			n.Store(0)
		}
		for i := range changes {
			s.store.set(gossip.Servers, "i-"+strconv.Itoa(i), "v2@h")
			advance(time.Second)
		}
		for id, n := range decoded {
			if n.Load() < changes || n.Load() > 2*changes {
				t.Errorf("%s decoded %d entries for %d changes", id, n.Load(), changes)
			}
		}
		if n := len(follower.View().Servers.Service("s")); n != servers {
			t.Errorf("the daemon that does not read the store has %d servers", n)
		}
	})
}

// Applying changes one by one must give the same list as reading all rows.
func TestChangesGiveTheSameListAsAFullRead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		for i := range 50 {
			s.store.set(gossip.Servers, "i-"+strconv.Itoa(i), "v1@h")
		}
		reader, follower := s.startDaemon("a"), s.startDaemon("b")
		advance(2 * time.Second)
		for i := range 150 {
			key, data := "i-"+strconv.Itoa(i*7%70), "v"+strconv.Itoa(i)+"@h"
			switch i % 6 {
			case 2:
				data = ""
			case 3:
				data = "!spoiled"
			case 4:
				// Several servers have one address; the latest one is listed.
				key, data = "j-"+strconv.Itoa(i%9)+"=addr-"+strconv.Itoa(i%3), data+"#"+strconv.Itoa(1000+i)
				if i%12 == 10 {
					data = ""
				}
			case 5:
				data += "@2s#" + strconv.Itoa(1000+i)
			}
			s.store.set(gossip.Servers, key, data)
			if i%3 == 0 {
				advance(700 * time.Millisecond)
			}
		}
		advance(5 * time.Second)
		fresh := s.startDaemon("c")
		advance(3 * time.Second)
		want := describe(fresh.View().Servers.Service("s"))
		if got := describe(reader.View().Servers.Service("s")); got != want {
			t.Errorf("the reader has\n%s\ninstead of\n%s", got, want)
		}
		if got := describe(follower.View().Servers.Service("s")); got != want {
			t.Errorf("the daemon that does not read the store has\n%s\ninstead of\n%s", got, want)
		}
	})
}

// describe returns the id, version, hall and start time of each server as text.
func describe(servers []*fleet.Server) string {
	text := ""
	for _, s := range servers {
		text += s.ID + " " + s.Version + " " + s.Hall + " " + strconv.FormatInt(s.Born, 10) + "\n"
	}
	return text
}
