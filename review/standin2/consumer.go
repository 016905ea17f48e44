package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one attempt of a consumer.
type call struct {
	id, method, target, body string
	header                   []string
	wait                     time.Duration
}

// outcome is what a consumer saw of its attempt.
type outcome struct {
	// status is 0 if there was no answer.
	status int
	header http.Header
	body   string
	// whole is set if the body came to its end.
	whole bool
	err   error
	took  time.Duration
}

var ids atomic.Int64

// newID returns an id that no other attempt has.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, ids.Add(1)) }

// head returns the head of the request.
func (c call) head() string {
	lines := append([]string{
		c.method + " " + c.target + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + c.id, "Api-Key: " + apiKey,
		fmt.Sprintf("X-Deadline-Ms: %d", c.wait.Milliseconds()),
	}, c.header...)
	if c.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(c.body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// send sends the request to a daemon on a new channel.
func (c call) send(addr string) outcome {
	begun := time.Now()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return outcome{err: err, took: time.Since(begun)}
	}
	defer func() { _ = conn.Close() }()
	return c.on(conn, bufio.NewReader(conn))
}

// on sends the request on an open channel.
func (c call) on(conn net.Conn, in *bufio.Reader) (o outcome) {
	begun := time.Now()
	defer func() { o.took = time.Since(begun) }()
	_ = conn.SetDeadline(begun.Add(c.wait))
	if _, o.err = io.WriteString(conn, c.head()+c.body); o.err != nil {
		return o
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: c.method})
	if err != nil {
		o.err = err
		return o
	}
	data, err := io.ReadAll(resp.Body)
	o.status, o.header, o.body, o.whole, o.err = resp.StatusCode, resp.Header, string(data), err == nil, err
	return o
}

// text describes an outcome for the record.
func (o outcome) text() string {
	if o.status == 0 {
		return fmt.Sprintf("no answer (%v)", o.err)
	}
	whole := "whole"
	if !o.whole {
		whole = fmt.Sprintf("broken off (%v)", o.err)
	}
	return fmt.Sprintf("%d, signature %q, %d bytes, %s, %.20q", o.status, o.header.Get("X-Response-Signature"), len(o.body), whole, o.body)
}

// checkout, release and chat are requests of the three routes.
func checkout() call {
	id := newID()
	return call{id: id, method: http.MethodPost, target: "/checkout/" + id, body: "seat", wait: time.Second}
}

func release() call {
	id := newID()
	return call{id: id, method: http.MethodGet, target: "/release/" + id, wait: time.Second}
}

func chat(wait time.Duration) call {
	id := newID()
	return call{id: id, method: http.MethodPost, target: "/chat/" + id, body: "prompt", wait: wait, header: []string{
		"X-Model: *", "X-Token-Usage: 715,280", "X-Prompt-Prefix: 5c1e07a2:172," + id + ":543", "Session: s-" + id,
	}}
}
