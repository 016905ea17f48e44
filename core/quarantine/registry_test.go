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
		l.RecordCrash(quarantine.Crash{Content: f, Server: s, At: from})
	}
	return from
}

func quarantined(l *quarantine.Registry, f quarantine.Fingerprint, now time.Time) bool {
	_, in := l.Quarantined(f, now)
	return in
}

func TestThirdCrashQuarantines(t *testing.T) {
	l := quarantine.NewRegistry()
	now := count(l, crashing, start, 1, 2)
	if quarantined(l, crashing, now) || !l.Suspected(crashing) {
		t.Error("after two crashes: quarantined, or not suspected")
	}
	now = count(l, crashing, now, 3)
	until, in := l.Quarantined(crashing, now)
	if !in || until.Sub(now) != 10*time.Minute || quarantined(l, harmless, now) {
		t.Errorf("after three crashes: quarantined %v until %v", in, until)
	}
}

func TestReportsOfOneCrashCountOnce(t *testing.T) {
	l := quarantine.NewRegistry()
	for i := range 5 {
		l.RecordCrash(quarantine.Crash{Content: crashing, Server: 1, At: start.Add(time.Duration(i) * 100 * time.Millisecond)})
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
	l := quarantine.NewRegistry()
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
// quarantined for that.
func TestAnsweredRequestIsNotSuspected(t *testing.T) {
	l := quarantine.NewRegistry()
	now := count(l, harmless, start, 1, 2)
	l.Answered(harmless, now)
	now = count(l, harmless, now, 3, 4, 5)
	if l.Suspected(harmless) || quarantined(l, harmless, now) {
		t.Error("answered content suspected or quarantined")
	}
}

func TestQuarantineReportedByPeerApplies(t *testing.T) {
	l := quarantine.NewRegistry()
	if !l.Quarantine(crashing, start.Add(time.Minute), start) || l.Quarantine(crashing, start.Add(time.Minute), start) || l.Quarantine(harmless, start, start) {
		t.Error("Quarantine does not report what is new")
	}
	if !quarantined(l, crashing, start.Add(59*time.Second)) || quarantined(l, crashing, start.Add(61*time.Second)) {
		t.Error("quarantine does not last until its end")
	}
	l.Quarantine(crashing, start.Add(time.Hour), start)
	if until, _ := l.Quarantined(crashing, start); until.Sub(start) > 10*time.Minute {
		t.Errorf("quarantine from a daemon with a wrong clock lasts %v", until.Sub(start))
	}
}

// One request crashes each server that begins to run it and is sent again about every second. Each
// crash interrupts some twenty other requests, which are retried at another server and may be in
// flight at the next crash. Only the request that causes the crashes may be quarantined.
func TestOnlyCrashingRequestIsQuarantined(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := quarantine.NewRegistry()
	now, next := start, quarantine.Fingerprint(100)
	var inFlight []quarantine.Fingerprint
	innocent, crashes := 0, 0
	for server := uint64(1); server < 40; server++ {
		now = now.Add(time.Duration(rng.Int64N(int64(time.Second))))
		if quarantined(l, crashing, now) {
			break
		}
		crashes++
		l.RecordCrash(quarantine.Crash{Content: crashing, Server: server, At: now})
		for len(inFlight) < 20 {
			next++
			inFlight = append(inFlight, next)
		}
		var retried []quarantine.Fingerprint
		for _, f := range inFlight {
			l.RecordCrash(quarantine.Crash{Content: f, Server: server, At: now})
			if quarantined(l, f, now) {
				innocent++
			}
			if rng.IntN(12) == 0 {
				retried = append(retried, f)
			} else {
				l.Answered(f, now)
			}
		}
		inFlight = retried
	}
	if crashes != 3 || innocent > 0 {
		t.Errorf("%d servers crashed, %d other requests quarantined", crashes, innocent)
	}
}

func TestRegistryIsBounded(t *testing.T) {
	l := quarantine.NewRegistry()
	now := count(l, crashing, start, 1, 2, 3)
	for f := quarantine.Fingerprint(10); f < 20_000; f++ {
		l.RecordCrash(quarantine.Crash{Content: f, Server: 9, At: now})
	}
	if !quarantined(l, crashing, now) {
		t.Error("quarantine evicted after many crashes at once")
	}
	if n := l.Len(); n > 4096 {
		t.Errorf("%d contents in the registry", n)
	}
}
