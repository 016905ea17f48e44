package relay

import (
	"context"
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/reach"
	"ladderridge.example/daemon/channel"
)

const (
	// maxServing is the number of connections that a daemon serves for others. Each takes two
	// buffers and a connection to a server.
	maxServing = 256
	// requestTimeout limits the time until a daemon has sent what it asks for.
	requestTimeout = time.Second
	// copyBuffer is the size of a buffer in bytes.
	copyBuffer = 8 << 10
)

// Served describes a connection that was served for another daemon.
type Served struct {
	From      string
	RequestID string
	Server    string
	Answer    reach.Answer
	// Kept reports whether the exchange was complete and the connection was kept.
	Kept bool
	// SentBytes went to the server, ReceivedBytes came from it.
	SentBytes     int64
	ReceivedBytes int64
	Took          time.Duration
}

// Server connects other daemons to servers. Set the exported fields before use.
type Server struct {
	Pool *channel.Pool
	// Listed reports whether a server is listed at an address. No other address is connected to.
	Listed func(addr string) bool
	// OnServed is called at the end of each connection; may be nil.
	OnServed func(Served)

	serving atomic.Int64
	// stopBy is when this daemon stops, nil if it is not stopping.
	stopBy atomic.Pointer[time.Time]
}

// Serving returns how many connections are served for other daemons.
func (s *Server) Serving() int64 { return s.serving.Load() }

// ShutdownBy tells the server that the daemon stops at a time: from now on it accepts only
// requests with a deadline no later than that.
func (s *Server) ShutdownBy(at time.Time) { s.stopBy.Store(&at) }

// Serve serves a stream of another daemon until it ends.
func (s *Server) Serve(from string, stream *quic.Stream) {
	serving := s.serving.Add(1)
	defer s.serving.Add(-1)
	served := Served{From: from}
	begun := time.Now()
	defer func() {
		if served.Took = time.Since(begun); s.OnServed != nil {
			s.OnServed(served)
		}
	}()
	_ = stream.SetReadDeadline(begun.Add(requestTimeout))
	var request openRequest
	if err := readMessage(stream, &request); err != nil {
		abort(stream, codeAborted)
		served.Answer = reach.Silent
		return
	}
	served.RequestID, served.Server = request.RequestID, request.Addr
	conn, answer := s.connect(request, serving, begun)
	served.Answer = answer
	_ = stream.SetReadDeadline(time.Time{})
	err := writeMessage(stream, openResponse{Answer: answer, Serving: uint32(serving)}) //nolint:gosec // A small number.
	if answer != reach.Connected {
		_ = stream.Close()
		stream.CancelRead(codeAborted)
		return
	}
	if err != nil {
		_ = conn.Close()
		abort(stream, codeAborted)
		return
	}
	forward(stream, conn, &served)
}

// connect connects to the server, unless the request is refused.
func (s *Server) connect(r openRequest, serving int64, now time.Time) (*channel.ServerConn, reach.Answer) {
	stopBy, left := s.stopBy.Load(), time.Duration(r.TimeLeftMS)*time.Millisecond
	switch {
	case stopBy != nil && (left == 0 || now.Add(left).After(*stopBy)):
		return nil, reach.Stopping
	case serving > maxServing:
		return nil, reach.Full
	case !s.Listed(r.Addr):
		return nil, reach.Unlisted
	}
	maxIdle := time.Duration(r.MaxIdleMS) * time.Millisecond
	return s.Pool.Connect(context.Background(), r.Addr, maxIdle)
}

// abort resets both directions of a stream.
func abort(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelWrite(code)
	stream.CancelRead(code)
}

// forward copies bytes until the exchange ends. The other daemon ends the stream properly after a
// complete exchange, and resets it otherwise.
func forward(stream *quic.Stream, conn *channel.ServerConn, served *Served) {
	ended := make(chan bool, 1)
	go func() { ended <- forwardRequest(stream, conn, served) }()
	n, readErr, writeErr := copyBytes(stream, conn)
	served.ReceivedBytes = n
	switch {
	case writeErr != nil:
		stream.CancelRead(codeAborted)
	case errors.Is(readErr, io.EOF):
		// The other daemon reads to the end, and then closes the stream.
		_ = stream.Close()
		awaitEnd(ended)
	case !errors.Is(readErr, os.ErrDeadlineExceeded):
		if n > 0 {
			// CancelWrite drops what the other daemon has not received yet, with which its answer may be
			// complete.
			awaitEnd(ended)
		}
		stream.CancelWrite(resetCode(readErr))
	}
	complete := <-ended
	if complete && errors.Is(readErr, os.ErrDeadlineExceeded) {
		served.Kept = true
		_ = stream.Close()
		conn.Keep()
		return
	}
	_ = conn.Close()
	abort(stream, codeAborted)
}

// deliveryTime is how long the other daemon has to receive the last bytes of a connection that broke.
const deliveryTime = 100 * time.Millisecond

// awaitEnd waits up to deliveryTime until the other daemon has ended the exchange.
func awaitEnd(ended chan bool) {
	select {
	case complete := <-ended:
		ended <- complete
		if !complete {
			<-clock.After(deliveryTime)
		}
	case <-clock.After(deliveryTime):
	}
}

// forwardRequest copies from the other daemon to the server and reports whether the exchange was
// complete.
func forwardRequest(stream *quic.Stream, conn *channel.ServerConn, served *Served) bool {
	n, readErr, writeErr := copyBytes(conn, stream)
	served.SentBytes = n
	if writeErr != nil {
		// The server may have answered before it closed the connection, so its bytes are still read. The
		// other daemon's write fails: an answer without a length is complete only for a whole request.
		stream.CancelRead(codeServerReset)
		return false
	}
	if !errors.Is(readErr, io.EOF) {
		_ = conn.Close()
		return false
	}
	// Ends the copy in the other direction, which has nothing left to read.
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// resetCode returns the code that tells the other daemon how the server's connection broke.
func resetCode(err error) quic.StreamErrorCode {
	if channel.TimedOut(err) {
		return codeServerTimedOut
	}
	return codeServerReset
}

// copyBytes copies until an error and returns the number of bytes with the error of the reader or
// that of the writer.
func copyBytes(w io.Writer, r io.Reader) (n int64, readErr, writeErr error) {
	buf := make([]byte, copyBuffer)
	for {
		got, err := r.Read(buf)
		if got > 0 {
			if _, werr := w.Write(buf[:got]); werr != nil {
				return n, nil, werr
			}
			n += int64(got)
		}
		if err != nil {
			return n, err, nil
		}
	}
}
