package channel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/reach"
)

const opExchange = "exchange with server"

// Limits of connections.
const (
	// dialTimeout limits the time to establish a connection: the round trip to
	// another hall takes a few milliseconds. A lost packet is sent again only
	// after a second; by then another server has answered.
	dialTimeout = 400 * time.Millisecond
	// defaultMaxIdle is how long an idle connection is kept. Servers close idle
	// connections after a time of their own; the shorter time applies.
	defaultMaxIdle = 10 * time.Second
	// keepAliveMargin is subtracted from the keep-alive time that a server
	// announces, so that no request is sent while the server closes the
	// connection.
	keepAliveMargin = 500 * time.Millisecond
	// userTimeout closes a connection whose bytes the other machine does not
	// acknowledge, because it has lost power or is disconnected. Two packets
	// lost in a row are retransmitted within it. Keep-alive probes detect the
	// same on a connection that only waits for an answer; the system counts
	// their times in whole seconds, and gives up by this time-out, too, whatever
	// their number.
	userTimeout = 900 * time.Millisecond
	// nonRepeatableUserTimeout is that of a request that must not be sent twice.
	// A server may be silent for a second or so and go on; the request cannot be
	// sent to another one.
	nonRepeatableUserTimeout = 2200 * time.Millisecond
	keepAliveIdle            = time.Second
	keepAliveInterval        = time.Second
	keepAliveProbes          = 1
	// shortBody is the length in bytes up to which a body fits into the socket
	// buffers. Such a request is written before the answer is read.
	shortBody = 2 << 10
	// writeGrace is how long after the end of an answer the write of a longer
	// request may still return for the connection to be kept.
	writeGrace = 50 * time.Millisecond
	// maxSurplusAnswers is the number of answers to earlier requests that are
	// discarded.
	maxSurplusAnswers = 2
)

// NonRepeatableMaxIdle is the maximum idle time of a connection that carries a
// request that must not be sent twice. If a connection has been idle for
// longer, the server is more likely to be closing it, and it would then be
// unknown whether the request ran.
const NonRepeatableMaxIdle = 2 * time.Second

// Request is one request to a server.
type Request struct {
	Endpoint
	Method string
	// Target is the path with its query, unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// SendLength sends a Content-Length for an empty body too.
	SendLength bool
	// NonRepeatable requests must not be sent twice.
	NonRepeatable bool
	// BeforeSend, if set, is called once the connection is established, just
	// before the first byte is sent; its error stops the request.
	BeforeSend func(Path) error
	// Surplus reports whether an answer with that head belongs to an earlier
	// request, so that the one to this request may follow; nil means that none
	// does. unused is set on a connection that carries its first request.
	Surplus func(status int, h http.Header, unused bool) bool
}

// Pool keeps idle connections to servers for further requests.
type Pool struct {
	// Dial opens a connection; NewPool sets one over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Listed must be set before Run. It returns a function that reports whether
	// a server is listed at an address.
	Listed func() func(addr string) bool
	// Relay connects to servers through other daemons; nil connects directly
	// only.
	Relay Relay
	// Paths is what is known of the direct paths to the servers; it is used
	// with Relay.
	Paths reach.Paths
	// References returns the addresses of a few other servers that are reached over
	// the same path as the given one: connecting to them shows that the path is
	// intact.
	References func(except string) []string
	// OnPathChange is called when the servers are lost to this daemon, or
	// reached again; may be nil.
	OnPathChange func(reach.Change)
	// OnIdleEnded is called when a server has ended an idle connection; may be nil.
	OnIdleEnded func(addr string)

	// Opened counts new connections, Reused requests on idle ones, and Surplus
	// answers that belonged to no request.
	Opened  atomic.Int64
	Reused  atomic.Int64
	Surplus atomic.Int64
	// Unconfirmed counts refused connections of which no other daemon could tell
	// whether the server has exited.
	Unconfirmed atomic.Int64

	roundTrips roundTrips

	mu   sync.Mutex
	idle map[string][]*persistentConn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	return &Pool{
		idle:       map[string][]*persistentConn{},
		roundTrips: roundTrips{byHall: map[string]time.Duration{}},
		Dial:       func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
	}
}

