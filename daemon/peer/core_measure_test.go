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

func printFigure(name string, value float64, unit string) {
	fmt.Printf("%s: %.4g %s\n", name, value, unit)
}

// bytesQuantile returns a quantile over daemons of the bytes that each has sent
// and received.
func (l *network) bytesQuantile(q float64) float64 {
	var all []int
	for _, n := range l.byDaemon {
		all = append(all, n)
	}
	slices.Sort(all)
	return float64(all[int(q*float64(len(all)-1))])
}

// sumsOf returns the sums of a daemon with a number of organisations and
// versions.
func sumsOf(orgs, versions int) aggregation.Sums {
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
// simulated time: messages, bytes (without QUIC) and CPU time per daemon.
func TestCapacityOfCore(t *testing.T) {
	const seconds = 30
	for _, n := range []int{50, 100, 200, 400, 800} {
		l := newNetwork(1)
		own := sumsOf(10, 10)
		l.own = func(string) aggregation.Sums { return own }
		l.startAll(n, 4)
		l.platform.generation = 1
		l.run(15 * time.Second)
		messages, reads := l.messages, l.platform.reads
		clear(l.byDaemon)
		begun := time.Now()
		l.run(seconds * time.Second)
		spent := time.Since(begun)
		name := fmt.Sprintf("core with %d daemons ", n)
		per := float64(n) * seconds
		printFigure(name+"messages sent", float64(l.messages-messages)/per, "messages/s")
		printFigure(name+"bytes median", l.bytesQuantile(0.5)/seconds/1000, "KB/s")
		printFigure(name+"bytes most", l.bytesQuantile(1)/seconds/1000, "KB/s")
		printFigure(name+"cpu, links included", 100*spent.Seconds()/per, "% of a core")
		printFigure(name+"platform reads per data hall", float64(l.platform.reads-reads)/4/seconds, "calls/s")
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
		printFigure(name+"edit in force most", slices.Max(took), "s")
	}
}

// TestCapacityOfLimits measures how many bytes each organisation and version
// adds to the traffic of a daemon.
func TestCapacityOfLimits(t *testing.T) {
	for _, n := range []int{0, 10, 50, 200} {
		l := newNetwork(1)
		own := sumsOf(n, n)
		l.own = func(string) aggregation.Sums { return own }
		l.startAll(100, 4)
		l.platform.generation = 1
		l.run(15 * time.Second)
		clear(l.byDaemon)
		l.run(20 * time.Second)
		name := fmt.Sprintf("%d organisations and %d versions ", n, n)
		printFigure(name+"bytes median", l.bytesQuantile(0.5)/20/1000, "KB/s")
		printFigure(name+"bytes most", l.bytesQuantile(1)/20/1000, "KB/s")
	}
}

// TestCapacityOfBills measures the memory and the messages of pending bills.
func TestCapacityOfBills(t *testing.T) {
	const many = 100_000
	before := liveHeap()
	pending := bill.NewPending()
	for i := range many {
		pending.Add(longBill(i), time.Time{})
	}
	printFigure("pending bill memory", (liveHeap()-before)/many, "bytes")
	before = liveHeap()
	copies := bill.NewCopies()
	for i := range many {
		copies.Hold("origin", []bill.Bill{longBill(i)}, time.Time{})
	}
	printFigure("bill's copy memory", (liveHeap()-before)/many, "bytes")
	runtime.KeepAlive(pending)
	runtime.KeepAlive(copies)
	l := newNetwork(1)
	l.startAll(4, 2)
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
	printFigure("bill messages", float64(l.messages-messages-idleMessages)/bills, "messages/bill")
	printFigure("bill bytes", float64(l.bytes-bytes-idleBytes)/bills, "bytes/bill")
	printFigure("bill writes at 30 bills/s", float64(l.platform.writes-writes)/bills, "transactions/bill")
}

// longBill returns a bill with names of typical length.
func longBill(i int) bill.Bill {
	return bill.Bill{
		Key:          fmt.Sprintf("voluntas/entry-001-mx635aze-%d", i),
		Organisation: "voluntas", Model: "roster", Version: "v1", Tokens: 200, Cost: 4000, UnixMS: 1_800_000_000_000,
	}
}

// liveHeap returns the size of all live objects in bytes.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
