// Package backend sends one attempt of a request to a backend server and reports
// its outcome.
package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/route"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/wire"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// StoppedBeforeSend means that the check before sending failed; nothing was sent.
	StoppedBeforeSend Kind = "stopped at the gate"
	// Unreachable means that the request did not reach the server.
	Unreachable Kind = "server unreachable"
	// Declined means that the server reported that it did not accept the request.
	Declined Kind = "server declined"
	// Interrupted means that the answer was interrupted or did not arrive.
	Interrupted Kind = "answer broken"
	// Mismatched means that the answer belongs to another attempt.
	Mismatched Kind = "answer to another request"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

const opSend = "send"

// Client sends attempts. Use New.
type Client struct {
	// Pool is the pool of connections to servers. It never resends a request
	// without the client's knowledge.
	Pool *channel.Pool
	// MismatchedReplies counts the answers that were dropped because they belonged
	// to another attempt.
	MismatchedReplies atomic.Int64
}

// New returns a client with an empty connection pool.
func New() *Client { return &Client{Pool: channel.NewPool()} }

// Exchange is the request of one attempt.
type Exchange struct {
	Attempt *attempt.Attempt
	Request string
	Key     string
	Server  *route.Server
	Method  string
	// Target is the escaped path with the query.
	Target string
	Header http.Header
	Body   []byte
	// Once marks a request that must not be sent twice.
	Once bool
	// Offset is the index of the first token to stream.
	Offset int
	// NeedEcho requires the server to name the attempt in its answer.
	NeedEcho bool
	// BeforeSend is the last check before any byte is sent.
	BeforeSend func() error
	// OnRelease, if set, is called when the server's slot has been released.
	OnRelease func()
	// OnNotice, if set, is called with a server's notice that contains new information.
	OnNotice func(n notice.Notice)
}

// recordNotice stores the notice that came with an answer, whether or not the answer is
// used.
func (x *Exchange) recordNotice(n notice.Notice) {
	if n.Any() && x.Server.State.Notices.Observe(n, time.Now()) && x.OnNotice != nil {
		x.OnNotice(n)
	}
}

// parseNotice parses the notice in the status and headers of an answer.
func parseNotice(status int, h http.Header) notice.Notice {
	declines := status == http.StatusServiceUnavailable && h.Get(wire.HeaderDeclined) == wire.DeclinedLeaving
	return notice.Notice{
		Leaving: declines || h.Get(wire.HeaderLeaving) == wire.LeavingYes,
		Backoff: channel.RequestedBackoff(status, h),
	}
}

// release releases the server's slot.
func (x *Exchange) release() {
	x.Server.State.InFlight.Add(-1)
	if x.OnRelease != nil {
		x.OnRelease()
	}
}

// Reply is a server's answer whose body has not been read yet.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// InFlight is the number of requests in flight that the server reported, or -1.
	InFlight int

	exchange *Exchange
	answer   *channel.Reply
}

// Send sends an exchange. If it fails, the state of x.Attempt tells whether the
// request may have run.
func (c *Client) Send(ctx context.Context, x Exchange) (*Reply, error) {
	x.Server.State.InFlight.Add(1)
	answer, err := c.Pool.Send(ctx, x.request())
	if fault.Is(err, channel.StoppedBeforeSend) {
		x.Server.State.InFlight.Add(-1)
		return nil, &Error{Op: opSend, Kind: StoppedBeforeSend, Err: err}
	}
	if err != nil {
		x.release()
		return nil, sendError(x.Attempt, err)
	}
	reply := &Reply{Status: answer.Status, Header: answer.Header, Body: answer, InFlight: -1, exchange: &x, answer: answer}
	if n, err := strconv.Atoi(answer.Header.Get(wire.HeaderLoad)); err == nil && n >= 0 {
		reply.InFlight = n
	}
	x.recordNotice(parseNotice(answer.Status, answer.Header))
	return c.checkHeader(x, reply)
}

