// Package tcpconn tells the regular end of a TCP connection from a reset. The system reports a reset once, to
// a read or to a write: if a goroutine that writes has received it, the next read says end of file.
package tcpconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection of which io.EOF means that the other side has ended it in the regular way. An end of
// file of a connection that is not a TCP socket is passed on.
type Conn struct {
	net.Conn
	// writing is held during a write, writeErr is the first error of one.
	writing  sync.Mutex
	writeErr error
}

// New returns a connection over another one, which must not be read from or written to directly.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// stateClosed is the state TCP_CLOSE of Linux: the connection was reset or timed out. After the regular end of
// the other side alone it is another one.
const stateClosed = 7

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns io.EOF itself.
		err = c.end()
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// end returns io.EOF, or the error with which the connection broke.
func (c *Conn) end() error {
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	state, pending, err := socketState(sys)
	switch {
	case err != nil:
		return err
	case state != stateClosed, pending == unix.EPIPE:
		// EPIPE is pending after a reset that came behind the regular end.
		return io.EOF
	}
	// On a closed connection a write returns at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case errors.Is(c.writeErr, unix.EPIPE):
		return io.EOF
	case c.writeErr != nil:
		return c.writeErr
	}
	return unix.ECONNRESET
}

// socketState returns the state of a TCP connection and its pending error.
func socketState(conn syscall.Conn) (state uint8, pending unix.Errno, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); failed != nil {
			return
		}
		var code int
		code, failed = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		state, pending = info.State, unix.Errno(code) //nolint:gosec // An error number.
	})
	return state, pending, errors.Join(err, failed)
}
