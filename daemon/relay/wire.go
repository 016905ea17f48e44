// Package relay connects daemons to backend servers through each other. A daemon whose path to a
// server has failed opens a stream to another daemon (Client), which connects to the server and
// copies bytes in both directions (Server). Each stream carries one exchange. The daemon that
// opens it decides everything about the request; the other one does not read it.
package relay

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/reach"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of error.
const (
	// BadMessage means that a message could not be read or written.
	BadMessage Kind = "bad message"
	// HelperLost means that the daemon through which a connection leads was lost: that says
	// nothing about the server.
	HelperLost Kind = "relaying daemon lost"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// openRequest is the first message on a stream: it asks for a connection to a server.
type openRequest struct {
	_    struct{} `cbor:",toarray"`
	Addr string
	// RequestID is the caller's id of the request.
	RequestID string
	// MaxIdleMS is how long the connection may have been idle, in milliseconds.
	MaxIdleMS uint64
	// TimeLeftMS is the time until the request's deadline in milliseconds, 0 if it has none.
	TimeLeftMS uint64
}

// openResponse is the first message in the other direction. Bytes follow if Answer is Connected.
type openResponse struct {
	_      struct{} `cbor:",toarray"`
	Answer reach.Answer
	// Serving is how many connections the sender serves for others.
	Serving uint32
}

// Codes with which the relaying daemon resets a stream. They are part of the wire protocol.
const (
	// codeAborted: the exchange was given up.
	codeAborted quic.StreamErrorCode = iota
	// codeServerReset: the server's connection broke.
	codeServerReset
	// codeServerTimedOut: the server's machine did not respond.
	codeServerTimedOut
)

// maxMessage is the maximum size in bytes of a message.
const maxMessage = 4 << 10

// writeMessage writes a message with its length.
func writeMessage(w io.Writer, m any) error {
	body, err := cbor.Marshal(m)
	if err == nil && len(body) > maxMessage {
		err = fmt.Errorf("a length of %d bytes is out of range", len(body))
	}
	if err != nil {
		return &Error{Op: "write message", Kind: BadMessage, Err: err}
	}
	data := binary.BigEndian.AppendUint16(nil, uint16(len(body))) //nolint:gosec // At most maxMessage.
	if _, err := w.Write(append(data, body...)); err != nil {
		return &Error{Op: "write message", Kind: BadMessage, Err: err}
	}
	return nil
}

// readMessage reads a message that writeMessage wrote.
func readMessage(r io.Reader, m any) error {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return &Error{Op: "read message", Kind: BadMessage, Err: err}
	}
	n := binary.BigEndian.Uint16(length[:])
	if n > maxMessage {
		return &Error{Op: "read message", Kind: BadMessage, Err: fmt.Errorf("a length of %d bytes is out of range", n)}
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return &Error{Op: "read message", Kind: BadMessage, Err: err}
	}
	if err := cbor.Unmarshal(body, m); err != nil {
		return &Error{Op: "read message", Kind: BadMessage, Err: err}
	}
	return nil
}