// request builds the request to the server.
func (x *Exchange) request() channel.Request {
	h := x.Header.Clone()
	h.Set(wire.HeaderAttempt, x.Attempt.ID)
	h.Set(wire.HeaderRequest, x.Request)
	if x.Key != "" {
		h.Set(wire.HeaderKey, x.Key)
	}
	if x.Offset > 0 {
		h.Set(wire.HeaderOffset, strconv.Itoa(x.Offset))
	}
	r := channel.Request{BeforeSend: x.checkBeforeSend, Endpoint: channel.Endpoint{Addr: x.Server.Addr}, Host: x.Server.Addr, Method: x.Method, Target: x.Target, Header: h, Body: x.Body, SendLength: x.Method == http.MethodPost || x.Method == http.MethodPut}
	if x.Once {
		r.MaxIdle = channel.NonRepeatableMaxIdle
	}
	return r
}

func advance(a *attempt.Attempt, events ...attempt.Event) error {
	for _, e := range events {
		if err := a.On(e); err != nil {
			return err
		}
	}
	return nil
}

// checkBeforeSend runs the last check before the first byte is sent. It runs once the
// connection is open, as connecting takes time and the process may have been
// suspended meanwhile.
func (x *Exchange) checkBeforeSend(channel.Path) error {
	if err := x.BeforeSend(); err != nil {
		return err
	}
	return advance(x.Attempt, attempt.Pass, attempt.Send)
}

// sendError returns the error for a sendError send. It tells whether the request cannot
// have run, or whether only its answer was lost.
func sendError(a *attempt.Attempt, err error) error {
	var e *channel.Error
	if errors.As(err, &e) && e.Kind.NotRun() {
		if e := a.On(attempt.Decline); e != nil {
			return e
		}
		return &Error{Op: opSend, Kind: Unreachable, Err: err}
	}
	if e := a.On(attempt.Lose); e != nil {
		return e
	}
	return &Error{Op: opSend, Kind: Interrupted, Err: err}
}

// checkHeader determines from the header of the answer whether the server accepted the
// request and whether the answer belongs to this attempt.
func (c *Client) checkHeader(x Exchange, reply *Reply) (*Reply, error) {
	echo, reason := reply.Header.Get(wire.HeaderAttempt), reply.Header.Get(wire.HeaderDeclined)
	declines := reason != "" && reply.Status == http.StatusServiceUnavailable
	if declines && (echo == "" || echo == x.Attempt.ID) {
		reply.close()
		if err := x.Attempt.On(attempt.Decline); err != nil {
			return nil, err
		}
		return nil, &Error{Op: opSend, Kind: Declined, Err: merry.New(reason)}
	}
	if echo != x.Attempt.ID && (x.NeedEcho || echo != "") {
		c.MismatchedReplies.Add(1)
		reply.close()
		if err := x.Attempt.On(attempt.Lose); err != nil {
			return nil, err
		}
		return nil, &Error{Op: opSend, Kind: Mismatched, Err: fmt.Errorf("the answer names attempt %q", echo)}
	}
	if err := x.Attempt.On(attempt.Answer); err != nil {
		return nil, err
	}
	return reply, nil
}

// Full reports whether err says that the server has no free slot.
func Full(err error) bool { return declined(err, wire.DeclinedFull) }

// NotLoaded reports whether err says that the server has not loaded the version.
func NotLoaded(err error) bool { return declined(err, wire.DeclinedNotLoaded) }

func declined(err error, reason string) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Declined && e.Err != nil && e.Err.Error() == reason
}

// close releases the connection and the server's slot.
func (r *Reply) close() {
	r.answer.Close()
	r.exchange.release()
}

// Finish ends the attempt after a complete answer.
func (r *Reply) Finish() error {
	err := r.exchange.Attempt.On(attempt.Finish)
	r.close()
	return err
}

// Lose ends the attempt after an interrupted answer; cause is the error.
func (r *Reply) Lose(cause error) error {
	r.close()
	if err := r.exchange.Attempt.On(attempt.Lose); err != nil {
		return err
	}
	return &Error{Op: "read answer", Kind: Interrupted, Err: cause}
}

// ReadAll reads the complete body, at most limit bytes, and ends the attempt. The
// channel checks the body against its Content-Length or its last chunk.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(data)) > limit {
		err = fmt.Errorf("the answer is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, r.Lose(merry.Wrap(err))
	}
	return data, r.Finish()
}
