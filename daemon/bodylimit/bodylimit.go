// Package bodylimit bounds the memory that request bodies take, for all callers together.
//
// A body of declared length reserves that length before its first byte is read, a body of unknown
// length reserves what has arrived. The reservation lasts until the request has ended, because the
// body is kept to repeat the request at another server. Without the bound, callers that send their
// bodies slowly fill the memory of a small VM. A deadline limits how long they can hold it.
package bodylimit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// DefaultTimeout is how long a caller may take to send its body if nothing else is set.
	DefaultTimeout = 30 * time.Second
	// RetryAfter is the retry-after time of a request that is refused for lack of memory. It is
	// short compared with DefaultTimeout, because another refusal costs little.
	RetryAfter = time.Second
	// logInterval is the minimum time between two log lines about refusals: thousands of callers
	// may be refused at once.
	logInterval = 5 * time.Second
	// maxRead bounds what is read of a body of unknown length before it is reserved, in bytes.
	maxRead = 4 << 10
)

// Limiter applies a budget and a deadline to the bodies of an HTTP handler's requests. Set the
// exported fields, then Wrap.
type Limiter struct {
	Budget Budget
	// Timeout returns how long a caller may take to send its body at present; 0 means
	// DefaultTimeout. A nil Timeout does too.
	Timeout func() time.Duration
	Log     log.Logger

	// Refused counts the requests whose bodies found no room in the budget, TimedOut those whose
	// bodies were not sent in time.
	Refused  atomic.Int64
	TimedOut atomic.Int64

	lastLogged atomic.Int64
}

// Wrap returns a handler that calls h with a limited body. Reading the body fails with an *Error,
// with kind Full or TooLarge before anything that is not reserved is returned. The first read of a
// body of declared length reserves it, also a read of zero bytes. A handler that does not read a
// body to its end should close the connection: otherwise the HTTP server reads the rest before it
// sends the response.
func (l *Limiter) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, limiter: l, control: http.NewResponseController(w), length: r.ContentLength}
		defer func() { l.Budget.Release(b.reserved) }()
		// A connection without support for deadlines, such as in tests of handlers, has none.
		_ = b.control.SetReadDeadline(time.Now().Add(l.timeout()))
		// The HTTP server looks at the type of the original request's body.
		limited := r.WithContext(r.Context())
		limited.Body = b
		h.ServeHTTP(w, limited)
	})
}

func (l *Limiter) timeout() time.Duration {
	if l.Timeout != nil {
		if d := l.Timeout(); d > 0 {
			return d
		}
	}
	return DefaultTimeout
}

// recordRefusal counts a request that found no room, and logs it if the last such line is old.
func (l *Limiter) recordRefusal(err error, length int64) {
	n := l.Refused.Add(1)
	now, last := time.Now().UnixNano(), l.lastLogged.Load()
	if now-last < int64(logInterval) || !l.lastLogged.CompareAndSwap(last, now) {
		return
	}
	l.Log.Warn().Err(err).Int64("declared_bytes", length).Int64("held_bytes", l.Budget.Held()).Int64("limit_bytes", l.Budget.Limit).Int64("refused", n).Msg("caller: request body refused")
}

// body is a request body that is read against a budget. One goroutine reads it.
type body struct {
	io.ReadCloser
	limiter  *Limiter
	control  *http.ResponseController
	length   int64 // declared length, -1 if unknown
	reserved int64
	err      error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.length > 0 && b.reserved == 0 && !b.reserve(b.length) {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if b.length < 0 {
		p = p[:min(len(p), maxRead)]
	}
	n, err := b.ReadCloser.Read(p)
	if b.length < 0 && n > 0 && !b.reserve(int64(n)) {
		return 0, b.err
	}
	b.err = b.convert(err)
	return n, b.err
}

// reserve reserves n more bytes and reports whether there was room for them.
func (b *body) reserve(n int64) bool {
	if err := b.limiter.Budget.Reserve(b.reserved, n); err != nil {
		b.err = err
		b.limiter.recordRefusal(err, b.length)
		return false
	}
	b.reserved += n
	return true
}

// convert handles the result of a read. The deadline is removed at the end of the body, because
// the HTTP server then reads on to notice that the caller disconnects (that of Go 1.26 removes it
// too, but does not promise that). In all other cases the deadline stays and limits how long the
// HTTP server waits for the rest.
func (b *body) convert(err error) error {
	switch {
	case err == io.EOF: //nolint:errorlint // io.Reader returns io.EOF itself.
		_ = b.control.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.limiter.TimedOut.Add(1)
		return &Error{Op: "read request body", Kind: TimedOut, Err: err}
	}
	return err
}
