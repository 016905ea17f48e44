// Package backend sends one attempt to a backend server and tells what became
// of it.
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

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Gated is an attempt that the last check stopped.
	Gated Kind = "stopped at the gate"
	// Unreachable is a server that could not be connected to.
	Unreachable Kind = "server unreachable"
	// Declined is a server that says that it did not take the request on.
	Declined Kind = "server declined"
	// Broken is an answer that broke off or never came.
	Broken Kind = "answer broken"
	// Crossed is an answer to another attempt.
	Crossed Kind = "answer to another request"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

const opSend = "send"

// Client sends attempts. Use New.
type Client struct {
	// Channels are the connections to servers. Nothing is sent again on them
	// behind the client's back.
	Channels *channel.Pool
	// CrossedAnswers counts answers that were dropped because they belonged to
	// another attempt.
	CrossedAnswers atomic.Int64
}

// New returns a client.
func New() *Client { return &Client{Channels: channel.NewPool()} }

// Exchange is one attempt's request.
type Exchange struct {
	Attempt *attempt.Attempt
	Request string
	Key     string
	Server  *route.Server
	Method  string
	// Target is the escaped path with its query.
	Target string
	Header http.Header
	Body   []byte
	// Once marks a request that must not be sent twice.
	Once bool
	// Offset is the index of the first token to stream.
	Offset int
	// NeedEcho demands that the server names the attempt in its answer.
	NeedEcho bool
	// Gate is the last check before any byte goes out.
	Gate func() error
	// Ended, if set, is called when the server has its place back.
	Ended func()
	// Noticed, if set, is told of what the server says of itself that was not known.
	Noticed func(n notice.Notice)
}

// hear keeps what the server says of itself with an answer, whatever becomes of that.
func (x *Exchange) hear(n notice.Notice) {
	if n.Any() && x.Server.State.Notices.Observe(n, time.Now()) && x.Noticed != nil {
		x.Noticed(n)
	}
}

// readNotice reads what a server says of itself.
func readNotice(status int, h http.Header) notice.Notice {
	declines := status == http.StatusServiceUnavailable && h.Get(wire.HeaderDeclined) == wire.DeclinedLeaving
	return notice.Notice{
		Leaving: declines || h.Get(wire.HeaderLeaving) == wire.LeavingYes,
		Backoff: channel.RestAsked(status, h),
	}
}

// leave gives the server its place back.
func (x *Exchange) leave() {
	x.Server.State.InFlight.Add(-1)
	if x.Ended != nil {
		x.Ended()
	}
}

// Reply is a server's answer whose body is still to be read.
type Reply struct {
	Status int
	Header http.Header
	Body   io.Reader
	// InFlight is the load that the server reported, or -1.
	InFlight int

	exchange *Exchange
	answer   *channel.Reply
}

// Send sends an exchange. When it fails, the attempt's outcome says whether
// the request may have run.
func (c *Client) Send(ctx context.Context, x Exchange) (*Reply, error) {
	x.Server.State.InFlight.Add(1)
	answer, err := c.Channels.Send(ctx, x.request())
	if fault.Is(err, channel.Gated) {
		x.Server.State.InFlight.Add(-1)
		return nil, &Error{Op: opSend, Kind: Gated, Err: err}
	}
	if err != nil {
		x.leave()
		return nil, failed(x.Attempt, err)
	}
	reply := &Reply{Status: answer.Status, Header: answer.Header, Body: answer, InFlight: -1, exchange: &x, answer: answer}
	if n, err := strconv.Atoi(answer.Header.Get(wire.HeaderLoad)); err == nil && n >= 0 {
		reply.InFlight = n
	}
	x.hear(readNotice(answer.Status, answer.Header))
	return c.check(x, reply)
}

// request is what is sent to the server.
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
	r := channel.Request{Gate: x.pass, Addr: x.Server.Addr, Host: x.Server.Addr, Method: x.Method, Target: x.Target, Header: h, Body: x.Body, Sized: x.Method == http.MethodPost || x.Method == http.MethodPut}
	if x.Once {
		r.RestAtMost = channel.OnceRest
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

// pass is the last moment before a byte leaves: the connection is there, which may
// have taken as long as a pause of this process.
func (x *Exchange) pass() error {
	if err := x.Gate(); err != nil {
		return err
	}
	return advance(x.Attempt, attempt.Pass, attempt.Send)
}

// failed tells a server that was sent nothing from a lost answer.
func failed(a *attempt.Attempt, err error) error {
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
	return &Error{Op: opSend, Kind: Broken, Err: err}
}

// check reads from the answer's head whether the server took the request on
// and whether the answer belongs to it.
func (c *Client) check(x Exchange, reply *Reply) (*Reply, error) {
	if why := reply.Header.Get(wire.HeaderDeclined); why != "" && reply.Status == http.StatusServiceUnavailable {
		reply.close()
		if err := x.Attempt.On(attempt.Decline); err != nil {
			return nil, err
		}
		return nil, &Error{Op: opSend, Kind: Declined, Err: merry.New(why)}
	}
	echo := reply.Header.Get(wire.HeaderAttempt)
	if echo != x.Attempt.ID && (x.NeedEcho || echo != "") {
		c.CrossedAnswers.Add(1)
		reply.close()
		if err := x.Attempt.On(attempt.Lose); err != nil {
			return nil, err
		}
		return nil, &Error{Op: opSend, Kind: Crossed, Err: fmt.Errorf("the answer names attempt %q", echo)}
	}
	if err := x.Attempt.On(attempt.Answer); err != nil {
		return nil, err
	}
	return reply, nil
}

// Full reports whether an error says that the server has no place now.
func Full(err error) bool { return declined(err, wire.DeclinedFull) }

// NotLoaded reports whether an error says that the server has not loaded the version.
func NotLoaded(err error) bool { return declined(err, wire.DeclinedNotLoaded) }

func declined(err error, why string) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == Declined && e.Err != nil && e.Err.Error() == why
}

// close frees the connection and the server's place.
func (r *Reply) close() {
	r.answer.Close()
	r.exchange.leave()
}

// Finish ends an answer that arrived whole.
func (r *Reply) Finish() error {
	err := r.exchange.Attempt.On(attempt.Finish)
	r.close()
	return err
}

// Lose ends an answer that broke off; cause says how.
func (r *Reply) Lose(cause error) error {
	r.close()
	if err := r.exchange.Attempt.On(attempt.Lose); err != nil {
		return err
	}
	return &Error{Op: "read answer", Kind: Broken, Err: cause}
}

// ReadAll reads a body to its proper end, at most limit bytes, and finishes
// the attempt. The channel checks the body against its length or last chunk.
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
