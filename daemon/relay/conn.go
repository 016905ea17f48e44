package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/quic-go/quic-go"

	"ladderridge.example/core/reach"
	"ladderridge.example/daemon/channel"
)

// clientConn is a connection to a server through another daemon. It implements
// channel.RelayConn.
type clientConn struct {
	*quic.Stream
	client *Client
	via    string
	addr   string
	// done ends the use of the stream.
	done func()
	end  sync.Once
}

// open asks for the connection to the server.
func (c *clientConn) open(ctx context.Context, e channel.Endpoint) (openResponse, error) {
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return openResponse{}, err
	}
	request := openRequest{Addr: e.Addr, RequestID: e.RequestID, MaxIdleMS: uint64(max(0, e.MaxIdle.Milliseconds()))}
	if !e.Deadline.IsZero() {
		request.TimeLeftMS = uint64(max(1, time.Until(e.Deadline).Milliseconds()))
	}
	if err := writeMessage(c.Stream, request); err != nil {
		return openResponse{}, err
	}
	var response openResponse
	if err := readMessage(c.Stream, &response); err != nil {
		return openResponse{}, err
	}
	return response, c.SetDeadline(time.Time{})
}

// Via implements channel.RelayConn.
func (c *clientConn) Via() string { return c.via }

// Read implements net.Conn. Only a server that has closed its connection properly ends the stream
// with io.EOF.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	return n, c.translate(err)
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Stream.Write(p)
	return n, c.translate(err)
}

// translate returns an error of the stream as the error that a direct connection to the server
// would have returned.
func (c *clientConn) translate(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	var reset *quic.StreamError
	switch {
	case errors.As(err, &reset) && !reset.Remote:
		return net.ErrClosed
	case errors.As(err, &reset) && reset.ErrorCode == codeServerReset:
		return syscall.ECONNRESET
	case errors.As(err, &reset) && reset.ErrorCode == codeServerTimedOut:
		return syscall.ETIMEDOUT
	}
	c.client.Helpers.Answered(c.via, c.addr, reach.Silent, 0, time.Now())
	// The cause is not wrapped: a time-out of the other daemon is none of the server.
	return &Error{Op: "relay through " + c.via, Kind: HelperLost, Err: errors.New(err.Error())}
}

// Release implements channel.RelayConn.
func (c *clientConn) Release() {
	c.end.Do(func() {
		_ = c.Stream.Close()
		c.CancelRead(codeAborted)
		c.finish()
	})
}

// Close implements net.Conn. The other daemon closes its connection to the server.
func (c *clientConn) Close() error {
	c.end.Do(func() {
		c.CancelWrite(codeAborted)
		c.CancelRead(codeAborted)
		c.finish()
	})
	return nil
}

func (c *clientConn) finish() {
	c.client.Helpers.Closed(c.via)
	c.done()
}

// LocalAddr implements net.Conn. A stream has no address of its own.
func (c *clientConn) LocalAddr() net.Addr { return relayAddr("") }

// RemoteAddr implements net.Conn; it is the id of the relaying daemon.
func (c *clientConn) RemoteAddr() net.Addr { return relayAddr(c.via) }

// relayAddr is the id of a daemon as an address.
type relayAddr string

// Network implements net.Addr.
func (relayAddr) Network() string { return "relay" }

// String implements net.Addr.
func (a relayAddr) String() string { return string(a) }
