package duty_test

import (
	"testing"
	"time"

	"ladderridge.example/core/duty"
	"ladderridge.example/core/revision"
)

const lease = 3 * time.Second

// store is the row of one duty.
type store struct {
	row     duty.Record
	version uint64
}

// serve does what a claim wants, and answers it.
func (s *store) serve(c *duty.Claim, o duty.Order, now time.Duration) {
	switch o := o.(type) {
	case duty.ReadRow:
		c.Step(duty.Read{Record: s.row, Version: revision.New(0, s.version)}, now)
	case duty.WriteRow:
		if o.Was != revision.New(0, s.version) {
			c.Step(duty.Conflict{}, now)
			return
		}
		s.row, s.version = o.Record, s.version+1
		c.Step(duty.Written{Version: revision.New(0, s.version)}, now)
	}
}

// run has a claim contend from one time to another and returns how many calls it made.
func (s *store) run(c *duty.Claim, from, to time.Duration) (calls int) {
	for now := from; now < to; now += 100 * time.Millisecond {
		if o := c.Step(duty.Tick{Contend: true}, now); o != nil {
			calls++
			s.serve(c, o, now)
		}
	}
	return calls
}

func claim(id string) *duty.Claim { return &duty.Claim{Self: id, Start: 1, Lease: lease} }

func TestFirstDaemonThatAsksHoldsTheDuty(t *testing.T) {
	s, a, b := &store{}, claim("a"), claim("b")
	s.run(a, 0, time.Second)
	s.run(b, 0, time.Second)
	if token, ok := a.Holds(time.Second); !ok || token != 1 {
		t.Errorf("a: %d, %v", token, ok)
	}
	if _, ok := b.Holds(time.Second); ok {
		t.Error("b holds it too")
	}
}

func TestDutyHasAHolderAgainWithinTwiceTheLease(t *testing.T) {
	s, a, b := &store{}, claim("a"), claim("b")
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
	t.Error("nobody holds it")
}

func TestHolderThatStoodStillFindsItsLeaseOver(t *testing.T) {
	s, a := &store{}, claim("a")
	s.run(a, 0, time.Second)
	if _, ok := a.Holds(time.Second + lease); ok {
		t.Error("it still holds the duty")
	}
}

func TestCallsGrowWithDutiesNotWithTime(t *testing.T) {
	s, a, b := &store{}, claim("a"), claim("b")
	const leases = 20
	if calls := s.run(a, 0, leases*lease); calls > 2*leases+2 {
		t.Errorf("the holder made %d calls in %d leases", calls, leases)
	}
	s.version++ // The holder goes on renewing while b watches.
	if calls := s.run(b, 0, lease); calls > 3 {
		t.Errorf("one that watches made %d calls in a lease", calls)
	}
}

// A renewal whose answer was lost was done all the same. The holder took the row that it then
// read for another one's and gave the duty up.
func TestHolderWhoseAnswerWasLostGoesOnWithItsToken(t *testing.T) {
	s, a := &store{}, claim("a")
	s.run(a, 0, time.Second)
	o, ok := a.Step(duty.Tick{}, 2*time.Second).(duty.WriteRow)
	if !ok {
		t.Fatal("it does not renew")
	}
	s.row, s.version = o.Record, s.version+1
	a.Step(duty.Unanswered{}, 2*time.Second)
	if _, ok := a.Holds(2 * time.Second); !ok {
		t.Error("it gave the duty up before its lease was over")
	}
	s.run(a, 2*time.Second, 3*time.Second)
	if token, ok := a.Holds(3 * time.Second); !ok || token != 1 {
		t.Errorf("token %d, %v", token, ok)
	}
}

func TestStateIsLeftToTheNextHolder(t *testing.T) {
	s, a, b := &store{}, claim("a"), claim("b")
	s.run(a, 0, time.Second)
	a.Keep("what was sent")
	if a.Kept() {
		t.Error("it is kept before it is written")
	}
	s.run(a, time.Second, 2*time.Second)
	if !a.Kept() {
		t.Error("it is not kept")
	}
	s.run(b, 2*time.Second, 8*time.Second)
	if _, ok := b.Holds(8 * time.Second); !ok || b.State() != "what was sent" {
		t.Errorf("b holds it: %v, with %q", ok, b.State())
	}
}

