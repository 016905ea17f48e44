package channel

import (
	"errors"
	"io"
	"os"
	"slices"
	"time"
)

// watchIdle reads from an idle connection, so that its end is known at once: a
// server may exit shortly after an answer.
func (p *Pool) watchIdle(addr string, c *persistentConn) {
	defer close(c.watched)
	_, err := c.read.Peek(1)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		// Surplus bytes are found when the connection is taken.
		return
	}
	c.ended = true
	if p.forget(addr, c) {
		c.close()
		p.idleEnded(addr, err)
	}
}

// forget removes an idle connection from the pool, and reports whether it was
// there.
func (p *Pool) forget(addr string, c *persistentConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle[addr], c)
	if i < 0 {
		return false
	}
	if p.idle[addr] = slices.Delete(p.idle[addr], i, i+1); len(p.idle[addr]) == 0 {
		delete(p.idle, addr)
	}
	return true
}

// idleEnded reports that a server has ended an idle connection.
func (p *Pool) idleEnded(addr string, err error) {
	if errors.Is(err, io.EOF) {
		p.Paths.Closed(addr, time.Now())
	}
	if p.OnIdleEnded != nil {
		p.OnIdleEnded(addr)
	}
}

// stopWatching ends watchIdle for a connection that was removed from the pool.
func (c *persistentConn) stopWatching() {
	if c.watched == nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watched
	c.watched = nil
	_ = c.conn.SetReadDeadline(time.Time{})
}
