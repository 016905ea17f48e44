package channel

import (
	"context"
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
)

const opExchange = "exchange with server"

// The bounds of connections.
const (
	// dialTimeout is the longest that a connection may take to come up: a hall
	// away is a few milliseconds. A lost packet is sent again only after a
	// second; by then another server has answered.
	dialTimeout = 400 * time.Millisecond
	// longestRest is how long a connection is kept without a request. Servers
	// close idle ones after a time of their own; the shorter wins.
	longestRest = 10 * time.Second
	// keepMargin is taken off the time that a server says it keeps one, so that
	// a request does not meet the close.
	keepMargin = 500 * time.Millisecond
	// unackedTimeout ends a connection whose bytes the other end's machine does
	// not confirm: it has lost power or is cut off. Two packets lost in a row
	// are sent again within it. Probes find the same on a connection that only
	// waits; the system counts them by whole seconds.
	unackedTimeout = 900 * time.Millisecond
	probeAfter     = time.Second
	probeEvery     = time.Second
	probes         = 1
	// shortBody is the length of a body that the system's buffers take at once,
	// in bytes; it is written before the answer is waited for.
	shortBody = 2 << 10
	// writeGrace is how long the end of a longer write may be reported after
	// the end of its answer, for the connection to be kept.
	writeGrace = 50 * time.Millisecond
	// surplusAnswers is how many answers to earlier requests are read past.
	surplusAnswers = 2
)

// OnceRest is how long a connection may have rested that carries a request that
// may not be sent twice: on one that rests longer, the server's close is likelier
// to be on its way, and whether the request ran would then not be known.
const OnceRest = 2 * time.Second

// Request is one request to a server.
type Request struct {
	Addr   string
	Method string
	// Target is the path with its query, as it came.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Sized sends a length for an empty body too.
	Sized bool
	// RestAtMost bounds how long the connection may have rested; 0 is the
	// standard.
	RestAtMost time.Duration
	// Gate, if set, is asked once the connection is there, at the last moment
	// before a byte leaves; its error stops the request.
	Gate func() error
	// Belongs reports whether an answer's head belongs to this request; nil is
	// any.
	Belongs func(http.Header) bool
}

// Pool keeps connections to servers.
type Pool struct {
	// Dial opens a connection; NewPool sets one over TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Listed, if set before Run, returns what tells whether a server is listed
	// at an address.
	Listed func() func(addr string) bool

	// Opened counts new connections, Reused requests on kept ones, and Surplus
	// the answers that belonged to no request.
	Opened  atomic.Int64
	Reused  atomic.Int64
	Surplus atomic.Int64

	mu   sync.Mutex
	idle map[string][]*channel
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control:         limitUnacked,
	}
	return &Pool{
		idle: map[string][]*channel{},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
	}
}

// limitUnacked sets the time after which unconfirmed bytes end a connection.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// take returns a kept connection that may carry another request, or nil.
func (p *Pool) take(addr string, longest time.Duration) *channel {
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
		if c.fresh(now, longest) {
			return c
		}
		c.close()
	}
}

// keep takes a connection back whose answer has ended whole.
func (p *Pool) keep(addr string, c *channel) {
	c.rested = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[addr] = append(p.idle[addr], c)
}

// sweepEvery is the time between two looks at connections that rest.
const sweepEvery = 2 * time.Second

// Run closes connections that have rested too long or lead to servers that are
// no longer listed, until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	tick := clock.NewTicker(sweepEvery)
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

// Sweep closes connections that have rested too long, and all connections to
// addresses that keep reports false for.
func (p *Pool) Sweep(wanted func(addr string) bool) {
	now := time.Now()
	var old []*channel
	p.mu.Lock()
	for addr, kept := range p.idle {
		var left []*channel
		for _, c := range kept {
			if now.Sub(c.rested) < longestRest && wanted(addr) {
				left = append(left, c)
			} else {
				old = append(old, c)
			}
		}
		if len(left) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = left
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

// Drop closes the connections that rest to an address.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	kept := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range kept {
		c.close()
	}
}

// Idle is the number of connections that rest.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, kept := range p.idle {
		n += len(kept)
	}
	return n
}

