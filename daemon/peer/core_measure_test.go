//go:build measure

package peer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/bill"
	"ladderridge.example/core/tally"
)

func figure(name string, value float64, unit string) {
	fmt.Printf("%s: %.4g %s\n", name, value, unit)
}

// load gives every daemon the figures of a number of organisations and
// versions.
func loadOf(orgs, versions int) tally.Sums {
	var s tally.Sums
	for i := range orgs {
		s.Demands = append(s.Demands, tally.Demand{Key: tally.KeyOf(fmt.Sprint("org", i)), Requests: 3.5, Tokens: 700, InFlight: 9})
	}
	for i := range versions {
		s.Evidence = append(s.Evidence, tally.Evidence{Key: tally.KeyOf(fmt.Sprint("ver", i)), Answers: 100_000, Bad: 900})
	}
	slices.SortFunc(s.Demands, func(a, b tally.Demand) int { return int(int64(a.Key) - int64(b.Key)) })
	slices.SortFunc(s.Evidence, func(a, b tally.Evidence) int { return int(int64(a.Key) - int64(b.Key)) })
	return s
}

// TestCapacityOfCore measures the control core alone, with the real codec, in
// modelled time: messages, bytes (without QUIC) and processor time of a daemon.
func TestCapacityOfCore(t *testing.T) {
	const seconds = 30
	for _, n := range []int{50, 100, 200, 400, 800} {
		l := newLinks(1)
		own := loadOf(10, 10)
		l.own = func(string) tally.Sums { return own }
		l.addAll(n, 4)
		l.platform.generation = 1
		l.run(15 * time.Second)
		messages, bytes, reads := l.messages, l.bytes, l.platform.reads
		begun := time.Now()
		l.run(seconds * time.Second)
		spent := time.Since(begun)
		name := fmt.Sprintf("core with %d daemons ", n)
		per := float64(n) * seconds
		figure(name+"messages sent", float64(l.messages-messages)/per, "messages/s")
		figure(name+"bytes sent", float64(l.bytes-bytes)/per/1000, "KB/s")
		figure(name+"cpu, links included", 100*spent.Seconds()/per, "% of a core")
		figure(name+"platform reads per data hall", float64(l.platform.reads-reads)/4/seconds, "calls/s")
		var took []float64
		for range 5 {
			l.platform.generation++
			from := l.now
			for low, _ := l.generations(); low < l.platform.generation; low, _ = l.generations() {
				l.run(20 * time.Millisecond)
			}
			took = append(took, l.now.Sub(from).Seconds())
			l.run(2 * time.Second)
		}
		figure(name+"edit in force most", slices.Max(took), "s")
	}
}

// TestCapacityOfLimits measures what an organisation and a version cost each
// daemon on the wire.
func TestCapacityOfLimits(t *testing.T) {
	for _, n := range []int{10, 50, 200} {
		l := newLinks(1)
		own := loadOf(n, n)
		l.own = func(string) tally.Sums { return own }
		l.addAll(100, 4)
		l.platform.generation = 1
		l.run(15 * time.Second)
		bytes := l.bytes
		l.run(20 * time.Second)
		figure(fmt.Sprintf("%d organisations and %d versions, bytes sent", n, n), float64(l.bytes-bytes)/100/20/1000, "KB/s")
	}
}

// TestCapacityOfBills measures the memory and the messages of pending bills.
func TestCapacityOfBills(t *testing.T) {
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		l := bill.NewLedger()
		at := time.Now()
		for i := range b.N {
			l.Add(bill.Bill{Key: fmt.Sprintf("voluntas/entry-001-mx635aze-%d", i), Organisation: "voluntas", Model: "roster", Version: "v1", Tokens: 200, Cost: 4000}, at)
		}
	})
	figure("pending bill memory", float64(r.AllocedBytesPerOp()), "bytes")
	l := newLinks(1)
	l.addAll(4, 2)
	l.platform.generation = 1
	l.run(10 * time.Second)
	bytes, messages, writes := l.bytes, l.messages, l.platform.writes
	quiet := 10 * time.Second
	l.run(quiet)
	idleBytes, idleMessages := l.bytes-bytes, l.messages-messages
	bytes, messages, writes = l.bytes, l.messages, l.platform.writes
	const bills = 300
	for i := range bills {
		l.bill("entry-000", fmt.Sprintf("voluntas/entry-001-mx635aze-%d", i))
		l.run(quiet / bills)
	}
	figure("bill messages", float64(l.messages-messages-idleMessages)/bills, "messages/bill")
	figure("bill bytes", float64(l.bytes-bytes-idleBytes)/bills, "bytes/bill")
	figure("bill writes at 30 bills/s", float64(l.platform.writes-writes)/bills, "transactions/bill")
}
