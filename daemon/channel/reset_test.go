package channel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/channel"
)

// uploadSize is more than the socket buffers hold.
const uploadSize = 20 << 20

// watchedConn is a connection that tells when a write has failed.
type watchedConn struct {
	*net.TCPConn
	failed chan struct{}
	once   sync.Once
}

func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// arrival is a request at a server whose body has not been read yet.
type arrival struct {
	*net.TCPConn
	body io.Reader
	// headRead is closed when the caller has read the head of the answer.
	headRead <-chan struct{}
}

// readUnderUpload sends a long upload to a server and returns what it reads of the answer. If the write
// fails, nothing of the body is read before that: the system reports a reset only once, to the write then.
func readUnderUpload(t *testing.T, script func(a arrival)) (body string, selfDelimited bool, err error) {
	t.Helper()
	head := make(chan struct{})
	addr := startServer(t, func(c net.Conn, r *bufio.Reader) {
		if x, err := http.ReadRequest(r); err == nil {
			script(arrival{c.(*net.TCPConn), x.Body, head})
		}
	})
	failed := make(chan struct{})
	p := newPool()
	p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &watchedConn{TCPConn: conn.(*net.TCPConn), failed: failed}, nil
	}
	x := request(addr, "r")
	x.Method, x.Body = "POST", make([]byte, uploadSize)
	r, err := p.Send(t.Context(), x)
	if err != nil {
		return "", false, err
	}
	defer r.Close()
	close(head)
	if r.Header.Get("Reads") != "all" {
		<-failed
	}
	data, err := io.ReadAll(r)
	return string(data), r.SelfDelimited, err
}

// begin answers before the request is read to the end, without a length.
func (a arrival) begin(reads string) {
	_, _ = io.WriteString(a, "HTTP/1.1 200 OK\r\nId: r\r\nReads: "+reads+"\r\n\r\npart")
	<-a.headRead
}

// reset resets a connection.
func (a arrival) reset() {
	_ = a.SetLinger(0)
	_ = a.Close()
}

// A part of an answer looked complete after the server had reset the connection: the write of the request
// had received the reset, and the read after it an end of file.
func TestResetUnderAnUploadIsNoEndOfTheAnswer(t *testing.T) {
	for range 20 {
		body, _, err := readUnderUpload(t, func(a arrival) {
			a.begin("a part")
			a.reset()
		})
		if !fault.Is(err, channel.Interrupted) || !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("%q, %v", body, err)
		}
	}
}

// A server may answer without a length before it has read the request, and end its answer in the regular way.
func TestEarlyAnswerWithoutLengthIsComplete(t *testing.T) {
	for name, script := range map[string]func(arrival){
		"the rest is read after the answer": func(a arrival) {
			a.begin("all")
			_ = a.CloseWrite()
			_, _ = io.Copy(io.Discard, a.body)
		},
		"the rest is read before the end": func(a arrival) {
			a.begin("all")
			_, _ = io.Copy(io.Discard, a.body)
		},
	} {
		for range 20 {
			if body, _, err := readUnderUpload(t, script); err != nil || body != "part" {
				t.Fatalf("%s: %q, %v", name, body, err)
			}
		}
	}
}

// A server that ends its answer and resets the request has not taken it to the end.
func TestRequestThatIsNotWrittenLeavesAnAnswerWithoutLengthIncomplete(t *testing.T) {
	for range 20 {
		body, _, err := readUnderUpload(t, func(a arrival) {
			a.begin("a part")
			_ = a.CloseWrite()
			a.reset()
		})
		if !fault.Is(err, channel.Interrupted) {
			t.Fatalf("%q, %v", body, err)
		}
	}
}

// An answer that marks its own end is complete whatever follows.
func TestResetAfterAnEarlyAnswerWithALengthIsIgnored(t *testing.T) {
	for range 20 {
		body, selfDelimited, err := readUnderUpload(t, func(a arrival) {
			_, _ = io.WriteString(a, "HTTP/1.1 200 OK\r\nId: r\r\nReads: a part\r\nContent-Length: 4\r\n\r\nbody")
			<-a.headRead
			a.reset()
		})
		if err != nil || body != "body" || !selfDelimited {
			t.Fatalf("%q, %v", body, err)
		}
	}
}