// A call to the platform that was not answered may be carried out after newer ones. The
// platform refuses it only if they carry a higher token.
func TestTokenRisesForAHolderThatAsks(t *testing.T) {
	s, a := &store{}, claim("a")
	s.run(a, 0, time.Second)
	a.Raise()
	if a.Kept() {
		t.Error("the token has not risen yet")
	}
	s.run(a, time.Second, 2*time.Second)
	if token, ok := a.Holds(2 * time.Second); !ok || token != 2 || !a.Kept() {
		t.Errorf("token %d, %v", token, ok)
	}
}

func TestHolderThatIsRefusedForAHigherTokenStopsAtOnce(t *testing.T) {
	s, a, b := &store{}, claim("a"), claim("b")
	s.run(a, 0, time.Second)
	s.run(b, time.Second, 6*time.Second)
	a.Step(duty.Overtaken{}, 6*time.Second)
	if _, ok := a.Holds(6 * time.Second); ok {
		t.Error("it still holds the duty")
	}
	s.run(a, 6*time.Second, 7*time.Second)
	if _, ok := a.Holds(7 * time.Second); ok {
		t.Error("it took the duty back from its new holder")
	}
}

func TestNewProcessOfTheSameDaemonWaitsForTheLease(t *testing.T) {
	s, a := &store{}, claim("a")
	s.run(a, 0, time.Second)
	again := &duty.Claim{Self: "a", Start: 2, Lease: lease}
	s.run(again, time.Second, 2*time.Second)
	if _, ok := again.Holds(2 * time.Second); ok {
		t.Error("another VM may carry the same name")
	}
	s.run(again, 2*time.Second, 6*time.Second)
	if token, ok := again.Holds(6 * time.Second); !ok || token != 2 {
		t.Errorf("token %d, %v", token, ok)
	}
}

// While the store turned all calls away or lost their answers, a holder read and wrote its row
// at every look, ten times a second.
func TestStoreThatIsAwayIsNotAskedAtEveryLook(t *testing.T) {
	s, a := &store{}, claim("a")
	s.run(a, 0, time.Second)
	calls := 0
	for now := time.Second; now < 10*time.Second; now += 100 * time.Millisecond {
		switch a.Step(duty.Tick{Contend: true}, now).(type) {
		case duty.ReadRow:
			calls++
			a.Step(duty.Unread{}, now)
		case duty.WriteRow:
			calls++
			a.Step(duty.Unanswered{}, now)
		}
	}
	if calls > 9*2 {
		t.Errorf("%d calls in nine seconds", calls)
	}
}

// A write of the era before was done late and replaced a holder's row, with a token that nobody
// else has read: the next holder had the same token.
func TestTokenRisesThoughALateWriteHasReplacedIt(t *testing.T) {
	claim := func(self string, r duty.Read) uint64 {
		c := duty.Claim{Self: self, Start: 1, Lease: lease}
		for now := time.Duration(0); now < 3*lease; now += 100 * time.Millisecond {
			switch o := c.Step(duty.Tick{Contend: true}, now).(type) {
			case duty.ReadRow:
				c.Step(r, now)
			case duty.WriteRow:
				if now < lease {
					t.Errorf("%s takes the duty before a holder can know that the store has returned", self)
				}
				return o.Record.Token
			}
		}
		t.Fatalf("%s does not take the duty", self)
		return 0
	}
	first := claim("a", duty.Read{Version: revision.New(1, 0)})
	// The row of a, version 1, was replaced.
	second := claim("b", duty.Read{Record: duty.Record{Holder: "b", Start: 1, Token: 1}, Version: revision.New(1, 2)})
	if second <= first {
		t.Errorf("token %d after %d", second, first)
	}
}
