package proxy

import (
	"time"
)

// Reason says why a request was not answered by a server.
type Reason string

// Values of Reason.
const (
	// NoRoute: no route matches the host and path.
	NoRoute Reason = "no such route"
	// NoKey: the route requires a key and the request has none.
	NoKey Reason = "key missing"
	// WrongKey: no organisation has the key.
	WrongKey Reason = "key unknown"
	// WrongModel: the route does not let callers choose the model.
	WrongModel Reason = "model not offered"
	// NotReady: the daemon has no configuration yet.
	NotReady Reason = "no configuration yet"
	// Stale: the daemon's configuration is too old to accept keys.
	Stale Reason = "configuration too old"
	// ShuttingDown: the daemon stops before the request's deadline.
	ShuttingDown Reason = "daemon leaving"
	// NoServer: the service has no usable server.
	NoServer Reason = "no server"
	// Overloaded: the service's servers declined the request.
	Overloaded Reason = "servers full"
	// Congested: most answers of the service are late, and this request costs others much.
	Congested Reason = "congested"
	// NoSlot: the daemons' share of the service's slots is used up.
	NoSlot Reason = "no slot"
	// TooLate: the request cannot end before its deadline.
	TooLate Reason = "too late"
	// Backoff: all servers of the service are in back-off.
	Backoff Reason = "servers want rest"
	// RateLimited: all servers of the service have reached their limit.
	RateLimited Reason = "servers at their limit"
	// Quarantined: servers have exited while running the request.
	Quarantined Reason = "quarantined"
	// DeadlineExceeded: the request's deadline has passed.
	DeadlineExceeded Reason = "deadline passed"
	// Failed: a server did not answer or broke off.
	Failed Reason = "server failed"
)

// Outcome is the outcome of a request: Answered, Refused, Failure, Interrupted or ClientGone.
type Outcome interface{ outcome() }

// Answered means that the caller was sent a server's complete response.
type Answered struct{ Status int }

// Refused means that the request has not run and will not.
type Refused struct {
	Reason Reason
	// RetryAfter is the delay after which a retry may succeed; 0 means never.
	RetryAfter time.Duration
}

// Failure means that the request may have run and there is no response.
type Failure struct{ Reason Reason }

// Interrupted means that the caller has received a part of a response and will not get the rest.
type Interrupted struct{ Reason Reason }

// ClientGone means that the caller has disconnected.
type ClientGone struct{}

func (Answered) outcome()    {}
func (Refused) outcome()     {}
func (Failure) outcome()     {}
func (Interrupted) outcome() {}
func (ClientGone) outcome()  {}
