package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/daemon/wire"
)

// readBody reads the whole body before the request is routed, so that a truncated
// body causes no work on a server.
func (j *job) readBody() *refusal {
	limit := j.front.Settings.MaxBody
	data, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, TooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return refuse(http.StatusBadRequest, BodyTruncated, "the body was cut short")
	}
	j.body = data
	return nil
}

// maxNameBytes bounds each header in which the caller names a session, a key or
// a kind of request.
const maxNameBytes = 256

// checkHeaders validates the headers with names chosen by the caller, and those
// with a fixed set of values.
func (j *job) checkHeaders() *refusal {
	for _, name := range []string{wire.HeaderSession, wire.HeaderKey, wire.HeaderKind} {
		value := j.r.Header.Get(name)
		if len(value) > maxNameBytes || !utf8.ValidString(value) {
			return refuse(http.StatusBadRequest, BadRequest, name+" must have at most "+strconv.Itoa(maxNameBytes)+" bytes of UTF-8")
		}
	}
	if out := j.checkEnumHeader(wire.HeaderRepeat, "yes", wire.RepeatNo); out != nil {
		return out
	}
	return j.checkEnumHeader(wire.HeaderPriority, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow)
}

// checkEnumHeader refuses a header that is set to none of the allowed values.
func (j *job) checkEnumHeader(name string, values ...string) *refusal {
	if v := j.r.Header.Get(name); v != "" && !slices.Contains(values, v) {
		return refuse(http.StatusBadRequest, BadRequest, name+" must be one of "+strings.Join(values, ", "))
	}
	return nil
}

// maxTokens bounds the field max_tokens.
const maxTokens = 1_000_000

// decodeChat decodes and validates a chat request.
func (j *job) decodeChat() (wire.ChatRequest, *refusal) {
	var req wire.ChatRequest
	d := json.NewDecoder(bytes.NewReader(j.body))
	if err := d.Decode(&req); err != nil {
		return req, refuse(http.StatusBadRequest, BadRequest, "the body is not a chat request in JSON: "+describeJSONError(err))
	}
	if d.More() {
		return req, refuse(http.StatusBadRequest, BadRequest, "something follows the JSON object: send just one")
	}
	switch {
	case req.Model == "":
		return req, refuse(http.StatusBadRequest, BadRequest, "the field model is missing: name a model, or auto")
	case len(req.Messages) == 0:
		return req, refuse(http.StatusBadRequest, BadRequest, "the field messages is missing or empty")
	case req.MaxTokens < 0 || req.MaxTokens > maxTokens:
		return req, refuse(http.StatusBadRequest, BadRequest, "max_tokens must be from 0 to "+strconv.Itoa(maxTokens))
	}
	return req, nil
}

// describeJSONError describes a decoding error in the terms of JSON, not of Go.
func describeJSONError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return err.Error()
	}
	want := "an object"
	switch typeErr.Type.Kind() {
	case reflect.String:
		want = "a text"
	case reflect.Int:
		want = "a whole number"
	case reflect.Bool:
		want = "true or false"
	case reflect.Slice:
		want = "a list"
	}
	if typeErr.Field == "" {
		return "it must be " + want
	}
	return "the field " + typeErr.Field + " must be " + want + ", not " + typeErr.Value
}

// prefixBytes is the length of the prompt's prefix by which a server is chosen
// that probably has it cached.
const prefixBytes = 1024

// hashPrefix hashes the first prefixBytes of the prompt.
func hashPrefix(req wire.ChatRequest) uint64 {
	var h xxhash.Digest
	h.Reset()
	left := prefixBytes
	for _, m := range req.Messages {
		part := string(m.Content[:min(left, len(m.Content))])
		_, _ = h.WriteString(m.Role)
		_, _ = h.WriteString(part)
		if left -= len(part); left <= 0 {
			break
		}
	}
	return h.Sum64()
}

// field is a string field of a JSON object.
type field struct{ name, value string }

// withFields returns a JSON object with some fields replaced. All others stay
// unchanged: engines and callers may use fields that ladderridge does not know.
func withFields(body []byte, fields ...field) ([]byte, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, err
	}
	for _, f := range fields {
		value, err := json.Marshal(f.value)
		if err != nil {
			return nil, err
		}
		object[f.name] = value
	}
	return json.Marshal(object)
}

// forwardedHeaders returns the headers of a request or answer that are forwarded.
func forwardedHeaders(from http.Header) http.Header {
	out := http.Header{}
	for name, values := range from {
		if !droppedHeaders[name] && !strings.HasPrefix(name, "Ladderridge-") {
			out[name] = values
		}
	}
	return out
}

// droppedHeaders are not forwarded: they concern a single connection, or hold the
// caller's key to ladderridge.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Accept-Encoding": true,
}
