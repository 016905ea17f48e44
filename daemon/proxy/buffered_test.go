package proxy_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// reader is a caller that blocks until it is allowed to read its response.
type reader struct {
	response
	let <-chan struct{}
}

// Write implements proxy.Sink.
func (r *reader) Write(p []byte) (int, error) {
	<-r.let
	return r.response.Write(p)
}

// Each complete response of up to a megabyte is buffered until its caller has read it. Without a
// common limit, two thousand slow readers would exceed the memory of a small VM many times over.
func TestBufferedResponsesOfSlowReadersHaveACommonLimit(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const callers, size, most = 50, 100_000, 1_000_000
		b := newFixture(t)
		b.engine.MaxBuffered, b.engine.OnComplete = most, nil
		body := strings.Repeat("x", size)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(http.StatusOK, body)))
		let := make(chan struct{})
		readers := make([]*reader, callers)
		ended := make(chan proxy.Outcome, callers)
		for i := range readers {
			readers[i] = &reader{let: let}
			go func() {
				r := proxy.Request{ID: "r" + strconv.Itoa(i), Method: http.MethodGet, Path: "/again/x", Target: "/again/x", Host: "h", Key: "k", Timeout: time.Second, Arrived: time.Now(), LastEvent: -1}
				ended <- b.engine.Serve(t.Context(), &r, readers[i])
			}()
		}
		time.Sleep(100 * time.Millisecond)
		if held := b.engine.BufferedBytes(); held > most || held < most/2 {
			t.Errorf("%d bytes buffered, limit %d", held, most)
		}
		close(let)
		for range callers {
			if out := <-ended; out != (proxy.Answered{Status: http.StatusOK}) {
				t.Errorf("%v", out)
			}
		}
		for i, r := range readers {
			if r.body.String() != body {
				t.Errorf("caller %d has %d bytes of %d", i, r.body.Len(), size)
			}
		}
		if held := b.engine.BufferedBytes(); held != 0 {
			t.Errorf("%d bytes still buffered", held)
		}
	})
}
