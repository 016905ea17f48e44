package proxy_test

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// endless returns a script that calls arrived, then sends a head and more bytes without end, 64 MB at
// most, and counts them.
func endless(arrived func(), head func(id string) string, next func(i int) string, sent *atomic.Int64) script {
	const most = 64 << 20
	return func(c net.Conn, a arrival) bool {
		arrived()
		if _, err := io.WriteString(c, head(a.header.Get("Id"))); err != nil {
			return false
		}
		for i := 1; sent.Load() < most; i++ {
			n, err := io.WriteString(c, next(i))
			if sent.Add(int64(n)); err != nil {
				return false
			}
		}
		_, _ = io.Copy(io.Discard, c)
		return false
	}
}

func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// chunk repeats a text to a chunk of 4 KB or so.
func chunk(text string) string {
	text = strings.Repeat(text, 1+4000/len(text))
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// Guards against streams without end that take a VM's processor and never end for their callers: if they
// have no event of an answer they are taken up at another server, and their connections are closed.
func TestStreamWithoutEndIsTakenUpElsewhere(t *testing.T) {
	for form, next := range map[string]func(i int) string{
		"comments":    func(int) string { return chunk(": nothing\n\n") },
		"empty lines": func(int) string { return chunk("\n") },
		"one line":    func(int) string { return chunk("data") },
		"lines":       func(int) string { return chunk("data: x\n") },
		"chunk extension": func(i int) string {
			if i == 1 {
				return "9;x="
			}
			return strings.Repeat("x", 1000)
		},
		"trailers": func(i int) string {
			if i == 1 {
				return "0\r\n"
			}
			return "X: " + strings.Repeat("x", 1000) + "\r\n"
		},
		"retry fields": func(int) string { return chunk("retry: 1\n\n") },
	} {
		t.Run(form, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				var sent atomic.Int64
				const tokens = 4
				sound := b.server("b", func(c net.Conn, a arrival) bool {
					after, _ := strconv.Atoi(a.header.Get("After"))
					return events(after+1, after+10, true)(c, a)
				})
				arrived := func() { b.known.set(routemap.New(parts(2, "k")), sound) }
				b.known.set(routemap.New(parts(1, "k")), b.server("a", endless(arrived, streamHead, next, &sent)))
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: 2 * time.Second, MaxOutput: tokens})
				if n := sent.Load(); n > 2<<20 {
					t.Errorf("%d bytes were read", n)
				}
				if got.outcome != (proxy.Answered{Status: 200}) || !strings.HasSuffix(got.body.String(), "data: b\n\n") || got.took > time.Second {
					t.Errorf("outcome %v after %v, %d bytes", got.outcome, got.took, got.body.Len())
				}
			})
		})
	}
}

// Guards against callers that get a failure without end until their deadline: it is retried like a
// short one.
func TestFailureWithoutEndIsRetried(t *testing.T) {
	for form, next := range map[string]func(int) string{
		"at once": func(int) string { return strings.Repeat("x", 64<<10) },
		"slowly":  func(int) string { time.Sleep(10 * time.Millisecond); return "x" },
	} {
		for name, head := range map[string]string{"with a length": "Content-Length: 1000000000\r\n", "without": "Connection: close\r\n"} {
			t.Run(form+" "+name, func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					b := newFixture(t)
					var sent atomic.Int64
					arrived := func() { b.known.set(routemap.New(parts(2, "k")), b.server("b", whole(200, "good"))) }
					failing := endless(arrived, func(id string) string { return "HTTP/1.1 500 X\r\nId: " + id + "\r\n" + head + "\r\n" }, next, &sent)
					b.known.set(routemap.New(parts(1, "k")), b.server("a", failing))
					got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: 2 * time.Second})
					if got.status != 200 || got.body.String() != "good" || got.took > time.Second {
						t.Errorf("status %d, %d bytes, after %v", got.status, got.body.Len(), got.took)
					}
					if n := b.engine.Endless.Of("failure"); n != 1 {
						t.Errorf("%d counted", n)
					}
					// The failing server notices the closed connection with its next byte.
					time.Sleep(time.Second)
				})
			})
		}
	}
}
