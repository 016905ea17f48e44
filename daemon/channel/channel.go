// Package channel sends HTTP/1.1 requests to backend servers over connections
// whose state it tracks. Every outcome is classified: nothing was sent, the
// answer is complete, or it is unknown whether the request ran. A request is
// sent at most once: unlike a general HTTP client, the package never resends a
// request after a reused connection broke.
package channel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"ladderridge.example/core/notice"
	"ladderridge.example/daemon/tcpconn"
)

// readBuffer is the size of a connection's read buffer, in bytes: the events of
// a stream are small, and a daemon has hundreds of connections.
const readBuffer = 4 << 10

// persistentConn is a connection to a server. One goroutine at a time uses it.
type persistentConn struct {
	conn net.Conn
	// stream is conn for reading and writing.
	stream *tcpconn.Conn
	read   *bufio.Reader
	// headLeft is how many bytes may be received until the head of the next
	// answer is complete, or noLimit.
	headLeft int
	// readErr is the error of the last read from the connection: without one, an
	// answer that cannot be parsed is malformed.
	readErr error
	// openedAt is when the connection was established, or zero if unknown.
	openedAt time.Time
	// written counts the bytes sent to the server.
	written atomic.Int64
	// idleSince is when the last answer ended. keepAlive is how long the server
	// keeps an idle connection from then on, or 0 if it does not say.
	idleSince time.Time
	keepAlive time.Duration
	// userTimeout is how long bytes may remain unacknowledged.
	userTimeout time.Duration
	// watched is closed when the idle connection is not read from any more, ended is set if it has ended.
	watched chan struct{}
	ended   bool
	// reason says why the connection leads through another daemon, if it does.
	reason string
}

func newPersistentConn(conn net.Conn) *persistentConn {
	c := &persistentConn{conn: conn, stream: tcpconn.New(conn), headLeft: noLimit, openedAt: time.Now(), userTimeout: userTimeout}
	c.read = bufio.NewReaderSize(connReader{c}, readBuffer)
	return c
}

const (
	// maxHead bounds the head of an answer, with its interim responses, in bytes:
	// a faulty server may send bytes without end in place of it.
	maxHead = 64 << 10
	// noLimit as headLeft allows any number of bytes.
	noLimit = -1
)

// ErrHeadTooLong is the cause of an interruption by a head without end.
var ErrHeadTooLong = errors.New("the head of the answer is too long")

// connReader reads from the connection, as many bytes as headLeft allows.
type connReader struct{ c *persistentConn }

// Read implements io.Reader.
func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	switch c.headLeft {
	case noLimit:
	case 0:
		return 0, ErrHeadTooLong
	default:
		p = p[:min(len(p), c.headLeft)]
	}
	var n int
	n, c.readErr = c.stream.Read(p)
	if c.headLeft != noLimit {
		c.headLeft -= n
	}
	return n, c.readErr
}

// interruption classifies an error of reading the body of an answer.
func (c *persistentConn) interruption() Kind {
	if c.readErr == nil {
		return Malformed
	}
	return Interrupted
}

// Write counts the bytes that it writes; it implements io.Writer.
func (c *persistentConn) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func (c *persistentConn) close() { _ = c.conn.Close() }

// reusable reports whether the connection may carry another request: it has not
// been idle for too long, no unread bytes are buffered, and the server has
// neither sent more bytes nor closed it.
func (c *persistentConn) reusable(now time.Time, maxIdle time.Duration) bool {
	limit := maxIdle
	if c.keepAlive > 0 {
		limit = min(limit, c.keepAlive-keepAliveMargin)
	}
	return !c.ended && now.Sub(c.idleSince) < limit && c.read.Buffered() == 0 && c.nothingReceived()
}

// nothingReceived reports whether the server has neither sent bytes nor closed
// the connection. It does not block and consumes no bytes.
func (c *persistentConn) nothingReceived() bool {
	sys, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// keepAliveTimeout returns how long the server keeps an idle connection, or 0
// if it does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// RequestedBackoff returns the back-off that an answer asks for. Only an answer
// that rejects its request can ask for one.
func RequestedBackoff(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	return notice.ParseSeconds(h.Get("Retry-After"))
}

// writeRequest writes a complete request. Head and body are sent in one write
// if they are short.
func (c *persistentConn) writeRequest(x Request) error {
	w := bufio.NewWriterSize(c, writeBuffer)
	_, _ = w.WriteString(x.Method + " " + x.Target + " HTTP/1.1\r\nHost: " + x.Host + "\r\n")
	if err := x.Header.Write(w); err != nil {
		return err
	}
	if len(x.Body) > 0 || x.SendLength {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(x.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if _, err := w.Write(x.Body); err != nil {
		return err
	}
	return w.Flush()
}

// writeBuffer is the size of the write buffer in bytes; a typical request fits
// into it.
const writeBuffer = 32 << 10

// discard reads and drops an answer that belongs to no request on this
// connection.
func discard(r *response) error {
	if !r.selfDelimited {
		return errors.New("the surplus answer has no end but that of its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.body, maxSurplusBytes+1))
	if err == nil && n > maxSurplusBytes {
		err = errors.New("the surplus answer is too long")
	}
	return err
}

// maxSurplusBytes is the maximum size in bytes of a surplus answer that is
// discarded.
const maxSurplusBytes = 64 << 10
