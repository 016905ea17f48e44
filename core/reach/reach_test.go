package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/reach"
)

const (
	dialTimeout = 400 * time.Millisecond
	hop         = 5 * time.Millisecond
	rtt         = 2 * time.Millisecond
)

// network is a modelled network between a daemon and its servers. The direct path is cut between
// two times; helpers reach all servers if helped is set.
type network struct {
	paths       reach.Paths
	from, until time.Time
	refused     bool
	helped      bool
	// pending are results of direct attempts that are not known yet.
	pending []result
	// direct counts direct attempts while the path is cut.
	direct int
}

type result struct {
	at   time.Time
	addr string
	ok   bool
}

func (n *network) cut(now time.Time) bool { return !now.Before(n.from) && now.Before(n.until) }

// attempt starts a direct attempt and returns when it ends and whether it connects.
func (n *network) attempt(addr string, now time.Time) (end time.Time, ok bool) {
	end, ok = now.Add(rtt), !n.cut(now)
	if n.cut(now) {
		n.direct++
		if !n.refused {
			end = now.Add(dialTimeout)
		}
	}
	n.pending = append(n.pending, result{end, addr, ok})
	return end, ok
}

// settle records the direct attempts that have ended.
func (n *network) settle(now time.Time) {
	var later []result
	for _, r := range n.pending {
		switch {
		case r.at.After(now):
			later = append(later, r)
		case r.ok:
			n.paths.Reached(r.addr, r.at)
		case n.helped:
			n.paths.Failed(r.addr, !n.refused, r.at)
		default:
			n.paths.Failed(r.addr, !n.refused, r.at)
			n.paths.NoHelper(r.addr, r.at)
		}
	}
	n.pending = later
}

// connect connects to a server by its plan and returns how long that takes and whether it succeeds.
func (n *network) connect(addr string, now time.Time) (took time.Duration, relayed, ok bool) {
	n.settle(now)
	relay := func(after time.Duration) (time.Duration, bool, bool) {
		n.paths.Relayed(addr, now)
		return after + hop, true, n.helped
	}
	switch plan := n.paths.Plan(addr, now).(type) {
	case reach.Direct:
		end, ok := n.attempt(addr, now)
		if ok || plan.NoRelay || plan.Unconfirmed {
			return end.Sub(now), false, ok
		}
		return relay(min(plan.RelayAfter, end.Sub(now)))
	case reach.Both:
		if end, ok := n.attempt(addr, now); ok {
			return end.Sub(now), false, true
		}
		return relay(0)
	case reach.Relayed:
		if plan.Check {
			n.attempt(addr, now)
		}
		return relay(0)
	}
	return 0, false, false
}

// A request that found out about a cut took 400 ms for each hall that it tried, and callers left
// before that.
func TestCutCostsRequestsLittleTime(t *testing.T) {
	for _, servers := range []int{2, 13, 140} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d servers, refused %v", servers, refused), func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, 1))
				start := time.Unix(1000, 0)
				n := &network{from: start.Add(5 * time.Second), until: start.Add(17 * time.Second), refused: refused, helped: true}
				slow := 0
				for at := time.Duration(0); at < 25*time.Second; at += 30 * time.Millisecond {
					now := start.Add(at)
					took, relayed, ok := n.connect(fmt.Sprint("s", r.IntN(servers)), now)
					if !ok || took > 150*time.Millisecond+hop {
						t.Fatalf("%v: connected %v after %v", at, ok, took)
					}
					if took > hop {
						slow++
					}
					if relayed != n.cut(now) && (at < 5*time.Second || at > 19*time.Second) {
						t.Fatalf("%v: passed through another daemon", at)
					}
				}
				if slow > 20 {
					t.Errorf("%d requests waited for the direct path", slow)
				}
				if most := 12*4 + servers + 20; n.direct > most {
					t.Errorf("%d direct attempts during the cut, more than %d", n.direct, most)
				}
			})
		}
	}
}

// Where no other daemon reaches the servers either, requests took all of their time to be refused.
func TestUnreachableServersFailAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	n := &network{from: start, until: start.Add(10 * time.Second)}
	waited := time.Duration(0)
	for at := time.Duration(0); at < 10*time.Second; at += 50 * time.Millisecond {
		took, _, ok := n.connect(fmt.Sprint("s", int(at/time.Millisecond)%3), start.Add(at))
		if ok {
			t.Fatalf("%v: connected", at)
		}
		if at > time.Second {
			waited += took
		}
	}
	// One in twenty requests finds out whether the path has recovered.
	if mean := waited / 180; mean > dialTimeout/5 {
		t.Errorf("requests waited for %v in the mean", mean)
	}
	if took, _, ok := n.connect("s0", start.Add(11*time.Second)); !ok || took > hop {
		t.Errorf("after the cut: connected %v after %v", ok, took)
	}
}

