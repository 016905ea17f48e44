package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// maxRelayStreams is the number of streams that one daemon may have open to
	// another.
	maxRelayStreams = 256
	// relayIdleTimeout is how long a daemon may be silent until its streams end.
	// relayKeepAlive is the time between two packets that keep a connection open:
	// several of them may be lost.
	relayIdleTimeout = 1500 * time.Millisecond
	relayKeepAlive   = 250 * time.Millisecond
	// relayUnusedTimeout closes a connection that has no streams.
	relayUnusedTimeout = 5 * time.Second
	// relayDialTimeout limits the time to open a connection.
	relayDialTimeout = time.Second
)

// relayConn is a connection for relayed requests to another daemon.
type relayConn struct {
	mu      sync.Mutex
	conn    *quic.Conn
	streams int
	unused  *time.Timer
	// connecting is closed when the dial in progress has ended, with dialErr; it is
	// nil if there is none.
	connecting chan struct{}
	dialErr    error
}

// open returns the connection, or nil if there is none. The caller holds r.mu.
func (r *relayConn) open() *quic.Conn {
	if r.conn == nil || r.conn.Context().Err() != nil {
		return nil
	}
	return r.conn
}

// OpenRelay opens a stream to another daemon, for its Relay function. The caller
// calls done when the stream has ended. The error has the kind Unsupported if
// the daemon runs a build that does not relay.
func (t *Transport) OpenRelay(ctx context.Context, id, addr string) (s *quic.Stream, done func(), err error) {
	r := t.relay(id)
	if r == nil {
		return nil, nil, &Error{Op: opOpenRelay, Kind: Unreachable}
	}
	if err := t.connectRelay(ctx, r, id, addr); err != nil {
		return nil, nil, relayError(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.open()
	if c == nil {
		return nil, nil, &Error{Op: opOpenRelay, Kind: Unreachable}
	}
	if s, err = c.OpenStream(); err != nil {
		return nil, nil, relayError(err)
	}
	r.streams++
	if r.unused != nil {
		r.unused.Stop()
	}
	return s, sync.OnceFunc(func() { t.relayDone(id, r, c) }), nil
}

const opOpenRelay = "open relay"

// relay returns the connection to a daemon and creates its state if needed. It
// returns nil before Run and after the end of its context.
func (t *Transport) relay(id string) *relayConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.relays == nil || t.ctx.Err() != nil {
		return nil
	}
	r := t.relays[id]
	if r == nil {
		r = &relayConn{}
		t.relays[id] = r
	}
	return r
}

// connectRelay waits until there is a connection or the dial has failed.
// Concurrent callers share one dial, which none of them cancels.
func (t *Transport) connectRelay(ctx context.Context, r *relayConn, id, addr string) error {
	r.mu.Lock()
	if r.open() != nil {
		r.mu.Unlock()
		return nil
	}
	if r.connecting == nil {
		ended := make(chan struct{})
		r.connecting = ended
		go func() {
			c, err := t.dialRelay(id, addr)
			r.mu.Lock()
			defer r.mu.Unlock()
			if err == nil {
				r.conn, r.streams = c, 0
			}
			r.connecting, r.dialErr = nil, err
			close(ended)
		}()
	}
	ended := r.connecting
	r.mu.Unlock()
	select {
	case <-ended:
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.dialErr
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (t *Transport) dialRelay(id, addr string) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, relayDialTimeout)
	defer cancel()
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	keys, err := t.Keys.client(id)
	if err != nil {
		return nil, err
	}
	keys.NextProtos = []string{relayProtocol}
	cfg := config()
	cfg.MaxIdleTimeout, cfg.KeepAlivePeriod, cfg.MaxIncomingStreams = relayIdleTimeout, relayKeepAlive, -1
	c, err := t.quic.Dial(ctx, to, keys, cfg)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(c.Context(), func() { t.connClosed(c) })
	return c, nil
}

// relayDone ends the use of a stream. A connection without streams is closed
// after relayUnusedTimeout.
func (t *Transport) relayDone(id string, r *relayConn, c *quic.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != c {
		return
	}
	r.streams--
	if r.streams > 0 {
		return
	}
	r.unused = time.AfterFunc(relayUnusedTimeout, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.streams > 0 || r.conn != c {
			return
		}
		_ = c.CloseWithError(0, "unused")
		if t.relays[id] == r {
			delete(t.relays, id)
		}
	})
}

// relayError classifies an error of opening a stream.
func relayError(err error) error {
	var refused *quic.TransportError
	if errors.As(err, &refused) && refused.ErrorCode == noProtocol {
		return &Error{Op: opOpenRelay, Kind: Unsupported, Err: err}
	}
	return &Error{Op: opOpenRelay, Kind: Unreachable, Err: err}
}

// noProtocol is the TLS alert no_application_protocol as a QUIC error code (RFC 9001).
const noProtocol quic.TransportErrorCode = 0x100 + 120

// acceptRelays passes the streams of a connection to Relay until it is closed.
func (t *Transport) acceptRelays(from string, c *quic.Conn) {
	if t.Relay == nil {
		_ = c.CloseWithError(0, "no relay")
		return
	}
	go func() {
		defer t.connClosed(c)
		for {
			s, err := c.AcceptStream(c.Context())
			if err != nil {
				return
			}
			go t.Relay(from, s)
		}
	}()
}
