// Package proxy proxies requests of routed services to backend servers. It chooses the service,
// version, model and server, sends the request, retries where that is allowed, escalates to a
// larger model when the confidence of a smaller one is too low, resumes interrupted streams and
// determines the outcome for the caller. It is independent of the protocol: a front end
// converts bytes to a Request, and an Outcome to bytes.
package proxy

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/verdict"
)

// Request is a caller's request as read by a front end. It is immutable.
type Request struct {
	// ID is the id that the caller gave this attempt.
	ID     string
	Method string
	Host   string
	Path   string
	// Target is the path with its query, as received.
	Target string
	// Header has the headers to forward.
	Header http.Header
	Body   []byte
	// HasBody reports whether the request has a body, even an empty one.
	HasBody bool
	// Key is the caller's key, or "".
	Key     string
	Arrived time.Time
	// Timeout is how long the caller waits; 0 if it is not given.
	Timeout time.Duration
	// Model is the model that the caller asks for; AnyModel leaves the choice to the route's
	// cascade.
	Model string
	// Session is the caller's id of a group of requests, or "".
	Session string
	// Prompt has the parts of the prompt in order; the last one is specific to the request.
	Prompt []prefixcache.Part
	// MaxOutput is the most tokens of the answer, and ExpectedOutput the expected number; 0 is
	// unknown.
	MaxOutput      int
	ExpectedOutput int
	// LastEvent is the id of the last event of a stream that the caller has, or -1.
	LastEvent int64
}

// AnyModel as a request's model leaves the choice to the route's cascade.
const AnyModel = "*"

// session returns a hash of the session. A request without one is a session of its own.
func (r *Request) session() uint64 {
	if r.Session != "" {
		return xxhash.Sum64String(r.Session)
	}
	return xxhash.Sum64String(r.ID)
}

// fingerprint returns the fingerprint of what the request asks for on behalf of an organisation.
func (r *Request) fingerprint(organisation string) quarantine.Fingerprint {
	c := quarantine.Content{Method: r.Method, Host: r.Host, Target: r.Target, Organisation: organisation, Body: r.Body}
	return c.Fingerprint()
}

// affinity returns a hash of the longest prompt prefix that other requests may share and a
// server may have cached: all parts but the last. It is 0 without such a prefix.
func (r *Request) affinity() uint64 {
	if len(r.Prompt) < 2 {
		return 0
	}
	return xxhash.Sum64String(r.Prompt[len(r.Prompt)-2].ID)
}

// promptTokens returns the length of the prompt in tokens.
func (r *Request) promptTokens() int { return prefixcache.Tokens(r.Prompt) }

// uniqueTokens returns the length in tokens of the part of the prompt that no other request shares.
func (r *Request) uniqueTokens() int {
	if len(r.Prompt) == 0 {
		return 0
	}
	return r.Prompt[len(r.Prompt)-1].Tokens
}

// size returns the length of the prompt in blocks.
func (r *Request) size() float64 { return blocks(r.promptTokens()) }

// shared returns the parts of the prompt that other requests may share: all but the last.
func (r *Request) shared() []prefixcache.Part { return r.Prompt[:max(0, len(r.Prompt)-1)] }

// sharesLessThanBlock reports whether the shared prefix of the prompt is shorter than a block,
// which a model server reads in one step.
func (r *Request) sharesLessThanBlock() bool {
	return prefixcache.Tokens(r.shared()) < fleet.BlockTokens
}

// Attempt is one request to one server, for a Dialect to convert to headers.
type Attempt struct {
	Request *Request
	Server  *fleet.Server
	// Organisation is the owner of the caller's key, or "".
	Organisation string
	// Model is the model to run, if the router chooses it.
	Model string
	// TimeLeft is the time until the deadline; 0 if there is none.
	TimeLeft time.Duration
	// Urgency is the request's rank; 0 is served first.
	Urgency int
	// LastEvent is the id of the last event that the server need not send again, or -1.
	LastEvent int64
}

// Head is the information in the head of a server's response.
type Head struct {
	// Response is what decides which kind of response it is.
	Response verdict.Head
	// Confidence is the model's confidence in its answer, from 0 to 100, if Confident is set.
	Confidence int
	Confident  bool
	// Load is the number of requests that the server has, running and queued, if HasLoad is set.
	Load    int
	HasLoad bool
	// Pace is how long work takes at the server now, relative to the usual time, if HasLoad is
	// set; 0 is unknown.
	Pace float64
	// Notice is what the server reports about its availability and limits.
	Notice notice.Notice
}

// Dialect converts attempts to headers and parses the heads of responses.
type Dialect interface {
	// Compose returns the headers for a server.
	Compose(a Attempt) http.Header
	// ParseHead parses the head of a response to the request with an id, which was sent to a server.
	ParseHead(id, server string, status int, h http.Header) Head
	// ResponseHeaders returns the headers of a response to forward to the caller.
	ResponseHeaders(h http.Header) http.Header
}

// Sink receives the response for the caller.
type Sink interface {
	// Begin sends the head; a length of -1 is unknown.
	Begin(status int, h http.Header, length int64)
	// Write sends a part of the body.
	Write(p []byte) (int, error)
	// Flush sends buffered data.
	Flush() error
}
