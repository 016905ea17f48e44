package storesync_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/gossip"
	"ladderridge.example/daemon/storesync"
)

func TestConfigurationIsInForceAtOnceAndNeverGoesBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		d := s.startDaemon("a")
		advance(time.Second)
		if d.View().Ready() {
			t.Fatal("ready without a configuration")
		}
		s.writeConfig(3, "k")
		s.store.set(gossip.Servers, "x", "v1")
		advance(0)
		if v := d.View(); !v.Ready() || v.Map.Number != 3 {
			t.Fatal("the configuration is not in force")
		}
		s.writeConfig(2, "old")
		s.store.set(gossip.Operator, "config", "no configuration")
		advance(5 * time.Second)
		if v := d.View(); v.Map.Number != 3 {
			t.Errorf("configuration %d is in force", v.Map.Number)
		}
	})
}

// The age of the configuration counts from the start of the call that confirmed it.
func TestConfigAgeCountsFromTheStartOfTheCall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		d := s.startDaemon("a")
		advance(time.Second)
		s.links["a"].fail(errDown)
		advance(10 * time.Second)
		if age := d.View().ConfigAge(time.Now()); age < 9*time.Second {
			t.Errorf("ten seconds without the store, the age of the configuration is %v", age)
		}
		s.links["a"].fail(nil)
		advance(4 * time.Second)
		// The age counts from the start of the call before the one under way.
		if age := d.View().ConfigAge(time.Now()); age > 3*time.Second {
			t.Errorf("with the store reachable again, the age of the configuration is %v", age)
		}
	})
}

// After the store has discarded its change history, daemons read all rows again.
func TestLostHistoryCausesAFullRead(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "x", "v1")
		s.store.set(gossip.Servers, "y", "v1")
		d := s.startDaemon("a")
		advance(time.Second)
		// A change that no call returns, because its history is discarded.
		s.store.mu.Lock()
		delete(s.store.tables[gossip.Servers], "y")
		s.store.version++
		s.store.historyLostTo = s.store.version
		close(s.store.changed)
		s.store.changed = make(chan struct{})
		s.store.mu.Unlock()
		advance(3 * time.Second)
		if diff := cmp.Diff([]string{"x"}, serverIDs(d)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestDaemonWithoutTheStoreGetsChangesFromOthers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k", "taken")
		a := s.startDaemon("a")
		s.startDaemon("b")
		advance(15 * time.Second)
		s.links["a"].fail(errDown)
		advance(10 * time.Second)
		if age := a.View().ConfigAge(time.Now()); age > 4*time.Second {
			t.Errorf("age of the configuration is %v", age)
		}
		s.writeConfig(2, "k")
		advance(time.Second)
		if _, ok := a.View().Map.Organisation("taken"); ok {
			t.Error("a revoked key is still in force a second later")
		}
	})
}

// A response of another daemon that was delayed, as in the inbox of a suspended process, must not
// make the configuration younger than it is.
func TestDelayedResponseConfirmsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		a := s.startDaemon("a")
		s.startDaemon("b")
		advance(15 * time.Second)
		s.links["a"].fail(errDown)
		s.network.mu.Lock()
		s.network.delaying["a"] = true
		s.network.mu.Unlock()
		advance(10 * time.Second)
		s.network.mu.Lock()
		delayed := s.network.delayed["a"]
		s.network.mu.Unlock()
		if len(delayed) == 0 {
			t.Fatal("no message was delayed")
		}
		const since = 2 * time.Second
		advance(since)
		before := a.View().ConfigAge(time.Now())
		for _, deliver := range delayed {
			deliver()
			advance(0)
			// All of these responses were sent before the last two seconds.
			if after := a.View().ConfigAge(time.Now()); after < since {
				t.Fatalf("a delayed response changed the age of the configuration to %v, it was %v", after, before)
			}
		}
		s.network.mu.Lock()
		undelivered := s.network.delayed["a"][len(delayed):]
		s.network.mu.Unlock()
		if len(undelivered) == 0 {
			t.Fatal("no further message was delayed")
		}
		advance(storesync.ResponseTimeout)
		before = a.View().ConfigAge(time.Now())
		for _, deliver := range undelivered {
			deliver()
		}
		advance(0)
		if after := a.View().ConfigAge(time.Now()); after < before {
			t.Errorf("responses older than %v changed the age of the configuration to %v, it was %v", storesync.ResponseTimeout, after, before)
		}
	})
}

// Servers whose entries expire while the store is unreachable get two seconds after its return to
// write them again.
func TestServersExpiredDuringAnOutageAreKeptForTwoSeconds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		for _, id := range []string{"x", "y", "z"} {
			s.store.set(gossip.Servers, id, "v1")
		}
		d := s.startDaemon("a")
		advance(time.Second)
		s.links["a"].fail(errDown)
		advance(5 * time.Second)
		s.store.set(gossip.Servers, "x", "")
		s.store.set(gossip.Servers, "y", "")
		s.links["a"].fail(nil)
		advance(1200 * time.Millisecond)
		if diff := cmp.Diff([]string{"x", "y", "z"}, serverIDs(d)); diff != "" {
			t.Errorf("just after the store recovered: %s", diff)
		}
		s.store.set(gossip.Servers, "x", "v1")
		advance(3 * time.Second)
		if diff := cmp.Diff([]string{"x", "z"}, serverIDs(d)); diff != "" {
			t.Errorf("two seconds after the store recovered: %s", diff)
		}
	})
}

