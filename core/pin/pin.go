// Package pin seals the version that a session keeps into a token that the
// caller carries. No daemon has to remember a session for the pin to hold.
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

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Malformed is a token that this project never made.
	Malformed Kind = "malformed token"
	// Forged is a token whose seal does not fit any key.
	Forged Kind = "seal does not fit"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Pin is what a token says.
type Pin struct {
	Organisation string
	Session      string
	Ref          table.Ref
	// Generation is the table generation under which the session started.
	Generation uint64
}

// Keys seal and open tokens. The first one seals, all of them open, so that
// keys can be changed while sessions last.
type Keys [][]byte

const (
	separator = "\x1f"
	fields    = 5
)

// Seal makes the token of a pin.
func (k Keys) Seal(p Pin) string {
	body := strings.Join([]string{p.Organisation, p.Session, p.Ref.Model, p.Ref.Version, strconv.FormatUint(p.Generation, 10)}, separator)
	return base64.RawURLEncoding.EncodeToString(append(sum(k[0], body), body...))
}

// Open checks a token's seal and returns its pin.
func (k Keys) Open(token string) (Pin, error) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil || len(raw) < sha256.Size {
		return Pin{}, &Error{Op: "open pin", Kind: Malformed, Err: err}
	}
	seal, body := raw[:sha256.Size], string(raw[sha256.Size:])
	if !k.sealed(seal, body) {
		return Pin{}, &Error{Op: "open pin", Kind: Forged}
	}
	parts := strings.Split(body, separator)
	if len(parts) != fields {
		return Pin{}, &Error{Op: "open pin", Kind: Malformed, Err: errors.New("wrong number of fields")}
	}
	generation, err := strconv.ParseUint(parts[4], 10, 64)
	if err != nil {
		return Pin{}, &Error{Op: "open pin", Kind: Malformed, Err: err}
	}
	return Pin{Organisation: parts[0], Session: parts[1], Ref: table.Ref{Model: parts[2], Version: parts[3]}, Generation: generation}, nil
}

func (k Keys) sealed(seal []byte, body string) bool {
	for _, key := range k {
		if hmac.Equal(seal, sum(key, body)) {
			return true
		}
	}
	return false
}

func sum(key []byte, body string) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return mac.Sum(nil)
}
