package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"ladderridge.example/daemon/tcpconn"
)

// Direction is a direction of traffic through a proxy.
type Direction int

const (
	// ToServer is the direction from the client, which opens the connection, to the server.
	ToServer Direction = iota
	// ToClient is the direction from the server to the client.
	ToClient
)

// TCPProxy is a TCP proxy on loopback that can stall, delay and reset connections. Data in a
// stalled direction is kept and delivered once the stall ends, as TCP retransmission does after
// an outage; new connections are accepted and stalled as well.
type TCPProxy struct {
	addr   string
	target string

	mu       sync.Mutex
	listener net.Listener
	// reservedFD is the socket that keeps the address reserved while the proxy is down.
	reservedFD int
	stalled    [2]bool
	delay      time.Duration
	// changed is closed and replaced whenever a setting changes.
	changed chan struct{}
	conns   map[net.Conn]bool
	refuse  bool
	closed  bool
}

// NewTCPProxy starts a proxy that forwards to target.
func NewTCPProxy(target string) (*TCPProxy, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "start link", Kind: NoStart, Err: err}
	}
	link := &TCPProxy{listener: l, addr: l.Addr().String(), target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go link.accept(l)
	return link, nil
}

// Addr returns the address that the proxy listens on.
func (l *TCPProxy) Addr() string { return l.addr }

// Close stops the proxy and resets its connections.
func (l *TCPProxy) Close() {
	l.change(func() {
		_ = l.listener.Close()
		l.closed, l.stalled = true, [2]bool{}
	})
	l.Reset()
}

// Stall starts or ends a stall in a direction.
func (l *TCPProxy) Stall(d Direction, held bool) { l.change(func() { l.stalled[d] = held }) }

// Delay sets a delay that applies to each chunk of data, in both directions.
func (l *TCPProxy) Delay(d time.Duration) { l.change(func() { l.delay = d }) }

// Refuse has new connections reset, or accepts them again.
func (l *TCPProxy) Refuse(refuse bool) { l.change(func() { l.refuse = refuse }) }

// SetDown closes the listener or opens it again. While the proxy is down, new connections are
// refused, and a socket that does not listen keeps the address reserved.
func (l *TCPProxy) SetDown(down bool) (err error) {
	l.change(func() {
		switch {
		case l.closed:
		case down:
			_ = l.listener.Close()
			l.reservedFD, err = reserveAddr(l.listener.Addr().(*net.TCPAddr))
		default:
			err = l.relisten()
		}
	})
	return err
}

// relisten opens the listener again. The caller holds l.mu.
func (l *TCPProxy) relisten() error {
	again, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.addr)
	if err != nil {
		return err
	}
	_ = syscall.Close(l.reservedFD)
	l.listener = again
	go l.accept(again)
	return nil
}

// reserveAddr binds a socket to an address without listening.
func reserveAddr(addr *net.TCPAddr) (fd int, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fd, err
	}
	return fd, syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})
}

func (l *TCPProxy) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections.
func (l *TCPProxy) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
	clear(l.conns)
}

// CloseConnections closes all connections.
func (l *TCPProxy) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *TCPProxy) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(from)
	}
}

// forward connects to the target and forwards both directions until both have ended.
func (l *TCPProxy) forward(from net.Conn) {
	to, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target)
	if err != nil || !l.add(from, to) {
		abort(from)
		if err == nil {
			abort(to)
		}
		return
	}
	defer l.remove(from, to)
	caller, server := tcpconn.New(from), tcpconn.New(to)
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, caller, ToServer) })
	both.Go(func() { l.copy(caller, server, ToClient) })
	both.Wait()
}

func (l *TCPProxy) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse || l.closed {
		return false
	}
	for _, c := range conns {
		l.conns[c] = true
	}
	return true
}

func (l *TCPProxy) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

// bufferSize is the size of the copy buffer, in bytes.
const bufferSize = 16 << 10

// copy forwards one direction. It propagates an end of stream as such, and a reset as a reset.
func (l *TCPProxy) copy(to, from *tcpconn.Conn, d Direction) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		l.waitToForward(d)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(from.Conn)
				return
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.Conn.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // Read returns io.EOF itself.
			_ = tcp.CloseWrite()
			return
		}
		abort(to.Conn)
		return
	}
}

// waitToForward blocks while a direction is stalled, then applies the delay.
func (l *TCPProxy) waitToForward(d Direction) {
	for {
		l.mu.Lock()
		stalled, delay, changed := l.stalled[d], l.delay, l.changed
		l.mu.Unlock()
		if !stalled {
			if delay > 0 {
				time.Sleep(delay)
			}
			return
		}
		<-changed
	}
}
