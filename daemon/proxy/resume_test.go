package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// raw returns a script that answers with the given bytes behind the status and the id, and keeps the
// connection open if open is set.
func raw(status, rest string, open bool) script {
	return func(c net.Conn, a arrival) bool {
		_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\nId: "+a.header.Get("Id")+"\r\n"+rest)
		return err == nil && open
	}
}

// chunked returns the rest of a raw answer: a stream with the given events, which ends properly.
func chunked(events string) string {
	return fmt.Sprintf("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events)
}

// otherAnswers are answers of a server that are not the rest of a stream after its event 2.
var otherAnswers = map[string]script{
	"failure with a length":             whole(http.StatusGatewayTimeout, "deadline"),
	"failure in chunks":                 raw("500 X", "Transfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n", true),
	"failure that ends with the stream": raw("502 X", "\r\nfailed", false),
	"failure broken off":                raw("504 X", "Content-Length: 90\r\n\r\nfailed", false),
	"failure without a body":            whole(http.StatusInternalServerError, ""),
	"failure in the form of events":     raw("500 X", chunked("id: 3\ndata: failed\n\n"), true),
	"long failure":                      whole(http.StatusInternalServerError, strings.Repeat("x", 2<<20)),
	"redirection":                       whole(http.StatusFound, "elsewhere", "Location: /elsewhere"),
	"not modified":                      raw("304 X", "\r\n", true),
	"not found":                         whole(http.StatusNotFound, "no such run"),
	"refusal that says nothing of runs": whole(http.StatusTooManyRequests, "too many", "Retry-After: 1"),
	"declined":                          whole(http.StatusServiceUnavailable, "full", "Declined: 1"),
	"interim answer before a failure":   raw("103 X", "\r\nHTTP/1.1 500 X\r\nContent-Length: 6\r\n\r\nfailed", true),
	"no content":                        raw("204 X", "\r\n", true),
	"partial content":                   raw("206 X", chunked("id: 3\ndata: x\n\nid: 4\ndata: x\n\n"), true),
	"another type":                      whole(http.StatusOK, "{\"error\":\"failed\"}\n\n", "Content-Type: application/json"),
	"another encoding":                  raw("200 X", "Content-Encoding: gzip\r\n"+chunked("id: 3\ndata: x\n\n"), true),
	"text without a type":               whole(http.StatusOK, "failed\n\n"),
	"event without an id":               raw("200 X", chunked("data: failed\n\n"), true),
	"shorter answer from its beginning": raw("200 X", chunked("id: 1\ndata: other\n\n"), true),
	"gap":                               raw("200 X", chunked("id: 4\ndata: x\n\n"), true),
}

// resumable returns a configuration whose streams may run at three servers.
func resumable() *routemap.Map {
	p := parts(1, "k")
	for i := range p.Routes {
		p.Routes[i].Attempts = 3
	}
	return routemap.New(p)
}

// inOrder returns a script that answers by the number of the arrival, beginning with 0; the last script
// is that of all later ones.
func inOrder(scripts ...script) script {
	var n atomic.Int64
	return func(c net.Conn, a arrival) bool {
		return scripts[min(int(n.Add(1)), len(scripts))-1](c, a)
	}
}

// checkEvents checks that a caller got one head, that of the first server, and events only.
func checkEvents(t *testing.T, got *response, ids int) {
	t.Helper()
	var want strings.Builder
	for i := range ids {
		fmt.Fprintf(&want, "id: %d\ndata: s\n\n", i+1)
	}
	body := strings.NewReplacer("s0", "s", "s1", "s", "s2", "s", ": wait\n\n", "", "retry: 100\n\n", "").Replace(got.body.String())
	if diff := cmp.Diff(want.String(), body); diff != "" {
		t.Error(diff)
	}
	if got.begins != 1 || got.status != http.StatusOK || got.header.Get("Proof") != "first" || got.length != -1 {
		t.Errorf("%d heads, status %d, length %d, headers %v", got.begins, got.status, got.length, got.header)
	}
}

// Guards against another answer of the server at which a stream is taken up that reaches the caller
// behind its events, and against a stream that looks complete then: the stream goes on at a third server,
// or is interrupted.
func TestOnlyTheRestOfAStreamReachesACallerWithEvents(t *testing.T) {
	for name, other := range otherAnswers {
		for _, last := range []struct {
			name   string
			script script
			ids    int
			want   proxy.Outcome
		}{
			{"continued", events(3, 4, true), 4, proxy.Answered{Status: http.StatusOK}},
			{"interrupted", other, 2, proxy.Interrupted{Reason: proxy.Failed}},
		} {
			t.Run(name+"/"+last.name, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					b := newFixture(t)
					s := inOrder(events(1, 2, false, "Proof: first"), other, last.script)
					b.known.set(resumable(), b.servers(3, s)...)
					got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: 2 * time.Second})
					want := last.want
					if name == "declined" && last.ids == 2 {
						want = proxy.Interrupted{Reason: proxy.Overloaded}
					}
					if got.outcome != want || len(b.received()) > 4 {
						t.Errorf("outcome %#v after %d attempts, want %#v", got.outcome, len(b.received()), want)
					}
					checkEvents(t, got, last.ids)
				})
			})
		}
	}
}

