package storesync_test

import (
	"testing"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/notice"
)

// What a server announced about itself must outlive its entry. If it were bound to the entry, one
// that another writer corrupted, or that expired, and that came back unchanged would make the
// daemon forget that the server is leaving. No recorded incident shows this. A restarted
// server is not bound by earlier notices.
func TestNoticeOutlivesTheEntryButNotARestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "a", "v1#100")
		d := s.startDaemon("d")
		advance(2 * time.Second)
		before := onlyServer(t, d)
		before.State.Notices.Observe(notice.Notice{Leaving: true}, time.Now())
		s.store.set(gossip.Servers, "a", "")
		advance(5 * time.Second)
		if got := onlyServer(t, d); got != nil {
			t.Fatalf("still listed: %+v", got.Incarnation())
		}
		// An answer that was under way brings another notice.
		before.State.Notices.Observe(notice.Notice{Backoff: time.Minute}, time.Now())
		s.store.set(gossip.Servers, "a", "v1#100")
		advance(time.Second)
		after := onlyServer(t, d)
		if after == nil || after == before || after.Usable() || !after.State.Notices.State().InBackoff(time.Now()) {
			t.Errorf("the notices were dropped with the entry")
		}
		s.store.set(gossip.Servers, "a", "v1#200")
		advance(time.Second)
		if got := onlyServer(t, d); got == nil || !got.Open(time.Now()) {
			t.Error("notices from before a restart still apply")
		}
	})
}
