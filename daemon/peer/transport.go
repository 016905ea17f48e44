// Package peer carries messages between daemons over QUIC with mutual TLS. The
// id of a daemon is the common name and DNS name of its certificate.
//
// A message that fits into a datagram is sent as one and may be lost; each
// larger message is sent on a stream of its own. The protocol above it (package
// node) needs neither ordered nor reliable delivery.
package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/quic-go/quic-go"

	"ladderridge.example/core/clock"
)

// Limits of the transport.
const (
	// maxDatagram is the largest message sent as a datagram, in bytes.
	maxDatagram = 1000
	// idleTimeout closes unused connections.
	idleTimeout = 60 * time.Second
	// sendTimeout limits the sending of one message, including the dial.
	sendTimeout = 2 * time.Second
	// queueLen is the number of messages that may wait for the connection to a
	// daemon.
	queueLen = 64
	// redialDelay is the delay after a failed dial.
	redialDelay = 500 * time.Millisecond
)

// Incoming is a received message with the id from its sender's certificate.
type Incoming struct {
	From    string
	Message Message
}

// Transport sends and receives messages. Set the exported fields before Run.
type Transport struct {
	// Addr is the UDP address to listen on.
	Addr string
	// Conn is the UDP socket to use; nil opens one on Addr.
	Conn *net.UDPConn
	// Keys authenticates this daemon and verifies others.
	Keys Identity
	// Deliver is called with each received message; it must not block for long.
	Deliver func(Incoming)
	// Relay is called in a goroutine of its own with each stream that another
	// daemon has opened with OpenRelay; nil refuses them.
	Relay func(from string, s *quic.Stream)
	Log   log.Logger

	// Dropped counts messages that were not sent, BadMessages those that could
	// not be decoded.
	Dropped     atomic.Int64
	BadMessages atomic.Int64
	// Sent and Received count messages; Usage has the bytes.
	Sent     atomic.Int64
	Received atomic.Int64

	mu            sync.Mutex
	quic          *quic.Transport
	links         map[string]*link
	relays        map[string]*relayConn
	closedTraffic traffic
	ctx           context.Context
}

// traffic counts the QUIC packets of connections and their bytes, without UDP
// and IP headers.
type traffic struct {
	sentBytes       uint64
	receivedBytes   uint64
	sentPackets     uint64
	receivedPackets uint64
}

// with returns the traffic with that of one connection added.
func (t traffic) with(s quic.ConnectionStats) traffic {
	return traffic{
		sentBytes: t.sentBytes + s.BytesSent, receivedBytes: t.receivedBytes + s.BytesReceived,
		sentPackets: t.sentPackets + s.PacketsSent, receivedPackets: t.receivedPackets + s.PacketsReceived,
	}
}

// link holds the connections to one daemon and the queue of messages to it.
type link struct {
	id    string
	queue chan outgoing
	mu    sync.Mutex
	conns []*quic.Conn
}

// outgoing is an encoded message with the address to dial if there is no
// connection.
type outgoing struct {
	addr string
	data []byte
}

func config() *quic.Config {
	return &quic.Config{
		EnableDatagrams:       true,
		MaxIdleTimeout:        idleTimeout,
		HandshakeIdleTimeout:  sendTimeout,
		MaxIncomingUniStreams: 64,
		MaxIncomingStreams:    maxRelayStreams,
		// Receive windows are small because a daemon is connected to many
		// others.
		InitialStreamReceiveWindow:     64 << 10,
		InitialConnectionReceiveWindow: 96 << 10,
		MaxStreamReceiveWindow:         1 << 20,
		MaxConnectionReceiveWindow:     2 << 20,
		DisablePathMTUDiscovery:        true,
	}
}

// Run listens for connections and carries messages until ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	conn, err := t.listen()
	if err != nil {
		return &Error{Op: "listen for daemons", Kind: BadAddress, Err: err}
	}
	defer func() { _ = conn.Close() }()
	// The key is the same after a restart: the daemon then tells others at once
	// that their connections to its previous process have ended.
	reset, err := t.Keys.resetKey()
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: conn, StatelessResetKey: &reset}
	defer transport.Close()
	listener, err := transport.Listen(t.Keys.server(), config())
	if err != nil {
		return &Error{Op: "listen for daemons", Kind: BadAddress, Err: err}
	}
	t.mu.Lock()
	t.quic, t.ctx = transport, ctx
	t.links, t.relays = map[string]*link{}, map[string]*relayConn{}
	t.mu.Unlock()
	for {
		c, err := listener.Accept(ctx)
		if err != nil {
			return ctx.Err()
		}
		t.accept(ctx, c)
	}
}

