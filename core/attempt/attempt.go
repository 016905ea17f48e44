// Package attempt is the life of one try at a backend server. What may be said
// to the caller about it, that it did not run, that it is done or that nobody
// knows, is a property of the state alone.
package attempt

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"

	"ladderridge.example/core/fault"
)

// Outcome is what is known of whether a request ran.
type Outcome string

// The outcomes.
const (
	// NotRun says that the backend server did not and will not run it.
	NotRun Outcome = "not_run"
	// Done says that it ran and its whole answer arrived.
	Done Outcome = "done"
	// Unknown says that it may have run, in part or whole.
	Unknown Outcome = "unknown"
)

// Event moves an attempt on.
type Event string

// The events, in the order in which they usually come.
const (
	// Pass is a passed gate.
	Pass Event = "pass"
	// Send comes before the first byte may leave.
	Send Event = "send"
	// Answer is the first byte of the backend server's answer.
	Answer Event = "answer"
	// Finish is the answer's proper end.
	Finish Event = "finish"
	// Decline is an answer that is defined to mean that nothing ran, or a
	// connection that was never made.
	Decline Event = "decline"
	// Lose is a broken connection, a time-out or a wrong answer.
	Lose Event = "lose"
)

// The states.
const (
	created   = "created"
	passed    = "passed"
	sending   = "sending"
	answering = "answering"
	finished  = "finished"
	declined  = "declined"
	lost      = "lost"
)

var transitions = fsm.Events{
	{Name: string(Pass), Src: []string{created}, Dst: passed},
	{Name: string(Send), Src: []string{passed}, Dst: sending},
	{Name: string(Answer), Src: []string{sending}, Dst: answering},
	{Name: string(Finish), Src: []string{answering}, Dst: finished},
	// A refusal can arrive only before the answer has begun.
	{Name: string(Decline), Src: []string{created, passed, sending}, Dst: declined},
	{Name: string(Lose), Src: []string{sending, answering}, Dst: lost},
}

// Kind says what sort of error the package met.
type Kind string

// Impossible is an event that the attempt's state does not allow.
const Impossible Kind = "impossible event"

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Attempt is one try. It is not safe for concurrent use.
type Attempt struct {
	// ID is echoed by the backend server in its answer.
	ID      string
	machine *fsm.FSM
}

// New starts an attempt.
func New(id string) *Attempt {
	return &Attempt{ID: id, machine: fsm.NewFSM(created, transitions, nil)}
}

// On applies an event.
func (a *Attempt) On(e Event) error {
	if err := a.machine.Event(context.Background(), string(e)); err != nil {
		return &Error{Op: fmt.Sprintf("attempt %s: %s in state %s", a.ID, e, a.machine.Current()), Kind: Impossible, Err: err}
	}
	return nil
}

// State names the current state, for dumps and explanations.
func (a *Attempt) State() string { return a.machine.Current() }

// Outcome is what may truthfully be said of the attempt now.
func (a *Attempt) Outcome() Outcome {
	switch a.machine.Current() {
	case finished:
		return Done
	case created, passed, declined:
		return NotRun
	default:
		return Unknown
	}
}
