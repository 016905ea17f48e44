package pace_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"
	"ladderridge.example/core/pace"
)

var now = time.Unix(1000, 0)

// newTracker returns a tracker for servers of two services of equal size.
func newTracker(n int) *pace.Tracker {
	t := pace.NewTracker()
	t.SetServers(servers(n))
	return t
}

func servers(n int) (out []pace.Server) {
	for i := range n {
		out = append(out, pace.Server{Name: fmt.Sprint("s", i), Service: fmt.Sprint("service", i%2)})
	}
	return out
}

func observe(t *pace.Tracker, n int, ratios ...float64) {
	for i, ratio := range ratios {
		for range n {
			t.Observe(pace.Observation{Server: i, Ratio: ratio}, now.Add(-time.Second))
		}
	}
}

// Guards against figures that lose a hall, or depend on the speed of the whole service.
func TestPaceIsRelativeToServiceOverAllHalls(t *testing.T) {
	a, b, c, other := newTracker(6), newTracker(6), newTracker(6), newTracker(6)
	observe(b, 20, 0.5, 1, 0.5, 1, 0.5, 3)
	observe(c, 20, 0.5, 2, 0.5, 2, 0.5, 6)
	a.SetDaemon("b", b.Report(now), now)
	other.SetDaemon("c", c.Report(now), now)
	a.SetHall("h2", other.HallReport(now), now)
	b.SetTotal(a.Total(now), now)
	for i, want := range []float64{1, 0.7, 1, 0.7, 1, 2.08} {
		if p := b.Pace(i, now); math.Abs(math.Log(p/want)) > 0.12 {
			t.Errorf("server %d: pace %.2f, want %.2f", i, p, want)
		}
	}
}

// Guards against a single long answer that makes a server look slow, and against a figure
// of the server itself that is not used while it is fresh, or later.
func TestLongAnswerCountsLittleAndReportedFigureWhileFresh(t *testing.T) {
	a, ratios := newTracker(20), slices.Repeat([]float64{1}, 20)
	ratios[4], ratios[5] = 0, math.Inf(1)
	observe(a, 30, ratios...)
	a.Observe(pace.Observation{Server: 0, Ratio: 1000}, now)
	a.Observe(pace.Observation{Server: 4, Ratio: 1000}, now)
	a.ObserveReported(pace.Observation{Server: 1, Ratio: 2.5}, now)
	a.Observe(pace.Observation{Server: 1, Ratio: 0.2}, now)
	update := func(at time.Time) {
		a.SetDaemon("a", a.Report(at), at)
		a.SetTotal(a.Total(at), at)
	}
	update(now)
	if known, unknown, moment := a.Pace(0, now), a.Pace(4, now), a.Pace(1, now); known > 1.5 || unknown > 2 || moment < 1.3 {
		t.Errorf("paces: known server %.2f, new server %.2f, server in a slow moment %.2f", known, unknown, moment)
	}
	if update(now.Add(2 * time.Second)); a.Pace(1, now.Add(2*time.Second)) > 1.1 {
		t.Error("a figure of the server counts after two seconds")
	}
}

// Guards against figures of an earlier start of a server, of a server at another index,
// and of daemons and readers that have gone.
func TestFiguresOfOtherListsAndOldFiguresAreDropped(t *testing.T) {
	a := newTracker(6)
	observe(a, 30, 4, 4, 1, 1, 1, 1)
	report := a.Report(now)
	a.SetDaemon("a", report, now)
	old := a.Total(now)
	a.SetDaemon("b", report[:len(report)-1], now)
	a.SetHall("h", report, now)
	if a.SetTotal(report, now) || a.Malformed() != 3 {
		t.Errorf("%d malformed messages, want 3", a.Malformed())
	}
	a.SetTotal(old, now)
	if later := now.Add(1600 * time.Millisecond); a.HasTotal(later) || a.Total(later) != nil || a.HallReport(later) != nil {
		t.Error("figures are used after 1.6 s")
	}
	list := append(servers(6), pace.Server{Name: "new", Service: "service0"})
	list[0].Name += "@1"
	a.SetServers(list)
	if a.SetTotal(old, now) || a.Malformed() > 3 {
		t.Error("a total for another list of servers was accepted")
	}
	if restarted, added, slow := a.Pace(0, now), a.Pace(6, now), a.Pace(1, now); restarted != 1 || added != 1 || slow < 1.5 {
		t.Errorf("paces: restarted %.2f, new %.2f, slow %.2f", restarted, added, slow)
	}
}

// Guards against malformed messages that end the daemon or set a pace out of bounds, and
// against traffic above the limit.
func TestAnyMessageIsHandledAndReportsAreSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 140).Draw(t, "servers")
		a := newTracker(n)
		observe(a, 1, rapid.SliceOfN(rapid.Float64(), n, n).Draw(t, "ratios")...)
		a.ObserveReported(pace.Observation{Server: n - 1, Ratio: rapid.Float64().Draw(t, "reported")}, now)
		valid := a.Report(now)
		if len(valid) > 324 || a.Report(now.Add(time.Duration(len(valid)-1)*time.Second/300)) != nil {
			t.Fatalf("a report of %d bytes is followed by another one too early", len(valid))
		}
		data := append(valid[:min(8, len(valid))], rapid.SliceOfN(rapid.Byte(), 0, 400).Draw(t, "data")...)
		a.SetDaemon("b", data, now)
		a.SetHall("h", data, now)
		a.SetTotal(a.Total(now), now)
		a.SetTotal(data, now)
		for i := range n {
			if p := a.Pace(i, now); !(p >= 0.25 && p <= 4) {
				t.Fatalf("pace %v", p)
			}
		}
	})
}

// Guards against a figure of a bad message that makes a server eight times slower: the mean 0 is
// never sent.
func TestMeanThatIsNeverSentCountsAsUsual(t *testing.T) {
	a := newTracker(4)
	observe(a, 30, 1, 1, 1, 1)
	report := a.Report(now)
	report[9] &= 7 // the first server's figure, after the checksum and a byte of bits
	a.SetDaemon("a", report, now)
	a.SetTotal(a.Total(now), now)
	if p := a.Pace(0, now); p < 0.9 || p > 1.1 {
		t.Errorf("pace %.2f, want 1", p)
	}
}
