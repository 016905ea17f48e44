package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// answerOf returns the script of a sound server whose answer has n events.
func answerOf(n int) script {
	return func(c net.Conn, a arrival) bool {
		after, _ := strconv.Atoi(a.header.Get("After"))
		return events(after+1, n, true)(c, a)
	}
}

// falseEvents are what a faulty server sends in place of an answer of ten events, of which a caller receives
// at least one.
var falseEvents = map[string]script{
	"more than the answer may have":        raw("200 X", chunked(numbered(1, 60)), false),
	"after true ones":                      raw("200 X", chunked(numbered(1, 5)+strings.Repeat("id: 6\ndata: false\n\n", 9000)), false),
	"one again and again":                  raw("200 X", chunked(strings.Repeat("id: 1\ndata: false\n\n", 9000)), false),
	"with a gap":                           raw("200 X", chunked(numbered(1, 3)+numbered(7, 8)), false),
	"before a long event":                  raw("200 X", chunked(numbered(1, 3)+"data: "+strings.Repeat("x", 2<<20)+"\n\n"), false),
	"before one without an id":             raw("200 X", chunked(numbered(1, 3)+"data: false\n\n"), false),
	"before one that came":                 raw("200 X", chunked(numbered(1, 3)+numbered(2, 4)), false),
	"before a part of one, ended":          raw("200 X", chunked(numbered(1, 3)+"id: 4\nda"), false),
	"before bytes that are no chunk":       raw("200 X", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: false\n\n\r\nout of order\r\n", true),
	"more than the answer has, broken off": raw("200 X", "Content-Type: text/event-stream\r\nContent-Length: 9000\r\n\r\n"+numbered(1, 15), false),
}

// numbered returns events with the given first and last id.
func numbered(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: false\n\n", i)
	}
	return b.String()
}

// Guards against a stream of false events that reaches its caller as a complete answer: another server was
// asked for what follows them, had nothing to add, and so ended it. It is interrupted.
func TestStreamOfFalseEventsDoesNotLookComplete(t *testing.T) {
	for name, faulty := range falseEvents {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				b.known.set(resumable(), b.servers(3, inOrder(faulty, answerOf(10)))...)
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: 2 * time.Second, MaxOutput: 10})
				if got.outcome != (proxy.Interrupted{Reason: proxy.Failed}) || got.took > time.Second || got.begins != 1 {
					t.Errorf("outcome %#v after %v, %d heads, body of %d bytes", got.outcome, got.took, got.begins, got.body.Len())
				}
			})
		})
	}
}

// Guards against false events without end that take a VM's processor: their connection is closed, and the
// caller does not wait for its deadline.
func TestFalseEventsWithoutEndAreCut(t *testing.T) {
	for form, next := range map[string]func(i int) string{
		"numbered": func(i int) string {
			text := numbered(100*(i-1)+1, 100*i)
			return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		},
		"one event": func(int) string { return chunk("id: 1\ndata: endless\n\n") },
	} {
		t.Run(form, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				var sent atomic.Int64
				arrived := func() { b.known.set(routemap.New(parts(2, "k")), b.server("b", answerOf(10))) }
				b.known.set(routemap.New(parts(1, "k")), b.server("a", endless(arrived, streamHead, next, &sent)))
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: 2 * time.Second, MaxOutput: 4})
				if n := sent.Load(); n > 2<<20 {
					t.Errorf("%d bytes were read", n)
				}
				if got.outcome != (proxy.Interrupted{Reason: proxy.Failed}) || got.took > time.Second || len(b.received()) != 1 {
					t.Errorf("outcome %v after %v, %d bytes, %d attempts", got.outcome, got.took, got.body.Len(), len(b.received()))
				}
			})
		})
	}
}

// Guards against a caller that asks for the rest of a stream of false events and gets an end from a server that
// does not know them, and against the refusal of one that only lacks the end of an answer.
func TestEndOfResumedStreamIsOnlyBelievedFromAServerThatKnowsItsEvents(t *testing.T) {
	for _, c := range []struct {
		last int64
		want proxy.Outcome
		body string
	}{
		{15, proxy.Failure{Reason: proxy.Failed}, ""},
		{10, proxy.Answered{Status: http.StatusOK}, ""},
		{9, proxy.Answered{Status: http.StatusOK}, "id: 10\ndata: s\n\n"},
	} {
		t.Run(strconv.FormatInt(c.last, 10), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				b.known.set(resumable(), b.servers(3, answerOf(10))...)
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: 2 * time.Second, LastEvent: c.last})
				body := strings.NewReplacer("s0", "s", "s1", "s", "s2", "s").Replace(got.body.String())
				if got.outcome != c.want || body != c.body || got.took > 0 {
					t.Errorf("outcome %#v after %v, body %q", got.outcome, got.took, got.body.String())
				}
			})
		})
	}
}

// Guards against a head that is sent before anything of the answer is known: a caller gets that of a server
// that sent an event.
func TestHeadOfAStreamIsNotSentBeforeItsFirstEvent(t *testing.T) {
	for name, first := range map[string]script{
		"no event":          raw("200 X", "Proof: false\r\n"+chunked(""), true),
		"broken off":        raw("200 X", "Proof: false\r\nContent-Type: text/event-stream\r\nContent-Length: 90\r\n\r\nid: 1\n", false),
		"no id":             raw("200 X", "Proof: false\r\n"+chunked("data: false\n\n"), true),
		"no beginning":      raw("200 X", "Proof: false\r\n"+chunked(numbered(7, 9)), true),
		"text in its place": raw("200 X", "Proof: false\r\nContent-Type: text/html\r\nContent-Length: 12\r\n\r\nout of order", true),
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				b.known.set(resumable(), b.servers(3, inOrder(first, events(1, 2, true, "Proof: first")))...)
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
				if got.outcome != (proxy.Answered{Status: http.StatusOK}) {
					t.Errorf("outcome %#v", got.outcome)
				}
				checkEvents(t, got, 2)
			})
		})
	}
}

// Guards against an event that has arrived and is dropped since the request ends before it is written.
func TestEventThatHasArrivedIsWritten(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(resumable(), b.servers(1, answerOf(3))...)
		ctx, cancel := context.WithCancel(t.Context())
		b.known.onObserve = cancel
		got := b.send(ctx, proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.ClientGone{}) || !strings.HasPrefix(got.body.String(), "id: 1\n") {
			t.Errorf("outcome %#v, body %q", got.outcome, got.body.String())
		}
	})
}
