// Package verdict decides what the head of a backend server's response means: whether its request may
// have run, and whether a caller may get it. A missing header never counts in favour of the response.
package verdict

import (
	"fmt"
	"net/http"

	"ladderridge.example/core/fault"
)

// Subject is the request that a response names.
type Subject int

// The subjects.
const (
	// NoRequest means that the response names none, or several.
	NoRequest Subject = iota
	// ThisRequest is the request that was sent.
	ThisRequest
	// AnotherRequest is any other one.
	AnotherRequest
)

// Head is what the head of a response says.
type Head struct {
	Status  int
	Subject Subject
	// Signed is set if the response has the server's signature. It is not verified.
	Signed bool
	// Encoded is set if the body has a content encoding.
	Encoded bool
	// NotRun is set if the response says that the server has not run the request and will not.
	NotRun bool
	// OtherServer is set if the response names another server than the one that the request was for.
	OtherServer bool
}

// Kind is what a response is: an Answer, Failure, Decline, Invalid or Surplus.
type Kind interface {
	// MayHaveRun reports whether the request may have run.
	MayHaveRun() bool
	kind()
}

// Forwardable is a response that a caller may get: an Answer or a Failure.
type Forwardable interface {
	Kind
	// Status is the status for the caller.
	Status() int
}

// Answer is a server's answer with a status below 500.
type Answer struct{ status int }

// Failure is a server's failure, which promises nothing.
type Failure struct{ status int }

// Decline means that the server has not run the request and will not.
type Decline struct {
	// WrongServer is set if the address belongs to another server than the one that the request was for.
	WrongServer bool
}

// Invalid is a response that is no answer. Its request may have run.
type Invalid struct {
	Reason Reason
	status int
}

// Surplus is a response that belongs to an earlier request on the connection. The one to this request may
// follow.
type Surplus struct{}

func (Answer) kind()  {}
func (Failure) kind() {}
func (Decline) kind() {}
func (Invalid) kind() {}
func (Surplus) kind() {}

// MayHaveRun implements Kind.
func (Answer) MayHaveRun() bool { return true }

// MayHaveRun implements Kind.
func (Failure) MayHaveRun() bool { return true }

// MayHaveRun implements Kind.
func (Decline) MayHaveRun() bool { return false }

// MayHaveRun implements Kind.
func (Invalid) MayHaveRun() bool { return true }

// MayHaveRun implements Kind.
func (Surplus) MayHaveRun() bool { return true }

// Status implements Forwardable.
func (a Answer) Status() int { return a.status }

// Status implements Forwardable.
func (f Failure) Status() int { return f.status }

// Success reports whether the request succeeded.
func (a Answer) Success() bool { return a.status < http.StatusMultipleChoices }

// Reason says why a response is no answer.
type Reason int

// The reasons.
const (
	// Unnamed: it does not name its request.
	Unnamed Reason = iota
	// Unsigned: it does not have the server's signature.
	Unsigned
	// Encoded: its body has a content encoding, which no request asks for.
	Encoded
	// UnprovenRefusal: its status promises that the request has not run, but nothing else in it does.
	UnprovenRefusal
	// Contradictory: it says that the request has not run, and has a status that a request gets by running.
	Contradictory
	// BadStatus: its status is not one of HTTP.
	BadStatus
	reasons
)

func (r Reason) String() string {
	return [...]string{"unnamed", "unsigned", "encoded", "unproven refusal", "contradictory", "bad status"}[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	var out []Reason
	for r := range reasons {
		out = append(out, r)
	}
	return out
}

// Error is the error of this package.
type Error = fault.Of[Reason]

// Err returns the reason as an error.
func (i Invalid) Err() error {
	return &Error{Op: fmt.Sprintf("read response with status %d", i.status), Kind: i.Reason}
}

// Classify returns what a response is. unused is set if its connection was opened for the request, so that
// nothing that belongs to an earlier one can arrive on it.
func Classify(h Head, unused bool) Kind {
	switch {
	case h.Subject == AnotherRequest, h.Subject == NoRequest && !unused:
		return Surplus{}
	case h.Subject == NoRequest && h.NotRun && h.Status == http.StatusBadRequest:
		// A server that cannot parse a request does not know its ID.
		return Decline{}
	case h.Subject == NoRequest:
		return Invalid{Unnamed, h.Status}
	case h.NotRun:
		return declined(h)
	case h.Status == http.StatusMisdirectedRequest && h.OtherServer:
		return Decline{WrongServer: true}
	case promisesNotRun(h.Status):
		return Invalid{UnprovenRefusal, h.Status}
	case h.Status < http.StatusOK, h.Status > maxStatus:
		return Invalid{BadStatus, h.Status}
	case h.Encoded:
		return Invalid{Encoded, h.Status}
	case h.Status >= http.StatusInternalServerError:
		return Failure{h.Status}
	case !h.Signed:
		return Invalid{Unsigned, h.Status}
	}
	return Answer{h.Status}
}

// maxStatus is the largest status of HTTP.
const maxStatus = 599

// declined returns what a response is that says that its request has not run.
func declined(h Head) Kind {
	switch h.Status {
	case http.StatusMisdirectedRequest:
		return Decline{WrongServer: true}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusBadRequest:
		return Decline{}
	}
	return Invalid{Contradictory, h.Status}
}

// promisesNotRun reports whether a status tells a caller that its request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
