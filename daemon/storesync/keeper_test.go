package storesync_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

func TestConfigurationIsInForceAtOnceAndOnlyForward(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		k := s.daemon("a")
		pass(time.Second)
		if k.View().Ready() {
			t.Fatal("ready without a configuration")
		}
		s.config(3, "k")
		s.rows.set(gossip.Servers, "x", "v1")
		pass(0)
		if v := k.View(); !v.Ready() || v.Map.Number != 3 {
			t.Fatal("the configuration is not in force")
		}
		s.config(2, "old")
		s.rows.set(gossip.Operator, "config", "no configuration")
		pass(5 * time.Second)
		if v := k.View(); v.Map.Number != 3 {
			t.Errorf("configuration %d is in force", v.Map.Number)
		}
	})
}

func TestKnowledgeIsAsOldAsTheStartOfTheCall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		k := s.daemon("a")
		pass(time.Second)
		s.links["a"].fail(errDown)
		pass(10 * time.Second)
		if age := k.View().ConfigAge(time.Now()); age < 9*time.Second {
			t.Errorf("ten seconds without the store, the configuration is taken for %v old", age)
		}
		s.links["a"].fail(nil)
		pass(4 * time.Second)
		// As old as the start of the call before the one under way.
		if age := k.View().ConfigAge(time.Now()); age > 3*time.Second {
			t.Errorf("with the store back, the configuration is taken for %v old", age)
		}
	})
}

func TestLostHistoryIsReadAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "x", "v1")
		s.rows.set(gossip.Servers, "y", "v1")
		k := s.daemon("a")
		pass(time.Second)
		// A change that no call tells, since its history is gone.
		s.rows.mu.Lock()
		delete(s.rows.tables[gossip.Servers], "y")
		s.rows.version++
		s.rows.forgotten = s.rows.version
		close(s.rows.changed)
		s.rows.changed = make(chan struct{})
		s.rows.mu.Unlock()
		pass(3 * time.Second)
		if diff := cmp.Diff([]string{"x"}, servers(k)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDaemonWithoutTheStoreIsKeptGoingByOthers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k", "taken")
		a := s.daemon("a")
		s.daemon("b")
		pass(15 * time.Second)
		s.links["a"].fail(errDown)
		pass(10 * time.Second)
		if age := a.View().ConfigAge(time.Now()); age > 4*time.Second {
			t.Errorf("the configuration is taken for %v old", age)
		}
		s.config(2, "k")
		pass(time.Second)
		if _, ok := a.View().Map.Organisation("taken"); ok {
			t.Error("a key that was taken away is still in force a second later")
		}
	})
}

// An answer of another daemon that was held up, as in the inbox of a process
// that was paused, must not make what is known younger than it is.
func TestHeldUpAnswerConfirmsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		a := s.daemon("a")
		s.daemon("b")
		pass(15 * time.Second)
		s.links["a"].fail(errDown)
		s.mesh.mu.Lock()
		s.mesh.holding["a"] = true
		s.mesh.mu.Unlock()
		pass(10 * time.Second)
		s.mesh.mu.Lock()
		held := s.mesh.held["a"]
		s.mesh.mu.Unlock()
		if len(held) == 0 {
			t.Fatal("nothing was held up")
		}
		pass(2 * time.Second)
		before := a.View().ConfigAge(time.Now())
		for _, deliver := range held {
			deliver()
		}
		pass(0)
		if after := a.View().ConfigAge(time.Now()); after < before {
			t.Errorf("answers that were held up made the configuration %v old, it was %v", after, before)
		}
	})
}

func TestServersThatLapseWhileTheStoreIsAwayHaveTwoSeconds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		for _, id := range []string{"x", "y", "z"} {
			s.rows.set(gossip.Servers, id, "v1")
		}
		k := s.daemon("a")
		pass(time.Second)
		s.links["a"].fail(errDown)
		pass(5 * time.Second)
		s.rows.set(gossip.Servers, "x", "")
		s.rows.set(gossip.Servers, "y", "")
		s.links["a"].fail(nil)
		pass(1200 * time.Millisecond)
		if diff := cmp.Diff([]string{"x", "y", "z"}, servers(k)); diff != "" {
			t.Errorf("just after the return: %s", diff)
		}
		s.rows.set(gossip.Servers, "x", "v1")
		pass(3 * time.Second)
		if diff := cmp.Diff([]string{"x", "z"}, servers(k)); diff != "" {
			t.Errorf("two seconds after the return: %s", diff)
		}
	})
}