// listen returns the UDP socket to use.
func (t *Transport) listen() (*net.UDPConn, error) {
	if t.Conn != nil {
		return t.Conn, nil
	}
	addr, err := net.ResolveUDPAddr("udp", t.Addr)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", addr)
}

// Send queues a message to the daemon with the given id and does not block.
func (t *Transport) Send(id, addr string, m Message) {
	t.SendAll(map[string]string{id: addr}, m)
}

// SendAll queues a message to several daemons, given as addresses by id, and
// does not block. The message is encoded once.
func (t *Transport) SendAll(to map[string]string, m Message) {
	data, err := Encode(m)
	if err != nil {
		t.Dropped.Add(int64(len(to)))
		return
	}
	for id, addr := range to {
		t.enqueue(id, addr, data)
	}
}

func (t *Transport) enqueue(id, addr string, data []byte) {
	l := t.link(id)
	if l == nil {
		t.Dropped.Add(1)
		return
	}
	select {
	case l.queue <- outgoing{addr: addr, data: data}:
	default:
		t.Dropped.Add(1)
	}
}

// link returns the link to a daemon and creates it if needed. It returns nil
// before Run and after the end of its context.
func (t *Transport) link(id string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links == nil || t.ctx.Err() != nil {
		return nil
	}
	l := t.links[id]
	if l == nil {
		l = t.newLink(id)
	}
	return l
}

// newLink starts the goroutine that sends to one daemon. The goroutine ends
// when the link has been idle for idleTimeout and has no connection.
func (t *Transport) newLink(id string) *link {
	l := &link{id: id, queue: make(chan outgoing, queueLen)}
	t.links[id] = l
	ctx := t.ctx
	go func() {
		idle := time.NewTimer(idleTimeout)
		defer idle.Stop()
		for {
			select {
			case out := <-l.queue:
				idle.Reset(idleTimeout)
				t.transmit(ctx, l, out)
			case <-idle.C:
				if t.removeIdle(l) {
					return
				}
				idle.Reset(idleTimeout)
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// removeIdle removes a link that has no queued message and no connection, and
// reports whether it did.
func (t *Transport) removeIdle(l *link) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(l.queue) > 0 || l.conn() != nil {
		return false
	}
	delete(t.links, l.id)
	return true
}

// conn returns the newest open connection of the link, or nil. Older ones may
// lead to a previous process of the same daemon.
func (l *link) conn() *quic.Conn {
	open := l.openConns()
	if len(open) == 0 {
		return nil
	}
	return open[len(open)-1]
}

func (t *Transport) transmit(ctx context.Context, l *link, out outgoing) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	c := l.conn()
	if c == nil {
		var err error
		if c, err = t.dial(ctx, l, out.addr); err != nil {
			t.Dropped.Add(1)
			t.Log.Debug().Str("peer", l.id).Err(err).Msg("peers: dial failed")
			clock.Wait(ctx, redialDelay)
			return
		}
	}
	if err := send(ctx, c, out.data); err != nil {
		t.Dropped.Add(1)
		return
	}
	t.Sent.Add(1)
}

func (t *Transport) dial(ctx context.Context, l *link, addr string) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, err
	}
	keys, err := t.Keys.client(l.id)
	if err != nil {
		return nil, err
	}
	c, err := t.quic.Dial(ctx, to, keys, config())
	if err != nil {
		return nil, err
	}
	t.addConn(l, c)
	t.receive(l, c)
	return c, nil
}

