// Package answer decides whether what a server sends can be the answer to a request for a stream, when the
// stream is complete, and whether another server may continue it. A faulty server may send bytes without end
// that have the form of an event stream, or end its response anywhere.
package answer

import (
	"fmt"

	"ladderridge.example/core/fault"
)

// Kind is the kind of an Error.
type Kind int

const (
	// TooManyEvents means that a stream has more events than the answer may have.
	TooManyEvents Kind = iota
	// NoProgress means that a stream sends bytes, but no further events of the answer.
	NoProgress
	// OutOfSequence means that an event is not the one that follows those before it.
	OutOfSequence
	// UnknownEnd means that a server has ended its response, but cannot know that the stream ends there.
	UnknownEnd
)

func (k Kind) String() string {
	return [...]string{"too many events", "no progress", "event out of sequence", "unknown end"}[k]
}

const opReadStream = "read stream"

// Error is an error of this package.
type Error = fault.Of[Kind]

// Limits bound what a server may send as one stream. They are far above what sound servers send.
type Limits struct {
	// Events is the largest number of events of the answer; 0 is no limit.
	Events int
	// Idle is the largest number of bytes between two events of the answer: keep-alive events,
	// comments and events that the server has sent before.
	Idle int
}

const (
	// maxIdle is the limit of idle bytes.
	maxIdle = 64 << 10
	// eventsPerToken and extraEvents bound the events by the tokens of the answer: an event holds a
	// token or more, and a few events hold none.
	eventsPerToken = 2
	extraEvents    = 16
)

// LimitsFor returns the limits of a stream of at most maxTokens tokens; 0 is an unknown number.
func LimitsFor(maxTokens int) Limits {
	l := Limits{Idle: maxIdle}
	if maxTokens > 0 {
		l.Events = eventsPerToken*maxTokens + extraEvents
	}
	return l
}

// Event is what matters of an event of a stream.
type Event struct {
	// ID is the event's id, or -1.
	ID int64
	// Bytes is its length.
	Bytes int
	// KeepAlive is set if it carries nothing of the answer.
	KeepAlive bool
}

// Stream is what a server has sent of a stream so far. It is immutable.
type Stream struct {
	limits Limits
	events int
	idle   int
	// last is the highest id so far, or -1.
	last int64
}

// NewStream returns a stream of which nothing was sent yet.
func NewStream(l Limits) Stream { return Stream{limits: l, last: -1} }

// With returns the stream with another event, or the reason why it is no answer any more.
func (s Stream) With(e Event) (Stream, error) {
	if e.KeepAlive || e.ID >= 0 && e.ID <= s.last {
		if s.idle += e.Bytes; s.idle > s.limits.Idle {
			return s, &Error{Op: opReadStream, Kind: NoProgress, Err: fmt.Errorf("%d bytes since event %d", s.idle, s.last)}
		}
		return s, nil
	}
	s.idle, s.last = 0, max(s.last, e.ID)
	if s.events++; s.limits.Events > 0 && s.events > s.limits.Events {
		return s, &Error{Op: opReadStream, Kind: TooManyEvents, Err: fmt.Errorf("%d events, the request allows %d", s.events, s.limits.Events)}
	}
	return s, nil
}
