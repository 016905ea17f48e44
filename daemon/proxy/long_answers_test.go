package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// link is the sending side of a VM's link: bytes leave in the order in which they are written.
type link struct {
	mu   sync.Mutex
	rate float64 // bytes per second
	free time.Time
}

// send returns the time until n more bytes have left.
func (l *link) send(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free.Sub(now)
}

// A caller's connection holds socketBuffers of socketBuffer bytes that wait for the link.
const (
	socketBuffer  = 4 << 10
	socketBuffers = 64
)

// linkedCaller is a caller behind a link. It keeps nothing of its response.
type linkedCaller struct {
	ctx           context.Context
	link          *link
	bytes, writes int
	// sentAt is when the last byte has left, buffers when the last byte of each buffer has.
	sentAt  time.Time
	buffers [socketBuffers]time.Time
}

func (c *linkedCaller) Begin(int, http.Header, int64) {}

func (c *linkedCaller) Write(p []byte) (int, error) {
	c.writes++
	for part := range slices.Chunk(p, socketBuffer) {
		last := c.bytes + len(part) - 1
		if c.bytes%socketBuffer == 0 || last/socketBuffer > c.bytes/socketBuffer {
			clock.Wait(c.ctx, time.Until(c.buffers[last/socketBuffer%socketBuffers]))
		}
		c.bytes, c.sentAt = last+1, time.Now().Add(c.link.send(len(part)))
		c.buffers[last/socketBuffer%socketBuffers] = c.sentAt
	}
	return len(p), c.ctx.Err()
}

func (c *linkedCaller) Flush() error { return nil }

// serve sends a request of the caller and returns the time until all of the answer has left.
func (c *linkedCaller) serve(b *fixture, r proxy.Request) (proxy.Outcome, time.Duration) {
	r.Arrived, r.Method, r.Host, r.Target, r.Key, r.LastEvent = time.Now(), http.MethodPost, "h", r.Path, "k", -1
	out := b.engine.Serve(c.ctx, &r, c)
	return out, max(time.Since(r.Arrived), c.sentAt.Sub(r.Arrived))
}

// endlessForm is a form of an answer that may be endless until its caller's deadline.
type endlessForm struct {
	path string
	head func(id string) string
	next func(i int) string
}

var endlessForms = map[string]endlessForm{
	"chunks of 32 KB":    {"/again/x", chunkedHead("200"), func(int) string { return fmt.Sprintf("8000\r\n%s\r\n", strings.Repeat("x", 32<<10)) }},
	"chunks of 64 bytes": {"/again/x", chunkedHead("200"), func(int) string { return strings.Repeat("40\r\n"+strings.Repeat("x", 64)+"\r\n", 50) }},
	"status 404":         {"/again/x", chunkedHead("404"), func(int) string { return chunk("x") }},
	"events":             eventsWith(strings.Repeat("x", 140)),
}

// eventsWith is a stream of events with the same data.
func eventsWith(data string) endlessForm {
	return endlessForm{"/stream/x", streamHead, func(i int) string {
		var b strings.Builder
		for n := range 100 {
			fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", 100*(i-1)+n+1, data)
		}
		return fmt.Sprintf("%x\r\n%s\r\n", b.Len(), b.String())
	}}
}

func chunkedHead(status string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 " + status + " X\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
}

// beside runs f beside callers of n answers without end. Before a request, confirm confirms the
// configuration, whose server is sound.
func beside(t *testing.T, b *fixture, l *link, form endlessForm, n int, f func(ctx context.Context, confirm func())) (writes int) {
	t.Helper()
	sound := b.server("sound", whole(http.StatusOK, strings.Repeat("x", 1<<10)))
	ctx, cancel := context.WithCancel(t.Context())
	config := parts(1, "k")
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Hour
	}
	b.known.set(routemap.New(config), b.server("endless", endless(func() {}, form.head, form.next, new(atomic.Int64))))
	var wg sync.WaitGroup
	callers := make([]linkedCaller, n)
	for i := range callers {
		callers[i] = linkedCaller{ctx: ctx, link: l}
		wg.Go(func() {
			callers[i].serve(b, proxy.Request{ID: "endless" + strconv.Itoa(i), Path: form.path})
		})
	}
	clock.Wait(ctx, time.Nanosecond)
	f(ctx, func() { b.known.set(routemap.New(config), sound) })
	cancel()
	wg.Wait()
	for _, c := range callers {
		writes += c.writes
	}
	return writes
}

// Guards against long answers that fill a VM's link: messages between daemons and the answers to other
// callers waited behind them for seconds, also while the answers were buffered.
func TestLongAnswersLeaveLinkToOthers(t *testing.T) {
	const mbit, maxDelay, maxAdded = 10, 100 * time.Millisecond, 5 * time.Millisecond
	const size, messages, requests, interval = 1 << 10, 4000, 200, 10 * time.Millisecond
	for name, form := range endlessForms {
		for _, n := range []int{0, 1, 4, 16} {
			t.Run(fmt.Sprintf("%s/%d", name, n), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					b, l := newFixture(t), &link{rate: mbit * 1e6 / 8}
					var delay time.Duration
					var answers []time.Duration
					beside(t, b, l, form, n, func(ctx context.Context, confirm func()) {
						for i := range messages {
							clock.Wait(ctx, interval)
							delay = max(delay, l.send(size))
							if i%(messages/requests) == 0 {
								confirm()
								c := linkedCaller{ctx: ctx, link: l}
								out, took := c.serve(b, proxy.Request{ID: "r" + strconv.Itoa(i), Path: "/again/x"})
								if out != (proxy.Answered{Status: http.StatusOK}) {
									t.Fatalf("request %d: %v", i, out)
								}
								answers = append(answers, took)
							}
						}
					})
					slices.Sort(answers)
					alone := 2 * time.Duration(size/l.rate*float64(time.Second))
					added := answers[len(answers)*99/100] - alone
					t.Logf("a message takes %v at most, p99 of sound answers grows by %v", delay, added)
					if delay > maxDelay || added > maxAdded {
						t.Errorf("a message takes %v at most, p99 of sound answers grows by %v", delay, added)
					}
				})
			})
		}
	}
}

// Guards against streams of small events without end that take a VM's processor: at a microsecond or so for
// each write, one took all of a small VM's.
func TestLongAnswersLeaveProcessorToOthers(t *testing.T) {
	const processor, maxShare, perWrite, period = 0.2, 0.33, time.Microsecond, time.Second
	for _, n := range []int{1, 4, 16} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b, l := newFixture(t), &link{rate: 1e8 / 8}
				writes := beside(t, b, l, eventsWith("x"), n, func(ctx context.Context, _ func()) { clock.Wait(ctx, period) })
				share := float64(time.Duration(writes)*perWrite) / float64(period)
				t.Logf("%d writes, %.3f of a core", writes, share)
				if share > maxShare*processor {
					t.Errorf("%d writes in %v, %.3f of a core", writes, period, share)
				}
			})
		})
	}
}
