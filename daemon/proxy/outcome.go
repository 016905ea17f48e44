package proxy

import (
	"time"
)

// Reason says why a request was not answered by a server.
type Reason string

// The reasons.
const (
	// NoRoute is a host and path that no route has.
	NoRoute Reason = "no such route"
	// NoKey is a request without the key that its route wants.
	NoKey Reason = "key missing"
	// WrongKey is a key that no organisation has.
	WrongKey Reason = "key unknown"
	// WrongModel is a model that the route does not let callers choose.
	WrongModel Reason = "model not offered"
	// NotReady is a daemon that knows no configuration yet.
	NotReady Reason = "no configuration yet"
	// Stale is a daemon whose configuration is too old to let keys pass.
	Stale Reason = "configuration too old"
	// ShuttingDown is a daemon that ends before the request could be over.
	ShuttingDown Reason = "daemon leaving"
	// NoServer is a service without a server that may be used.
	NoServer Reason = "no server"
	// Overloaded is a service whose servers declined.
	Overloaded Reason = "servers full"
	// Backoff is a service whose servers all want rest.
	Backoff Reason = "servers want rest"
	// RateLimited is a service whose servers all have as many requests as they take.
	RateLimited Reason = "servers at their limit"
	// Quarantined is a request under which servers have ended.
	Quarantined Reason = "quarantined"
	// DeadlineExceeded is a request whose time is over.
	DeadlineExceeded Reason = "deadline passed"
	// Failed is a server that did not answer, or broke off.
	Failed Reason = "server failed"
)

// Outcome is how a request ended: Answered, Refused, Failure, Broken or Gone.
type Outcome interface{ outcome() }

// Answered is a whole answer of a server that the caller was sent.
type Answered struct{ Status int }

// Refused is a request that has not run and never will.
type Refused struct {
	Reason Reason
	// RetryAfter is when another attempt may succeed; 0 is never.
	RetryAfter time.Duration
}

// Failure is a request that may have run and has no answer.
type Failure struct{ Reason Reason }

// Interrupted is an answer of which the caller has a part and will not get the rest.
type Interrupted struct{ Reason Reason }

// ClientGone is a caller that left.
type ClientGone struct{}

func (Answered) outcome()    {}
func (Refused) outcome()     {}
func (Failure) outcome()     {}
func (Interrupted) outcome() {}
func (ClientGone) outcome()  {}
