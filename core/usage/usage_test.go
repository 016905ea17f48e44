package usage_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"
	"ladderridge.example/core/usage"
)

const (
	length = 5 * time.Second
	late   = 10 * time.Second
)

var (
	epoch = time.UnixMilli(1_700_000_000_000)
	first = usage.At(epoch, length)
)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func own(id string) *usage.Counter {
	return &usage.Counter{Process: usage.Process{ID: id, Start: 1}, Length: length, Retention: 2 * late}
}

func counts(of map[string]uint64) []usage.Count {
	var out []usage.Count
	for _, name := range []string{"org-a", "org-b"} {
		if n := of[name]; n > 0 {
			out = append(out, usage.Count{Organisation: name, Requests: n})
		}
	}
	return out
}

func TestWindowsFollowTheTimeOfDay(t *testing.T) {
	if w := usage.At(at(4.9), length); w != first || !w.End(length).Equal(at(5)) {
		t.Errorf("window %d ends %v", w, w.End(length))
	}
	if w := usage.At(at(5), length); w != first+1 {
		t.Errorf("window %d", w)
	}
}

// Counts arrive at the reporting daemon through several others, late, twice and in any order.
func TestSumIsIndependentOfDeliveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, want := usage.NewAggregate(), map[string]uint64{}
		var sent []usage.Record
		for _, id := range []string{"entry-1", "entry-2", "entry-3"} {
			o := own(id)
			for s := 0.0; s < 5; s += 0.5 {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					name := rapid.SampledFrom([]string{"org-a", "org-b"}).Draw(t, "organisation")
					o.Add(name, at(s))
					want[name]++
				}
				nonce := uint64(s*2) + 1
				sent = append(sent, o.Unacknowledged("reader", nonce, at(s))...)
				if rapid.Bool().Draw(t, "answered") {
					o.Acknowledged(nonce)
				}
			}
			sent = append(sent, o.Unacknowledged("reader", 99, at(6.5))...)
		}
		for _, i := range rapid.Permutation(indices(len(sent))).Draw(t, "order") {
			pool.Merge(sent[i : i+1])
			if rapid.Bool().Draw(t, "twice") {
				pool.Merge(sent[i : i+1])
			}
		}
		if diff := cmp.Diff(counts(want), pool.Sum(first)); diff != "" {
			t.Fatal(diff)
		}
		if !pool.Complete(first) {
			t.Fatal("the counts are incomplete")
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestPartialRecordIsIncomplete(t *testing.T) {
	o, pool := own("entry-1"), usage.NewAggregate()
	o.Add("org-a", at(1))
	o.Unacknowledged("reader", 1, at(1))
	o.Acknowledged(1)
	o.Add("org-b", at(2))
	pool.Merge(o.Unacknowledged("reader", 2, at(6)))
	if pool.Complete(first) {
		t.Error("complete without the counts that were acknowledged before")
	}
	pool.Merge(o.Records(at(6)))
	if !pool.Complete(first) {
		t.Error("incomplete although all counts are there")
	}
}

func TestNewTargetReceivesAllCounts(t *testing.T) {
	o, pool := own("entry-1"), usage.NewAggregate()
	o.Add("org-a", at(1))
	o.Unacknowledged("reader-1", 1, at(1))
	o.Acknowledged(1)
	if records := o.Unacknowledged("reader-1", 2, at(2.5)); len(records) > 0 {
		t.Errorf("acknowledged counts are sent again: %v", records)
	}
	pool.Merge(o.Unacknowledged("reader-2", 3, at(4)))
	if diff := cmp.Diff(counts(map[string]uint64{"org-a": 1}), pool.Sum(first)); diff != "" {
		t.Error(diff)
	}
}

// A daemon without requests sends about 24 bytes per window.
func TestIdleDaemonSendsFewMessages(t *testing.T) {
	o, messages := own("entry-1"), 0
	for s := 0.0; s < 50; s += 0.45 {
		nonce := uint64(s*100) + 1
		if len(o.Unacknowledged("reader", nonce, at(s))) > 0 {
			messages++
		}
		o.Acknowledged(nonce)
	}
	if messages > 2*11 {
		t.Errorf("%d messages in ten windows without requests", messages)
	}
}

func TestWindowIsReportedOnceAllCountsHaveArrived(t *testing.T) {
	a, b, pool := own("entry-1"), own("entry-2"), usage.NewAggregate()
	a.Add("org-a", at(1))
	b.Add("org-a", at(1))
	pool.Merge(a.Records(at(6)))
	pool.Merge(b.Records(at(3)))
	var book usage.ReportLog
	if _, ok := book.Next(pool, at(8), length, late); ok {
		t.Error("reported before entry-2 has sent all its counts")
	}
	pool.Merge(b.Records(at(6)))
	if _, ok := book.Next(pool, at(6), length, late); ok {
		t.Error("reported before other daemons can have sent their counts")
	}
	r, ok := book.Next(pool, at(8), length, late)
	if diff := cmp.Diff(counts(map[string]uint64{"org-a": 2}), r.Counts); !ok || r.Window != first || diff != "" {
		t.Errorf("%v %v %s", ok, r.Window, diff)
	}
}

func TestWaitForAStoppedDaemonIsBounded(t *testing.T) {
	a, pool := own("entry-1"), usage.NewAggregate()
	a.Add("org-a", at(1))
	pool.Merge(a.Records(at(3)))
	var book usage.ReportLog
	if _, ok := book.Next(pool, at(9.9), length, late); ok {
		t.Error("reported before the stopped daemon is given up")
	}
	if r, ok := book.Next(pool, at(10.1), length, late); !ok || len(r.Counts) != 1 {
		t.Errorf("%v %v", ok, r)
	}
}

// Two different reports of one window count as an error of the whole cluster. A holder that stops leaves
// its log, and the next one continues from it.
func TestNextHolderSendsTheSameReports(t *testing.T) {
	report := usage.Report{Window: first, Counts: counts(map[string]uint64{"org-a": 7})}
	state, err := usage.ReportLog{}.With(report).Encode()
	if err != nil {
		t.Fatal(err)
	}
	book, err := usage.DecodeReportLog(state)
	if err != nil {
		t.Fatal(err)
	}
	due, ok := book.Due(at(9), length, late)
	if diff := cmp.Diff(report, due); !ok || diff != "" {
		t.Errorf("%v %s", ok, diff)
	}
	pool := usage.NewAggregate()
	o := own("entry-1")
	o.Add("org-a", at(6))
	pool.Merge(o.Records(at(11)))
	if r, ok := book.Next(pool, at(13), length, late); !ok || r.Window != first+1 {
		t.Errorf("%v: window %d follows %d", ok, r.Window, first)
	}
}

func TestAcceptedAndLateReportsAreNotSent(t *testing.T) {
	book := usage.ReportLog{}.With(usage.Report{Window: first}).With(usage.Report{Window: first + 1})
	if r, ok := book.Due(at(11), length, late); !ok || r.Window != first {
		t.Errorf("%v: the oldest goes first: %d", ok, r.Window)
	}
	if r, ok := book.WithAccepted(first).Due(at(11), length, late); !ok || r.Window != first+1 {
		t.Errorf("%v: %d", ok, r.Window)
	}
	if _, ok := book.Due(at(30), length, late); ok {
		t.Error("due although the platform no longer accepts it")
	}
}

func TestLateWindowsAreSkipped(t *testing.T) {
	book := usage.ReportLog{}.With(usage.Report{Window: first})
	r, ok := book.Next(usage.NewAggregate(), at(100), length, late)
	if earliest := usage.At(at(90), length); !ok || r.Window != earliest {
		t.Errorf("%v: %d instead of %d", ok, r.Window, earliest)
	}
}

func TestMalformedStateIsAnError(t *testing.T) {
	if _, err := usage.DecodeReportLog("{"); err == nil {
		t.Error("no error")
	}
}
