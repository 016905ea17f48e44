// Package rawjson splits JSON texts into parts that are decoded one by one. Package encoding/json decodes a
// text as a whole: a part that does not fit its type, or is nested too deep, hides all others.
package rawjson

import (
	"encoding/json"
	"errors"
	"unicode/utf8"

	"ladderridge.example/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Malformed means that a text is not an object or a list, or that an object has a member twice.
const Malformed Kind = "malformed JSON"

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Object returns the members of a JSON object by name, each as the text of its value. The values are
// delimited, but not checked: one that is not valid JSON does not affect the others. They share memory with
// data.
func Object(data []byte) (map[string][]byte, error) {
	out := map[string][]byte{}
	s := scanner{data: data}
	err := s.each('{', '}', func() error {
		name, ok := String(s.value())
		if !ok || !s.skip(':') {
			return errors.New("a member has no name")
		}
		if _, repeated := out[name]; repeated {
			return errors.New("a member is repeated")
		}
		out[name] = s.value()
		return nil
	})
	if err != nil {
		return nil, &Error{Op: "split object", Kind: Malformed, Err: err}
	}
	return out, nil
}

// List returns the elements of a JSON list, each as its text. They are delimited, but not checked, and share
// memory with data.
func List(data []byte) ([][]byte, error) {
	var out [][]byte
	s := scanner{data: data}
	err := s.each('[', ']', func() error {
		out = append(out, s.value())
		return nil
	})
	if err != nil {
		return nil, &Error{Op: "split list", Kind: Malformed, Err: err}
	}
	return out, nil
}

// Optional decodes a member of an object that may be missing, and reports whether it has the right type.
func Optional(members map[string][]byte, name string, to any) bool {
	text, ok := members[name]
	return !ok || json.Unmarshal(text, to) == nil
}

// String decodes a JSON string. It reports false for any other text.
func String(text []byte) (value string, ok bool) {
	if len(text) < 2 || text[0] != '"' || !utf8.Valid(text) {
		return "", false
	}
	err := json.Unmarshal(text, &value)
	return value, err == nil
}

var errBrackets = errors.New("brackets or commas are missing")

// scanner reads a JSON text from the start.
type scanner struct {
	data []byte
	at   int
}

// each calls element at each element between two brackets, which must enclose all of the text. The callback
// moves the scanner behind the element.
func (s *scanner) each(opening, closing byte, element func() error) error {
	if !s.skip(opening) {
		return errBrackets
	}
	for n := 0; !s.skip(closing); n++ {
		if n > 0 && !s.skip(',') {
			return errBrackets
		}
		before := s.at
		if err := element(); err != nil {
			return err
		}
		if s.at == before {
			return errBrackets
		}
	}
	if s.skipSpace(); s.at < len(s.data) {
		return errBrackets
	}
	return nil
}

// skip skips white space, and one byte if that is the next one.
func (s *scanner) skip(c byte) bool {
	if s.skipSpace(); s.at >= len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

func (s *scanner) skipSpace() {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// value skips white space and one value, and returns the text of the value. It does not recurse, so the
// depth of a value is not bounded.
func (s *scanner) value() []byte {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		c := s.data[s.at]
		switch {
		case c == '"':
			s.skipString()
			if depth == 0 {
				return s.data[start:s.at]
			}
			continue
		case c == '{', c == '[':
			depth++
		case depth > 0 && (c == '}' || c == ']'):
			if depth--; depth == 0 {
				s.at++
				return s.data[start:s.at]
			}
		case depth == 0 && (c == ',' || c == ':' || c == '}' || c == ']' || isSpace(c)):
			return s.data[start:s.at]
		}
		s.at++
	}
	return s.data[start:s.at]
}

// skipString skips a string with its quotes.
func (s *scanner) skipString() {
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return
		}
	}
	s.at = len(s.data)
}
