package proxy

import (
	"errors"
	"io"
	"mime"
	"net/http"

	"ladderridge.example/core/answer"
	"ladderridge.example/daemon/channel"
)

// This file has what can be sent to a caller at each stage of its response. Only an unsent response
// takes a status and a body; once a stream has begun, only its events can be written.

// sentOutcome is the outcome of a request whose caller has received a part of a response: Answered,
// Interrupted or ClientGone. A refusal or failure can no longer be sent.
type sentOutcome interface {
	Outcome
	sent()
}

func (Answered) sent()    {}
func (Interrupted) sent() {}
func (ClientGone) sent()  {}

// unsent is a response of which the caller has received nothing.
type unsent struct{ sink Sink }

// complete sends a complete response.
func (w unsent) complete(r *bufferedResponse) sentOutcome {
	w.sink.Begin(r.status, r.header, int64(len(r.body)))
	if _, err := w.sink.Write(r.body); err != nil {
		return ClientGone{}
	}
	return Answered{Status: r.status}
}

// copy sends a response of a length, -1 if that is unknown, whose body starts with begun and goes on
// with rest. The error says why it is not complete.
func (w unsent) copy(status int, h http.Header, length int64, begun []byte, rest io.Reader) (sentOutcome, error) {
	w.sink.Begin(status, h, length)
	if _, err := w.sink.Write(begun); err != nil {
		return ClientGone{}, errClientGone
	}
	if _, err := io.Copy(w.sink, rest); err != nil {
		return Interrupted{Reason: Failed}, err
	}
	return Answered{Status: status}, nil
}

// beginStream sends the head of a stream. lastEvent is the id of the last event that the caller
// already has, or -1.
func (w unsent) beginStream(r *channel.Reply, h http.Header, lastEvent int64) (*callerStream, error) {
	w.sink.Begin(r.Status, h, -1)
	return &callerStream{sink: w.sink, head: headOf(r), lastEvent: lastEvent}, w.sink.Flush()
}

// callerStream is the stream that a caller receives, from one or several servers.
type callerStream struct {
	sink Sink
	head streamHead
	// lastEvent is the id of the last event that the caller has, or -1.
	lastEvent int64
	// begun is set once the caller has received an event, unnumbered once one without an id: a server
	// cannot be told to continue after such an event.
	begun      bool
	unnumbered bool
}

// streamHead is what the heads of all responses to a stream have in common.
type streamHead struct {
	status    int
	mediaType string
	encoding  string
}

func headOf(r *channel.Reply) streamHead {
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return streamHead{status: r.Status, mediaType: mediaType, encoding: r.Header.Get("Content-Encoding")}
}

// continuedBy reports whether a response of another server may be the rest of the stream, by its
// head. It need not name its media type.
func (w *callerStream) continuedBy(r *channel.Reply) bool {
	head := headOf(r)
	if head.mediaType == "" {
		head.mediaType = w.head.mediaType
	}
	return head == w.head
}

var (
	errClientGone      = errors.New("caller has disconnected")
	errMissingEvent    = errors.New("gap in the ids of the events")
	errUnnumberedEvent = errors.New("event without an id before the rest of the stream")
	errShorterStream   = errors.New("stream ended before the last event that the caller has")
)

// streamRun is one server's response to a request for a stream.
type streamRun struct {
	stream *callerStream
	// joined is set once the events follow those that the caller has. Until then the server may repeat
	// events.
	joined bool
	// last is the id of the last event that the server sent, or -1.
	last int64
	// sent is what the server has sent so far.
	sent answer.Stream
}

func (w *callerStream) newRun(l answer.Limits) *streamRun {
	return &streamRun{stream: w, joined: !w.begun, last: -1, sent: answer.NewStream(l)}
}

// forward forwards one event, unless the caller already has it, and optionally flushes the sink.
func (r *streamRun) forward(ev event, flush bool) error {
	w := r.stream
	var err error
	if r.sent, err = r.sent.With(answer.Event{ID: ev.id, Bytes: len(ev.raw), KeepAlive: ev.keepAlive}); err != nil {
		return err
	}
	switch {
	case ev.id < 0 && !r.joined && !ev.keepAlive:
		return errUnnumberedEvent
	case ev.id >= 0 && ev.id <= w.lastEvent:
		r.last = ev.id
		return nil
	case ev.id >= 0 && w.lastEvent >= 0 && ev.id != w.lastEvent+1:
		return errMissingEvent
	}
	if _, err := w.sink.Write(ev.raw); err != nil {
		return errClientGone
	}
	switch {
	case ev.id >= 0:
		w.begun, r.joined, r.last, w.lastEvent = true, true, ev.id, ev.id
	case !ev.keepAlive:
		w.begun, w.unnumbered = true, true
	}
	if !flush {
		return nil
	}
	if err := w.sink.Flush(); err != nil {
		return errClientGone
	}
	return nil
}

// end checks that a run that has ended by itself is not another, shorter answer than the one that the
// caller has a part of.
func (r *streamRun) end() error {
	if !r.joined && r.last >= 0 && r.last < r.stream.lastEvent {
		return errShorterStream
	}
	return nil
}
