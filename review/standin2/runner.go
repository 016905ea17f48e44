package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a server on a TCP port that speaks HTTP/1.1 as the pages have it. It works on each
// request for work, and signs its answers.
type runner struct {
	id, service, hall, addr string
	slots                   int
	work                    time.Duration
	// events is the number of events of a stream; 0 is a plain service.
	events int
	// gap is the time between two events.
	gap time.Duration
	// unframed decides whether a stream is sent without a length, so that it ends with its connection; nil
	// is never.
	unframed func() bool
	// say tells which requests run.
	say func(format string, args ...any)
	// closeShare is the share of answers that end their connection, with Connection: close.
	closeShare float64
	// spoil, if set, decides about each request that was run what is sent in place of its answer. It
	// returns false to answer as usual.
	spoil func(c net.Conn, id string) bool

	mu sync.Mutex
	// inFlight are the requests that run or wait; working has room for those that run.
	inFlight int
	working  chan struct{}
	runs     map[string]int
}

// startRunner starts a server and has it listed in the store. It writes there every 1.2 s.
func (s *site) startRunner(r *runner) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr, r.runs, r.say, r.gap = l.Addr().String(), map[string]int{}, s.record.printf, 20*time.Millisecond
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	entry := object{"service": r.service, "address": r.addr, "zone": r.hall, "version": "v1", "slots": r.slots, "state": "ready", "coldRemainingMs": 0}
	if r.events > 0 {
		entry["phase"] = "both"
		entry["models"] = []object{{"name": "m0", "version": 1, "adapters": []string{}}, {"name": "m1", "version": 1, "adapters": []string{}}, {"name": "m2", "version": 1, "adapters": []string{}}}
	}
	beat := func(n int) { entry["sequence"] = n; s.store.set("servers", r.id, entry) }
	beat(1)
	go func() {
		for n := 2; ; n++ {
			time.Sleep(1200 * time.Millisecond)
			beat(n)
		}
	}()
	return nil
}

// proof is the signature of an answer.
func (r *runner) proof(id string) string { return r.id + "." + id }

// body is the whole body of a plain answer: 800 bytes that only this server gives to this request.
func (r *runner) body(id string) string { return strings.Repeat(r.id+"/"+id+" ", 800)[:800] }

// queuePerSlot is how many requests may wait for each slot.
const queuePerSlot = 4

// enter waits for a slot, and reports whether there is one before the deadline. Beyond the queue a request is
// turned away at once.
func (r *runner) enter(id string, deadline time.Time) bool {
	r.mu.Lock()
	if r.working == nil {
		r.working = make(chan struct{}, r.slots)
	}
	if r.inFlight >= r.slots*(1+queuePerSlot) {
		r.mu.Unlock()
		return false
	}
	r.inFlight++
	r.mu.Unlock()
	select {
	case r.working <- struct{}{}:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs[id]++
		return true
	case <-time.After(time.Until(deadline)):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.inFlight--
		return false
	}
}

func (r *runner) leave() {
	<-r.working
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// ran returns how often a request was run.
func (r *runner) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// serve serves one connection.
func (r *runner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("X-Attempt-Id")
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
			continue
		}
		deadline := time.Now().Add(time.Hour)
		if ms, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
			deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
		}
		if !r.enter(id, deadline) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		r.say("request %s runs at %s", id, r.id)
		open := r.answer(c, q, id, deadline)
		r.leave()
		if !open {
			return
		}
	}
}

// answer answers a request that runs, and reports whether the connection stays open.
//
// At its deadline a request ends with a 504, or with its channel if the answer has begun.
func (r *runner) answer(c net.Conn, q *http.Request, id string, deadline time.Time) bool {
	time.Sleep(min(r.work, time.Until(deadline)))
	if !time.Now().Before(deadline) {
		_, err := fmt.Fprintf(c, "HTTP/1.1 504 Gateway Timeout\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: 0\r\n\r\n", id, r.proof(id))
		return err == nil
	}
	if r.spoil != nil && r.spoil(c, id) {
		return false
	}
	if r.events == 0 {
		body, last, ends := r.body(id), "", rand.Float64() < r.closeShare
		if ends {
			last = "Connection: close\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, r.proof(id), last, len(body), body)
		return err == nil && !ends
	}
	return r.stream(c, q, id, deadline)
}

// stream sends the events of a stream after the last one that the caller has.
func (r *runner) stream(c net.Conn, q *http.Request, id string, deadline time.Time) bool {
	first := 1
	if n, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	framed, last := r.unframed == nil || !r.unframed(), rand.Float64() < r.closeShare
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nX-Confidence: 95\r\nContent-Type: text/event-stream\r\n", id, r.proof(id))
	switch {
	case framed && last:
		head += "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
	case framed:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	default:
		head += "Connection: close\r\n\r\n"
		r.say("request %s is answered without a length by %s", id, r.id)
	}
	_, err := io.WriteString(c, head)
	for i := first; err == nil && i <= r.events; i++ {
		if !time.Now().Before(deadline) {
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
		if framed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, err = io.WriteString(c, event)
		time.Sleep(r.gap)
	}
	if err == nil && framed {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err == nil && framed && !last
}
