package storesync_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// A hall that has lost the store goes on with its configuration. One whose exchanges are slow must not:
// changes may be in force elsewhere. A slow path was taken for a lost one after a past outage, and where other
// daemons answer within one round trip while a call to the store takes two.
func TestOldConfigurationIsUsedOnlyWithoutAPathToTheStore(t *testing.T) {
	for _, size := range []int{1, 2, 6, 20} {
		for _, fault := range []string{"refused", "silent", "slow", "slow after an outage", "slow by two round trips"} {
			t.Run(fmt.Sprintf("%d/%s", size, fault), func(t *testing.T) {
				t.Parallel()
				inBubble(t, func(t *testing.T) { checkOldConfiguration(t, size, fault) })
			})
		}
	}
}

func checkOldConfiguration(t *testing.T, size int, fault string) {
	t.Helper()
	const step, during, inForce = 50 * time.Millisecond, 15 * time.Second, 2 * time.Second
	s := newCluster(t)
	s.inForceWithin = inForce
	s.writeConfig(1, "k")
	all := s.startHall(size)
	advance(10 * time.Second)
	if fault == "slow after an outage" {
		for _, down := range []error{errDown, nil} {
			for id := range all {
				s.links[id].fail(down)
			}
			advance(10 * time.Second)
		}
	}
	for id := range all {
		switch fault {
		case "refused":
			s.links[id].fail(errDown)
		case "silent":
			s.links[id].setUnresponsive(true)
		case "slow", "slow after an outage":
			s.slowDown(id, 1200*time.Millisecond)
		case "slow by two round trips":
			const roundTrip = 300 * time.Millisecond
			s.slowDown(id, roundTrip/2)
			s.links[id].delayAnswers(2 * roundTrip)
		}
	}
	used, unused := map[string]time.Duration{}, map[string]time.Duration{}
	for passed := time.Duration(0); passed < during; passed += step {
		advance(step)
		for id, d := range all {
			switch v := d.View(); {
			case v.ConfigAge(time.Now()) <= inForce:
			case v.InForce(time.Now()):
				used[id] += step
			default:
				unused[id] += step
			}
		}
	}
	slow := strings.HasPrefix(fault, "slow")
	for id := range all {
		if slow && used[id] > 0 {
			t.Errorf("%s routes by an old configuration for %v", id, used[id])
		}
		allowed := 500 * time.Millisecond
		if size == 1 {
			// It hears nobody else.
			allowed = inForce
		}
		if !slow && unused[id] > allowed {
			t.Errorf("%s routes nothing for %v, by an old configuration for %v", id, unused[id], used[id])
		}
	}
}
