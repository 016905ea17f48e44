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

// reader is a caller that takes its answer only when it is let.
type reader struct {
	told
	let <-chan struct{}
}

// Write implements proxy.Sink.
func (r *reader) Write(p []byte) (int, error) {
	<-r.let
	return r.told.Write(p)
}

// A daemon held every whole answer until its caller had read it, up to a megabyte each: two
// thousand callers that read slowly would have filled a small VM many times over.
func TestAnswersOfSlowReadersHaveABoundTogether(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const callers, size, most = 50, 100_000, 1_000_000
		b := newBench(t)
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
			t.Errorf("%d bytes are held, %d may be", held, most)
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
			t.Errorf("%d bytes are still held", held)
		}
	})
}
