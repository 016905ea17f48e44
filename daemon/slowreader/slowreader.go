// Package slowreader disconnects callers that have stopped reading their responses.
//
// A caller that reads slowly is served at its own speed: no more is read from its backend server
// than the caller accepts. Without a write deadline, a caller that has stopped reading would hold
// its request, its connection and a slot at a server until the network connection fails.
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
	// WriteTimeout is how long a write to a caller may block. Backend servers themselves abort
	// responses that are not read for some seconds.
	WriteTimeout = 10 * time.Second
	// minRenewInterval is the minimum time between two extensions of a write deadline, so that a
	// stream of small events does not extend it for each event.
	minRenewInterval = time.Second
)

// Guard disconnects callers that do not read their responses. Set the exported fields, then Wrap.
type Guard struct {
	Log log.Logger

	// Disconnected counts the callers that were disconnected.
	Disconnected atomic.Int64
}

// Wrap returns a handler that calls h with a write deadline on its response.
func (g *Guard) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guarded := &writer{ResponseWriter: w, control: http.NewResponseController(w), guard: g, path: r.URL.Path}
		// The HTTP server flushes its buffers after the handler has returned.
		defer guarded.extendDeadline()
		h.ServeHTTP(guarded, r)
	})
}

// writer is a response writer that extends the write deadline before each write.
type writer struct {
	http.ResponseWriter
	control  *http.ResponseController
	guard    *Guard
	path     string
	renewed  time.Time
	timedOut bool
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// extendDeadline sets the write deadline to WriteTimeout from now. A connection without support
// for deadlines, such as in tests of handlers, has none.
func (w *writer) extendDeadline() {
	now := time.Now()
	if now.Sub(w.renewed) < minRenewInterval {
		return
	}
	w.renewed = now
	_ = w.control.SetWriteDeadline(now.Add(WriteTimeout))
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	w.extendDeadline()
	n, err := w.ResponseWriter.Write(p)
	w.recordTimeout(err)
	return n, err
}

// FlushError flushes buffered data. http.ResponseController calls it.
func (w *writer) FlushError() error {
	w.extendDeadline()
	err := w.control.Flush()
	w.recordTimeout(err)
	return err
}

// recordTimeout logs and counts, once per response, that the caller was disconnected.
func (w *writer) recordTimeout(err error) {
	if w.timedOut || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	w.timedOut = true
	w.guard.Disconnected.Add(1)
	w.guard.Log.Warn().Str("path", w.path).Dur("unread_for", WriteTimeout).Msg("caller: stopped reading its response: disconnected")
}