// A server whose entry goes shortly before those two seconds are over is gone
// when they are: it was once kept for two seconds more.
func TestServerThatGoesAfterTheReturnIsNotKeptLonger(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "x", "v1")
		s.rows.set(gossip.Servers, "y", "v1")
		k := s.daemon("a")
		pass(time.Second)
		s.links["a"].fail(errDown)
		pass(5 * time.Second)
		s.links["a"].fail(nil)
		// The next call comes within a second and a half.
		pass(2500 * time.Millisecond)
		s.rows.set(gossip.Servers, "x", "")
		pass(1500 * time.Millisecond)
		if diff := cmp.Diff([]string{"y"}, servers(k)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestServerThatGoesIsGoneAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		s.rows.set(gossip.Servers, "x", "v1")
		s.rows.set(gossip.Servers, "y", "v1")
		k := s.daemon("a")
		pass(5 * time.Second)
		s.rows.set(gossip.Servers, "x", "")
		pass(200 * time.Millisecond)
		if diff := cmp.Diff([]string{"y"}, servers(k)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestIdleStoreIsAskedSeldom(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		k := s.daemon("a")
		pass(time.Minute)
		// The configuration at two calls a second, the rest at one in six.
		if calls := k.Calls.Load(); calls > 160 {
			t.Errorf("%d calls in a minute", calls)
		}
	})
}

// In a hall one daemon reads the store; when it fails another does, and what
// changes meanwhile is in force within two seconds.
func TestOneDaemonReadsForItsHall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		ids := []string{"a", "b", "c", "d", "e", "f"}
		keepers := map[string]*storesync.Syncer{}
		for _, id := range ids {
			keepers[id] = s.daemon(id)
		}
		pass(15 * time.Second)
		before := map[string]int64{}
		for id, k := range keepers {
			before[id] = k.Calls.Load()
		}
		pass(20 * time.Second)
		var reader string
		for id, k := range keepers {
			switch calls := k.Calls.Load() - before[id]; {
			case calls > 60:
				t.Errorf("%s made %d calls in 20 s", id, calls)
			case calls > 2 && reader != "":
				t.Errorf("%s and %s read the store", id, reader)
			case calls > 2:
				reader = id
			}
			if age := k.View().ConfigAge(time.Now()); age > 3*time.Second {
				t.Errorf("%s takes the configuration for %v old", id, age)
			}
		}
		if reader == "" {
			t.Fatal("nobody reads the store")
		}
		// The reader falls silent just as the configuration changes.
		s.mesh.mu.Lock()
		delete(s.mesh.keepers, reader)
		s.mesh.mu.Unlock()
		s.links[reader].fail(errDown)
		s.config(2, "k")
		pass(2 * time.Second)
		for id, k := range keepers {
			if id != reader && k.View().Map.Number != 2 {
				t.Errorf("%s has configuration %d", id, k.View().Map.Number)
			}
		}
	})
}

// A reader that the store turns away, while others reach it, is passed over.
func TestReaderWithoutTheStoreIsPassedOver(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		ids := []string{"a", "b", "c", "d"}
		keepers := map[string]*storesync.Syncer{}
		for _, id := range ids {
			keepers[id] = s.daemon(id)
		}
		pass(15 * time.Second)
		for _, id := range ids {
			s.links[id].fail(errDown)
			pass(5 * time.Second)
			for other, k := range keepers {
				if age := k.View().ConfigAge(time.Now()); age > 4*time.Second {
					t.Errorf("with %s turned away, %s takes the configuration for %v old", id, other, age)
				}
			}
			s.links[id].fail(nil)
			pass(5 * time.Second)
		}
	})
}

// A reader whose way to the store falls silent, so that its calls neither fail
// nor answer, is passed over in time for a change to be in force: daemons once
// waited for three seconds.
func TestReaderWithASilentStoreIsPassedOverInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newSystem(t)
		s.config(1, "k")
		ids := []string{"a", "b", "c", "d"}
		keepers := map[string]*storesync.Syncer{}
		for _, id := range ids {
			keepers[id] = s.daemon(id)
		}
		pass(15 * time.Second)
		for i, id := range ids {
			s.links[id].silence(true)
			s.config(uint64(i+2), "k")
			pass(2 * time.Second)
			for other, k := range keepers {
				if other != id && k.View().Map.Number != uint64(i+2) {
					t.Errorf("with %s cut off, %s has configuration %d instead of %d", id, other, k.View().Map.Number, i+2)
				}
			}
			s.links[id].silence(false)
			pass(10 * time.Second)
		}
	})
}
