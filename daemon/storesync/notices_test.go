package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/notice"
)

// What a server said of itself was bound to its entry: one that another writer spoiled, or
// that lapsed, and that came back as it was, would have made the daemon forget that the
// server leaves. Nothing on record shows it; a later start of the server is free.
func TestNoticeOutlivesTheEntryAndNotTheStart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "a", "v1#100")
		k := s.daemon("d")
		pass(2 * time.Second)
		before := only(t, k)
		before.State.Notices.Observe(notice.Notice{Leaving: true}, time.Now())
		s.rows.set(gossip.Servers, "a", "")
		pass(5 * time.Second)
		if got := only(t, k); got != nil {
			t.Fatalf("still listed: %+v", got.Incarnation())
		}
		// An answer that was under way tells more.
		before.State.Notices.Observe(notice.Notice{Backoff: time.Minute}, time.Now())
		s.rows.set(gossip.Servers, "a", "v1#100")
		pass(time.Second)
		after := only(t, k)
		if after == nil || after == before || after.Usable() || !after.State.Notices.State().InBackoff(time.Now()) {
			t.Errorf("what the server said is forgotten with its entry")
		}
		s.rows.set(gossip.Servers, "a", "v1#200")
		pass(time.Second)
		if got := only(t, k); got == nil || !got.Open(time.Now()) {
			t.Error("a later start is held to what an earlier one said")
		}
	})
}
