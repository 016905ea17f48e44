package channel

import (
	"context"
	"errors"
	"os"
	"time"

	"ladderridge.example/core/quarantine"
)

// Probe checks in the background whether a server that interrupted an answer is
// still running, with at most one probe of an instance at a time. The
// connection is kept for the next request. If the server refuses it, ended is
// called.
func (p *Pool) Probe(runs *quarantine.Tracker, at quarantine.Instance, ended func(quarantine.Instance)) {
	if !runs.BeginProbe(at) {
		return
	}
	go func() {
		defer runs.EndProbe(at)
		switch c, shows := p.connect(context.Background(), at.Addr); shows {
		case Running:
			p.release(at.Addr, c)
		case Exited:
			ended(at)
		case Unknown:
		}
	}()
}

// Liveness is what a connection attempt shows of a server.
type Liveness int

const (
	// Unknown means that no connection was established, but the server may be running.
	Unknown Liveness = iota
	// Running means that the server accepts connections.
	Running
	// Exited means that nothing listens at the server's address.
	Exited
)

// listenerCloseTime is how long after its connections the listener of an exiting
// process may be closed: the system closes them one after the other, and accepts
// connections for the process until then.
const listenerCloseTime = 25 * time.Millisecond

// Check tells whether a server is running. The connection is kept for the next
// request.
func (p *Pool) Check(ctx context.Context, addr string) Liveness {
	c, shows := p.connect(ctx, addr)
	switch {
	case shows != Running:
		return shows
	case c.staysOpen(listenerCloseTime):
		p.release(addr, c)
		return Running
	}
	c.close()
	// A running server may end connections beyond a limit, an exited one accepts no more.
	if c, shows = p.connect(ctx, addr); shows == Running {
		p.release(addr, c)
	}
	return shows
}

// connect opens a connection and returns what that shows of the server.
func (p *Pool) connect(ctx context.Context, addr string) (*persistentConn, Liveness) {
	c, err := p.open(ctx, Endpoint{Addr: addr})
	switch {
	case err == nil:
		return c, Running
	case ConnectionRefused(err):
		return nil, Exited
	}
	return nil, Unknown
}

// staysOpen reports whether the server neither ends the connection nor sends
// anything over it for some time.
func (c *persistentConn) staysOpen(d time.Duration) bool {
	if c.conn.SetReadDeadline(time.Now().Add(d)) != nil {
		return false
	}
	_, err := c.read.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.conn.SetReadDeadline(time.Time{}) == nil
}
