package storesync_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

// usedHalls are the halls to which a daemon would send requests.
func usedHalls(k *storesync.Syncer) map[string]bool {
	out := map[string]bool{}
	for i := range uint64(50) {
		if s, ok := k.View().Servers.Choose(fleet.Criteria{Service: "s", Affinity: i + 1}, time.Now()); ok {
			out[s.Hall] = true
		}
	}
	return out
}

// inTwoHalls is a system with servers in the halls "a" and "b" and daemons in "a".
func inTwoHalls(t *testing.T, daemons int) (*system, []*storesync.Syncer) {
	t.Helper()
	s := newSystem(t)
	s.config(1, "k")
	for _, hall := range []string{"a", "b"} {
		for i := range 3 {
			s.rows.set(gossip.Servers, fmt.Sprintf("%s%d", hall, i), "v1@"+hall)
		}
	}
	var keepers []*storesync.Syncer
	for i := range daemons {
		keepers = append(keepers, s.daemonIn(fmt.Sprintf("d%d", i), "a"))
	}
	pass(12 * time.Second)
	return s, keepers
}

// An emptied hall gets nothing from any daemon within a second, those that the store
// turns away and one that starts meanwhile among them, until it is taken back; another
// one may be emptied at the same time.
func TestEmptiedHallGetsNothingUntilItIsTakenBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := inTwoHalls(t, 6)
		for _, id := range []string{"d1", "d3", "d5"} {
			s.turnAway(id, id == "d3")
		}
		pass(4 * time.Second)
		s.rows.set(gossip.Operator, "empty/b", "{}")
		pass(time.Second)
		keepers = append(keepers, s.daemonIn("late", "a"))
		pass(time.Second)
		for i, k := range keepers {
			if used := usedHalls(k); used["b"] || !used["a"] {
				t.Errorf("daemon %d uses the halls %v", i, used)
			}
			if age := time.Since(k.View().Drained["b"]); age > 2*time.Second {
				t.Errorf("daemon %d knows it for %v", i, age)
			}
		}
		s.rows.set(gossip.Operator, "empty/a", "{}")
		pass(time.Second)
		for i, k := range keepers {
			if used := usedHalls(k); len(used) > 0 {
				t.Errorf("with both emptied daemon %d uses %v", i, used)
			}
		}
		s.rows.set(gossip.Operator, "empty/b", "")
		pass(time.Second)
		for i, k := range keepers {
			if used := usedHalls(k); used["a"] || !used["b"] {
				t.Errorf("with one taken back daemon %d uses %v", i, used)
			}
		}
	})
}

// A daemon that was cut off knows of an emptied hall within a second of its return, and
// a list of servers that changes meanwhile does not bring the hall back.
func TestEmptiedHallIsKnownAfterACut(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := inTwoHalls(t, 3)
		s.mesh.mu.Lock()
		s.mesh.holding["d0"] = true
		s.mesh.mu.Unlock()
		s.turnAway("d0", true)
		s.rows.set(gossip.Operator, "empty/b", "{}")
		pass(6 * time.Second)
		if !usedHalls(keepers[0])["b"] {
			t.Fatal("the daemon that is cut off is not")
		}
		s.mesh.mu.Lock()
		s.mesh.holding["d0"], s.mesh.held["d0"] = false, nil
		s.mesh.mu.Unlock()
		s.takeBack("d0")
		pass(1500 * time.Millisecond)
		s.rows.set(gossip.Servers, "b9", "v1@b")
		pass(time.Second)
		for i, k := range keepers {
			if usedHalls(k)["b"] {
				t.Errorf("daemon %d uses the emptied hall", i)
			}
		}
	})
}

// coldConfig puts a configuration into the store in which servers are cold for three
// seconds after their start.
func (s *system) coldConfig(number uint64) {
	data, err := json.Marshal(configRow{Number: number, Keys: []string{"k"}, Cold: 3})
	if err != nil {
		s.t.Fatal(err)
	}
	s.rows.set(gossip.Operator, "config", string(data))
}

// shares adds up what all daemons may send to a cold server in a second, and counts
// those that take it for cold.
func shares(keepers []*storesync.Syncer, id string) (sum, cold int) {
	for _, k := range keepers {
		s := server(k, id)
		if s == nil {
			continue
		}
		if c := s.State.ColdLimit(); time.Now().Before(c.Until) {
			sum, cold = sum+c.MaxRequests, cold+1
		}
	}
	return sum, cold
}

// The servers of a hall that is taken back count as cold, and so do those that say so
// themselves; all daemons' shares together are what such a server bears.
func TestServersThatReturnAreCold(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const bears = 24
		s, keepers := inTwoHalls(t, 40)
		s.coldConfig(2)
		s.rows.set(gossip.Operator, "empty/b", "{}")
		pass(2 * time.Second)
		s.rows.set(gossip.Operator, "empty/b", "")
		s.rows.set(gossip.Servers, "a9", "v1@a@2500ms")
		pass(700 * time.Millisecond)
		for _, id := range []string{"b0", "b1", "a9"} {
			if sum, cold := shares(keepers, id); cold != len(keepers) || sum > bears || sum < bears/2 {
				t.Errorf("%d daemons take %s for cold and may send %d", cold, id, sum)
			}
		}
		if _, cold := shares(keepers, "a0"); cold != 0 {
			t.Errorf("%d daemons take a server for cold that never was", cold)
		}
		// It goes cold again and says so.
		pass(5 * time.Second)
		if _, cold := shares(keepers, "a9"); cold != 0 {
			t.Errorf("%d daemons still take it for cold", cold)
		}
		s.rows.set(gossip.Servers, "a9", "v1@a@1s")
		pass(700 * time.Millisecond)
		if sum, cold := shares(keepers, "a9"); cold != len(keepers) || sum > bears {
			t.Errorf("%d daemons take it for cold again and may send %d", cold, sum)
		}
	})
}

// A server that says that it is cold for a day is cold for as long as can be meant.
func TestColdForADayIsNotBelieved(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s, keepers := inTwoHalls(t, 2)
		s.coldConfig(2)
		s.rows.set(gossip.Servers, "a9", "v1@a@24h")
		pass(time.Second)
		if _, cold := shares(keepers, "a9"); cold != 2 {
			t.Fatal("it does not count as cold at all")
		}
		pass(11 * time.Minute)
		if _, cold := shares(keepers, "a9"); cold != 0 {
			t.Error("it is cold for a day")
		}
	})
}
