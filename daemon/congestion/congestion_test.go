package congestion_test

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"ladderridge.example/core/admission"
	"ladderridge.example/core/price"
	"ladderridge.example/daemon/congestion"
	"ladderridge.example/daemon/storesync"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	interval = 450 * time.Millisecond
	run      = price.Run{Output: 100, Rank: 1}

	_ storesync.Figures = (*congestion.Tracker)(nil)
)

func newTracker(out *bytes.Buffer) *congestion.Tracker {
	t := congestion.New()
	t.Log = log.Logger{Writer: &log.IOWriter{Writer: out}}
	return t
}

// exchange exchanges the figures of two halls, whose first daemons are the readers. It returns
// the bytes that the last daemon has sent and received.
func exchange(halls [2][]*congestion.Tracker, now time.Time) (sent, received int) {
	for _, hall := range halls {
		for i, d := range hall {
			data := d.Report(now)
			hall[0].SetDaemon(strconv.Itoa(i), data, now)
			sent = len(data)
		}
	}
	for i, hall := range halls {
		halls[1-i][0].SetHall(strconv.Itoa(i), hall[0].HallReport(now), now)
	}
	for _, hall := range halls {
		for _, d := range hall {
			data := hall[0].Total(now)
			d.SetTotal(data, now)
			received = len(data)
		}
	}
	return sent, received
}

// newHalls returns two halls of n daemons.
func newHalls(n int) (halls [2][]*congestion.Tracker) {
	for i := range 2 * n {
		halls[i%2] = append(halls[i%2], newTracker(&bytes.Buffer{}))
	}
	return halls
}

// Guards against figures that exceed their traffic with ten congested services and forty
// organisations, that do not reach a daemon without answers in another hall, and that stay in use
// there once they have expired.
func TestFiguresReachAllDaemonsWithinTheirTraffic(t *testing.T) {
	halls, now, sent, received := newHalls(3), start, 0, 0
	idle, seconds := halls[0][1], (100 * interval).Seconds()
	for i := range 100 {
		now = now.Add(interval)
		for service := range 10 {
			for _, d := range halls[1] {
				d.ObserveWait(fmt.Sprint("s", service), 0.9, now)
				d.ObserveUse(fmt.Sprint("s", service), strconv.Itoa(i%40), 1e3, now)
			}
		}
		s, r := exchange(halls, now)
		sent, received = sent+s, received+r
	}
	t.Logf("%.0f bytes/s sent, %.0f received", float64(sent)/seconds, float64(received)/seconds)
	if float64(max(sent, received)) > 200*seconds {
		t.Errorf("%d bytes sent and %d received in %.0f s", sent, received, seconds)
	}
	later := now.Add(price.TotalLifetime)
	if level, old := idle.Level("s3", now), idle.Level("s3", later); math.Abs(level-0.9) > 0.05 || old != 0 {
		t.Errorf("level at a daemon without answers is %.2f, without figures %.2f", level, old)
	}
	if data := halls[0][0].Total(later); data != nil {
		t.Errorf("total of expired reports has %d bytes", len(data))
	}
}

// Guards against messages that are not valid and change a level or stop the daemon.
func TestBadMessagesAreDroppedAndCounted(t *testing.T) {
	d, nan := newTracker(&bytes.Buffer{}), math.NaN()
	d.ObserveWait("s", nan, start)
	d.ObserveUse("s", "o", nan, start)
	d.Admit("s", admission.Request{Cost: nan, Possible: nan}, nan, start)
	for i, m := range [][]any{
		{},
		{1, 2},
		{[]float64{nan}, nil},
		{[]float64{-1}, nil},
		{make([]byte, 5), nil},
		{make([]byte, 6*11), nil},
		{[]byte{1, 2, 3, 4, 255, 63}, nil},
		{[]byte{1, 2, 3, 4, 16, 255}, nil},
		{nil, make([]byte, 3)},
		{nil, make([]byte, 8)},
		{nil, make([]byte, 6+33*5)},
	} {
		data, _ := cbor.Marshal(m)
		d.SetDaemon("d", data, start)
		d.SetDaemon("e", data[:len(data)-1], start)
		d.SetDaemon("f", append(data, 0xff), start)
		if n := d.Dropped(); n != uint64(3*i+3) {
			t.Errorf("%v was not dropped: %d dropped", m, n)
		}
	}
	if p := d.Price("s", run, start); p != 0 || d.Total(start) != nil {
		t.Errorf("price after bad messages is %v, the total %x", p, d.Total(start))
	}
}

