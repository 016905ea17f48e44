package duty_test

import (
	"testing"
	"time"

	"ladderridge.example/core/duty"
	"ladderridge.example/core/revision"
)

const lease = 3 * time.Second

// store holds the row of one duty.
type store struct {
	row     duty.Record
	version uint64
}

// serve carries out an action of an elector and delivers the result.
func (s *store) serve(el *duty.Elector, o duty.Action, now time.Duration) {
	switch o := o.(type) {
	case duty.ReadRow:
		el.Step(duty.Read{Record: s.row, Version: revision.New(0, s.version)}, now)
	case duty.WriteRow:
		if o.Expected != revision.New(0, s.version) {
			el.Step(duty.Conflict{}, now)
			return
		}
		s.row, s.version = o.Record, s.version+1
		el.Step(duty.Written{Version: revision.New(0, s.version)}, now)
	}
}

// run ticks an elector that contends from one time to another and returns the number of its calls.
func (s *store) run(el *duty.Elector, from, to time.Duration) (calls int) {
	for now := from; now < to; now += 100 * time.Millisecond {
		if o := el.Step(duty.Tick{Contend: true}, now); o != nil {
			calls++
			s.serve(el, o, now)
		}
	}
	return calls
}

func newElector(id string) *duty.Elector {
	return &duty.Elector{Self: id, Start: 1, LeaseDuration: lease}
}

func TestFirstContenderHoldsTheDuty(t *testing.T) {
	s, a, b := &store{}, newElector("a"), newElector("b")
	s.run(a, 0, time.Second)
	s.run(b, 0, time.Second)
	if token, ok := a.Holds(time.Second); !ok || token != 1 {
		t.Errorf("a: %d, %v", token, ok)
	}
	if _, ok := b.Holds(time.Second); ok {
		t.Error("b holds the duty too")
	}
}

func TestDutyIsTakenOverWithinTwiceTheLease(t *testing.T) {
	s, a, b := &store{}, newElector("a"), newElector("b")
	s.run(a, 0, time.Second)
	for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
		if o := b.Step(duty.Tick{Contend: true}, now); o != nil {
			s.serve(b, o, now)
		}
		if token, ok := b.Holds(now); ok {
			if token != 2 {
				t.Errorf("token %d", token)
			}
			if now > 500*time.Millisecond+2*lease {
				t.Errorf("after %v", now)
			}
			return
		}
	}
	t.Error("nobody holds the duty")
}

func TestSuspendedHolderFindsItsLeaseExpired(t *testing.T) {
	s, a := &store{}, newElector("a")
	s.run(a, 0, time.Second)
	if _, ok := a.Holds(time.Second + lease); ok {
		t.Error("a still holds the duty")
	}
}

func TestCallsPerLeaseAreBounded(t *testing.T) {
	s, a, b := &store{}, newElector("a"), newElector("b")
	const leases = 20
	if calls := s.run(a, 0, leases*lease); calls > 2*leases+2 {
		t.Errorf("the holder made %d calls in %d leases", calls, leases)
	}
	s.version++ // The holder keeps renewing while b watches.
	if calls := s.run(b, 0, lease); calls > 3 {
		t.Errorf("a daemon that waits made %d calls in a lease", calls)
	}
}

// A renewal whose answer was lost had taken effect all the same. The holder then took the row that it
// read for that of another daemon and gave the duty up.
func TestHolderKeepsItsTokenAfterALostAnswer(t *testing.T) {
	s, a := &store{}, newElector("a")
	s.run(a, 0, time.Second)
	o, ok := a.Step(duty.Tick{}, 2*time.Second).(duty.WriteRow)
	if !ok {
		t.Fatal("the holder does not renew its lease")
	}
	s.row, s.version = o.Record, s.version+1
	a.Step(duty.WriteOutcomeUnknown{}, 2*time.Second)
	if _, ok := a.Holds(2 * time.Second); !ok {
		t.Error("the holder gave the duty up before its lease expired")
	}
	s.run(a, 2*time.Second, 3*time.Second)
	if token, ok := a.Holds(3 * time.Second); !ok || token != 1 {
		t.Errorf("token %d, %v", token, ok)
	}
}

