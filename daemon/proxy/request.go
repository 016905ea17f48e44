// Package proxy serves requests of the routed services: it decides on the
// service, version, model and server, sends, tries again where that is allowed,
// asks a larger model where a smaller one was not sure, takes broken streams up
// and settles what the caller is told. It knows no protocol: a door turns bytes
// into a Request and an Outcome into bytes.
package proxy

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/quarantine"
)

// Request is a caller's request as a door has read it. It is never changed.
type Request struct {
	// ID is the caller's own name for this attempt of its.
	ID     string
	Method string
	Host   string
	Path   string
	// Target is the path with its query, as it came.
	Target string
	// Header has what is passed on.
	Header http.Header
	Body   []byte
	// HasBody tells that the request has a body, be it empty.
	HasBody bool
	// Key is the key that the caller shows, or "".
	Key     string
	Arrived time.Time
	// Timeout is how long the caller will wait; 0 if it does not say.
	Timeout time.Duration
	// Model is the model that the caller asks for: AnyModel leaves it to the
	// route's ladder.
	Model string
	// Session is the caller's name for what belongs together, or "".
	Session string
	// Prompt has the parts in order; the last one is the request's own.
	Prompt []prefixcache.Part
	// LastEvent is the last event of a stream that the caller has, or -1.
	LastEvent int64
}

// AnyModel as a request's model leaves the choice to the route's ladder.
const AnyModel = "*"

// session is a hash of the session. A request that names none is a session of
// its own.
func (r *Request) session() uint64 {
	if r.Session != "" {
		return xxhash.Sum64String(r.Session)
	}
	return xxhash.Sum64String(r.ID)
}

// fingerprint tells what the request asks, for its organisation.
func (r *Request) fingerprint(organisation string) quarantine.Fingerprint {
	c := quarantine.Content{Method: r.Method, Host: r.Host, Target: r.Target, Organisation: organisation, Body: r.Body}
	return c.Fingerprint()
}

// affinity is a hash of the part of the prompt that other requests share and
// that a server may have in its memory: the longest one, which ends with the
// last but one part. It is 0 without such a part.
func (r *Request) affinity() uint64 {
	if len(r.Prompt) < 2 {
		return 0
	}
	return xxhash.Sum64String(r.Prompt[len(r.Prompt)-2].ID)
}

// size is the length of the prompt in pieces.
func (r *Request) size() float64 { return pieces(prefixcache.Tokens(r.Prompt)) }

// shared are the parts of the prompt that other requests may share: all but the
// last one.
func (r *Request) shared() []prefixcache.Part { return r.Prompt[:max(0, len(r.Prompt)-1)] }

// sharesLittle reports whether what other requests share of the prompt is read in
// less than one step of a model server.
func (r *Request) sharesLittle() bool {
	return prefixcache.Tokens(r.shared()) < fleet.BlockTokens
}

// Attempt is one request to one server, for a dialect to put into headers.
type Attempt struct {
	Request *Request
	Server  *fleet.Server
	// Organisation holds the caller's key, or "".
	Organisation string
	// Model is the model to run, if the router chooses it.
	Model string
	// TimeLeft is the time until the caller's deadline; 0 if there is none.
	TimeLeft time.Duration
	// Urgency is the request's rank, 0 first.
	Urgency int
	// LastEvent is the last event that need not be sent again, or -1.
	LastEvent int64
}

// Head is what the head of a server's answer says.
type Head struct {
	// NotRun says that the server has not run the request and will not.
	NotRun bool
	// WrongServer says, besides, that the address belongs to another one now.
	WrongServer bool
	// Confidence is the model's own opinion of its answer, from 0 to 100, if
	// Confident is set.
	Confidence int
	Confident  bool
	// Load is how many requests the server has, running and waiting, if Loaded is
	// set.
	Load    int
	HasLoad bool
	// Notice is what the server says besides of what it will take.
	Notice notice.Notice
}

// Dialect turns attempts into headers, and heads of answers into what they say.
type Dialect interface {
	// Compose returns the headers for a server.
	Compose(a Attempt) http.Header
	// Matches reports whether an answer is one to the request of that id.
	Matches(id string, h http.Header) bool
	// ParseHead reads the head of an answer.
	ParseHead(status int, h http.Header) Head
	// ResponseHeaders returns the headers of an answer that the caller gets.
	ResponseHeaders(h http.Header) http.Header
}

// Sink takes an answer for the caller.
type Sink interface {
	// Begin sends the head; a length of -1 is not known.
	Begin(status int, h http.Header, length int64)
	// Write sends a part of the body.
	Write(p []byte) (int, error)
	// Flush sends what is held back.
	Flush() error
}
