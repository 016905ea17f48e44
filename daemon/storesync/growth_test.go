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

// A daemon of a fleet of 10,000 servers decoded all of their entries whenever one of them had
// changed: the work of a change grew with the fleet, and so did the number of changes.
func TestWorkOfAChangeDoesNotGrowWithTheServers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const servers, changes = 2000, 20
		s := newSystem(t)
		s.config(1, "k")
		for i := range servers {
			s.rows.set(gossip.Servers, "i-"+strconv.Itoa(i), "v1@h")
		}
		decoded := map[string]*atomic.Int64{"a": {}, "b": {}}
		s.decode = func(id string) storesync.Decoder { return countingDecoder{decoded: decoded[id]} }
		_, told := s.daemon("a"), s.daemon("b")
		pass(3 * time.Second)
		for _, n := range decoded {
			n.Store(0)
		}
		for i := range changes {
			s.rows.set(gossip.Servers, "i-"+strconv.Itoa(i), "v2@h")
			pass(time.Second)
		}
		for id, n := range decoded {
			if n.Load() < changes || n.Load() > 2*changes {
				t.Errorf("%s decoded %d entries for %d changes", id, n.Load(), changes)
			}
		}
		if n := len(told.View().Servers.Service("s")); n != servers {
			t.Errorf("%d servers are known", n)
		}
	})
}

// Changes that come one by one must lead to the same list as reading all of it.
func TestListByChangesIsTheListThatIsRead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		for i := range 50 {
			s.rows.set(gossip.Servers, "i-"+strconv.Itoa(i), "v1@h")
		}
		long, told := s.daemon("a"), s.daemon("b")
		pass(2 * time.Second)
		for i := range 150 {
			key, data := "i-"+strconv.Itoa(i*7%70), "v"+strconv.Itoa(i)+"@h"
			switch i % 6 {
			case 2:
				data = ""
			case 3:
				data = "!spoiled"
			case 4:
				// Several servers have one address; the latest is there.
				key, data = "j-"+strconv.Itoa(i%9)+"=addr-"+strconv.Itoa(i%3), data+"#"+strconv.Itoa(1000+i)
				if i%12 == 10 {
					data = ""
				}
			case 5:
				data += "@2s#" + strconv.Itoa(1000+i)
			}
			s.rows.set(gossip.Servers, key, data)
			if i%3 == 0 {
				pass(700 * time.Millisecond)
			}
		}
		pass(5 * time.Second)
		fresh := s.daemon("c")
		pass(3 * time.Second)
		want := describe(fresh.View().Servers.Service("s"))
		if got := describe(long.View().Servers.Service("s")); got != want {
			t.Errorf("the reader knows\n%s\nand not\n%s", got, want)
		}
		if got := describe(told.View().Servers.Service("s")); got != want {
			t.Errorf("the one that is told knows\n%s\nand not\n%s", got, want)
		}
	})
}

// describe writes servers and their versions.
func describe(servers []*fleet.Server) string {
	text := ""
	for _, s := range servers {
		text += s.ID + " " + s.Version + " " + s.Hall + " " + strconv.FormatInt(s.Born, 10) + "\n"
	}
	return text
}
