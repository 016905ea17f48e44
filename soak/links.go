package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Direction is one way of a connection.
type Direction int

// The directions.
const (
	// Forth is from whoever opens the connection.
	Forth Direction = iota
	// Back is to whoever opens it.
	Back
)

// Link is a proxy for TCP on loopback that holds, delays and resets what goes
// through it. A held direction keeps what comes until it is let go, as a network
// does that sends again; new connections are accepted and held alike.
type Link struct {
	addr   string
	target string

	mu       sync.Mutex
	listener net.Listener
	// holder is the socket that keeps the address while nobody listens.
	holder int
	held   [2]bool
	delay  time.Duration
	// changed is closed and made anew at each change.
	changed chan struct{}
	conns   map[net.Conn]bool
	refuse  bool
	closed  bool
}

// NewLink starts a proxy to an address.
func NewLink(target string) (*Link, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, &Error{Op: "start link", Kind: NoStart, Err: err}
	}
	link := &Link{listener: l, addr: l.Addr().String(), target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go link.accept(l)
	return link, nil
}

// Addr is where the link is reached.
func (l *Link) Addr() string { return l.addr }

// Close ends the link with its connections.
func (l *Link) Close() {
	l.change(func() {
		_ = l.listener.Close()
		l.closed, l.held = true, [2]bool{}
	})
	l.Reset()
}

// Hold holds what goes in a direction, or lets it go.
func (l *Link) Hold(d Direction, held bool) { l.change(func() { l.held[d] = held }) }

// Delay delays what goes through, in both directions.
func (l *Link) Delay(d time.Duration) { l.change(func() { l.delay = d }) }

// Refuse resets new connections.
func (l *Link) Refuse(refuse bool) { l.change(func() { l.refuse = refuse }) }

// Down has nobody listen: new connections are refused, and the address stays taken by a
// socket that does not listen.
func (l *Link) Down(down bool) (err error) {
	l.change(func() {
		switch {
		case l.closed:
		case down:
			_ = l.listener.Close()
			l.holder, err = hold(l.listener.Addr().(*net.TCPAddr))
		default:
			err = l.listenAgain()
		}
	})
	return err
}

// listenAgain ends that nobody listens; l is locked.
func (l *Link) listenAgain() error {
	again, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.addr)
	if err != nil {
		return err
	}
	_ = syscall.Close(l.holder)
	l.listener = again
	go l.accept(again)
	return nil
}

// hold takes an address without listening there.
func hold(addr *net.TCPAddr) (fd int, err error) {
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fd, err
	}
	return fd, syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})
}

func (l *Link) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
	clear(l.conns)
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Link) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go l.join(from)
	}
}

// join connects the two sides until both have ended.
func (l *Link) join(from net.Conn) {
	to, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.target)
	if err != nil || !l.add(from, to) {
		abort(from)
		if err == nil {
			abort(to)
		}
		return
	}
	defer l.remove(from, to)
	var both sync.WaitGroup
	both.Go(func() { l.copy(to, from, Forth) })
	both.Go(func() { l.copy(from, to, Back) })
	both.Wait()
}

func (l *Link) add(conns ...net.Conn) bool {
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

func (l *Link) remove(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
		delete(l.conns, c)
	}
}

// chunk is how much is read at a time, in bytes.
const chunk = 16 << 10

// copy carries one direction. An end is passed on as an end, a reset as a reset.
func (l *Link) copy(to, from net.Conn, d Direction) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		l.pass(d)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				abort(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF { //nolint:errorlint // Read returns io.EOF itself.
			_ = tcp.CloseWrite()
			return
		}
		abort(to)
		return
	}
}

// pass waits while a direction is held, and then for the delay.
func (l *Link) pass(d Direction) {
	for {
		l.mu.Lock()
		held, delay, changed := l.held[d], l.delay, l.changed
		l.mu.Unlock()
		if !held {
			if delay > 0 {
				time.Sleep(delay)
			}
			return
		}
		<-changed
	}
}
