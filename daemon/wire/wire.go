// Package wire has the headers and bodies that ladderridge exchanges with
// callers and with backend servers. docs/API.md describes them.
package wire

import (
	"encoding/json"
	"errors"
)

// Paths towards callers and backend servers.
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
	// HeaderPin carries the sealed token of a session, both ways.
	HeaderPin = "Ladderridge-Session-Pin"
	// HeaderKey is the caller's key of a request that it may send again.
	HeaderKey = "Idempotency-Key"
	// HeaderRepeat says "no" for a request that may not be repeated.
	HeaderRepeat = "Ladderridge-Repeat"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "Ladderridge-Deadline-Ms"
)

// HeaderKind names the kind of a request, as ratings do.
const HeaderKind = "Ladderridge-Kind"

// HeaderPriority orders a caller's own requests: high, normal or low.
const (
	HeaderPriority = "Ladderridge-Priority"
	PriorityHigh   = "high"
	PriorityNormal = "normal"
	PriorityLow    = "low"
)

// SessionNew in HeaderSession asks for a new session of the daemon's naming.
const SessionNew = "new"

// RepeatNo in HeaderRepeat marks a request that may not be repeated.
const RepeatNo = "no"

// Headers to callers.
const (
	// HeaderRequest is the request's id, for `ladderridge explain`.
	HeaderRequest = "Ladderridge-Request"
	// HeaderRun says whether the request ran: not_run, done or unknown.
	HeaderRun = "Ladderridge-Run"
	// HeaderVersion is the model and version that answered.
	HeaderVersion = "Ladderridge-Version"
	// HeaderReplayed marks the recorded outcome of an earlier request.
	HeaderReplayed = "Ladderridge-Replayed"
)

// Headers to and from backend servers.
const (
	// HeaderAttempt is the attempt's id; a backend server echoes it.
	HeaderAttempt = "Ladderridge-Attempt"
	// HeaderOffset is the index of the first token to stream.
	HeaderOffset = "Ladderridge-Offset"
	// HeaderDeclined on a 503 says that nothing ran, and why.
	HeaderDeclined = "Ladderridge-Declined"
	// HeaderLoad is the number of requests the server has under way.
	HeaderLoad = "Ladderridge-Load"
	// HeaderLeaving says, with LeavingYes, that the server ends soon and is to get no new
	// work; an answer with it is as good as others.
	HeaderLeaving = "Ladderridge-Leaving"
	LeavingYes    = "1"
	// HeaderRest is how long the server wants no requests from the daemon that it turns
	// away, in seconds.
	HeaderRest = "Retry-After"
)

// What HeaderDeclined says: the server takes no new work at all, has no place
// now, or has not loaded the version.
const (
	DeclinedLeaving   = "leaving"
	DeclinedFull      = "full"
	DeclinedNotLoaded = "not_loaded"
)

// The kinds of object in answers.
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

// Text is the text of a message. In requests it may also come as a list of
// parts, of which those of type text count here; the body is passed on as it
// came.
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

// ChatRequest has the fields of a chat request that ladderridge looks at; the
// others are passed on as they came.
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

// Choice is the answer of a chat request that is not streamed.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// ChatAnswer is the body that answers a chat request that is not streamed.
type ChatAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
	// Quality is the engine's own signal in [0,1]; 0 is none.
	Quality float64 `json:"quality,omitempty"`
}

// ChunkChoice is a piece of a streamed answer.
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
	// Index counts the tokens of the whole answer, for resuming at an offset.
	Index   int           `json:"ladderridge_index"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ModelList answers /v1/models.
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

// ErrorBody is the body of every refusal and failure.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	// Code is a typed reason such as no_capacity.
	Code string `json:"code"`
	// Run says whether the request ran: not_run, done or unknown.
	Run     string `json:"run"`
	Request string `json:"request,omitempty"`
	// RetryAfterMS says when coming back helps; 0 means that it won't.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// LoadReport is what a backend server says of itself.
type LoadReport struct {
	ID       string `json:"id"`
	InFlight int    `json:"in_flight"`
	// Capacity is how many requests it runs at once; 0 is unknown.
	Capacity int      `json:"capacity"`
	Leaving  bool     `json:"leaving"`
	Loaded   []Loaded `json:"loaded,omitempty"`
	// Loading are the versions whose weights are being read.
	Loading []Loaded `json:"loading,omitempty"`
	// Slots is how many versions fit; 0 is unknown.
	Slots int `json:"slots,omitempty"`
}

// EngineOrder tells an engine to load or unload a version. An engine that
// checks fences answers 409 to a number below the highest it has seen, and
// obeys each number once.
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
