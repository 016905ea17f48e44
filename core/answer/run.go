package answer

import "fmt"

// Received is what a caller has of a stream. It is immutable.
type Received struct {
	// last is the id of the last event, or -1.
	last int64
	// unconfirmed is set if a server that was asked for what follows the last event has ended its response
	// without any event: either there is none, or the server does not know the last event.
	unconfirmed bool
}

// ReceivedUpTo returns what a caller has that asks for the events after an id, -1 for all.
func ReceivedUpTo(last int64) Received { return Received{last: max(-1, last)} }

// After returns the id after which the next server is to continue, -1 for the beginning. If the end is
// unconfirmed, the server is to send the last event again, which only one that knows it can do.
func (c Received) After() int64 {
	if c.unconfirmed {
		return c.last - 1
	}
	return c.last
}

// Run is what one of several servers has sent of a stream. It is immutable. Only a server that sent the last
// event itself can know that it was the last.
type Run struct {
	sent   Stream
	caller Received
	// last is the id of the last event that the server sent, or -1.
	last int64
	// confirms is set if the server was asked for the last event again.
	confirms bool
	// contributed is set once the caller has received an event of this run.
	contributed bool
}

// NewRun returns a run of which nothing was sent yet, for a caller that has a part of the stream.
func NewRun(l Limits, c Received) Run {
	return Run{sent: NewStream(l), caller: c, last: -1, confirms: c.unconfirmed}
}

// Received returns what the caller has after the run.
func (r Run) Received() Received { return r.caller }

// With returns the run with another event, and whether the caller is to receive it: not if the caller has
// it already. An error means that what the server sends is not the stream: its events are numbered without a
// gap, from the beginning or from an event that the caller has.
func (r Run) With(e Event) (next Run, forward bool, err error) {
	if r.sent, err = r.sent.With(e); err != nil {
		return r, false, err
	}
	switch {
	case e.KeepAlive && e.ID < 0:
		return r, true, nil
	case !r.follows(e.ID):
		return r, false, &Error{Op: opReadStream, Kind: OutOfSequence, Err: fmt.Errorf("event %d after event %d, the caller has event %d", e.ID, r.last, r.caller.last)}
	}
	if r.last = e.ID; e.ID <= r.caller.last {
		return r, false, nil
	}
	r.caller, r.contributed = Received{last: e.ID}, true
	return r, true, nil
}

// firstEvent is the largest id of the first event of an answer.
const firstEvent = 1

// follows reports whether an event may follow those of the run.
func (r Run) follows(id int64) bool {
	if r.last >= 0 {
		return id == r.last+1
	}
	return id >= 0 && id <= max(firstEvent, r.caller.last+1)
}

// Next is what follows a run: Complete, Continue or Abandon.
type Next interface{ next() }

// Complete means that the caller has the whole stream.
type Complete struct{}

// Continue means that another server may send the rest.
type Continue struct{}

// Abandon means that no server can complete the stream.
type Abandon struct{}

func (Complete) next() {}
func (Continue) next() {}
func (Abandon) next()  {}

// Ended returns the run after the regular end of the response, and what follows. The error says why the
// stream is not complete.
func (r Run) Ended() (Run, Next, error) {
	switch {
	case r.last >= 0 && r.last == r.caller.last:
		return r, Complete{}, nil
	case r.confirms:
		return r, Abandon{}, &Error{Op: opReadStream, Kind: UnknownEnd, Err: fmt.Errorf("the server does not know event %d", r.caller.last)}
	case r.last >= 0:
		return r, Continue{}, &Error{Op: opReadStream, Kind: UnknownEnd, Err: fmt.Errorf("it ended at event %d, the caller has event %d", r.last, r.caller.last)}
	case r.caller.last < 0:
		return r, Continue{}, &Error{Op: opReadStream, Kind: UnknownEnd, Err: fmt.Errorf("it ended without an event")}
	}
	r.caller.unconfirmed = true
	return r, Continue{}, &Error{Op: opReadStream, Kind: UnknownEnd, Err: fmt.Errorf("it ended without an event after event %d", r.caller.last)}
}

// Interrupted returns what follows if the connection ended before the response did.
func (r Run) Interrupted() Next { return Continue{} }

// Refuted returns what follows if the bytes that the server sent show that they are no answer. Which of its
// events were those of an answer is unknown then, so a caller that has one of them cannot get the rest.
func (r Run) Refuted() Next {
	if r.contributed {
		return Abandon{}
	}
	return r.Interrupted()
}
