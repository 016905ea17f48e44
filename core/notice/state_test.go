package notice_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"ladderridge.example/core/notice"
)

var now = time.Unix(1000, 0)

func TestShorterBackoffDoesNotEndALongerOne(t *testing.T) {
	k := notice.State{}.With(notice.Notice{Backoff: 3 * time.Second}, now)
	k = k.With(notice.Notice{Backoff: time.Second}, now.Add(time.Second))
	for after, open := range map[time.Duration]bool{0: false, 2999 * time.Millisecond: false, 3 * time.Second: true} {
		if k.Open(now.Add(after)) != open {
			t.Errorf("after %v: open is %v", after, !open)
		}
	}
}

func TestLeavingIsRevokedOnlyByALaterReport(t *testing.T) {
	k := notice.State{}.With(notice.Notice{Leaving: true}, now).With(notice.Notice{}, now.Add(time.Second))
	if k.Open(now.Add(time.Hour)) || k.WithStaying(now.Add(-time.Second)).Open(now) || k.WithStaying(now).Open(now) {
		t.Error("a server that leaves is open")
	}
	if !k.WithStaying(now.Add(time.Millisecond)).Open(now) {
		t.Error("a server that stays after all is not open")
	}
}

// Answers may arrive out of order: the state must not depend on the order in which the notices
// are applied.
func TestOrderOfNoticesDoesNotMatter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		type received struct {
			n  notice.Notice
			at time.Time
		}
		var all []received
		for range 4 {
			all = append(all, received{notice.Notice{Leaving: rng.IntN(3) == 0, Backoff: time.Duration(rng.IntN(3)) * time.Second}, now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)})
		}
		keep := func() (k notice.State) {
			for _, s := range all {
				k = k.With(s.n, s.at)
			}
			return k
		}
		want := keep()
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		if got := keep(); got.BackoffUntil != want.BackoffUntil || got.Leaving() != want.Leaving() {
			t.Fatalf("%+v, in another order %+v", want, got)
		}
	}
}

func TestNoticeIsNewsOnceUnderConcurrency(t *testing.T) {
	var h notice.Tracker
	var wg sync.WaitGroup
	news := make(chan bool, 64)
	for range cap(news) {
		wg.Go(func() { news <- h.Observe(notice.Notice{Leaving: true}, now) })
	}
	wg.Wait()
	close(news)
	n := 0
	for is := range news {
		if is {
			n++
		}
	}
	if n != 1 || !h.State().Leaving() {
		t.Errorf("news %d times", n)
	}
	if h.Observe(notice.Notice{}, now) {
		t.Error("an empty notice is news")
	}
	if h.ObserveStaying(now.Add(time.Second)); !h.State().Open(now) {
		t.Error("not open after all")
	}
	if !h.Observe(notice.Notice{Backoff: time.Second}, now) || h.Observe(notice.Notice{Backoff: time.Second}, now.Add(500*time.Millisecond)) || !h.Observe(notice.Notice{Backoff: time.Second}, now.Add(2*time.Second)) {
		t.Error("a back-off must be news only when it begins")
	}
}
