package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

const (
	crashing = quarantine.Fingerprint(1)
	harmless = quarantine.Fingerprint(2)
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// count records a crash of each server for a content, two seconds apart.
func count(l *quarantine.Registry, f quarantine.Fingerprint, from time.Time, servers ...uint64) time.Time {
	for _, s := range servers {
		from = from.Add(2 * time.Second)
		l.RecordCrash(quarantine.Crash{Parts: []quarantine.Part{f.Part()}, Server: s, At: from}, from)
	}
	return from
}

func quarantined(l *quarantine.Registry, f quarantine.Fingerprint, now time.Time) bool {
	_, in := l.Confined([]quarantine.Part{f.Part()}, now)
	return in
}

func TestThirdCrashQuarantines(t *testing.T) {
	l := quarantine.NewContentRegistry()
	now := count(l, crashing, start, 1, 2)
	if quarantined(l, crashing, now) || !l.Suspected([]quarantine.Part{crashing.Part()}, now) {
		t.Error("after two crashes: quarantined, or not suspected")
	}
	now = count(l, crashing, now, 3)
	until, in := l.Confined([]quarantine.Part{crashing.Part()}, now)
	if !in || until.Sub(now) != 10*time.Minute || quarantined(l, harmless, now) {
		t.Errorf("after three crashes: quarantined %v until %v", in, until)
	}
}

func TestReportsOfOneCrashCountOnce(t *testing.T) {
	l := quarantine.NewContentRegistry()
	for i := range 5 {
		at := start.Add(time.Duration(i) * 100 * time.Millisecond)
		l.RecordCrash(quarantine.Crash{Parts: []quarantine.Part{crashing.Part()}, Server: 1, At: at}, at)
	}
	if quarantined(l, crashing, start) {
		t.Error("five reports of one crash counted as several")
	}
	// A server that has restarted under its id may crash again.
	now := count(l, crashing, start.Add(2*time.Second), 1, 1)
	if !quarantined(l, crashing, now) {
		t.Error("three crashes of one server not counted")
	}
}

func TestQuarantineExpiresAndFurtherCrashRestartsIt(t *testing.T) {
	l := quarantine.NewContentRegistry()
	now := count(l, crashing, start, 1, 2, 3).Add(10*time.Minute + time.Second)
	if quarantined(l, crashing, now) {
		t.Fatal("quarantine does not expire")
	}
	now = count(l, crashing, now, 4)
	if !quarantined(l, crashing, now) {
		t.Error("a further crash does not restart the quarantine")
	}
	now = now.Add(31 * time.Minute)
	now = count(l, crashing, now, 5, 6)
	if quarantined(l, crashing, now) {
		t.Error("crashes of half an hour ago still count")
	}
}

// A request that many callers send is in flight at whatever server crashes. It must not be
// quarantined for that: servers answer it in between.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	l := quarantine.NewContentRegistry()
	now := start
	for server := uint64(1); server < 40; server += 2 {
		now = count(l, harmless, now, server, server+1)
		if quarantined(l, harmless, now) {
			t.Fatalf("quarantined after %d crashes with answers between them", server+1)
		}
		l.Answered([]quarantine.Part{harmless.Part()}, quarantine.AnyGroup, 0, now)
		if now = now.Add(time.Second); l.Suspected([]quarantine.Part{harmless.Part()}, now) {
			t.Fatal("suspected a second after an answer")
		}
	}
}

// Guards against an answer that exempts a request from being counted when it crashes servers later.
func TestRequestThatWasAnsweredIsQuarantinedWhenItCrashesServersLater(t *testing.T) {
	l := quarantine.NewContentRegistry()
	for range 10 {
		l.Answered([]quarantine.Part{crashing.Part()}, 1, 0, start)
	}
	if now := count(l, crashing, start, 1, 2, 3); !quarantined(l, crashing, now) {
		t.Error("not quarantined after three crashes since its last answer")
	}
}

func TestQuarantineReportedByPeerApplies(t *testing.T) {
	l := quarantine.NewContentRegistry()
	if !l.Confine(crashing.Part(), start.Add(time.Minute), start) || l.Confine(crashing.Part(), start.Add(time.Minute), start) || l.Confine(harmless.Part(), start, start) {
		t.Error("Quarantine does not report what is new")
	}
	if !quarantined(l, crashing, start.Add(59*time.Second)) || quarantined(l, crashing, start.Add(61*time.Second)) {
		t.Error("quarantine does not last until its end")
	}
	l.Confine(crashing.Part(), start.Add(time.Hour), start)
	if until, _ := l.Confined([]quarantine.Part{crashing.Part()}, start); until.Sub(start) > 10*time.Minute {
		t.Errorf("quarantine from a daemon with a wrong clock lasts %v", until.Sub(start))
	}
}

// One request crashes each server that begins to run it and is sent again about every second. Each
// crash interrupts some twenty other requests, which are retried at another server and may be in
// flight at the next crash. Only the request that causes the crashes may be quarantined.
func TestOnlyCrashingRequestIsQuarantined(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := quarantine.NewContentRegistry()
	now, next := start, quarantine.Fingerprint(100)
	var inFlight []quarantine.Fingerprint
	innocent, crashes := 0, 0
	for server := uint64(1); server < 40; server++ {
		now = now.Add(time.Duration(rng.Int64N(int64(time.Second))))
		if quarantined(l, crashing, now) {
			break
		}
		crashes++
		l.RecordCrash(quarantine.Crash{Parts: []quarantine.Part{crashing.Part()}, Server: server, At: now}, now)
		for len(inFlight) < 20 {
			next++
			inFlight = append(inFlight, next)
		}
		var retried []quarantine.Fingerprint
		for _, f := range inFlight {
			l.RecordCrash(quarantine.Crash{Parts: []quarantine.Part{f.Part()}, Server: server, At: now}, now)
			if quarantined(l, f, now) {
				innocent++
			}
			if rng.IntN(12) == 0 {
				retried = append(retried, f)
			} else {
				l.Answered([]quarantine.Part{f.Part()}, quarantine.AnyGroup, 0, now)
			}
		}
		inFlight = retried
	}
	if crashes != 3 || innocent > 0 {
		t.Errorf("%d servers crashed, %d other requests quarantined", crashes, innocent)
	}
}

func TestRegistryIsBounded(t *testing.T) {
	l := quarantine.NewContentRegistry()
	now := count(l, crashing, start, 1, 2, 3)
	for f := quarantine.Fingerprint(10); f < 20_000; f++ {
		l.RecordCrash(quarantine.Crash{Parts: []quarantine.Part{f.Part()}, Server: 9, At: now}, now)
	}
	if !quarantined(l, crashing, now) {
		t.Error("quarantine evicted after many crashes at once")
	}
	if n := l.Len(); n > 4096 {
		t.Errorf("%d contents in the registry", n)
	}
}