// userTimeout returns how long bytes of the request may remain unacknowledged.
func (x Request) userTimeout() time.Duration {
	if x.NonRepeatable {
		return nonRepeatableUserTimeout
	}
	return userTimeout
}

// setUserTimeout sets how long bytes may remain unacknowledged. A connection
// through another daemon has no socket of its own.
func (c *persistentConn) setUserTimeout(d time.Duration) {
	sys, ok := c.conn.(syscall.Conn)
	if !ok || d == c.userTimeout {
		return
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return
	}
	c.userTimeout = d
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}

// setUserTimeout sets the time after which unacknowledged bytes close a
// connection.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// takeIdle removes and returns an idle connection that may carry another
// request, or nil.
func (p *Pool) takeIdle(addr string, maxIdle time.Duration) *persistentConn {
	now := time.Now()
	for {
		p.mu.Lock()
		kept := p.idle[addr]
		if len(kept) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := kept[len(kept)-1]
		p.idle[addr] = kept[:len(kept)-1]
		p.mu.Unlock()
		if c.stopWatching(); c.ended {
			c.close()
			p.idleEnded(addr, nil)
			continue
		}
		if c.reusable(now, maxIdle) && (p.Relay == nil || p.Paths.MayReuse(addr, c.idleSince, now)) {
			return c
		}
		c.close()
	}
}

// putIdle returns a connection to the pool after a complete answer.
func (p *Pool) putIdle(addr string, c *persistentConn) {
	c.idleSince, c.watched = time.Now(), make(chan struct{})
	p.mu.Lock()
	p.idle[addr] = append(p.idle[addr], c)
	p.mu.Unlock()
	go p.watchIdle(addr, c)
}

// sweepInterval is the interval between two sweeps of idle connections.
const sweepInterval = 2 * time.Second

// Run closes connections that have been idle for too long or lead to servers
// that are no longer listed, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	tick := clock.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.Sweep(p.Listed())
		case <-ctx.Done():
			return nil
		}
	}
}

