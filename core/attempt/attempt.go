// Package attempt implements the state machine of one attempt at a backend server. The outcome
// that may be reported to the caller (did not run, done or unknown) depends only on the state.
package attempt

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"

	"ladderridge.example/core/fault"
)

// Outcome tells whether a request ran.
type Outcome string

// The outcomes.
const (
	// NotRun means that the backend server did not and will not run the request.
	NotRun Outcome = "not_run"
	// Done means that the request ran and its complete answer arrived.
	Done Outcome = "done"
	// Unknown means that the request may have run, partly or completely.
	Unknown Outcome = "unknown"
)

// Event is an event in the life of an attempt.
type Event string

// The events, in their usual order.
const (
	// Pass is that the request passed the checks before sending.
	Pass Event = "pass"
	// Send comes before the first byte of the request may be sent.
	Send Event = "send"
	// Answer is the first byte of the backend server's answer.
	Answer Event = "answer"
	// Finish is the regular end of the answer.
	Finish Event = "finish"
	// Decline is an answer that by its definition means that the request did not run, or a
	// failure to connect.
	Decline Event = "decline"
	// Lose is a broken connection, a time-out or an invalid answer.
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
	// The server can decline only before its answer has begun.
	{Name: string(Decline), Src: []string{created, passed, sending}, Dst: declined},
	{Name: string(Lose), Src: []string{sending, answering}, Dst: lost},
}

// Kind is the kind of an error.
type Kind string

// Impossible is an event that is not allowed in the attempt's state.
const Impossible Kind = "impossible event"

// String returns the kind as text.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Attempt is one attempt at a backend server. It is not safe for concurrent use.
type Attempt struct {
	// ID is echoed by the backend server in its answer.
	ID      string
	machine *fsm.FSM
}

// New returns a new attempt.
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

// State returns the name of the current state, for dumps and decision traces.
func (a *Attempt) State() string { return a.machine.Current() }

// Outcome returns the outcome according to the current state.
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
