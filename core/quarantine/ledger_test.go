package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/quarantine"
)

const (
	deadly  = quarantine.Fingerprint(1)
	another = quarantine.Fingerprint(2)
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// count counts a crash of each server against a content, two seconds apart.
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

func TestThirdServerThatEndsBringsQuarantine(t *testing.T) {
	l := quarantine.NewRegistry()
	now := count(l, deadly, start, 1, 2)
	if quarantined(l, deadly, now) || !l.Suspected(deadly) {
		t.Error("two servers are not enough, and enough for a suspicion")
	}
	now = count(l, deadly, now, 3)
	until, in := l.Quarantined(deadly, now)
	if !in || until.Sub(now) != 10*time.Minute || quarantined(l, another, now) {
		t.Errorf("in quarantine: %v until %v", in, until)
	}
}

func TestOneServersEndSeenByManyCountsOnce(t *testing.T) {
	l := quarantine.NewRegistry()
	for i := range 5 {
		l.RecordCrash(quarantine.Crash{Content: deadly, Server: 1, At: start.Add(time.Duration(i) * 100 * time.Millisecond)})
	}
	if quarantined(l, deadly, start) {
		t.Error("five reports of one end count as several")
	}
	// A server that starts again under its id may end again.
	now := count(l, deadly, start.Add(2*time.Second), 1, 1)
	if !quarantined(l, deadly, now) {
		t.Error("three ends of one server do not count")
	}
}

func TestQuarantineEndsAndOneMoreCrashBeginsItAnew(t *testing.T) {
	l := quarantine.NewRegistry()
	now := count(l, deadly, start, 1, 2, 3).Add(10*time.Minute + time.Second)
	if quarantined(l, deadly, now) {
		t.Fatal("it does not end")
	}
	now = count(l, deadly, now, 4)
	if !quarantined(l, deadly, now) {
		t.Error("a further crash does not begin it anew")
	}
	now = now.Add(31 * time.Minute)
	now = count(l, deadly, now, 5, 6)
	if quarantined(l, deadly, now) {
		t.Error("what was half an hour ago still counts")
	}
}

// Many callers ask for the same, which is under way at whatever server ends.
func TestWhatServersAnswerWholeIsNotToBlame(t *testing.T) {
	l := quarantine.NewRegistry()
	now := count(l, another, start, 1, 2)
	l.Answered(another, now)
	now = count(l, another, now, 3, 4, 5)
	if l.Suspected(another) || quarantined(l, another, now) {
		t.Error("a content that is answered is held to end servers")
	}
}

func TestQuarantineOfOthersHolds(t *testing.T) {
	l := quarantine.NewRegistry()
	if !l.Quarantine(deadly, start.Add(time.Minute), start) || l.Quarantine(deadly, start.Add(time.Minute), start) || l.Quarantine(another, start, start) {
		t.Error("what is new is not told apart")
	}
	if !quarantined(l, deadly, start.Add(59*time.Second)) || quarantined(l, deadly, start.Add(61*time.Second)) {
		t.Error("it does not hold for its time")
	}
	l.Quarantine(deadly, start.Add(time.Hour), start)
	if until, _ := l.Quarantined(deadly, start); until.Sub(start) > 10*time.Minute {
		t.Errorf("a daemon whose clock is wrong has it last %v", until.Sub(start))
	}
}

// The load that this answers: one request ends each server that begins to run it and comes
// again every second or so; a server that ends takes some twenty other requests with it,
// each of which goes to another server and may meet the same end there.
func TestOnlyTheRequestThatEndsServersIsConfined(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	l := quarantine.NewRegistry()
	now, next := start, quarantine.Fingerprint(100)
	var waiting []quarantine.Fingerprint
	innocent, ended := 0, 0
	for server := uint64(1); server < 40; server++ {
		now = now.Add(time.Duration(rng.Int64N(int64(time.Second))))
		if quarantined(l, deadly, now) {
			break
		}
		ended++
		l.RecordCrash(quarantine.Crash{Content: deadly, Server: server, At: now})
		for len(waiting) < 20 {
			next++
			waiting = append(waiting, next)
		}
		var again []quarantine.Fingerprint
		for _, f := range waiting {
			l.RecordCrash(quarantine.Crash{Content: f, Server: server, At: now})
			if quarantined(l, f, now) {
				innocent++
			}
			if rng.IntN(12) == 0 {
				again = append(again, f)
			} else {
				l.Answered(f, now)
			}
		}
		waiting = again
	}
	if ended != 3 || innocent > 0 {
		t.Errorf("%d servers ended, %d others in quarantine", ended, innocent)
	}
}

func TestLedgerIsBounded(t *testing.T) {
	l := quarantine.NewRegistry()
	now := count(l, deadly, start, 1, 2, 3)
	for f := quarantine.Fingerprint(10); f < 20_000; f++ {
		l.RecordCrash(quarantine.Crash{Content: f, Server: 9, At: now})
	}
	if !quarantined(l, deadly, now) {
		t.Error("many servers that end at once let a quarantine be forgotten")
	}
	if n := l.Len(); n > 4096 {
		t.Errorf("%d contents are held", n)
	}
}
