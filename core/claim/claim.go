// Package claim decides what a request that may not be repeated may do.
//
// Before its first byte goes out, its daemon creates a record under the
// caller's key. Nobody takes a record over, so a paused holder can do no harm,
// also to backend servers that check nothing. Whoever finds the record of
// another request answers from it.
package claim

import (
	"time"
)

// State is how far a claimed request is known to have come.
type State string

// The states of a record.
const (
	// Open is claimed; the outcome is not recorded yet.
	Open State = "open"
	// Done has run, and its answer is recorded.
	Done State = "done"
	// Unknown may have run; nobody knows.
	Unknown State = "unknown"
)

// MaxBody is the largest answer that is recorded, in bytes. Of a larger one
// only the status is.
const MaxBody = 16 << 10

// Record is what is kept under the caller's key.
type Record struct {
	// Claimer is the id of the request that made the record.
	Claimer string `json:"claimer"`
	// Print is a hash of the request, to tell a repeat from a key used twice.
	Print string `json:"print"`
	State State  `json:"state"`
	// UntilUnixMS is when the claimer's deadline has surely passed.
	UntilUnixMS int64 `json:"until_unix_ms"`
	// Status, ContentType and Body are the recorded answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Cut tells that the body was too large to record.
	Cut bool `json:"cut,omitempty"`
}

// WithAnswer returns the record of a request that has run.
func (r Record) WithAnswer(status int, contentType string, body []byte) Record {
	r.State, r.Status, r.ContentType = Done, status, contentType
	if len(body) > MaxBody {
		r.Cut = true
		return r
	}
	r.Body = body
	return r
}

// WithUnknown returns the record of a request whose outcome nobody knows.
func (r Record) WithUnknown() Record {
	r.State = Unknown
	return r
}

// Verdict is what a request may do that found a record under its key.
type Verdict interface{ verdict() }

// Mine says that the record is the request's own: it may run.
type Mine struct{}

// Replay says that the request has run and gives its recorded answer.
type Replay struct{ Record Record }

// InProgress says that the request runs now.
type InProgress struct{ RetryAfter time.Duration }

// OutcomeUnknown says that the request may have run, and nobody will know.
type OutcomeUnknown struct{}

// KeyReused says that the key belongs to a different request.
type KeyReused struct{}

func (Mine) verdict()           {}
func (Replay) verdict()         {}
func (InProgress) verdict()     {}
func (OutcomeUnknown) verdict() {}
func (KeyReused) verdict()      {}

// retryFloor and retryCeiling bound when a caller comes back for a request
// that is under way.
const (
	retryFloor   = 500 * time.Millisecond
	retryCeiling = 5 * time.Second
)

// Judge says what the request with the given id and fingerprint may do when it finds
// a record under its key.
func Judge(found Record, id, fingerprint string, now time.Time) Verdict {
	switch {
	case found.Claimer == id:
		return Mine{}
	case found.Print != fingerprint:
		return KeyReused{}
	case found.State == Done:
		return Replay{Record: found}
	case found.State == Unknown:
		return OutcomeUnknown{}
	}
	left := time.UnixMilli(found.UntilUnixMS).Sub(now)
	if left <= 0 {
		return OutcomeUnknown{}
	}
	return InProgress{RetryAfter: min(max(left/4, retryFloor), retryCeiling)}
}
