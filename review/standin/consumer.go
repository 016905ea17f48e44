package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// errNoChannel is the error of a request whose channel could not be opened.
var errNoChannel = errors.New("no channel")

// consumer is a stand-in of a consumer with one kept channel.
type consumer struct {
	front string
	conn  net.Conn
	in    *bufio.Reader
}

// reply is what a consumer got for a request.
type reply struct {
	status int
	header http.Header
	body   string
	// err is why the answer is not whole, nil if it is.
	err error
}

// open opens the channel unless it is open.
func (c *consumer) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, length int, more ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + id, fmt.Sprintf("X-Deadline-Ms: %d", deadline.Milliseconds()),
		"Api-Key: " + apiKey, fmt.Sprintf("Content-Length: %d", length),
	}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// read reads an answer to its end.
func (c *consumer) read(method string, deadline time.Duration) reply {
	_ = c.conn.SetReadDeadline(time.Now().Add(deadline))
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.close()
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if err != nil || resp.Close {
		c.close()
	}
	return out
}

// do sends a request on the kept channel and reads its answer.
func (c *consumer) do(method, path, id string, deadline time.Duration, body string, more ...string) reply {
	if err := c.open(); err != nil {
		return reply{err: fmt.Errorf("%w: %w", errNoChannel, err)}
	}
	if _, err := io.WriteString(c.conn, head(method, path, id, deadline, len(body), more...)+body); err != nil {
		c.close()
		return reply{err: err}
	}
	return c.read(method, deadline)
}
