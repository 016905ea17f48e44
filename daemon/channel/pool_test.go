package channel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/channel"
)

// startServer listens until the test ends and runs script on each connection.
// It returns the address.
func startServer(t *testing.T, script func(c net.Conn, r *bufio.Reader)) string {
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
	return l.Addr().String()
}

// newPool returns a pool without a dial timeout: on a busy machine a connection
// within this process may take longer than a pool allows for one to another VM.
// TestDeadConnectionsAreClosedByTheSystem uses the pool's own dialer.
func newPool() *channel.Pool {
	p := channel.NewPool()
	p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	return p
}

// readRequest reads a complete request and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id"), err
}

func request(addr, id string) channel.Request {
	return channel.Request{
		Endpoint: channel.Endpoint{Addr: addr}, Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Surplus: func(_ int, h http.Header, _ bool) bool { return h.Get("Id") != id },
	}
}

// exchange sends a request and returns the complete body of its answer.
func exchange(t *testing.T, p *channel.Pool, x channel.Request) (string, error) {
	t.Helper()
	reply, err := p.Send(t.Context(), x)
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := io.ReadAll(reply)
	return string(body), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string([]byte{byte('0' + n/10%10), byte('0' + n%10)}) }

func TestIdleConnectionIsReused(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "for "+id))
		}
	})
	p := newPool()
	for _, id := range []string{"a", "b", "c"} {
		if got, err := exchange(t, p, request(addr, id)); err != nil || got != "for "+id {
			t.Fatalf("%s: %q, %v", id, got, err)
		}
	}
	if p.Opened.Load() != 1 || p.Reused.Load() != 2 {
		t.Errorf("%d connections opened, %d requests on kept ones", p.Opened.Load(), p.Reused.Load())
	}
}

// BeforeSend is called once the connection is established. A process that was
// paused while it connected once sent requests that BeforeSend would have
// stopped by then.
func TestBeforeSendRunsAfterTheDial(t *testing.T) {
	arrived := make(chan error, 1)
	addr := startServer(t, func(_ net.Conn, r *bufio.Reader) {
		_, err := readRequest(r)
		arrived <- err
	})
	p := newPool()
	x := request(addr, "a")
	stop := errors.New("stop")
	x.BeforeSend = func(channel.Path) error {
		if p.Opened.Load() != 1 {
			t.Error("BeforeSend was called before there was a connection")
		}
		return stop
	}
	_, err := exchange(t, p, x)
	var e *channel.Error
	if !errors.As(err, &e) || e.Kind != channel.StoppedBeforeSend || !e.Kind.NotRun() || !errors.Is(err, stop) {
		t.Errorf("%v", err)
	}
	if err := <-arrived; err == nil {
		t.Error("the server received the request")
	}
}

func TestSurplusAnswerIsDiscarded(t *testing.T) {
	second := make(chan struct{})
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, answer(id, "first"))
		// A second answer to the first request comes before the answer to the
		// next one.
		if id, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, answer("a", "stray")+answer(id, "second"))
		}
		<-second
	})
	defer close(second)
	p := newPool()
	if _, err := exchange(t, p, request(addr, "a")); err != nil {
		t.Fatal(err)
	}
	if got, err := exchange(t, p, request(addr, "b")); err != nil || got != "second" {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Surplus.Load() != 1 {
		t.Errorf("%d surplus answers", p.Surplus.Load())
	}
}

func TestBytesAfterAnAnswerCloseTheConnection(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, answer(id, "whole")+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		_, _ = readRequest(r)
	})
	p := newPool()
	for _, id := range []string{"a", "b"} {
		if got, err := exchange(t, p, request(addr, id)); err != nil || got != "whole" {
			t.Fatalf("%s: %q, %v", id, got, err)
		}
	}
	if p.Reused.Load() != 0 {
		t.Error("a connection with unexpected bytes was reused")
	}
}

