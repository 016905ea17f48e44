package proxy

import (
	"errors"
	"io"
	"mime"
	"net/http"

	"ladderridge.example/core/verdict"
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

// responseHead is the head of a response for the caller.
type responseHead struct {
	status int
	header http.Header
}

// responseHead returns the head of an attempt's response, which the caller may get.
func (j *job) responseHead(a *attempt, f verdict.Forwardable) responseHead {
	return responseHead{status: f.Status(), header: j.engine.Dialect.ResponseHeaders(a.reply.Header)}
}

// unsent is a response of which the caller has received nothing.
type unsent struct{ sink Sink }

// complete sends a complete response.
func (w unsent) complete(r *bufferedResponse) sentOutcome {
	w.sink.Begin(r.head.status, r.head.header, int64(len(r.body)))
	if _, err := w.sink.Write(r.body); err != nil {
		return ClientGone{}
	}
	return Answered{Status: r.head.status}
}

// copy sends a response of a length, -1 if that is unknown, whose body starts with begun and goes on
// with rest. The error says why it is not complete.
func (w unsent) copy(h responseHead, length int64, begun []byte, rest io.Reader) (sentOutcome, error) {
	w.sink.Begin(h.status, h.header, length)
	if _, err := w.sink.Write(begun); err != nil {
		return ClientGone{}, errClientGone
	}
	if _, err := io.Copy(w.sink, rest); err != nil {
		return Interrupted{Reason: Failed}, err
	}
	return Answered{Status: h.status}, nil
}

// beginStream sends the head of a stream.
func (w unsent) beginStream(r *channel.Reply, h responseHead) *callerStream {
	w.sink.Begin(h.status, h.header, -1)
	return &callerStream{sink: w.sink, head: headOf(r)}
}

// callerStream is the stream that a caller receives, from one or several servers.
type callerStream struct {
	sink Sink
	head streamHead
}

// write sends an event and optionally flushes the sink.
func (w *callerStream) write(ev event, flush bool) error {
	if _, err := w.sink.Write(ev.raw); err != nil {
		return errClientGone
	}
	if !flush {
		return nil
	}
	if err := w.sink.Flush(); err != nil {
		return errClientGone
	}
	return nil
}

// streamHead is what the heads of all responses to a stream have in common.
type streamHead struct {
	status    int
	mediaType string
	encoding  string
}

// headOf returns the head of a response. A stream need not name its media type.
func headOf(r *channel.Reply) streamHead {
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if mediaType == "" {
		mediaType = eventStream
	}
	return streamHead{status: r.Status, mediaType: mediaType, encoding: r.Header.Get("Content-Encoding")}
}

// continuedBy reports whether a response of another server may be the rest of the stream, by its
// head.
func (w *callerStream) continuedBy(r *channel.Reply) bool { return headOf(r) == w.head }

// eventStream is the media type of a stream of events.
const eventStream = "text/event-stream"

// isStream reports whether a response may be a stream of events.
func isStream(r *channel.Reply) bool { return headOf(r).mediaType == eventStream }

var errClientGone = errors.New("caller has disconnected")
