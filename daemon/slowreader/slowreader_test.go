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

// pipes is a listener of connections in memory.
type pipes struct {
	conns chan net.Conn
	once  sync.Once
	over  chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), over: make(chan struct{})} }

// Accept implements net.Listener.
func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.over:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipes) Close() error {
	p.once.Do(func() { close(p.over) })
	return nil
}

// Addr implements net.Listener.
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// call sends a request and returns the connection.
func (p *pipes) call(t *testing.T) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	p.conns <- far
	if _, err := io.WriteString(near, "GET /answer HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return near
}

const answerBytes = 1 << 20

// serve runs a server whose handler writes an answer in parts, and notes when it ended.
func serve(t *testing.T, guard *slowreader.Guard, ended chan<- error) *pipes {
	t.Helper()
	p := newPipes()
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

// Nothing bounded how long a caller could leave its answer unread: its request, the connection
// to its server and that server's place stayed until the network gave up.
func TestCallerThatStopsReadingIsLetGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		guard := &slowreader.Guard{Log: log.Logger{Level: log.PanicLevel}}
		p := serve(t, guard, ended)
		began := time.Now()
		c := p.call(t)
		defer func() { _ = c.Close() }()
		if err := <-ended; err == nil {
			t.Error("the answer was taken by nobody")
		}
		if took := time.Since(began); took < slowreader.Longest || took > 2*slowreader.Longest {
			t.Errorf("it was let go after %v", took)
		}
		if guard.Gone.Load() != 1 {
			t.Errorf("%d were let go", guard.Gone.Load())
		}
	})
}

func TestCallerThatReadsSlowlyGetsAllOfItsAnswer(t *testing.T) {
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
			t.Errorf("%d bytes of %d: %v", got, answerBytes, err)
		}
	})
}

func TestNextRequestOfAConnectionHasItsOwnTime(t *testing.T) {
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
				t.Fatalf("%d bytes: %v", n, err)
			}
			_ = resp.Body.Close()
			// Longer than the last answer's time to be read.
			time.Sleep(2 * slowreader.Longest)
			if _, err := io.WriteString(c, "GET /answer HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
	})
}
