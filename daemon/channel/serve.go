package channel

import (
	"context"
	"net"
	"time"

	"ladderridge.example/core/reach"
)

const (
	// relayedDialTimeout limits the time to connect to a server for another
	// daemon, which has other daemons to ask.
	relayedDialTimeout = 250 * time.Millisecond
	// relayedKeepAlive is how long a connection is kept after another daemon's
	// request: this daemon does not know how long the server keeps it.
	relayedKeepAlive = keepAliveMargin + 500*time.Millisecond
)

// ServerConn is a direct connection to a server, for another daemon.
type ServerConn struct {
	net.Conn
	pool *Pool
	addr string
	conn *persistentConn
}

// Keep keeps the connection for further requests after a complete exchange. No
// other goroutine may use it any more.
func (c *ServerConn) Keep() {
	if c.SetDeadline(time.Time{}) != nil {
		c.conn.close()
		return
	}
	c.conn.keepAlive = relayedKeepAlive
	c.pool.putIdle(c.addr, c.conn)
}

// Connect connects to a server directly on behalf of another daemon; a maxIdle
// of 0 means the default. Without a connection the answer tells whether the server
// or this daemon's own path is at fault: to know that, it connects to other servers.
func (p *Pool) Connect(ctx context.Context, addr string, maxIdle time.Duration) (*ServerConn, reach.Answer) {
	if c := p.takeIdle(addr, Endpoint{MaxIdle: maxIdle}.maxIdle()); c != nil {
		return p.serverConn(addr, c), reach.Connected
	}
	switch plan := p.Paths.Plan(addr, time.Now()).(type) {
	case reach.Fail:
		return nil, reach.CutOff
	case reach.Relayed:
		if !plan.Check {
			return nil, reach.CutOff
		}
	}
	ctx, cancel := context.WithTimeout(ctx, relayedDialTimeout)
	defer cancel()
	c, err := p.openDirect(ctx, addr)
	if err == nil {
		p.changed(p.Paths.Reached(addr, time.Now()))
		return p.serverConn(addr, c), reach.Connected
	}
	if p.refusedByExit(addr, err) {
		return nil, reach.ServerRefused
	}
	if p.Paths.OthersFailing(addr, time.Now()) || !p.provePath(addr) {
		p.changed(p.Paths.Failed(addr, TimedOut(err), time.Now()))
		return nil, reach.CutOff
	}
	p.changed(p.Paths.Down(addr, time.Now()))
	if ConnectionRefused(err) {
		return nil, reach.ServerRefused
	}
	return nil, reach.ServerDown
}

func (p *Pool) serverConn(addr string, c *persistentConn) *ServerConn {
	return &ServerConn{Conn: c.stream, pool: p, addr: addr, conn: c}
}

// provePath reports whether direct connections to other servers than the given
// one can be opened. One of several may be reached by chance while the path to
// the others is cut.
func (p *Pool) provePath(except string) bool {
	if p.References == nil {
		return false
	}
	addrs := p.References(except)
	proven := make(chan bool, len(addrs))
	for _, addr := range addrs {
		go func() { proven <- p.reaches(addr) }()
	}
	intact := len(addrs) > 0
	for range addrs {
		intact = <-proven && intact
	}
	return intact
}

// reaches reports whether a direct connection to a server can be opened, and keeps
// it for the next request.
func (p *Pool) reaches(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), relayedDialTimeout)
	defer cancel()
	c, err := p.openAndRecord(ctx, addr)
	if err != nil {
		if ctx.Err() != nil {
			p.changed(p.Paths.Failed(addr, true, time.Now()))
		}
		return false
	}
	p.putIdle(addr, c)
	return true
}