// Two servers that crash are not a cut: other servers are reached directly, and no other daemon
// is asked for them.
func TestCrashedServersDoNotPutPathsInDoubt(t *testing.T) {
	var p reach.Paths
	now := time.Unix(1000, 0)
	p.Reached("a", now)
	for _, addr := range []string{"b", "c"} {
		if change := p.Down(addr, now); change != reach.Unchanged {
			t.Errorf("%s: change %v", addr, change)
		}
	}
	if plan := p.Plan("a", now); plan != (reach.Direct{RelayAfter: 150 * time.Millisecond}) {
		t.Errorf("other server: %#v", plan)
	}
	if plan := p.Plan("b", now); plan != (reach.Direct{NoRelay: true}) {
		t.Errorf("crashed server: %#v", plan)
	}
}

// Requests on connections from before a silent cut waited for their time-out; those from before
// refusals are still good.
func TestConnectionsFromBeforeASilentCutAreNotReused(t *testing.T) {
	for _, silent := range []bool{true, false} {
		var p reach.Paths
		now := time.Unix(1000, 0)
		before := now.Add(-time.Second)
		p.Reached("c", before)
		if !p.MayReuse("c", before, now) {
			t.Error("not reused although nothing has failed")
		}
		p.Failed("a", silent, now)
		if change := p.Failed("b", silent, now); change != reach.Lost {
			t.Errorf("change %v", change)
		}
		for _, addr := range []string{"a", "c"} {
			if got := p.MayReuse(addr, before, now); got == silent {
				t.Errorf("%s after silence %v: reused %v", addr, silent, got)
			}
		}
		if !p.MayReuse("c", now.Add(time.Second), now.Add(2*time.Second)) {
			t.Error("a connection that was used after the cut is not reused")
		}
		if change := p.Reached("c", now.Add(time.Second)); change != reach.Regained {
			t.Errorf("change %v", change)
		}
		if !p.MayReuse("c", before, now.Add(time.Second)) {
			t.Error("not reused after the path has recovered")
		}
	}
}

// A VM that reaches some of the servers must not switch the others back and forth.
func TestPartialCutKeepsReachedServersDirect(t *testing.T) {
	var p reach.Paths
	now := time.Unix(1000, 0)
	p.Failed("a", false, now)
	p.Failed("b", false, now)
	now = now.Add(100 * time.Millisecond)
	p.Reached("c", now)
	if plan := p.Plan("c", now); plan != (reach.Direct{RelayAfter: 150 * time.Millisecond}) {
		t.Errorf("reached server: %#v", plan)
	}
	if plan := p.Plan("a", now); plan != (reach.Both{}) {
		t.Errorf("failing server: %#v", plan)
	}
	if got := p.Status(now); got.Lost || got.Failing != 2 {
		t.Errorf("status %+v", got)
	}
	p.Prune(func(addr string) bool { return addr != "a" }, now)
	if got := p.Status(now); got.Failing != 1 {
		t.Errorf("after pruning: %+v", got)
	}
}

// Guards against exits that wait for the word of another daemon, and against refusals on the daemon's
// own path that count as exits.
func TestRefusalAfterAClosedAnswerIsAnExit(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var p reach.Paths
	p.Failed("other", false, now)
	p.Failed("another", false, now)
	if exited, _ := p.Refused("a", now); exited {
		t.Error("a refusal alone is an exit")
	}
	p.Closed("a", now)
	if plan, ok := p.Plan("a", now.Add(100*time.Millisecond)).(reach.Direct); !ok || plan.Unconfirmed || plan.NoRelay {
		t.Errorf("the server is not tried directly: %+v", plan)
	}
	p.Closed("b", now)
	if exited, _ := p.Refused("b", now.Add(3*time.Second)); exited {
		t.Error("a refusal long after the end of an answer is an exit")
	}
	if exited, _ := p.Refused("a", now.Add(time.Second)); !exited || !p.HasExited("a", now.Add(time.Second)) {
		t.Error("a refusal after a closed answer is no exit")
	}
	if p.OthersFailing("none", now.Add(time.Second)) != p.OthersFailing("a", now.Add(time.Second)) {
		t.Error("an exit counts against the path")
	}
	if p.HasExited("a", now.Add(6*time.Second)) {
		t.Error("the exit does not expire")
	}
	p.Exited("c", now)
	p.Reached("c", now)
	if p.HasExited("c", now) {
		t.Error("a server that was reached counts as exited")
	}
}
