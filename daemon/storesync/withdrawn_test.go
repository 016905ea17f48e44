package storesync_test

import (
	"strconv"
	"testing"
	"time"

	"ladderridge.example/core/gossip"
)

// A request that was about to be sent to a removed or leaving server did not learn of it: neither from
// a change of a few rows nor, with changes of many, from a rebuilt list.
func TestStateKnowsWhetherItsServerIsWithdrawn(t *testing.T) {
	for name, servers := range map[string]int{"incremental": 40, "rebuilt": 2} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				s := newCluster(t)
				s.writeConfig(1, "k")
				for i := range servers {
					s.store.set(gossip.Servers, "i-"+strconv.Itoa(i), "v1")
				}
				d := s.startDaemon("a")
				advance(3 * time.Second)
				state := d.View().Servers.At("i-0").State
				for _, step := range []struct {
					data      string
					withdrawn bool
				}{{"leaving", true}, {"v1", false}, {"", true}, {"v1", false}} {
					s.store.set(gossip.Servers, "i-0", step.data)
					advance(time.Second)
					if listed := d.View().Servers.At("i-0"); listed != nil {
						state = listed.State
					}
					if got := state.Withdrawn(); got != step.withdrawn {
						t.Errorf("entry %q: withdrawn %v", step.data, got)
					}
				}
			})
		})
	}
}
