package slowreader_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/daemon/slowreader"
)

// pipeListener is a listener of connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// call sends a request and returns the client end of the connection.
func (p *pipeListener) call(t *testing.T) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	p.conns <- far
	if _, err := io.WriteString(near, "GET /answer HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return near
}

const answerBytes = 1 << 20

// serve runs a server whose handler writes a response in 64 parts and sends its result to ended.
func serve(t *testing.T, guard *slowreader.Guard, ended chan<- error) *pipeListener {
	t.Helper()
	p := newPipeListener()
	s := &http.Server{Handler: guard.Wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := bytes.Repeat([]byte("x"), answerBytes/64)
		for range 64 {
			if _, err := w.Write(part); err != nil {
				ended <- err
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				ended <- err
				return
			}
		}
		ended <- nil
	}))}
	go func() { _ = s.Serve(p) }()
	t.Cleanup(func() { _ = s.Close() })
	return p
}

// Guards against a caller that stops reading holding its request, the connection to its backend
// server and a slot there until the network connection fails.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		guard := &slowreader.Guard{Log: log.Logger{Level: log.PanicLevel}}
		p := serve(t, guard, ended)
		began := time.Now()
		c := p.call(t)
		defer func() { _ = c.Close() }()
		if err := <-ended; err == nil {
			t.Error("the handler wrote the whole response, though nobody read it")
		}
		if took := time.Since(began); took < slowreader.WriteTimeout || took > 2*slowreader.WriteTimeout {
			t.Errorf("caller disconnected after %v", took)
		}
		if guard.Disconnected.Load() != 1 {
			t.Errorf("%d callers disconnected, want 1", guard.Disconnected.Load())
		}
	})
}

func TestSlowReaderGetsCompleteResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		guard := &slowreader.Guard{Log: log.Logger{Level: log.PanicLevel}}
		p := serve(t, guard, ended)
		c := p.call(t)
		defer func() { _ = c.Close() }()
		resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1<<10), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		got, part := 0, make([]byte, answerBytes/32)
		for err == nil {
			var n int
			n, err = io.ReadFull(resp.Body, part)
			got += n
			time.Sleep(2 * time.Second)
		}
		if got != answerBytes || <-ended != nil {
			t.Errorf("got %d bytes of %d: %v", got, answerBytes, err)
		}
	})
}

func TestNextRequestOnAConnectionHasItsOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 3)
		p := serve(t, &slowreader.Guard{Log: log.Logger{Level: log.PanicLevel}}, ended)
		c := p.call(t)
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for range 2 {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); n != answerBytes || err != nil {
				t.Fatalf("got %d bytes: %v", n, err)
			}
			_ = resp.Body.Close()
			// Longer than the write deadline of the previous response.
			time.Sleep(2 * slowreader.WriteTimeout)
			if _, err := io.WriteString(c, "GET /answer HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
	})
}
