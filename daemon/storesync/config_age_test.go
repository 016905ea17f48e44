package storesync_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ladderridge.example/daemon/storesync"
)

// draws is how many moments TestReaderThatVanishesLeavesNoOldConfiguration draws in each case.
var draws = flag.Int("draws", 5, "how many moments to draw in each case")

// configWatch records the configurations of daemons.
type configWatch struct {
	daemons map[string]*storesync.Syncer
	// oldest is the highest age of a configuration, oldestAt its daemon.
	oldest   time.Duration
	oldestAt string
	// late is how long after the change the last daemon had it, or the time watched if one had not.
	late time.Duration
}

// watch advances the clock by d, with a change written at changeAt.
func (w *configWatch) watch(s *cluster, d, changeAt time.Duration, number uint64) {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed < d; passed += step {
		if passed <= changeAt && changeAt < passed+step {
			s.writeConfig(number, "k")
		}
		advance(step)
		for id, daemon := range w.daemons {
			v := daemon.View()
			if age := v.ConfigAge(time.Now()); age > w.oldest {
				w.oldest, w.oldestAt = age, id
			}
			if passed >= changeAt && v.Map.Number != number {
				w.late = passed + step - changeAt
			}
		}
	}
}

// A daemon to which each message and each answer of the store takes about a second longer, as where its
// processor or link is taken, discarded all of them and kept its configuration for good.
func TestSlowExchangeStillConfirmsTheConfiguration(t *testing.T) {
	for _, inForce := range []time.Duration{2 * time.Second, 3 * time.Second} {
		for _, slow := range []string{"follower", "follower without updates", "reader", "all"} {
			for _, ms := range []int{300, 500, 700, 850, 1000, 1300, 1600, 2000} {
				delay := time.Duration(ms) * time.Millisecond
				t.Run(fmt.Sprintf("%v/%s/%v", inForce, slow, delay), func(t *testing.T) {
					t.Parallel()
					inBubble(t, func(t *testing.T) { checkSlowExchange(t, inForce, slow, delay) })
				})
			}
		}
	}
}

func checkSlowExchange(t *testing.T, inForce time.Duration, slow string, delay time.Duration) {
	t.Helper()
	s := newCluster(t)
	s.inForceWithin = inForce
	s.writeConfig(1, "k")
	all := s.startHall(6)
	advance(15 * time.Second)
	ids := slices.SortedFunc(maps.Keys(all), compareReadOrder)
	switch slow {
	case "reader":
		ids = ids[:1]
	case "follower", "follower without updates":
		ids = ids[len(ids)-1:]
		s.network.losesUpdates[ids[0]] = slow != "follower"
	}
	for _, id := range ids {
		s.slowDown(id, delay)
	}
	before, w := totalCalls(all), configWatch{daemons: all}
	w.watch(s, 15*time.Second, 3*time.Second, 2)
	t.Logf("oldest %v at %s, change in force after %v, %d calls", w.oldest, w.oldestAt, w.late, totalCalls(all)-before)
	bound := inForce + delay
	if slow == "all" {
		// A change passes two daemons.
		bound += delay
	}
	if w.oldest > bound || w.late > bound {
		t.Errorf("%s: age of the configuration is up to %v, a change is in force after %v; want at most %v", w.oldestAt, w.oldest, w.late, bound)
	}
}

// slowDown delays the messages to a daemon and the answers of the store.
func (s *cluster) slowDown(id string, delay time.Duration) {
	s.links[id].delayAnswers(delay)
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	s.network.latency[id] = delay
}

// Whenever readers of a hall are lost, one or several, the others have each change in time. The times of the steps until
// another one reads the store added up to more than the time in force.
func TestReaderThatVanishesLeavesNoOldConfiguration(t *testing.T) {
	for _, inForce := range []time.Duration{2 * time.Second, 3 * time.Second} {
		for _, size := range []int{2, 6, 20, 60} {
			losses := []string{"silent", "without the store", "not asking"}
			if size > 2 {
				losses = append(losses, "two silent", "most silent")
			}
			for _, loss := range losses {
				t.Run(fmt.Sprintf("%v/%d/%s", inForce, size, loss), func(t *testing.T) {
					t.Parallel()
					inBubble(t, func(t *testing.T) { checkLostReader(t, inForce, size, loss) })
				})
			}
		}
	}
}

func checkLostReader(t *testing.T, inForce time.Duration, size int, loss string) {
	t.Helper()
	const lossAt = 200 * time.Millisecond
	s := newCluster(t)
	s.inForceWithin = inForce
	s.writeConfig(1, "k")
	all := s.startHall(size)
	lost := slices.SortedFunc(maps.Keys(all), compareReadOrder)[:lostOf(loss, size)]
	random := rand.New(rand.NewPCG(82, uint64(size)))
	var oldest, late []time.Duration
	for i := range *draws {
		advance(8*time.Second + time.Duration(random.Int64N(int64(time.Second))))
		others := maps.Clone(all)
		maps.DeleteFunc(others, func(id string, _ *storesync.Syncer) bool { return slices.Contains(lost, id) })
		var restore []func()
		time.AfterFunc(lossAt, func() {
			for _, id := range lost {
				restore = append(restore, s.lose(id, all[id], loss))
			}
		})
		w := configWatch{daemons: others}
		w.watch(s, inForce+4*time.Second, time.Duration(random.Int64N(int64(inForce))), uint64(i+2))
		for _, f := range restore {
			f()
		}
		oldest, late = append(oldest, w.oldest), append(late, w.late)
	}
	slices.Sort(oldest)
	slices.Sort(late)
	n := len(oldest)
	t.Logf("oldest configuration: median %v, 0.9 %v, worst %v; change in force: median %v, 0.9 %v, worst %v", oldest[n/2], oldest[n*9/10], oldest[n-1], late[n/2], late[n*9/10], late[n-1])
	if oldest[n-1] > inForce || late[n-1] > inForce {
		t.Errorf("age of the configuration is up to %v, a change is in force after %v; want at most %v", oldest[n-1], late[n-1], inForce)
	}
}

// lostOf returns how many of the daemons of a hall are lost, in the order in which they read the store.
func lostOf(loss string, size int) int {
	switch loss {
	case "two silent":
		return 2
	case "most silent":
		return size * 4 / 5
	default:
		return 1
	}
}

// lose makes a reader fall silent, lose the store, or answer the others without asking the store.
func (s *cluster) lose(id string, d *storesync.Syncer, loss string) (restore func()) {
	switch loss {
	case "silent", "two silent", "most silent":
		s.network.dropIncoming(id)
		s.network.dropOutgoing(id)
	case "without the store":
		s.links[id].setUnresponsive(true)
	case "not asking":
		return s.links[id].stall()
	}
	return func() {
		s.reconnectStore(id)
		s.network.mu.Lock()
		defer s.network.mu.Unlock()
		s.network.syncers[id], s.network.muted[id] = d, false
	}
}