// Guards against the failure of a server that answers at its deadline (504) behind the events of a stream
// that was taken up there. The daemon's own deadline ends at the same time.
func TestFailureAtTheDeadlineIsNotSentBehindEvents(t *testing.T) {
	late := func(c net.Conn, a arrival) bool {
		left, _ := time.ParseDuration(a.header.Get("Left") + "ms")
		time.Sleep(left)
		return whole(http.StatusGatewayTimeout, "deadline")(c, a)
	}
	// Whether the answer or the deadline is seen first is not determined.
	for range 50 {
		inBubble(t, func(t *testing.T) {
			b := newFixture(t)
			b.known.set(resumable(), b.servers(3, inOrder(events(1, 2, false, "Proof: first"), late))...)
			got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
			if _, interrupted := got.outcome.(proxy.Interrupted); !interrupted {
				t.Errorf("outcome %#v", got.outcome)
			}
			checkEvents(t, got, 2)
		})
	}
}

// Guards against an answer that is forwarded as it arrives, because too many others are buffered, behind
// the events of a stream.
func TestUnbufferedFailureIsNotSentBehindEvents(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.MaxBuffered = 1
		b.known.set(resumable(), b.servers(3, inOrder(events(1, 2, false, "Proof: first"), whole(http.StatusGatewayTimeout, "deadline")))...)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Interrupted{Reason: proxy.Failed}) {
			t.Errorf("outcome %#v", got.outcome)
		}
		checkEvents(t, got, 2)
	})
}

// Guards against the failure of an attempt before a stream that is kept and sent once the stream, which
// began at another server, breaks off.
func TestEarlierFailureIsNotSentBehindEvents(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		failed := whole(http.StatusInternalServerError, "failed")
		b.known.set(resumable(), b.servers(3, inOrder(failed, events(1, 2, false, "Proof: first"), failed))...)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Interrupted{Reason: proxy.Failed}) {
			t.Errorf("outcome %#v", got.outcome)
		}
		checkEvents(t, got, 2)
	})
}

// Guards against events that come twice: a server cannot be told after which event without an id it is to
// continue. Such events are no part of an answer and reach no caller.
func TestStreamWithEventsWithoutIDsIsNotResumed(t *testing.T) {
	for name, second := range map[string]script{
		"numbered":    events(1, 2, true, "Proof: first"),
		"without ids": raw("200 X", chunked("data: x\n\ndata: y\n\n"), true),
	} {
		inBubble(t, func(t *testing.T) {
			b := newFixture(t)
			first := raw("200 X", "Content-Type: text/event-stream\r\n\r\ndata: x\n\nid: 5\nda", false)
			b.known.set(resumable(), b.servers(3, inOrder(first, second))...)
			got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
			if name == "numbered" {
				checkEvents(t, got, 2)
				return
			}
			if got.outcome != (proxy.Failure{Reason: proxy.Failed}) || got.body.Len() > 0 {
				t.Errorf("outcome %#v, body %q", got.outcome, got.body.String())
			}
		})
	}
}

// Guards against the loss of the rest of a stream that is not sent from its next event, but is the rest:
// events that the caller has come again, keep-alive events, and none if only the end was missing, which a
// server confirms that knows the last event.
func TestRestOfAStreamIsForwardedInAnyForm(t *testing.T) {
	for name, rest := range map[string]string{
		"repeated events":  chunked("id: 1\ndata: s\n\nid: 2\ndata: s\n\nid: 3\ndata: s\n\n"),
		"keep-alive":       chunked(": wait\n\nretry: 100\n\nid: 3\ndata: s\n\n"),
		"no type":          "Content-Length: 15\r\n\r\nid: 3\ndata: s\n\n",
		"type in capitals": "Content-Type: Text/Event-Stream; charset=utf-8\r\nContent-Length: 15\r\n\r\nid: 3\ndata: s\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				b.known.set(resumable(), b.servers(3, inOrder(events(1, 2, false, "Proof: first"), raw("200 X", rest, true)))...)
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
				if got.outcome != (proxy.Answered{Status: http.StatusOK}) {
					t.Errorf("outcome %#v", got.outcome)
				}
				checkEvents(t, got, 3)
			})
		})
	}
	t.Run("only the end", func(t *testing.T) {
		inBubble(t, func(t *testing.T) {
			b := newFixture(t)
			b.known.set(resumable(), b.servers(3, inOrder(events(1, 2, false, "Proof: first"), answerOf(2)))...)
			got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
			if got.outcome != (proxy.Answered{Status: http.StatusOK}) {
				t.Errorf("outcome %#v", got.outcome)
			}
			checkEvents(t, got, 2)
		})
	})
}

// Guards against a line as long as the reader's buffer that ends an event early, and against an id that is
// read from the middle of a line: both misplace the rest of the stream.
func TestLongLinesOfEventsAreReadWhole(t *testing.T) {
	fill := "data: " + strings.Repeat("x", 4<<10-len("data: "))
	first, rest := "id: 1\n"+fill, "id: 2\ndata: y\n\n"
	for name, c := range map[string]struct{ sent, want string }{
		"event without its end": {sent: first + "\n", want: first + "\n\n" + rest},
		"id within a line":      {sent: first + "id: 7\n\n", want: first + "id: 7\n\n" + rest},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				broken := raw("200 X", "Content-Type: text/event-stream\r\nContent-Length: 9000\r\n\r\n"+c.sent, false)
				second := func(conn net.Conn, a arrival) bool {
					if a.header.Get("After") == "1" {
						return raw("200 X", chunked(rest), true)(conn, a)
					}
					return raw("200 X", chunked(c.want), true)(conn, a)
				}
				b.known.set(resumable(), b.servers(3, inOrder(broken, second))...)
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
				if got.outcome != (proxy.Answered{Status: http.StatusOK}) || got.body.String() != c.want {
					t.Errorf("outcome %#v, body of %d bytes, want %d: ...%q", got.outcome, got.body.Len(), len(c.want), got.body.String()[max(0, got.body.Len()-60):])
				}
			})
		})
	}
}
