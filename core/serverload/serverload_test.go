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

// board returns a board of the usual servers.
func board() *serverload.Board {
	b := serverload.NewBoard()
	b.List(7, ids)
	return b
}

// own is this daemon's work, as a board asks for it.
func own(work map[string]float64) func() map[string]float64 {
	return func() map[string]float64 { return work }
}

// near reports whether work is the same but for what packing loses.
func near(got, want map[string]float64) bool {
	return maps.EqualFunc(got, want, func(a, b float64) bool { return math.Abs(a-b) <= 0.06*(1+b) })
}

func TestWorkOfAllHallsIsSummed(t *testing.T) {
	reader, abroad, daemon := board(), board(), board()
	ask := daemon.Ask(map[string]float64{"s1": 10, "s2": 1})
	reader.HearDaemon("d", ask, start)
	abroad.HearDaemon("x", board().Ask(map[string]float64{"s3": 4}), start)
	reader.HearHall("h2", abroad.Hall(map[string]float64{"s1": 2}, start), start)
	others, ok := daemon.OthersOf(reader.All(own(map[string]float64{"s2": 3}), start))
	if want := map[string]float64{"s1": 2, "s2": 3, "s3": 4}; !ok || !near(others, want) {
		t.Errorf("the daemon is told %v, %v", others, ok)
	}
	if others, want := reader.Others(start), map[string]float64{"s1": 12, "s2": 1, "s3": 4}; !near(others, want) {
		t.Errorf("the reader takes %v", others)
	}
	if others, want := abroad.Others(start), map[string]float64{"s3": 4}; !near(others, want) {
		t.Errorf("the other hall's reader takes %v", others)
	}
}

func TestWhatADaemonTellsReplacesWhatItToldAndIsForgotten(t *testing.T) {
	b := board()
	for range 5 {
		b.HearDaemon("d", board().Ask(map[string]float64{"s1": 10}), start)
	}
	if others := b.Others(start.Add(b.Counts())); !near(others, map[string]float64{"s1": 10}) {
		t.Errorf("told five times: %v", others)
	}
	if others := b.Others(start.Add(b.Counts() + 1)); len(others) > 0 {
		t.Errorf("of a daemon that is silent: %v", others)
	}
}

func TestWorkOfAnotherListIsNotTaken(t *testing.T) {
	b, other := board(), serverload.NewBoard()
	other.List(8, ids)
	b.HearDaemon("d", other.Ask(map[string]float64{"s1": 10}), start)
	b.HearHall("h", gossip.Load{Sum: 7, Packed: []byte{255}}, start)
	if others := b.Others(start); len(others) > 0 {
		t.Errorf("taken: %v", others)
	}
	b.Ask(nil)
	if _, ok := b.OthersOf(other.All(own(nil), start)); ok {
		t.Error("an answer about another list is taken")
	}
	answer := board().All(own(nil), start)
	b.List(9, ids)
	if _, ok := b.OthersOf(answer); ok {
		t.Error("an answer to a question about an earlier list is taken")
	}
}

// One daemon that lies makes a server look full, not more.
func TestWorkOfOneDaemonIsBounded(t *testing.T) {
	b := board()
	b.HearDaemon("d", board().Ask(map[string]float64{"s1": 1e9}), start)
	if work := b.Others(start)["s1"]; work > 1000 {
		t.Errorf("believed: %v", work)
	}
}

func TestPackedWorkIsNearlyWhatItWas(t *testing.T) {
	for _, work := range []float64{0, 0.5, 1, 7, 100, 5000} {
		if got := gossip.UnpackLoad(gossip.PackLoad(work)); math.Abs(got-work) > 0.05*(1+work) {
			t.Errorf("%v becomes %v", work, got)
		}
	}
	if gossip.PackLoad(-1) != 0 || gossip.PackLoad(math.Inf(1)) != 255 {
		t.Error("what does not fit is not bounded")
	}
}

// A long list of servers is told less often: the bytes of a daemon stay the same.
func TestBytesAreBoundedWhateverTheNumberOfServers(t *testing.T) {
	for _, servers := range []int{10, 140, 720, 3000} {
		b := serverload.NewBoard()
		b.List(1, make([]string, servers))
		each := float64(len(b.Ask(nil).Packed)) / b.Every().Seconds()
		if each > 400 {
			t.Errorf("%d servers: %.0f bytes a second", servers, each)
		}
	}
}

// Those who ask one after the other are answered by one sum.
func TestSumIsNotMadeForEachQuestion(t *testing.T) {
	b := board()
	sums := 0
	counted := func() map[string]float64 { sums++; return nil }
	for i := range 100 {
		b.All(counted, start.Add(time.Duration(i)*time.Millisecond))
	}
	if sums != 1 {
		t.Errorf("%d sums in a tenth of a second", sums)
	}
}
