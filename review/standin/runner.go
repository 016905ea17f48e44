package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner. It speaks HTTP/1.1 on its own, so that a case decides each byte
// that it sends.
type runner struct {
	id      string
	addr    string
	work    time.Duration
	record  *record
	channel atomic.Int64
	// listener is where the runner accepts channels.
	listener net.Listener

	mu   sync.Mutex
	runs map[string]int
	// serve answers a request on a channel and reports whether the channel stays open.
	serve func(c *runnerChannel, q *http.Request, body []byte) bool
}

// runnerChannel is one channel to a runner.
type runnerChannel struct {
	net.Conn
	number int64
	runner *runner
	// before is called when the first byte of the next request has arrived; may be nil.
	before func()
}

// startRunner starts a runner that answers whole, with its proof.
func startRunner(id string, work time.Duration, rec *record) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, addr: l.Addr().String(), work: work, record: rec, listener: l, runs: map[string]int{}}
	r.serve = func(c *runnerChannel, q *http.Request, body []byte) bool { return r.answer(c, q, body) }
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.handle(&runnerChannel{Conn: conn, number: r.channel.Add(1), runner: r})
		}
	}()
	return r, nil
}

// setServe sets how the runner answers requests.
func (r *runner) setServe(serve func(c *runnerChannel, q *http.Request, body []byte) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serve = serve
}

// handle serves the requests of a channel one after the other.
func (r *runner) handle(c *runnerChannel) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		if before := c.before; before != nil {
			c.before = nil
			before()
		}
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.Header.Get("X-Attempt-Id"))
			continue
		}
		if q.URL.Path == "/healthz" {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 2\r\n\r\nok", r.id)
			continue
		}
		r.mu.Lock()
		serve := r.serve
		r.mu.Unlock()
		if !serve(c, q, body) {
			return
		}
	}
}

// begin records that the runner runs a request.
func (r *runner) begin(c *runnerChannel, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.record.add("runner %s channel %d runs %s (Last-Event-Id %q, X-Deadline-Ms %s)", r.id, c.number, id, q.Header.Get("Last-Event-Id"), q.Header.Get("X-Deadline-Ms"))
}

// body returns the runner's body for a request, and its proof.
func (r *runner) body(id string) string  { return fmt.Sprintf("%s answers %s, whole", r.id, id) }
func (r *runner) proof(id string) string { return r.id + "." + id }

// answer runs a request and answers it whole.
func (r *runner) answer(c *runnerChannel, q *http.Request, _ []byte) bool {
	id := q.Header.Get("X-Attempt-Id")
	r.begin(c, q)
	time.Sleep(r.work)
	body := r.body(id)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, r.proof(id), len(body), body)
	return err == nil
}