// play sends the load of 23 organisations for 40 s, and as much again of another one, the last,
// if it is present. It returns how many requests of each were sent.
func play(present bool) (sent [24]float64) {
	arrivals, rng, halls, queued := rand.New(rand.NewPCG(1, 2)), rand.New(rand.NewPCG(3, 4)), newHalls(5), 0.0
	for at := time.Duration(0); at < 40*time.Second; at += 2 * time.Millisecond {
		now, organisation := start.Add(at), arrivals.IntN(46)
		if at%interval == 0 {
			exchange(halls, now)
		}
		queued = max(0, queued-0.002)
		d, name := halls[rng.IntN(2)][rng.IntN(5)], strconv.Itoa(min(23, organisation))
		r := admission.Request{Organisation: name, Rank: 1, Cost: run.Cost(), InTime: 1, Possible: 1}
		d.Price("s", run, now)
		if organisation >= 23 && !present || d.Admit("s", r, rng.Float64(), now) != (admission.Send{}) {
			continue
		}
		sent[min(23, organisation)]++
		d.ObserveWait("s", (0.05+queued)*math.Exp(0.7*rng.NormFloat64()), now)
		d.ObserveUse("s", name, 100, now)
		queued += 0.0024
	}
	return sent
}

// Guards against an organisation with half of the load that takes what others would have without
// it, and that is itself refused more than half of its 10,000 requests.
func TestOrganisationWithHalfOfTheLoadTakesNothingFromOthers(t *testing.T) {
	alone, with := play(false), play(true)
	t.Logf("sent without the other one %.0f, with it %.0f", alone, with)
	for i, n := range with[:23] {
		if n < 0.9*alone[i] || with[23] < 5000 || with[23] > 9000 {
			t.Errorf("organisation %d sent %.0f without the other one, %.0f with it, which sent %.0f", i, alone[i], n, with[23])
		}
	}
}

// Guards against log lines for each request, a state dump without what was refused, and data races
// between requests.
func TestCongestionIsLoggedOnceAndDumped(t *testing.T) {
	var out bytes.Buffer
	var wg sync.WaitGroup
	var refused atomic.Uint64
	d := newTracker(&out)
	for range 4 {
		wg.Go(func() {
			for i := range 100 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				d.ObserveWait("s", 3, now)
				d.Price("s", run, now)
				if r, ok := d.Admit("s", admission.Request{Rank: 2, Possible: 1, InTime: 1}, 0.1, now).(admission.Refuse); ok && r.Reason == admission.Congested {
					refused.Add(1)
				}
				d.SetTotal(d.Report(now), now)
			}
		})
	}
	wg.Wait()
	states, n := d.Snapshot(start.Add(time.Second)), refused.Load()
	if len(states) != 1 || !states[0].Congested || states[0].Price < 6 || n == 0 || states[0].Refused["congested"] != n {
		t.Errorf("state is %+v with %d refused", states, n)
	}
	d.Level("s", start.Add(time.Minute))
	if got := out.String(); strings.Count(got, "\n") != 2 || !strings.Contains(got, "is congested") || !strings.Contains(got, "calm again") {
		t.Errorf("log lines are %s", got)
	}
}

func BenchmarkRequest(b *testing.B) {
	d := newTracker(&bytes.Buffer{})
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * time.Millisecond)
		d.ObserveWait("s", 1, now)
		d.ObserveUse("s", "o", 700, now)
		d.Admit("s", admission.Request{Organisation: "o", Rank: 1, Cost: run.Cost(), InTime: 1, Possible: 1}, 0.9, now)
		d.Price("s", run, now)
	}
}
