package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/notice"
	"ladderridge.example/daemon/storesync"
)

// observeLimit lets a daemon observe that its only server reports a rate limit; 0 means that the
// limit is lifted.
func observeLimit(t *testing.T, d *storesync.Syncer, rate float64) {
	t.Helper()
	s, now := onlyServer(t, d), time.Now()
	was, is := s.State.Notices.ObserveLimit(notice.Limit{Rate: rate, Lifted: rate == 0}, now.Add(-10*time.Millisecond), now, "")
	if is.Rate != was.Rate {
		s.ApplyLimit(d.View().Sharers, now)
		d.AnnounceLimit(s)
	}
}

// limitCounts counts the daemons by the rate limit that they apply to their only server; 0 is no limit.
func limitCounts(t *testing.T, daemons []*storesync.Syncer) map[float64]int {
	t.Helper()
	out := map[float64]int{}
	for _, d := range daemons {
		if _, ok := onlyServer(t, d).State.Quota(); ok {
			out[onlyServer(t, d).State.Notices.State().Limit.Rate]++
		} else {
			out[0]++
		}
	}
	return out
}

// Most daemons of a large fleet send no requests to a rate-limited server. They learn of its limit,
// and of the end of it, from those that do.
func TestLimitObservedByOneDaemonIsAppliedByAll(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1@h1#100")
		daemons := startTwoHalls(s, 1)
		advance(4 * time.Second)
		for _, step := range []struct {
			daemon int
			rate   float64
		}{{1, 1.6}, {5, 0.16}, {2, 0}, {4, 20}, {0, 0}} {
			observeLimit(t, daemons[step.daemon], step.rate)
			advance(1500 * time.Millisecond)
			if got := limitCounts(t, daemons); got[step.rate] != len(daemons) {
				t.Errorf("daemon %d observed a limit of %v requests/s, daemons by limit: %v", step.daemon, step.rate, got)
			}
		}
	})
}

// The shares of all daemons add up to no more than the limit, including daemons that learned of it
// from others.
func TestSharesOfALimitAddUp(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1@h1#100")
		daemons := startTwoHalls(s, 1)
		advance(4 * time.Second)
		observeLimit(t, daemons[0], 2)
		advance(2 * time.Second)
		more := s.startDaemonIn("h1-more", "h1")
		advance(4 * time.Second)
		sum := 0.0
		for _, d := range append(daemons, more) {
			q, ok := onlyServer(t, d).State.Quota()
			if !ok {
				t.Error("a daemon applies no limit")
			}
			sum += q.Rate
		}
		if sum > 2 || sum < 1.7 {
			t.Errorf("the daemons may send %v requests/s, the limit is 2", sum)
		}
	})
}

// An entry that expires and comes back unchanged keeps the limit that it had. A restarted server
// has none.
func TestLimitOutlivesTheEntryButNotARestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1#100")
		d := s.startDaemon("d")
		advance(2 * time.Second)
		observeLimit(t, d, 1)
		s.store.set(gossip.Servers, "a", "")
		advance(5 * time.Second)
		s.store.set(gossip.Servers, "a", "v1#100")
		advance(time.Second)
		if q, ok := onlyServer(t, d).State.Quota(); !ok || q.Rate == 0 {
			t.Errorf("the limit was dropped with the entry: %+v", q)
		}
		s.store.set(gossip.Servers, "a", "v1#200")
		advance(time.Second)
		if _, ok := onlyServer(t, d).State.Quota(); ok {
			t.Error("the limit still applies after a restart")
		}
	})
}
