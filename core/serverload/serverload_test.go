package serverload_test

import (
	"maps"
	"math"
	"testing"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/serverload"
)

var (
	start = time.Unix(1000, 0)
	ids   = []string{"s1", "s2", "s3"}
)

// newTracker returns a tracker with the servers ids.
func newTracker() *serverload.Tracker {
	tr := serverload.NewTracker()
	tr.SetServers(7, ids)
	return tr
}

// own returns a function that returns the load, for Tracker.Total.
func own(load map[string]float64) func() map[string]float64 {
	return func() map[string]float64 { return load }
}

// near reports whether two loads are equal within the precision of the packed format.
func near(got, want map[string]float64) bool {
	return maps.EqualFunc(got, want, func(a, b float64) bool { return math.Abs(a-b) <= 0.06*(1+b) })
}

func TestLoadOfAllHallsIsSummed(t *testing.T) {
	reader, otherReader, daemon := newTracker(), newTracker(), newTracker()
	ownReport := daemon.OwnReport(map[string]float64{"s1": 10, "s2": 1})
	reader.SetDaemonLoad("d", ownReport, start)
	otherReader.SetDaemonLoad("x", newTracker().OwnReport(map[string]float64{"s3": 4}), start)
	reader.SetHallLoad("h2", otherReader.HallTotal(map[string]float64{"s1": 2}, start), start)
	others, ok := daemon.OthersFromResponse(reader.Total(own(map[string]float64{"s2": 3}), start))
	if want := map[string]float64{"s1": 2, "s2": 3, "s3": 4}; !ok || !near(others, want) {
		t.Errorf("the daemon receives %v, %v", others, ok)
	}
	if others, want := reader.Others(start), map[string]float64{"s1": 12, "s2": 1, "s3": 4}; !near(others, want) {
		t.Errorf("the reader computes %v", others)
	}
	if others, want := otherReader.Others(start), map[string]float64{"s3": 4}; !near(others, want) {
		t.Errorf("the other hall's reader computes %v", others)
	}
}

func TestReportReplacesPreviousReportAndExpires(t *testing.T) {
	tr := newTracker()
	for range 5 {
		tr.SetDaemonLoad("d", newTracker().OwnReport(map[string]float64{"s1": 10}), start)
	}
	if others := tr.Others(start.Add(tr.ReportLifetime())); !near(others, map[string]float64{"s1": 10}) {
		t.Errorf("after five reports: %v", others)
	}
	if others := tr.Others(start.Add(tr.ReportLifetime() + 1)); len(others) > 0 {
		t.Errorf("after the lifetime of the report: %v", others)
	}
}

func TestLoadOfAnotherServerListIsRejected(t *testing.T) {
	tr, other := newTracker(), serverload.NewTracker()
	other.SetServers(8, ids)
	tr.SetDaemonLoad("d", other.OwnReport(map[string]float64{"s1": 10}), start)
	tr.SetHallLoad("h", gossip.Load{Sum: 7, Packed: []byte{255}}, start)
	if others := tr.Others(start); len(others) > 0 {
		t.Errorf("a report for another list of servers was accepted: %v", others)
	}
	tr.OwnReport(nil)
	if _, ok := tr.OthersFromResponse(other.Total(own(nil), start)); ok {
		t.Error("a response for another list of servers was accepted")
	}
	answer := newTracker().Total(own(nil), start)
	tr.SetServers(9, ids)
	if _, ok := tr.OthersFromResponse(answer); ok {
		t.Error("a response for an earlier list of servers was accepted")
	}
}

// A daemon that reports a false load makes a server look full, but no more than that.
func TestReportedLoadIsBounded(t *testing.T) {
	tr := newTracker()
	tr.SetDaemonLoad("d", newTracker().OwnReport(map[string]float64{"s1": 1e9}), start)
	if work := tr.Others(start)["s1"]; work > 1000 {
		t.Errorf("accepted load: %v", work)
	}
}

func TestPackedLoadIsUnpackedWithinPrecision(t *testing.T) {
	for _, work := range []float64{0, 0.5, 1, 7, 100, 5000} {
		if got := gossip.UnpackLoad(gossip.PackLoad(work)); math.Abs(got-work) > 0.05*(1+work) {
			t.Errorf("load %v was unpacked as %v", work, got)
		}
	}
	if gossip.PackLoad(-1) != 0 || gossip.PackLoad(math.Inf(1)) != 255 {
		t.Error("a load out of range is not clamped")
	}
}

// With more servers a daemon reports less often, so that the bytes per second stay
// bounded.
func TestBytesPerSecondAreBoundedForAnyNumberOfServers(t *testing.T) {
	for _, servers := range []int{10, 140, 720, 3000} {
		tr := serverload.NewTracker()
		tr.SetServers(1, make([]string, servers))
		each := float64(len(tr.OwnReport(nil).Packed)) / tr.ReportInterval().Seconds()
		if each > 400 {
			t.Errorf("%d servers: %.0f bytes a second", servers, each)
		}
	}
}

// Requests in quick succession are answered with one computed sum.
func TestSumIsNotComputedForEachRequest(t *testing.T) {
	tr := newTracker()
	sums := 0
	counted := func() map[string]float64 { sums++; return nil }
	for i := range 100 {
		tr.Total(counted, start.Add(time.Duration(i)*time.Millisecond))
	}
	if sums != 1 {
		t.Errorf("%d sums were computed within 100 ms", sums)
	}
}
