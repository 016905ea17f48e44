// Package wire defines the HTTP headers and JSON bodies that ladderridge
// exchanges with callers and with backend servers. docs/API.md describes them.
package wire

import (
	"encoding/json"
	"errors"
)

// Paths of the HTTP APIs for callers and of backend servers.
const (
	PathChat    = "/v1/chat/completions"
	PathModels  = "/v1/models"
	PathService = "/services/"
	PathLoad    = "/load"
	PathOrders  = "/orders"
)

// Headers from callers.
const (
	// HeaderSession names the caller's session; SessionNew asks for a new one.
	HeaderSession = "Ladderridge-Session"
	// HeaderPin carries the sealed token of a session, in both directions.
	HeaderPin = "Ladderridge-Session-Pin"
	// HeaderKey is the caller's idempotency key for a request that it may send
	// again.
	HeaderKey = "Idempotency-Key"
	// HeaderRepeat with the value RepeatNo marks a request that must not be
	// repeated.
	HeaderRepeat = "Ladderridge-Repeat"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "Ladderridge-Deadline-Ms"
)

// HeaderKind is the kind of a request, as used in ratings.
const HeaderKind = "Ladderridge-Kind"

// HeaderPriority is the priority among the caller's own requests: high, normal
// or low.
const (
	HeaderPriority = "Ladderridge-Priority"
	PriorityHigh   = "high"
	PriorityNormal = "normal"
	PriorityLow    = "low"
)

// SessionNew in HeaderSession asks for a new session, which the daemon names.
const SessionNew = "new"

// RepeatNo in HeaderRepeat marks a request that must not be repeated.
const RepeatNo = "no"

// Headers to callers.
const (
	// HeaderRequest is the request's id, for `ladderridge explain`.
	HeaderRequest = "Ladderridge-Request"
	// HeaderRun says whether the request ran: not_run, done or unknown.
	HeaderRun = "Ladderridge-Run"
	// HeaderVersion is the model and version that answered.
	HeaderVersion = "Ladderridge-Version"
	// HeaderReplayed marks a response that repeats the recorded outcome of an
	// earlier request.
	HeaderReplayed = "Ladderridge-Replayed"
)

// Headers to and from backend servers.
const (
	// HeaderAttempt is the attempt's id; a backend server echoes it.
	HeaderAttempt = "Ladderridge-Attempt"
	// HeaderOffset is the index of the first token to stream.
	HeaderOffset = "Ladderridge-Offset"
	// HeaderDeclined on a 503 says that the request did not run, and why.
	HeaderDeclined = "Ladderridge-Declined"
	// HeaderLoad is the number of requests in flight on the server.
	HeaderLoad = "Ladderridge-Load"
	// HeaderLeaving with the value LeavingYes says that the server shuts down
	// soon and must get no new requests. The response that carries it is valid.
	HeaderLeaving = "Ladderridge-Leaving"
	LeavingYes    = "1"
	// HeaderRetryAfter is how long, in seconds, the daemon whose request the
	// server rejects should send it no further requests.
	HeaderRetryAfter = "Retry-After"
)

// Values of HeaderDeclined: the server accepts no new requests at all, has no
// free slot now, or has not loaded the version.
const (
	DeclinedLeaving   = "leaving"
	DeclinedFull      = "full"
	DeclinedNotLoaded = "not_loaded"
)

// Values of the object field in answers.
const (
	ObjectAnswer = "chat.completion"
	ObjectChunk  = "chat.completion.chunk"
)

// Terminator is the data of the event that ends a complete stream.
const Terminator = "[DONE]"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content Text   `json:"content"`
}

// Text is the text of a message. In a request it may also be a list of parts,
// whose texts are joined here; the request body is forwarded unchanged.
type Text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var plain *string
	if err := json.Unmarshal(data, &plain); err == nil {
		if plain != nil {
			*t = Text(*plain)
		}
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a text or a list of parts")
	}
	*t = ""
	for _, p := range parts {
		*t += Text(p.Text)
	}
	return nil
}

// ChatRequest has the fields of a chat request that ladderridge reads. The
// other fields are forwarded unchanged.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one answer in the response to a chat request that is not streamed.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// ChatAnswer is the response body of a chat request that is not streamed.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
	// Quality is the engine's own quality score in [0,1]; 0 means that there is
	// none.
	Quality float64 `json:"quality,omitempty"`
}

// ChunkChoice is the part of an answer in one event of a stream.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason string  `json:"finish_reason,omitempty"`
}

// ChatChunk is the data of one event of a streamed answer.
type ChatChunk struct {
	ID     string `json:"id,omitempty"`
	Object string `json:"object,omitempty"`
	Model  string `json:"model,omitempty"`
	// Index is the position of the chunk in the whole answer, in tokens, for
	// resuming at an offset.
	Index   int           `json:"ladderridge_index"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ModelList is the response body of /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that the organisation may use.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ErrorBody is the response body of every refused or failed request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is a typed reason such as no_capacity.
	Code string `json:"code"`
	// Run says whether the request ran: not_run, done or unknown.
	Run     string `json:"run"`
	Request string `json:"request,omitempty"`
	// RetryAfterMS is the time after which a retry may succeed; 0 means that a
	// retry does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// LoadReport is the load that a backend server reports.
type LoadReport struct {
	ID       string `json:"id"`
	InFlight int    `json:"in_flight"`
	// Capacity is the number of requests that the server runs concurrently; 0
	// means unknown.
	Capacity int      `json:"capacity"`
	Leaving  bool     `json:"leaving"`
	Loaded   []Loaded `json:"loaded,omitempty"`
	// Loading lists the versions that are being loaded.
	Loading []Loaded `json:"loading,omitempty"`
	// Slots is the number of versions that can be loaded at the same time; 0
	// means unknown.
	Slots int `json:"slots,omitempty"`
}

// EngineOrder tells an engine to load or unload a version. An engine that
// checks fencing tokens answers 409 to a number below the highest that it has
// seen, and executes each number once.
type EngineOrder struct {
	Fence   uint64 `json:"fence"`
	Action  string `json:"action"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Loaded is a version that an engine has loaded.
type Loaded struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}
