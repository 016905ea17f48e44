//go:build soak

package main

import (
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"ladderridge.example/core/clock"
)

// The build for the fault soak cuts the paths to the backend servers as the file says that
// pathFileEnv names: "silent" drops all packets, "refused" refuses new connections, "reset" also
// resets the open ones, and an empty or missing file cuts nothing.
const (
	pathFileEnv  = "LADDERRIDGE_SOAK_PATH"
	pollInterval = 20 * time.Millisecond
	// silenceTimeout is how long a connection without acknowledgements lives (TCP_USER_TIMEOUT).
	silenceTimeout = 900 * time.Millisecond
)

// serverDialer returns a dialer for backend servers whose paths can be cut.
func serverDialer() func(ctx context.Context, addr string) (net.Conn, error) {
	p := &serverPaths{file: os.Getenv(pathFileEnv), conns: map[*cuttableConn]bool{}}
	go p.watch()
	return p.dial
}

// serverPaths are the paths to all backend servers.
type serverPaths struct {
	file string

	mu    sync.Mutex
	mode  string
	conns map[*cuttableConn]bool
}

func (p *serverPaths) watch() {
	tick := clock.NewTicker(pollInterval)
	defer tick.Stop()
	for range tick.C {
		data, _ := os.ReadFile(p.file)
		p.set(strings.TrimSpace(string(data)))
	}
}

// set cuts the paths, or heals them.
func (p *serverPaths) set(mode string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == p.mode {
		return
	}
	p.mode = mode
	for c := range p.conns {
		switch mode {
		case "reset":
			c.reset(syscall.ECONNRESET)
		case "silent":
			time.AfterFunc(silenceTimeout, func() { c.reset(syscall.ETIMEDOUT) })
		}
	}
}

func (p *serverPaths) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *serverPaths) dial(ctx context.Context, addr string) (net.Conn, error) {
	switch p.current() {
	case "silent":
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ETIMEDOUT}
	case "refused", "reset":
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &cuttableConn{TCPConn: conn.(*net.TCPConn), paths: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return c, nil
}

// cuttableConn is a connection whose path can be cut. What is sent while the path is silent is
// lost, and with it the connection.
type cuttableConn struct {
	*net.TCPConn
	paths *serverPaths

	mu  sync.Mutex
	err error
}

// Read implements net.Conn.
func (c *cuttableConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	for c.paths.current() == "silent" && c.broken() == nil {
		time.Sleep(pollInterval)
	}
	if broken := c.broken(); broken != nil {
		return 0, broken
	}
	return n, err
}

// Write implements net.Conn.
func (c *cuttableConn) Write(b []byte) (int, error) {
	if broken := c.broken(); broken != nil {
		return 0, broken
	}
	if c.paths.current() == "silent" {
		time.AfterFunc(silenceTimeout, func() { c.reset(syscall.ETIMEDOUT) })
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

func (c *cuttableConn) broken() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// reset breaks the connection with an error.
func (c *cuttableConn) reset(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	c.mu.Unlock()
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
}

// Close implements net.Conn.
func (c *cuttableConn) Close() error {
	c.paths.mu.Lock()
	delete(c.paths.conns, c)
	c.paths.mu.Unlock()
	return c.TCPConn.Close()
}
