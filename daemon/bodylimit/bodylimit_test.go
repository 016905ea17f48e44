package bodylimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/bodylimit"
)

// post sends a body to a handler that reads it, then calls then, and returns the handler's error.
func post(l *bodylimit.Limiter, body io.Reader, length int64, then func()) (err error) {
	defer func() { _ = recover() }()
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = length
	l.Wrap(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err = io.ReadAll(r.Body)
		then()
	})).ServeHTTP(httptest.NewRecorder(), r)
	return err
}

// Guards against slow callers filling a small VM's memory, or the budget for good or for small requests.
func TestSlowCallersHoldBoundedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, size, limit = 2000, 72_000, 4 << 20
		l := &bodylimit.Limiter{Budget: bodylimit.Budget{Limit: limit}, Log: log.Logger{Level: log.PanicLevel}}
		data, refused := strings.Repeat("x", size), atomic.Int64{}
		gate, open := io.Pipe()
		for i := range callers {
			go func() {
				if err := post(l, io.MultiReader(strings.NewReader(data), gate), []int64{size, -1}[i%2], func() {}); fault.Is(err, bodylimit.Full) {
					refused.Add(1)
				}
			}()
		}
		synctest.Wait()
		if held := (callers - refused.Load()) * size; held > limit || held < limit/2 || l.Budget.Held() != held || l.Refused.Load() != refused.Load() {
			t.Errorf("%d bytes held, %d reserved, limit %d, %d counted of %d refused", held, l.Budget.Held(), limit, l.Refused.Load(), refused.Load())
		}
		rest := int64(0)
		for ; l.Budget.Reserve(bodylimit.SmallBody, 1000) == nil; rest += 1000 {
		}
		if err := post(l, strings.NewReader(data[:bodylimit.SmallBody]), -1, func() {}); err != nil {
			t.Errorf("small request beside large ones: %v", err)
		}
		l.Budget.Release(rest)
		_ = open.Close()
		synctest.Wait()
		if err := post(l, strings.NewReader(data), -1, func() {}); err != nil || l.Budget.Held() != 0 {
			t.Errorf("later request: %v; %d bytes still reserved", err, l.Budget.Held())
		}
		// Reservations that outlive their requests would fill the budget for good.
		gone, panics := post(l, iotest.ErrReader(io.ErrUnexpectedEOF), size, func() {}), post(l, strings.NewReader(data), size, func() { panic(1) })
		if tooLarge := post(l, strings.NewReader(strings.Repeat(data, 60)), -1, func() {}); gone == nil || panics != nil || !fault.Is(tooLarge, bodylimit.TooLarge) || l.Budget.Held() != 0 {
			t.Errorf("caller gone: %v; panic: %v; grown beyond the budget: %v; %d bytes still reserved", gone, panics, tooLarge, l.Budget.Held())
		}
	})
}

// listener is a listener of a single connection in memory.
type listener struct {
	conns chan net.Conn
}

func (l listener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l listener) Close() error   { return nil }
func (l listener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against callers that never end their bodies, and against the deadline of a body ending
// a long run or the next request on the connection.
func TestDeadlineOfBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = time.Second
		l := &bodylimit.Limiter{Budget: bodylimit.Budget{Limit: 100}, Timeout: func() time.Duration { return timeout }}
		s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: l.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); fault.Is(err, bodylimit.TimedOut) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestTimeout)
			} else if time.Sleep(2 * timeout); r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))}
		c, server := net.Pipe()
		conns := make(chan net.Conn, 1)
		conns <- server
		close(conns)
		go func() { _ = s.Serve(listener{conns: conns}) }()
		from := bufio.NewReader(c)
		for i, body := range []string{"ok", "ok", "o"} {
			go func() { _, _ = fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"+body) }()
			if resp, err := http.ReadResponse(from, nil); err != nil || resp.StatusCode != []int{200, 200, 408}[i] {
				t.Fatalf("request %d: %v, %v", i, resp, err)
			}
		}
		_ = c.Close()
		_ = s.Close()
		time.Sleep(time.Minute)
	})
}
