package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"ladderridge.example/core/attempt"
	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/wire"
)

// Code is the reason code in the body of a refusal. The codes of package route
// are used besides these.
type Code string

// The codes of this package.
const (
	BadRequest             Code = "bad_request"
	TooLarge               Code = "body_too_large"
	BodyTruncated          Code = "body_cut_short"
	MissingKey             Code = "missing_key"
	UnknownKey             Code = "unknown_key"
	WrongMethod            Code = "wrong_method"
	NoSuchPath             Code = "no_such_path"
	BadDeadline            Code = "bad_deadline"
	BadSessionPin          Code = "bad_session_pin"
	SessionVersionConflict Code = "session_has_other_version"
	RequestLimit           Code = "request_limit"
	TokenLimit             Code = "token_limit"
	ConcurrencyLimit       Code = "concurrency_limit"
	BillingBacklog         Code = "billing_backlog"
	Overloaded             Code = "overloaded"
	NotReady               Code = "not_ready"
	SessionUnconfirmed     Code = "session_unconfirmed"
	ClaimUnavailable       Code = "claim_unavailable"
	InProgress             Code = "in_progress"
	OutcomeUnknown         Code = "outcome_unknown"
	KeyReused              Code = "key_reused"
	AnswerNotRecorded      Code = "answer_not_recorded"
	BackendFailed          Code = "backend_failed"
	DeadlinePassed         Code = "deadline_passed"
	Quarantined            Code = "quarantined"
)

// String is the code as callers see it.
func (c Code) String() string { return string(c) }

// Error is the error type of this package.
type Error = fault.Of[Code]

// refusal is an error response that ends a request.
type refusal struct {
	status     int
	code       string
	text       string
	run        attempt.Outcome
	retryAfter time.Duration
	allow      string
}

func refuse(status int, code Code, text string) *refusal {
	return &refusal{status: status, code: string(code), text: text, run: attempt.NotRun}
}

func (f *refusal) withRetryAfter(after time.Duration) *refusal {
	f.retryAfter = after
	return f
}

func (f *refusal) withRun(run attempt.Outcome) *refusal {
	f.run = run
	return f
}

// errorType returns the API's error type of a status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func (f *refusal) body(request string) wire.ErrorBody {
	return wire.ErrorBody{Error: wire.ErrorDetail{
		Message: f.text, Type: errorType(f.status), Code: f.code, Run: string(f.run),
		Request: request, RetryAfterMS: f.retryAfter.Milliseconds(),
	}}
}

// write sends the refusal without delay.
func (f *refusal) write(w http.ResponseWriter, request string) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(wire.HeaderRequest, request)
	h.Set(wire.HeaderRun, string(f.run))
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.retryAfter.Seconds()))))
	}
	if f.allow != "" {
		h.Set("Allow", f.allow)
	}
	w.WriteHeader(f.status)
	// Encoding fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(f.body(request))
}
