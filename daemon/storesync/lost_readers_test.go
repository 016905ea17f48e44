package storesync_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"ladderridge.example/core/gossip"
)

// When several readers of a hall are lost together, the others once used removed servers for up to 8 s: each
// daemon that precedes them was taken for their reader in turn, however long ago it had last answered.
func TestReadersLostTogetherLeaveNoRemovedServer(t *testing.T) {
	for _, size := range []int{6, 20, 60} {
		for _, loss := range []string{"two silent", "most silent"} {
			t.Run(fmt.Sprintf("%d/%s", size, loss), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(t *testing.T) { checkRemovedServer(t, size, loss) })
			})
		}
	}
}

func checkRemovedServer(t *testing.T, size int, loss string) {
	t.Helper()
	const step, within, during = 50 * time.Millisecond, 3 * time.Second, 10 * time.Second
	s := newCluster(t)
	s.inForceWithin = 3 * time.Second
	s.writeConfig(1, "k")
	s.store.set(gossip.Servers, "a", "v1")
	all := s.startHall(size)
	lost := slices.SortedFunc(maps.Keys(all), compareReadOrder)[:lostOf(loss, size)]
	advance(8 * time.Second)
	for _, id := range lost {
		s.lose(id, all[id], loss)
		delete(all, id)
	}
	s.store.set(gossip.Servers, "a", "")
	var dropped time.Duration
	for passed := time.Duration(0); passed < during; passed += step {
		advance(step)
		for _, d := range all {
			if len(serverIDs(d)) > 0 {
				dropped = passed + step
			}
		}
	}
	if dropped > within {
		t.Errorf("a removed server is listed for %v", dropped)
	}
}