// Guards against a surplus answer without an id that arrives with the next request on its connection and
// counts as the answer to it.
func TestSurplusAnswerWithoutAnIDIsDiscarded(t *testing.T) {
	for name, surplus := range map[string]string{
		"with a length":  "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno",
		"without an end": "HTTP/1.1 400 Bad Request\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				for n := 0; ; n++ {
					id, err := readRequest(r)
					if err != nil {
						return
					}
					if n > 0 {
						_, _ = io.WriteString(c, surplus)
					}
					_, _ = io.WriteString(c, answer(id, "whole"))
				}
			})
			p := newPool()
			for _, id := range []string{"a", "b"} {
				x := request(addr, id)
				x.Surplus = func(_ int, h http.Header, unused bool) bool {
					return h.Get("Id") != id && (h.Get("Id") != "" || !unused)
				}
				got, err := exchange(t, p, x)
				if id == "b" && name == "without an end" {
					if !fault.Is(err, channel.Mismatched) {
						t.Errorf("%s: %q, %v", id, got, err)
					}
					continue
				}
				if err != nil || got != "whole" {
					t.Errorf("%s: %q, %v", id, got, err)
				}
			}
			if p.Reused.Load() != 1 || p.Surplus.Load() != 1 {
				t.Errorf("%d connections reused, %d surplus answers", p.Reused.Load(), p.Surplus.Load())
			}
		})
	}
}

// Guards against the memory that a server's bytes without end take if they come in place of an answer.
func TestEndlessHeadIsBounded(t *testing.T) {
	const sent = 64 << 20
	for name, start := range map[string]string{"no answer": "", "header": "HTTP/1.1 200 OK\r\nId: ", "interim": "HTTP/1.1 100 Continue\r\nX: "} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, start)
				n := 0
				for zeros := make([]byte, 64<<10); n < sent; n += len(zeros) {
					if _, err := c.Write(zeros); err != nil {
						break
					}
				}
				written <- n
			})
			if _, err := exchange(t, newPool(), request(addr, "a")); !fault.Is(err, channel.Interrupted) {
				t.Errorf("the error is %v", err)
			}
			if n := <-written; n >= sent {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

func TestTruncatedAnswerIsInterrupted(t *testing.T) {
	for name, script := range map[string]string{
		"cut within its length":      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
		"cut within a chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"cut before the last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"cut within the head":        "HTTP/1.1 200 OK\r\nConte",
		"an answer that is not HTTP": "\x00\x01\x02 nothing\r\n\r\n",
		"closed without an answer":   "",
	} {
		t.Run(name, func(t *testing.T) {
			addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(c, script)
			})
			x := request(addr, "a")
			x.Surplus = nil
			_, err := exchange(t, newPool(), x)
			if !fault.Is(err, channel.Interrupted) {
				t.Errorf("the error is %v", err)
			}
			var e *channel.Error
			if errors.As(err, &e) && e.Kind.NotRun() {
				t.Error("it says that the request has not run")
			}
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
	})
	if got, err := exchange(t, newPool(), request(addr, "a")); err != nil || got != "all of it" {
		t.Errorf("%q, %v", got, err)
	}
}

func TestResetAnswerWithoutLengthIsInterrupted(t *testing.T) {
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
	if got, err := exchange(t, newPool(), request(addr, "a")); !fault.Is(err, channel.Interrupted) {
		t.Errorf("%q, %v", got, err)
	}
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, answer(id, "once"))
		_ = c.Close()
		closed <- struct{}{}
	})
	p := newPool()
	for _, id := range []string{"a", "b"} {
		if got, err := exchange(t, p, request(addr, id)); err != nil || got != "once" {
			t.Fatalf("%s: %q, %v", id, got, err)
		}
		<-closed
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	_, err = newPool().Send(t.Context(), request(addr, "a"))
	var e *channel.Error
	if !errors.As(err, &e) || e.Kind != channel.Unreachable || !e.Kind.NotRun() {
		t.Errorf("the error is %v", err)
	}
}

func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	release := make(chan struct{})
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get("Id"), "no"))
		<-release
	})
	defer close(release)
	p := newPool()
	x := request(addr, "a")
	x.Body = []byte(strings.Repeat("x", 8<<20))
	if got, err := exchange(t, p, x); err != nil || got != "no" {
		t.Fatalf("%q, %v", got, err)
	}
	if p.Idle() != 0 {
		t.Error("a connection with an unfinished request body was kept")
	}
}

func TestEndedContextClosesTheConnection(t *testing.T) {
	gone := make(chan error, 1)
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		_, err := r.ReadByte()
		gone <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	reply, err := newPool().Send(ctx, request(addr, "a"))
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-gone; err == nil {
		t.Error("the server did not see the connection close")
	}
	reply.Close()
}