// A server whose entry is removed shortly before those two seconds end is dropped when they end,
// not two seconds after its removal.
func TestServerRemovedAfterAnOutageIsNotKeptLonger(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "x", "v1")
		s.store.set(gossip.Servers, "y", "v1")
		d := s.startDaemon("a")
		advance(time.Second)
		s.links["a"].fail(errDown)
		advance(5 * time.Second)
		s.links["a"].fail(nil)
		// The next call comes within 1.5 s.
		advance(2500 * time.Millisecond)
		s.store.set(gossip.Servers, "x", "")
		advance(1500 * time.Millisecond)
		if diff := cmp.Diff([]string{"y"}, serverIDs(d)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestRemovedServerIsDroppedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		s.store.set(gossip.Servers, "x", "v1")
		s.store.set(gossip.Servers, "y", "v1")
		d := s.startDaemon("a")
		advance(5 * time.Second)
		s.store.set(gossip.Servers, "x", "")
		advance(200 * time.Millisecond)
		if diff := cmp.Diff([]string{"y"}, serverIDs(d)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestIdleStoreGetsFewCalls(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		d := s.startDaemon("a")
		advance(time.Minute)
		// Two calls a second for the configuration, one in six seconds for each other topic.
		if calls := d.Calls.Load(); calls > 160 {
			t.Errorf("%d store calls in a minute", calls)
		}
	})
}

// One daemon of a hall reads the store. When it fails, another one takes over, and changes that
// are made meanwhile are in force within two seconds.
func TestOneDaemonReadsTheStoreForItsHall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		ids := []string{"a", "b", "c", "d", "e", "f"}
		syncers := map[string]*storesync.Syncer{}
		for _, id := range ids {
			syncers[id] = s.startDaemon(id)
		}
		advance(15 * time.Second)
		before := map[string]int64{}
		for id, d := range syncers {
			before[id] = d.Calls.Load()
		}
		advance(20 * time.Second)
		var reader string
		for id, d := range syncers {
			switch calls := d.Calls.Load() - before[id]; {
			case calls > 60:
				t.Errorf("%s made %d calls in 20 s", id, calls)
			case calls > 2 && reader != "":
				t.Errorf("%s and %s read the store", id, reader)
			case calls > 2:
				reader = id
			}
			if age := d.View().ConfigAge(time.Now()); age > 3*time.Second {
				t.Errorf("%s: age of the configuration is %v", id, age)
			}
		}
		if reader == "" {
			t.Fatal("no daemon reads the store")
		}
		// The reader fails just as the configuration changes.
		s.network.mu.Lock()
		delete(s.network.syncers, reader)
		s.network.mu.Unlock()
		s.links[reader].fail(errDown)
		s.writeConfig(2, "k")
		advance(2 * time.Second)
		for id, d := range syncers {
			if id != reader && d.View().Map.Number != 2 {
				t.Errorf("%s has configuration %d", id, d.View().Map.Number)
			}
		}
	})
}

// A reader that the store rejects, while others reach it, is replaced.
func TestReaderWithoutTheStoreIsReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		ids := []string{"a", "b", "c", "d"}
		syncers := map[string]*storesync.Syncer{}
		for _, id := range ids {
			syncers[id] = s.startDaemon(id)
		}
		advance(15 * time.Second)
		for _, id := range ids {
			s.links[id].fail(errDown)
			advance(5 * time.Second)
			for other, d := range syncers {
				if age := d.View().ConfigAge(time.Now()); age > 4*time.Second {
					t.Errorf("with %s rejected by the store, %s: age of the configuration is %v", id, other, age)
				}
			}
			s.links[id].fail(nil)
			advance(5 * time.Second)
		}
	})
}

// A reader whose calls to the store neither fail nor get an answer is replaced in time for a
// change to be in force within two seconds. Waiting three seconds for it, as daemons once did,
// is too long.
func TestReaderWithAnUnresponsiveStoreIsReplacedInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		s := newCluster(t)
		s.writeConfig(1, "k")
		ids := []string{"a", "b", "c", "d"}
		syncers := map[string]*storesync.Syncer{}
		for _, id := range ids {
			syncers[id] = s.startDaemon(id)
		}
		advance(15 * time.Second)
		for i, id := range ids {
			s.links[id].setUnresponsive(true)
			s.writeConfig(uint64(i+2), "k")
			advance(2 * time.Second)
			for other, d := range syncers {
				if other != id && d.View().Map.Number != uint64(i+2) {
					t.Errorf("with %s cut off, %s has configuration %d instead of %d", id, other, d.View().Map.Number, i+2)
				}
			}
			s.links[id].setUnresponsive(false)
			advance(10 * time.Second)
		}
	})
}
