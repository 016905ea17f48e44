package relay_test

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sys/unix"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/reach"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/peer"
	"ladderridge.example/daemon/relay"
)

// site is two daemons: "entry", which has no path of its own, and "helper", which relays for it.
type site struct {
	client *relay.Client
	pool   *channel.Pool
	server *relay.Server
	served chan relay.Served
	// stopHelper ends the helper's process.
	stopHelper context.CancelFunc
	listed     sync.Map
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{pool: channel.NewPool(), served: make(chan relay.Served, 100)}
	// On a busy machine a connection within this process may take longer than a pool allows.
	s.pool.Dial = func(_ context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(t.Context(), "tcp", addr)
	}
	s.server = &relay.Server{
		Pool: s.pool, OnServed: func(v relay.Served) { s.served <- v },
		Listed: func(addr string) bool {
			_, ok := s.listed.Load(addr)
			return ok
		},
	}
	published := &directory{keys: map[string]ed25519.PublicKey{}}
	helper, addr, stop := startTransport(t, published, "helper")
	helper.Relay = s.server.Serve
	entry, _, _ := startTransport(t, published, "entry")
	s.stopHelper = stop
	run(t, helper)
	run(t, entry)
	awaitHelper(t, entry, addr)
	<-s.served
	s.client = &relay.Client{
		Hall: "h", Opener: entry, Known: func() bool { return true },
		Members: func() []relay.Member { return []relay.Member{{ID: "helper", Hall: "h", Addr: addr}} },
	}
	return s
}

// awaitHelper waits until the helper accepts streams. Only the time limit of the test bounds the
// wait.
func awaitHelper(t *testing.T, entry *transport, addr string) {
	t.Helper()
	for t.Context().Err() == nil {
		stream, done, err := entry.OpenRelay(t.Context(), "helper", addr)
		if err == nil {
			_ = stream.Close()
			done()
			return
		}
		runtime.Gosched()
	}
}

// directory has the published public keys of the daemons.
type directory struct {
	mu   sync.Mutex
	keys map[string]ed25519.PublicKey
}

func (d *directory) get(id string) ed25519.PublicKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys[id]
}

// transport is a transport with the context that ends it.
type transport struct {
	*peer.Transport
	ctx context.Context
}

func startTransport(t *testing.T, d *directory, id string) (tr *transport, addr string, stop context.CancelFunc) {
	t.Helper()
	keys, err := peer.NewSelfSignedKeys(id)
	if err != nil {
		t.Fatal(err)
	}
	keys.Trusted = d.get
	d.mu.Lock()
	d.keys[id] = keys.Public()
	d.mu.Unlock()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	return &transport{&peer.Transport{Conn: conn, Keys: keys, Log: log.Logger{Level: log.PanicLevel}}, ctx}, conn.LocalAddr().String(), cancel
}

// run runs a transport until its context ends.
func run(t *testing.T, tr *transport) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tr.Run(tr.ctx)
	}()
	t.Cleanup(func() { <-ended })
}

// backend starts a server that runs script on each connection.
func (s *site) backend(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	s.listed.Store(l.Addr().String(), true)
	return l.Addr().String()
}

// entryPool returns a pool whose requests all pass through the helper.
func (s *site) entryPool() *channel.Pool {
	p := channel.NewPool()
	p.Relay = s.client
	p.Dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("cut") }
	return p
}

func request(addr string) channel.Request {
	return channel.Request{Endpoint: channel.Endpoint{Addr: addr, RequestID: "r-1"}, Method: http.MethodPost, Target: "/", Host: "h", Body: []byte("in")}
}

