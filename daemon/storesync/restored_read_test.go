package storesync_test

import (
	"fmt"
	"testing"
	"time"
)

// A store that had been away and came back restored was read a second pause after its first answer, which
// was no rows but the news of the restore. Requests were refused in that time.
func TestRestoredStoreIsReadWithoutASecondPause(t *testing.T) {
	// The longest pause between two calls while the store is away, and the time for the read after the answer.
	const bound = time.Second + 250*time.Millisecond
	for n := range 40 {
		inBubble(t, func(t *testing.T) {
			s := newCluster(t)
			s.writeConfig(1, "k")
			id := fmt.Sprintf("d%d", n)
			d := s.startDaemon(id)
			advance(4 * time.Second)
			backup := s.store.copyState()
			s.writeConfig(2, "k")
			advance(time.Second)
			s.links[id].fail(errDown)
			advance(3 * time.Second)
			s.store.restore(backup)
			s.links[id].fail(nil)
			back := time.Now()
			for d.View().ConfigAge(time.Now()) > time.Since(back) && time.Since(back) < 5*time.Second {
				advance(10 * time.Millisecond)
			}
			if took := time.Since(back); took > bound {
				t.Errorf("%s: confirmed %v after the return of the store", id, took)
			}
		})
	}
}
