//go:build measure

package peer_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/bill"
	"ladderridge.example/core/node"
)

func figure(name string, value float64, unit string) {
	fmt.Printf("%s: %.4g %s\n", name, value, unit)
}

// bytesOf is what a daemon has sent and received, at a quantile over daemons.
func (l *links) bytesOf(q float64) float64 {
	var all []int
	for _, n := range l.byDaemon {
		all = append(all, n)
	}
	slices.Sort(all)
	return float64(all[int(q*float64(len(all)-1))])
}

// loadOf gives every daemon the figures of a number of organisations and
// versions.
func loadOf(orgs, versions int) aggregation.Sums {
	var s aggregation.Sums
	for i := range orgs {
		s.Demands = append(s.Demands, aggregation.Demand{Key: aggregation.KeyOf(fmt.Sprint("org", i)), Requests: 35, Tokens: 700, InFlight: 9})
	}
	for i := range versions {
		s.Evidence = append(s.Evidence, aggregation.Evidence{Key: aggregation.KeyOf(fmt.Sprint("ver", i)), Answers: 100_000, Bad: 900})
	}
	slices.SortFunc(s.Demands, func(a, b aggregation.Demand) int { return int(int64(a.Key) - int64(b.Key)) })
	slices.SortFunc(s.Evidence, func(a, b aggregation.Evidence) int { return int(int64(a.Key) - int64(b.Key)) })
	return s
}

// TestCapacityOfCore measures the control core alone, with the real codec, in
// modelled time: messages, bytes (without QUIC) and processor time of a daemon.
func TestCapacityOfCore(t *testing.T) {
	const seconds = 30
	for _, n := range []int{50, 100, 200, 400, 800} {
		l := newLinks(1)
		own := loadOf(10, 10)
		l.own = func(string) aggregation.Sums { return own }
		l.addAll(n, 4)
		l.platform.generation = 1
		l.run(15 * time.Second)
		messages, reads := l.messages, l.platform.reads
		clear(l.byDaemon)
		begun := time.Now()
		l.run(seconds * time.Second)
		spent := time.Since(begun)
		name := fmt.Sprintf("core with %d daemons ", n)
		per := float64(n) * seconds
		figure(name+"messages sent", float64(l.messages-messages)/per, "messages/s")
		figure(name+"bytes median", l.bytesOf(0.5)/seconds/1000, "KB/s")
		figure(name+"bytes most", l.bytesOf(1)/seconds/1000, "KB/s")
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
	for _, n := range []int{0, 10, 50, 200} {
		l := newLinks(1)
		own := loadOf(n, n)
		l.own = func(string) aggregation.Sums { return own }
		l.addAll(100, 4)
		l.platform.generation = 1
		l.run(15 * time.Second)
		clear(l.byDaemon)
		l.run(20 * time.Second)
		name := fmt.Sprintf("%d organisations and %d versions ", n, n)
		figure(name+"bytes median", l.bytesOf(0.5)/20/1000, "KB/s")
		figure(name+"bytes most", l.bytesOf(1)/20/1000, "KB/s")
	}
}

// TestCapacityOfBills measures the memory and the messages of pending bills.
func TestCapacityOfBills(t *testing.T) {
	const many = 100_000
	before := liveHeap()
	ledger := bill.NewPending()
	for i := range many {
		ledger.Add(longBill(i), time.Time{})
	}
	figure("pending bill memory", (liveHeap()-before)/many, "bytes")
	before = liveHeap()
	copies := bill.NewCopies()
	for i := range many {
		copies.Hold("origin", []bill.Bill{longBill(i)}, time.Time{})
	}
	figure("bill's copy memory", (liveHeap()-before)/many, "bytes")
	runtime.KeepAlive(ledger)
	runtime.KeepAlive(copies)
	l := newLinks(1)
	l.addAll(4, 2)
	l.platform.generation = 1
	l.run(10 * time.Second)
	quiet := 10 * time.Second
	bytes, messages := l.bytes, l.messages
	l.run(quiet)
	idleBytes, idleMessages := l.bytes-bytes, l.messages-messages
	bytes, messages = l.bytes, l.messages
	writes := l.platform.writes
	const bills = 300
	for i := range bills {
		l.feed("entry-000", node.BillAdded{Bill: longBill(i)})
		l.run(quiet / bills)
	}
	figure("bill messages", float64(l.messages-messages-idleMessages)/bills, "messages/bill")
	figure("bill bytes", float64(l.bytes-bytes-idleBytes)/bills, "bytes/bill")
	figure("bill writes at 30 bills/s", float64(l.platform.writes-writes)/bills, "transactions/bill")
}

// longBill is a bill with names of ordinary length.
func longBill(i int) bill.Bill {
	return bill.Bill{
		Key:          fmt.Sprintf("voluntas/entry-001-mx635aze-%d", i),
		Organisation: "voluntas", Model: "roster", Version: "v1", Tokens: 200, Cost: 4000, UnixMS: 1_800_000_000_000,
	}
}

// liveHeap is the memory that live objects take, in bytes.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