// answer reads a request and writes an answer.
func answer(c net.Conn, r *bufio.Reader, text string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(c, text)
	return err == nil
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nout"

// exchange sends a request and reads its answer. On a busy machine the helper may be late.
func (s *site) exchange(t *testing.T, p *channel.Pool, addr string) (string, error) {
	t.Helper()
	for {
		reply, err := p.Send(t.Context(), request(addr))
		if fault.Is(err, channel.Unreachable) && t.Context().Err() == nil {
			continue
		}
		if err != nil {
			return "", err
		}
		defer reply.Close()
		body, err := io.ReadAll(reply)
		return string(body), err
	}
}

// Each relayed request took a new connection to its server.
func TestServerConnectionIsUsedAgain(t *testing.T) {
	s := newSite(t)
	var mu sync.Mutex
	connections := 0
	addr := s.backend(t, func(c net.Conn, r *bufio.Reader) {
		mu.Lock()
		connections++
		mu.Unlock()
		for answer(c, r, wholeAnswer) {
			continue
		}
	})
	p := s.entryPool()
	for range 3 {
		if body, err := s.exchange(t, p, addr); err != nil || body != "out" {
			t.Fatalf("%q, %v", body, err)
		}
		if v := <-s.served; v.RequestID != "r-1" || v.From != "entry" || !v.Kept || v.Answer != reach.Connected || v.ReceivedBytes != int64(len(wholeAnswer)) {
			t.Errorf("served %+v", v)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if connections > 2 {
		t.Errorf("%d connections for three requests", connections)
	}
}

// An answer without a length ends with its connection. If that breaks instead of being closed, the
// answer is not complete.
func TestBrokenServerConnectionIsNotTheEndOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		abort bool
		err   bool
	}{"closed": {false, false}, "reset": {true, true}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			wait := make(chan struct{})
			addr := s.backend(t, func(conn net.Conn, r *bufio.Reader) {
				answer(conn, r, "HTTP/1.1 200 OK\r\n\r\nout")
				if c.abort {
					<-wait
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			p := s.entryPool()
			reply, err := p.Send(t.Context(), request(addr))
			for fault.Is(err, channel.Unreachable) {
				reply, err = p.Send(t.Context(), request(addr))
			}
			if err != nil {
				t.Fatal(err)
			}
			defer reply.Close()
			close(wait)
			_, err = io.ReadAll(reply)
			if (err != nil) != c.err || fault.Is(err, relay.HelperLost) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// A request that its caller has given up ran on at the server.
func TestAbandonedRequestIsAbortedAtTheServer(t *testing.T) {
	s := newSite(t)
	arrived, ended := make(chan struct{}), make(chan struct{})
	addr := s.backend(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(arrived)
		_, _ = io.Copy(io.Discard, r)
		close(ended)
	})
	p := s.entryPool()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	for {
		_, err := p.Send(ctx, request(addr))
		if ctx.Err() != nil {
			if fault.Is(err, channel.Unreachable) {
				t.Errorf("error %v of a request that was sent", err)
			}
			break
		}
	}
	<-ended
}

// A helper that ends during a request must leave it unknown whether the request ran, and no server
// is to blame.
func TestLostHelperLeavesTheResultUnknown(t *testing.T) {
	s := newSite(t)
	arrived := make(chan struct{})
	addr := s.backend(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(arrived)
		_, _ = io.Copy(io.Discard, r)
	})
	p := s.entryPool()
	go func() {
		<-arrived
		s.stopHelper()
	}()
	for {
		_, err := p.Send(t.Context(), request(addr))
		if fault.Is(err, channel.Unreachable) {
			continue
		}
		if !fault.Is(err, relay.HelperLost) || !fault.Is(err, channel.Interrupted) {
			t.Errorf("error %v", err)
		}
		return
	}
}

// A daemon that stops served requests that it could not complete, and connected to addresses that
// are no server's.
func TestHelperRefusesWhatItMustNotServe(t *testing.T) {
	s := newSite(t)
	addr := s.backend(t, func(c net.Conn, r *bufio.Reader) { answer(c, r, wholeAnswer) })
	if _, err := s.exchange(t, s.entryPool(), addr); err != nil {
		t.Fatal(err)
	}
	dial := func(e channel.Endpoint) reach.Answer {
		for {
			conn, answer := s.client.Dial(t.Context(), e)
			if answer == reach.Connected {
				conn.Release()
			}
			if answer != reach.Silent {
				return answer
			}
		}
	}
	if got := dial(channel.Endpoint{Addr: "127.0.0.1:1"}); got != reach.Unlisted {
		t.Errorf("unlisted: %v", got)
	}
	s.server.ShutdownBy(time.Now().Add(time.Hour))
	if got := dial(channel.Endpoint{Addr: addr, Deadline: time.Now().Add(time.Minute)}); got != reach.Connected {
		t.Errorf("while it stops, with a deadline before that: %v", got)
	}
	if got := dial(channel.Endpoint{Addr: addr}); got != reach.Stopping {
		t.Errorf("while it stops, without a deadline: %v", got)
	}
}

// A longer body must be bounded by the reader's speed, and arrive unchanged.
func TestLongAnswerArrivesUnchanged(t *testing.T) {
	s := newSite(t)
	const size = 4 << 20
	addr := s.backend(t, func(c net.Conn, r *bufio.Reader) {
		answer(c, r, "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n"+strings.Repeat("0123456789abcdef", size/16))
	})
	body, err := s.exchange(t, s.entryPool(), addr)
	if err != nil || body != strings.Repeat("0123456789abcdef", size/16) {
		t.Errorf("%d bytes, %v", len(body), err)
	}
}

// upload sends a request of 20 MB through the helper and returns the reply.
func (s *site) upload(t *testing.T, addr string) *channel.Reply {
	t.Helper()
	x := request(addr)
	x.Body = make([]byte, 20<<20)
	for {
		reply, err := s.entryPool().Send(t.Context(), x)
		if fault.Is(err, channel.Unreachable) && t.Context().Err() == nil {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
}

// reset resets a connection once the other side has acknowledged all bytes.
func reset(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	for unsent := 1; err == nil && unsent > 0; {
		err = raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		runtime.Gosched()
	}
	_ = c.SetLinger(0)
	_ = c.Close()
}

// A part of an answer looked complete at the entry daemon: the helper's write of the request had received the
// reset, and its read after it an end of file.
func TestResetUnderAnUploadIsNoEndOfARelayedAnswer(t *testing.T) {
	s := newSite(t)
	for range 20 {
		headRead := make(chan struct{})
		addr := s.backend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			<-headRead
			reset(c.(*net.TCPConn))
		})
		reply := s.upload(t, addr)
		close(headRead)
		body, err := io.ReadAll(reply)
		reply.Close()
		if !fault.Is(err, channel.Interrupted) {
			t.Fatalf("%q, %v", body, err)
		}
	}
}

// The entry daemon must learn that the helper could not write the request to its end.
func TestRequestThatIsNotWrittenLeavesARelayedAnswerIncomplete(t *testing.T) {
	s := newSite(t)
	for range 20 {
		addr := s.backend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = c.(*net.TCPConn).CloseWrite()
			reset(c.(*net.TCPConn))
		})
		reply := s.upload(t, addr)
		body, err := io.ReadAll(reply)
		reply.Close()
		if !fault.Is(err, channel.Interrupted) {
			t.Fatalf("%q, %v", body, err)
		}
	}
}

// An answer that marks its own end must arrive whole although the helper learns of a reset behind it.
func TestResetBehindARelayedAnswerTakesNothingFromIt(t *testing.T) {
	s := newSite(t)
	rest := strings.Repeat("0123456789abcdef", 4<<10)
	for range 20 {
		headRead := make(chan struct{})
		addr := s.backend(t, func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(rest))+"\r\n\r\n")
			<-headRead
			_, _ = io.WriteString(c, rest)
			reset(c.(*net.TCPConn))
		})
		reply := s.upload(t, addr)
		close(headRead)
		body, err := io.ReadAll(reply)
		reply.Close()
		if err != nil || string(body) != rest {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	}
}
