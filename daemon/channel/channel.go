// Package channel exchanges HTTP/1.1 requests with backend servers over
// connections whose state it owns. Every end of an exchange is classified:
// nothing was sent, the answer is whole, or nobody knows. A request goes out at
// most once: nothing is sent again behind the caller's back, as a general HTTP
// client does on a kept connection that broke.
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
)

// readBuffer is the size of a connection's read buffer, in bytes: the events of
// a stream are small, and a daemon has hundreds of connections.
const readBuffer = 4 << 10

// channel is one connection to a server. One goroutine at a time uses it.
type channel struct {
	conn net.Conn
	read *bufio.Reader
	// written counts the bytes that have left for the server.
	written atomic.Int64
	// rested is when the last answer ended; keep is how long the server then
	// keeps the connection, 0 if it does not say.
	rested time.Time
	keep   time.Duration
}

func newChannel(conn net.Conn) *channel {
	return &channel{conn: conn, read: bufio.NewReaderSize(conn, readBuffer)}
}

// Write counts what leaves; it implements io.Writer.
func (c *channel) Write(p []byte) (int, error) {
	n, err := c.conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func (c *channel) close() { _ = c.conn.Close() }

// fresh reports whether the connection may carry another request: it has not
// rested too long, no byte that belongs to no request has come, and the server
// has not closed it.
func (c *channel) fresh(now time.Time, longest time.Duration) bool {
	limit := longest
	if c.keep > 0 {
		limit = min(limit, c.keep-keepMargin)
	}
	return now.Sub(c.rested) < limit && c.read.Buffered() == 0 && c.silent()
}

// silent reports whether neither bytes nor an end have come from the server. It
// looks without waiting and without taking anything.
func (c *channel) silent() bool {
	sys, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepTime reads how long the server keeps a resting connection.
func keepTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// RestAsked is the rest that an answer asks for: only one that turns its request away does.
func RestAsked(status int, h http.Header) time.Duration {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	return notice.ParseSeconds(h.Get("Retry-After"))
}

// writeRequest writes a request whole. Head and body leave in one write if they
// are short.
func (c *channel) writeRequest(x Request) error {
	w := bufio.NewWriterSize(c, writeBuffer)
	_, _ = w.WriteString(x.Method + " " + x.Target + " HTTP/1.1\r\nHost: " + x.Host + "\r\n")
	if err := x.Header.Write(w); err != nil {
		return err
	}
	if len(x.Body) > 0 || x.Sized {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(x.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	if _, err := w.Write(x.Body); err != nil {
		return err
	}
	return w.Flush()
}

// writeBuffer holds a usual request whole, in bytes.
const writeBuffer = 32 << 10

// readHead reads the head of an answer and passes over interim ones.
func (c *channel) readHead(method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.read, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		_ = resp.Body.Close()
	}
}

// discard reads an answer that belongs to no request here.
func discard(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplus+1))
	if err == nil && n > maxSurplus {
		err = errors.New("the surplus answer is too long")
	}
	return err
}

// maxSurplus bounds the surplus answer that is read past, in bytes.
const maxSurplus = 64 << 10
