// Package slowreader bounds how long callers may leave their answers unread.
//
// A caller that reads slowly is waited for: nothing more is read from its server than it takes.
// One that has stopped to read would keep its request, its connection and a place at a server
// for as long as its machine answers to the network.
package slowreader

import (
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// Longest is how long a caller may take nothing of an answer: servers themselves break off
	// answers that are not read for some seconds.
	Longest = 10 * time.Second
	// renewAfter is the least time between two settings of a deadline, so that a stream of
	// small events does not set one for each.
	renewAfter = time.Second
)

// Guard lets callers go that do not read. Set the exported fields, then Wrap.
type Guard struct {
	Log log.Logger

	// Gone counts callers that were let go.
	Gone atomic.Int64
}

// Wrap returns a handler whose answers are guarded.
func (g *Guard) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guarded := &writer{ResponseWriter: w, control: http.NewResponseController(w), guard: g, path: r.URL.Path}
		// What is left in buffers leaves after the handler's end.
		defer guarded.renew()
		h.ServeHTTP(guarded, r)
	})
}

// writer is an answer whose writes have a deadline.
type writer struct {
	http.ResponseWriter
	control *http.ResponseController
	guard   *Guard
	path    string
	renewed time.Time
	gone    bool
}

// Unwrap lets a response controller find what it needs.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// renew sets the time until which something must have been taken. A connection without
// deadlines, as in tests of handlers, is not guarded.
func (w *writer) renew() {
	now := time.Now()
	if now.Sub(w.renewed) < renewAfter {
		return
	}
	w.renewed = now
	_ = w.control.SetWriteDeadline(now.Add(Longest))
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.renew()
	n, err := w.ResponseWriter.Write(p)
	w.note(err)
	return n, err
}

// FlushError flushes what is buffered; response controllers find it.
func (w *writer) FlushError() error {
	w.renew()
	err := w.control.Flush()
	w.note(err)
	return err
}

// note logs that the caller was let go, once.
func (w *writer) note(err error) {
	if w.gone || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.gone = true
	w.guard.Gone.Add(1)
	w.guard.Log.Warn().Str("path", w.path).Dur("unread_for", Longest).Msg("caller: does not read its answer: it is let go")
}