// accept handles a connection that another daemon opened.
func (t *Transport) accept(ctx context.Context, c *quic.Conn) {
	state := c.ConnectionState().TLS
	certs := state.PeerCertificates
	if ctx.Err() != nil || len(certs) == 0 {
		_ = c.CloseWithError(0, "no certificate")
		return
	}
	if state.NegotiatedProtocol == relayProtocol {
		t.acceptRelays(certs[0].Subject.CommonName, c)
		return
	}
	l := t.link(certs[0].Subject.CommonName)
	if l == nil {
		_ = c.CloseWithError(0, "stopping")
		return
	}
	t.addConn(l, c)
	t.receive(l, c)
}

// addConn adds a connection to a link and removes closed ones.
func (t *Transport) addConn(l *link, c *quic.Conn) {
	open := l.openConns()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(open, c)
}

// receive starts the goroutines that read from a connection until it is closed.
func (t *Transport) receive(l *link, c *quic.Conn) {
	go func() {
		for {
			data, err := c.ReceiveDatagram(c.Context())
			if err != nil {
				t.connClosed(c)
				return
			}
			t.deliver(l.id, data)
		}
	}()
	go func() {
		for {
			s, err := c.AcceptUniStream(c.Context())
			if err != nil {
				return
			}
			t.readStream(l.id, s)
		}
	}()
}

func (t *Transport) connClosed(c *quic.Conn) {
	stats := c.ConnectionStats()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closedTraffic = t.closedTraffic.with(stats)
}

func (t *Transport) readStream(from string, s *quic.ReceiveStream) {
	_ = s.SetReadDeadline(time.Now().Add(sendTimeout))
	data, err := io.ReadAll(io.LimitReader(s, MaxMessage+1))
	if err != nil {
		s.CancelRead(0)
		t.BadMessages.Add(1)
		return
	}
	t.deliver(from, data)
}

func (t *Transport) deliver(from string, data []byte) {
	m, err := Decode(data)
	if err != nil {
		t.BadMessages.Add(1)
		return
	}
	t.Received.Add(1)
	t.Deliver(Incoming{From: from, Message: m})
}

func send(ctx context.Context, c *quic.Conn, data []byte) error {
	if len(data) <= maxDatagram {
		return c.SendDatagram(data)
	}
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetWriteDeadline(deadline)
	}
	if _, err := s.Write(data); err != nil {
		s.CancelWrite(0)
		return err
	}
	return s.Close()
}

// headerBytes is the size of the IPv4 and UDP headers of a packet.
const headerBytes = 28

// CloseConnections closes the connections to a daemon whose process may have
// lost their state. The next message to it opens a new one.
func (t *Transport) CloseConnections(id string) {
	t.mu.Lock()
	l := t.links[id]
	t.mu.Unlock()
	if l == nil {
		return
	}
	for _, c := range l.openConns() {
		_ = c.CloseWithError(0, "forgotten")
	}
}

// Usage has the traffic since the transport started, and the present number of
// links and connections.
type Usage struct {
	// SentBytes and ReceivedBytes include the UDP and IP headers.
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Links         int    `json:"links"`
	Connections   int    `json:"connections"`
	Sent          int64  `json:"sent"`
	Received      int64  `json:"received"`
	Dropped       int64  `json:"dropped"`
	BadMessages   int64  `json:"bad_messages"`
}

// Usage sums the traffic of all connections, open and closed.
func (t *Transport) Usage() Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, open := t.closedTraffic, 0
	for _, l := range t.links {
		for _, c := range l.openConns() {
			sum = sum.with(c.ConnectionStats())
			open++
		}
	}
	for _, r := range t.relays {
		r.mu.Lock()
		if c := r.open(); c != nil {
			sum = sum.with(c.ConnectionStats())
			open++
		}
		r.mu.Unlock()
	}
	return Usage{
		SentBytes:     sum.sentBytes + headerBytes*sum.sentPackets,
		ReceivedBytes: sum.receivedBytes + headerBytes*sum.receivedPackets,
		Links:         len(t.links), Connections: open,
		Sent: t.Sent.Load(), Received: t.Received.Load(), Dropped: t.Dropped.Load(), BadMessages: t.BadMessages.Load(),
	}
}

// openConns returns the open connections of the link.
func (l *link) openConns() []*quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*quic.Conn
	for _, c := range l.conns {
		if c.Context().Err() == nil {
			out = append(out, c)
		}
	}
	return out
}
