package storesync_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/daemon/storesync"
)

var (
	agreementSeeds   = flag.Uint64("agreement.seeds", 40, "number of drawn restores")
	agreementFirst   = flag.Uint64("agreement.first", 0, "first seed of the drawn restores")
	agreementDaemons = flag.Int("agreement.daemons", 3, "daemons of a hall in drawn restores")
)

const (
	// applyTimeout is how long the platform allows until a change in the store is in force.
	applyTimeout = 2 * time.Second
	// holdTimeout is how long daemons hold rows that the store has lost.
	holdTimeout = 5 * time.Second
)

// Guards against daemons that differ from the store after a restore: whatever the outage, the time
// until rows are written again and their contents, and whichever daemon ends or starts meanwhile, the
// lost rows hold, and two seconds after they are written again all daemons agree with the store.
func TestDaemonsAgreeWithTheStoreAfterRestores(t *testing.T) {
	for seed := *agreementFirst; seed < *agreementFirst+*agreementSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runDrawnRestore(t, rand.New(rand.NewPCG(seed, 11))) })
		})
	}
}

// drawnRestore is a restore with drawn lengths, and what else happens meanwhile.
type drawnRestore struct {
	*lostChanges

	random *rand.Rand
	stops  map[*storesync.Syncer]func()
	// rewrittenAt is when the rows were last written again.
	rewrittenAt time.Time
	// otherContent is set if the rows are written again with other contents than before.
	otherContent bool
}

func runDrawnRestore(t *testing.T, random *rand.Rand) {
	t.Helper()
	r := &drawnRestore{lostChanges: newLostChanges(t, *agreementDaemons), random: random, stops: map[*storesync.Syncer]func(){}, otherContent: random.IntN(3) == 0}
	for i, stop := range r.cancels {
		r.stops[r.daemons[i]] = stop
	}
	t.Logf("written again with other contents: %v", r.otherContent)
	for range 1 + random.IntN(2) {
		outage, pause := r.draw(10*time.Second), r.draw(10*time.Second)
		t.Logf("outage %v, written again after %v", outage, pause)
		r.restoreAfterOutage(r.copied, outage)
		r.restoredAt = time.Now()
		for d, at := range r.startedAt {
			if r.restoredAt.Add(-outage).Sub(at) < startupTime {
				// The outage began before the daemon was ready, and its entry may be lost.
				r.startedAt[d] = r.restoredAt
			}
		}
		r.live(pause, r.random.IntN(2))
		r.writeAgain()
		length := r.draw(applyTimeout + holdTimeout)
		if pause > holdTimeout-applyTimeout {
			// The rows may have expired. The next outage begins once they are known again.
			length += applyTimeout
		}
		r.live(length, r.random.IntN(2))
	}
	r.live(15*time.Second, 0)
}

// draw draws a time of up to most, half of them below a tenth of it.
func (r *drawnRestore) draw(most time.Duration) time.Duration {
	if r.random.IntN(2) == 0 {
		most /= 10
	}
	return time.Duration(r.random.Int64N(int64(most)))
}

func (r *drawnRestore) writeAgain() {
	if r.otherContent {
		r.born += 100
	}
	r.write()
	r.rewrittenAt = time.Now()
}

// live lets time pass, with some changes of the daemons, and checks them every 100 ms.
func (r *drawnRestore) live(length time.Duration, changes int) {
	r.t.Helper()
	changeAt := r.draw(length + 1)
	for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
		if changes > 0 && at >= changeAt {
			changes--
			r.changeDaemons()
		}
		advance(min(100*time.Millisecond, length-at))
		r.checkDue()
	}
}

// changeDaemons ends a daemon that reads the store or any, or starts one.
func (r *drawnRestore) changeDaemons() {
	r.t.Helper()
	kind := r.random.IntN(4)
	if kind == 0 {
		id := fmt.Sprint("h1-late-", len(r.daemons))
		r.t.Logf("daemon %d starts %v after the restore", len(r.daemons), time.Since(r.restoredAt))
		d := r.startDaemonIn(id, "h1")
		r.daemons = append(r.daemons, d)
		r.stops[d], r.startedAt[d] = r.cancels[len(r.cancels)-1], time.Now()
		return
	}
	for i, d := range r.daemons {
		if !r.stopped[d] && (kind == 1 || d.ReadsStore()) {
			r.t.Logf("daemon %d ends %v after the restore, it reads the store: %v", i, time.Since(r.restoredAt), d.ReadsStore())
			r.stops[d]()
			r.stopped[d] = true
			return
		}
	}
}

// checkDue checks what must hold now: lost rows hold until they may expire, and all daemons agree with
// the store two seconds after the rows were written again.
func (r *drawnRestore) checkDue() {
	r.t.Helper()
	switch {
	case r.rewrittenAt.After(r.restoredAt) && time.Since(r.rewrittenAt) < applyTimeout && r.rewrittenAt.Sub(r.restoredAt) > holdTimeout-applyTimeout:
		// The rows may have expired before they were written again.
	case !r.rewrittenAt.After(r.restoredAt) && time.Since(r.restoredAt) > holdTimeout-100*time.Millisecond:
		// They may have expired.
	default:
		r.check(fmt.Sprint(time.Since(r.restoredAt), " after the restore"))
	}
}
