// Package pin implements session pins: the model version that a session keeps is stored in an
// authenticated token (HMAC-SHA-256) that the caller sends with each request. So no daemon needs
// to store the pins of sessions.
package pin

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/table"
)

// Kind is the kind of an error.
type Kind string

// The kinds of error.
const (
	// Malformed is a token in an invalid format.
	Malformed Kind = "malformed token"
	// Forged is a token whose authentication code matches none of the keys.
	Forged Kind = "seal does not fit"
)

// String returns the kind as text.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Pin is the content of a token.
type Pin struct {
	Organisation string
	Session      string
	Ref          table.Ref
	// Generation is the generation of the table when the session started.
	Generation uint64
}

// Keys are the keys of the authentication codes. The first one makes new tokens and all of them
// verify tokens, so that keys can be rotated while sessions are in use.
type Keys [][]byte

const (
	separator  = "\x1f"
	fieldCount = 5
)

// Seal returns the token of a pin.
func (k Keys) Seal(p Pin) string {
	body := strings.Join([]string{p.Organisation, p.Session, p.Ref.Model, p.Ref.Version, strconv.FormatUint(p.Generation, 10)}, separator)
	return base64.RawURLEncoding.EncodeToString(append(computeMAC(k[0], body), body...))
}

// Open verifies a token and returns its pin.
func (k Keys) Open(token string) (Pin, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return Pin{}, &Error{Op: "open pin", Kind: Malformed, Err: err}
	}
	seal, body := raw[:sha256.Size], string(raw[sha256.Size:])
	if !k.verify(seal, body) {
		return Pin{}, &Error{Op: "open pin", Kind: Forged}
	}
	parts := strings.Split(body, separator)
	if len(parts) != fieldCount {
		return Pin{}, &Error{Op: "open pin", Kind: Malformed, Err: errors.New("wrong number of fields")}
	}
	generation, err := strconv.ParseUint(parts[4], 10, 64)
	if err != nil {
		return Pin{}, &Error{Op: "open pin", Kind: Malformed, Err: err}
	}
	return Pin{Organisation: parts[0], Session: parts[1], Ref: table.Ref{Model: parts[2], Version: parts[3]}, Generation: generation}, nil
}

func (k Keys) verify(seal []byte, body string) bool {
	for _, key := range k {
		if hmac.Equal(seal, computeMAC(key, body)) {
			return true
		}
	}
	return false
}

func computeMAC(key []byte, body string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return mac.Sum(nil)
}