func (p *Pool) open(ctx context.Context, addr string) (*channel, error) {
	conn, err := p.Dial(ctx, addr)
	if err != nil {
		return nil, &Error{Op: opExchange, Kind: Unreachable, Err: merry.Wrap(err)}
	}
	p.Opened.Add(1)
	return newChannel(conn), nil
}

// Send sends a request once and returns the answer's head, its body still to be
// read. When ctx ends, the connection is closed, and with it the server's work.
func (p *Pool) Send(ctx context.Context, x Request) (*Reply, error) {
	rest := longestRest
	if x.RestAtMost > 0 {
		rest = x.RestAtMost
	}
	c := p.take(x.Addr, rest)
	if c != nil {
		p.Reused.Add(1)
	} else {
		var err error
		if c, err = p.open(ctx, x.Addr); err != nil {
			return nil, err
		}
	}
	if x.Gate != nil {
		if err := x.Gate(); err != nil {
			c.close()
			return nil, &Error{Op: opExchange, Kind: Gated, Err: err}
		}
	}
	r := &Reply{pool: p, addr: x.Addr, channel: c, sent: make(chan written, 1)}
	r.release = context.AfterFunc(ctx, c.close)
	before := c.written.Load()
	if len(x.Body) <= shortBody {
		r.sent <- written{err: c.writeRequest(x)}
	} else {
		// A server may answer before it has read a long body.
		go func() { r.sent <- written{err: c.writeRequest(x)} }()
	}
	if err := r.head(x); err != nil {
		r.Close()
		if c.written.Load() == before {
			// Close has ended the write, so nothing can leave any more.
			return nil, &Error{Op: opExchange, Kind: Unsent, Err: merry.Wrap(err)}
		}
		return nil, err
	}
	return r, nil
}

// written is how the writing of a request ended.
type written struct{ err error }

// Reply is an answer whose body is still to be read.
type Reply struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if it is not known.
	Length int64
	// Framed tells that the answer shows its own end: another one ends with its
	// connection, however that ends.
	Framed bool

	body    io.ReadCloser
	pool    *Pool
	addr    string
	channel *channel
	sent    chan written
	release func() bool
	// whole tells that the body has ended as it should.
	whole bool
	// keepable tells that the connection may carry another request then.
	keepable bool
	closed   bool
}

// head reads the head of the answer to a request.
func (r *Reply) head(x Request) error {
	for range surplusAnswers + 1 {
		resp, err := r.channel.readHead(x.Method) //nolint:bodyclose // The Reply owns the body.
		if err != nil {
			return &Error{Op: opExchange, Kind: Broken, Err: merry.Wrap(err)}
		}
		if x.Belongs == nil || x.Belongs(resp.Header) {
			r.Status, r.Header, r.Length, r.body = resp.StatusCode, resp.Header, resp.ContentLength, resp.Body
			r.channel.keep = keepTime(resp.Header)
			r.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			r.keepable = !resp.Close && r.Framed
			return nil
		}
		r.pool.Surplus.Add(1)
		if err := discard(resp); err != nil || resp.Close {
			return &Error{Op: opExchange, Kind: Crossed, Err: fmt.Errorf("an answer to another request came: %w", merry.Prepend(err, "discard"))}
		}
	}
	return &Error{Op: opExchange, Kind: Crossed, Err: merry.New("only answers to other requests came")}
}

// Read reads the body. io.EOF tells that it is whole.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == io.EOF: //nolint:errorlint // io.Reader returns io.EOF itself.
		r.whole = true
		return n, io.EOF
	case err != nil:
		return n, &Error{Op: "read answer", Kind: Broken, Err: merry.Wrap(err)}
	}
	return n, nil
}

// Close ends the exchange. The connection is kept if the answer is whole and
// nothing came behind it; otherwise it is closed, so that the server drops the
// request.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	mine := r.release == nil || r.release()
	if mine && r.whole && r.keepable && r.wasSent() && r.channel.read.Buffered() == 0 {
		r.pool.keep(r.addr, r.channel)
		return
	}
	r.channel.close()
	if !r.wasSent() {
		// The closed connection ends the write.
		<-r.sent
	}
}

// wasSent reports whether the request has left whole. Behind a whole answer it
// waits a moment for that: the answer may be read before the write has returned.
func (r *Reply) wasSent() bool {
	wait := time.Duration(0)
	if r.whole {
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
