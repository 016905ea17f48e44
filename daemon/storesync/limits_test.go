package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/notice"
	"ladderridge.example/daemon/storesync"
)

// says has a request of a daemon hear what its one server says of its limit; 0 is none.
func says(t *testing.T, k *storesync.Syncer, rate float64) {
	t.Helper()
	s, now := only(t, k), time.Now()
	was, is := s.State.Notices.ObserveLimit(notice.Limit{Rate: rate, Lifted: rate == 0}, now.Add(-10*time.Millisecond), now, "")
	if is.Rate != was.Rate {
		s.ApplyLimit(k.View().Sharers, now)
		k.AnnounceLimit(s)
	}
}

// limits are those that daemons keep for their one server.
func limits(t *testing.T, daemons []*storesync.Syncer) map[float64]int {
	t.Helper()
	out := map[float64]int{}
	for _, k := range daemons {
		if _, ok := only(t, k).State.Quota(); ok {
			out[only(t, k).State.Notices.State().Limit.Rate]++
		} else {
			out[0]++
		}
	}
	return out
}

// Most daemons of a large fleet send a limited server nothing. They hear of its limit, and of
// the end of that, from those that do.
func TestLimitThatOneDaemonHearsIsKeptByAll(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1@h1#100")
		daemons := halls(s, 1)
		pass(4 * time.Second)
		for _, step := range []struct {
			daemon int
			rate   float64
		}{{1, 1.6}, {5, 0.16}, {2, 0}, {4, 20}, {0, 0}} {
			says(t, daemons[step.daemon], step.rate)
			pass(1500 * time.Millisecond)
			if got := limits(t, daemons); got[step.rate] != len(daemons) {
				t.Errorf("daemon %d heard %v a second, the daemons keep %v", step.daemon, step.rate, got)
			}
		}
	})
}

// The shares of all daemons come to no more than the limit, also of those that were told by others.
func TestSharesOfDaemonsThatWereToldAddUp(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1@h1#100")
		daemons := halls(s, 1)
		pass(4 * time.Second)
		says(t, daemons[0], 2)
		pass(2 * time.Second)
		more := s.daemonIn("h1-more", "h1")
		pass(4 * time.Second)
		sum := 0.0
		for _, k := range append(daemons, more) {
			q, ok := only(t, k).State.Quota()
			if !ok {
				t.Error("a daemon keeps no limit")
			}
			sum += q.Rate
		}
		if sum > 2 || sum < 1.7 {
			t.Errorf("the daemons may send %v a second, the server takes 2", sum)
		}
	})
}

// An entry that lapses and comes back as it was has the limit of before; a later start of the
// server has none.
func TestLimitOutlivesTheEntryAndNotTheStart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1#100")
		k := s.daemon("d")
		pass(2 * time.Second)
		says(t, k, 1)
		s.rows.set(gossip.Servers, "a", "")
		pass(5 * time.Second)
		s.rows.set(gossip.Servers, "a", "v1#100")
		pass(time.Second)
		if q, ok := only(t, k).State.Quota(); !ok || q.Rate == 0 {
			t.Errorf("the limit is forgotten with its entry: %+v", q)
		}
		s.rows.set(gossip.Servers, "a", "v1#200")
		pass(time.Second)
		if _, ok := only(t, k).State.Quota(); ok {
			t.Error("a later start is held to the limit of an earlier one")
		}
	})
}
