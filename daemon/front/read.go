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

// readBody reads the whole body before anything is decided, so that a body cut
// short does no work.
func (j *job) readBody() *refusal {
	limit := j.front.Settings.MaxBody
	data, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, TooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return refuse(http.StatusBadRequest, BodyCut, "the body was cut short")
	}
	j.body = data
	return nil
}

// maxNames bounds the caller's names for things, in bytes.
const maxName = 256

// checkHeaders checks the headers that name a session or a key.
func (j *job) checkHeaders() *refusal {
	for _, name := range []string{wire.HeaderSession, wire.HeaderKey, wire.HeaderKind} {
		value := j.r.Header.Get(name)
		if len(value) > maxName || !utf8.ValidString(value) {
			return refuse(http.StatusBadRequest, BadRequest, name+" must have at most "+strconv.Itoa(maxName)+" bytes of UTF-8")
		}
	}
	if out := j.checkWord(wire.HeaderRepeat, "yes", wire.RepeatNo); out != nil {
		return out
	}
	return j.checkWord(wire.HeaderPriority, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow)
}

// checkWord checks a header that takes one of some words.
func (j *job) checkWord(name string, words ...string) *refusal {
	if v := j.r.Header.Get(name); v != "" && !slices.Contains(words, v) {
		return refuse(http.StatusBadRequest, BadRequest, name+" must be one of "+strings.Join(words, ", "))
	}
	return nil
}

// maxTokens bounds max_tokens.
const maxTokens = 1_000_000

// decodeChat reads and checks a chat request.
func (j *job) decodeChat() (wire.ChatRequest, *refusal) {
	var req wire.ChatRequest
	d := json.NewDecoder(bytes.NewReader(j.body))
	if err := d.Decode(&req); err != nil {
		return req, refuse(http.StatusBadRequest, BadRequest, "the body is not a chat request in JSON: "+jsonFault(err))
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

// jsonFault says what is wrong with a body in the words of the interface, not of
// this program.
func jsonFault(err error) string {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return err.Error()
	}
	want := "an object"
	switch wrong.Type.Kind() {
	case reflect.String:
		want = "a text"
	case reflect.Int:
		want = "a whole number"
	case reflect.Bool:
		want = "true or false"
	case reflect.Slice:
		want = "a list"
	}
	if wrong.Field == "" {
		return "it must be " + want
	}
	return "the field " + wrong.Field + " must be " + want + ", not " + wrong.Value
}

// prefixBytes is how much of a prompt's beginning decides where its cache is.
const prefixBytes = 1024

// prefix hashes the beginning of the prompt.
func prefix(req wire.ChatRequest) uint64 {
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

// field is a text field of a JSON object.
type field struct{ name, value string }

// withFields returns a JSON object with some fields replaced. All others stay
// as they came: engines and callers may use ones that ladderridge does not know.
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

// passedHeaders returns the caller's headers that a plain service is sent.
func passedHeaders(from http.Header) http.Header {
	out := http.Header{}
	for name, values := range from {
		if !hopHeaders[name] && !strings.HasPrefix(name, "Ladderridge-") {
			out[name] = values
		}
	}
	return out
}

// hopHeaders are not passed on: they concern one connection, or the caller's
// key with ladderridge.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Accept-Encoding": true,
}
