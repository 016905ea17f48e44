package channel

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClosed is the state TCP_CLOSE of Linux: the connection was reset or timed out. After the regular end of
// the other side alone it is another one.
const tcpClosed = 7

// receive reads from the connection. io.EOF means that the server has ended the connection in the regular
// way, which for an answer without a length means that it is complete.
func (c *persistentConn) receive(p []byte) (int, error) {
	n, err := c.conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns io.EOF itself.
		err = c.endOfFile()
	}
	return n, err
}

// endOfFile returns io.EOF, or the error with which the connection broke. The system reports a reset once: if
// a write has received it, the next read says end of file.
func (c *persistentConn) endOfFile() error {
	sys, ok := c.conn.(syscall.Conn)
	if !ok {
		return io.EOF
	}
	state, pending, err := socketState(sys)
	switch {
	case err != nil:
		return err
	case state != tcpClosed, pending == unix.EPIPE:
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

// Write implements io.Writer. It counts the bytes and records the first error.
func (c *persistentConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.conn.Write(p)
	c.written.Add(int64(n))
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *ServerConn) Read(p []byte) (int, error) { return c.conn.receive(p) }

// Write implements net.Conn.
func (c *ServerConn) Write(p []byte) (int, error) { return c.conn.Write(p) }

var _ net.Conn = (*ServerConn)(nil)
