// Package claim implements idempotency keys: it decides whether a request that must run at most
// once may run.
//
// Before the first byte of the request is sent, its daemon creates a record under the caller's
// key. No other daemon ever takes over a record, so a daemon that was suspended cannot run a
// request twice, even at backend servers without checks of their own. A daemon that finds the
// record of another request answers from that record.
package claim

import (
	"time"
)

// State is the state of a record.
type State string

// The states of a record.
const (
	// Open means that the outcome of the request is not recorded yet.
	Open State = "open"
	// Done means that the request ran and its answer is recorded.
	Done State = "done"
	// Unknown means that the request may have run and its outcome is lost.
	Unknown State = "unknown"
)

// MaxBody is the largest body that is recorded, in bytes. Of a larger answer only the status and
// content type are recorded.
const MaxBody = 16 << 10

// Record is the stored record of a request under the caller's key.
type Record struct {
	// Claimer is the id of the request that created the record.
	Claimer string `json:"claimer"`
	// Fingerprint is a hash of the request. It distinguishes a repeat of the request from another
	// request with the same key.
	Fingerprint string `json:"print"`
	State       State  `json:"state"`
	// UntilUnixMS is a time after the claimer's deadline.
	UntilUnixMS int64 `json:"until_unix_ms"`
	// Status, ContentType and Body hold the recorded answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated reports that the body was too large and was not recorded.
	Truncated bool `json:"cut,omitempty"`
}

// WithAnswer returns the record with the answer of a request that ran.
func (r Record) WithAnswer(status int, contentType string, body []byte) Record {
	r.State, r.Status, r.ContentType = Done, status, contentType
	if len(body) > MaxBody {
		r.Truncated = true
		return r
	}
	r.Body = body
	return r
}

// WithUnknown returns the record with an unknown outcome.
func (r Record) WithUnknown() Record {
	r.State = Unknown
	return r
}

// Decision is the decision on a request that found a record under its key.
type Decision interface{ decision() }

// Own means that the request created the record itself: it may run.
type Own struct{}

// Replay means that the request ran before. It contains the recorded answer.
type Replay struct{ Record Record }

// InProgress means that the request is running.
type InProgress struct{ RetryAfter time.Duration }

// OutcomeUnknown means that the request may have run and its outcome is lost.
type OutcomeUnknown struct{}

// KeyReused means that the key was used for a different request.
type KeyReused struct{}

func (Own) decision()            {}
func (Replay) decision()         {}
func (InProgress) decision()     {}
func (OutcomeUnknown) decision() {}
func (KeyReused) decision()      {}

// minRetryAfter and maxRetryAfter are the limits of the retry-after time of a request that is in
// progress.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Decide decides what a request with the given id and fingerprint may do after it found a record
// under its key.
func Decide(found Record, id, fingerprint string, now time.Time) Decision {
	switch {
	case found.Claimer == id:
		return Own{}
	case found.Fingerprint != fingerprint:
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
	return InProgress{RetryAfter: min(max(left/4, minRetryAfter), maxRetryAfter)}
}