func TestStateIsHandedToTheNextHolder(t *testing.T) {
	s, a, b := &store{}, newElector("a"), newElector("b")
	s.run(a, 0, time.Second)
	a.SetState("what was sent")
	if a.StateStored() {
		t.Error("the state counts as stored before it is written")
	}
	s.run(a, time.Second, 2*time.Second)
	if !a.StateStored() {
		t.Error("the state does not count as stored")
	}
	s.run(b, 2*time.Second, 8*time.Second)
	if _, ok := b.Holds(8 * time.Second); !ok || b.State() != "what was sent" {
		t.Errorf("b holds the duty: %v, with state %q", ok, b.State())
	}
}

// A request that was not answered may be executed after newer ones. The platform refuses it only if the
// newer ones carry a higher token.
func TestTokenRisesOnRequest(t *testing.T) {
	s, a := &store{}, newElector("a")
	s.run(a, 0, time.Second)
	a.RaiseToken()
	if a.StateStored() {
		t.Error("the token has not risen yet")
	}
	s.run(a, time.Second, 2*time.Second)
	if token, ok := a.Holds(2 * time.Second); !ok || token != 2 || !a.StateStored() {
		t.Errorf("token %d, %v", token, ok)
	}
}

func TestSupersededHolderStopsAtOnce(t *testing.T) {
	s, a, b := &store{}, newElector("a"), newElector("b")
	s.run(a, 0, time.Second)
	s.run(b, time.Second, 6*time.Second)
	a.Step(duty.Superseded{}, 6*time.Second)
	if _, ok := a.Holds(6 * time.Second); ok {
		t.Error("a still holds the duty")
	}
	s.run(a, 6*time.Second, 7*time.Second)
	if _, ok := a.Holds(7 * time.Second); ok {
		t.Error("a took the duty back from its new holder")
	}
}

// The new process cannot tell whether the row is its own: another VM may have the same name.
func TestRestartedDaemonWaitsForTheLease(t *testing.T) {
	s, a := &store{}, newElector("a")
	s.run(a, 0, time.Second)
	again := &duty.Elector{Self: "a", Start: 2, LeaseDuration: lease}
	s.run(again, time.Second, 2*time.Second)
	if _, ok := again.Holds(2 * time.Second); ok {
		t.Error("the new process holds the duty before the lease has expired")
	}
	s.run(again, 2*time.Second, 6*time.Second)
	if token, ok := again.Holds(6 * time.Second); !ok || token != 2 {
		t.Errorf("token %d, %v", token, ok)
	}
}

// While the store refused all calls or their answers were lost, a holder read and wrote its row at every
// tick, ten times a second.
func TestUnavailableStoreIsNotCalledAtEveryTick(t *testing.T) {
	s, a := &store{}, newElector("a")
	s.run(a, 0, time.Second)
	calls := 0
	for now := time.Second; now < 10*time.Second; now += 100 * time.Millisecond {
		switch a.Step(duty.Tick{Contend: true}, now).(type) {
		case duty.ReadRow:
			calls++
			a.Step(duty.ReadFailed{}, now)
		case duty.WriteRow:
			calls++
			a.Step(duty.WriteOutcomeUnknown{}, now)
		}
	}
	if calls > 9*2 {
		t.Errorf("%d calls in nine seconds", calls)
	}
}

// A late write from the era before replaced the row of a holder, whose token nobody else had read. The
// next holder then got the same token.
func TestTokenRisesAfterALateWriteReplacedTheRow(t *testing.T) {
	takeOver := func(self string, r duty.Read) uint64 {
		el := duty.Elector{Self: self, Start: 1, LeaseDuration: lease}
		for now := time.Duration(0); now < 3*lease; now += 100 * time.Millisecond {
			switch o := el.Step(duty.Tick{Contend: true}, now).(type) {
			case duty.ReadRow:
				el.Step(r, now)
			case duty.WriteRow:
				if now < lease {
					t.Errorf("%s takes the duty before its holder can know that the store was restored", self)
				}
				return o.Record.Token
			}
		}
		t.Fatalf("%s does not take the duty", self)
		return 0
	}
	first := takeOver("a", duty.Read{Version: revision.New(1, 0)})
	// The row of a, version 1, has been replaced.
	second := takeOver("b", duty.Read{Record: duty.Record{Holder: "b", Start: 1, Token: 1}, Version: revision.New(1, 2)})
	if second <= first {
		t.Errorf("token %d after %d", second, first)
	}
}