// Sweep closes connections that have been idle for too long, and all
// connections to addresses for which wanted returns false.
func (p *Pool) Sweep(wanted func(addr string) bool) {
	now := time.Now()
	var expired []*persistentConn
	p.mu.Lock()
	for addr, kept := range p.idle {
		var left []*persistentConn
		for _, c := range kept {
			if now.Sub(c.idleSince) < defaultMaxIdle && wanted(addr) {
				left = append(left, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(left) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = left
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
	p.changed(p.Paths.Prune(wanted, now))
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	kept := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range kept {
		c.close()
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, kept := range p.idle {
		n += len(kept)
	}
	return n
}

// Send sends a request once and returns the head of its answer, with the body
// still to be read. When ctx ends, the connection is closed, which also ends
// the server's work on the request.
func (p *Pool) Send(ctx context.Context, x Request) (*Reply, error) {
	c := p.takeIdle(x.Addr, x.maxIdle())
	path := Path{Reused: c != nil}
	if path.Reused {
		p.Reused.Add(1)
	} else {
		var err error
		began := time.Now()
		if c, err = p.open(ctx, x.Endpoint); err != nil {
			return nil, err
		}
		if path.Via, path.Reason = c.via(), c.reason; path.Via == "" {
			p.roundTrips.observe(x.Hall, time.Since(began))
		}
	}
	path.OpenedAt, path.RoundTrip = c.openedAt, p.roundTrips.shortest(x.Hall)
	if x.BeforeSend != nil {
		if err := x.BeforeSend(path); err != nil {
			c.close()
			return nil, &Error{Op: opExchange, Kind: StoppedBeforeSend, Err: err}
		}
	}
	c.setUserTimeout(x.userTimeout())
	r := &Reply{pool: p, addr: x.Addr, conn: c, sent: make(chan writeResult, 1)}
	r.release = context.AfterFunc(ctx, c.close)
	before := c.written.Load()
	if len(x.Body) <= shortBody {
		r.sent <- writeResult{err: c.writeRequest(x)}
	} else {
		// A server may answer before it has read a long body.
		go func() { r.sent <- writeResult{err: c.writeRequest(x)} }()
	}
	if err := r.head(x, !path.Reused && path.Via == ""); err != nil {
		r.Close()
		if !path.Reused {
			r.recordClose(err)
		}
		if c.written.Load() == before {
			// Close has ended the write, so nothing more can be sent.
			return nil, &Error{Op: opExchange, Kind: Unsent, Err: merry.Wrap(err)}
		}
		return nil, err
	}
	return r, nil
}

// writeResult is the result of writing a request.
type writeResult struct{ err error }

// Reply is an answer whose body is still to be read.
type Reply struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if it is not known.
	Length int64
	// SelfDelimited reports whether the answer marks its own end, by its length
	// or by chunked encoding. Any other answer ends with its connection,
	// however that ends.
	SelfDelimited bool

	body    io.Reader
	pool    *Pool
	addr    string
	conn    *persistentConn
	sent    chan writeResult
	release func() bool
	// complete is set once the body has ended as it should.
	complete bool
	// reusable is set if the connection may carry another request after that.
	reusable bool
	closed   bool
}

// head reads the head of the answer to a request. A connection through another
// daemon may have carried requests of that daemon, so it never counts as unused.
func (r *Reply) head(x Request, unused bool) error {
	for range maxSurplusAnswers + 1 {
		resp, err := r.conn.readHead(x.Method)
		if err != nil {
			return &Error{Op: opExchange, Kind: Interrupted, Err: merry.Wrap(err)}
		}
		if x.Surplus == nil || !x.Surplus(resp.status, resp.header, unused) {
			r.Status, r.Header, r.Length, r.body, r.SelfDelimited = resp.status, resp.header, resp.length, resp.body, resp.selfDelimited
			r.conn.keepAlive = keepAliveTimeout(resp.header)
			r.reusable = !resp.close && resp.selfDelimited
			return nil
		}
		r.pool.Surplus.Add(1)
		if err := discard(resp); err != nil || resp.close {
			return &Error{Op: opExchange, Kind: Mismatched, Err: fmt.Errorf("an answer to another request came: %w", merry.Prepend(err, "discard"))}
		}
	}
	return &Error{Op: opExchange, Kind: Mismatched, Err: merry.New("only answers to other requests came")}
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == io.EOF: //nolint:errorlint // io.Reader returns io.EOF itself.
		if failed := r.writeFailure(); failed != nil {
			return n, &Error{Op: "read answer", Kind: Interrupted, Err: merry.Wrap(failed)}
		}
		r.complete = true
		return n, io.EOF
	case err != nil:
		r.recordClose(err)
		return n, &Error{Op: "read answer", Kind: r.conn.interruption(), Err: merry.Wrap(err)}
	}
	return n, nil
}

// writeFailure returns why the request was not written to its end, if that leaves the answer without an end: one
// that ends with its connection is complete only for a whole request. It waits for the write, which ends at
// the latest when the exchange is given up.
func (r *Reply) writeFailure() error {
	if r.SelfDelimited {
		return nil
	}
	w := <-r.sent
	r.sent <- w
	return w.err
}

// recordClose records that the server closed a direct connection before its
// answer was complete. On a kept connection that has answered nothing yet the
// server may have closed it for having been idle.
func (r *Reply) recordClose(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		r.Truncated()
	}
}

// Truncated records that an answer that ends with its connection has ended before
// it was complete.
func (r *Reply) Truncated() {
	if r.conn.via() == "" {
		r.pool.Paths.Closed(r.addr, time.Now())
	}
}

// Close ends the exchange. The connection is kept if the answer is complete and
// no bytes followed it; otherwise it is closed, so that the server aborts the
// request.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	connOpen := r.release == nil || r.release()
	if connOpen && r.complete && r.reusable && r.wasSent() && r.conn.read.Buffered() == 0 {
		r.pool.release(r.addr, r.conn)
		return
	}
	r.conn.close()
	if !r.wasSent() {
		// The closed connection ends the write.
		<-r.sent
	}
}

// wasSent reports whether the request was written completely. After a complete
// answer it waits for that up to writeGrace, because the answer may be read
// before the write returns.
func (r *Reply) wasSent() bool {
	wait := time.Duration(0)
	if r.complete {
		wait = writeGrace
	}
	select {
	case w := <-r.sent:
		r.sent <- w
		return w.err == nil
	default:
	}
	select {
	case w := <-r.sent:
		r.sent <- w
		return w.err == nil
	case <-clock.After(wait):
		return false
	}
}
