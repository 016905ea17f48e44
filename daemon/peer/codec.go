package peer

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/node"
)

// Message is a message between daemons: one of the message types of package
// node or package gossip.
type Message any

// tag is the first byte of an encoded message and identifies its type.
type tag byte

// The tags are part of the wire protocol: never renumber them.
const (
	tagHeartbeat tag = iota + 1
	tagFetch
	tagDeliver
	tagSubtreeSums
	tagTotalsReport
	tagCopies
	tagCopiesHeld
	tagRelease
	tagHallReport
	tagRequest
	tagResponse
	tagEvidence
	// tagCompressed marks a compressed message, which contains a tag and a
	// body.
	tagCompressed
)

// compressAbove is the length in bytes above which a message is compressed.
// Shorter messages fit into a datagram.
const compressAbove = maxDatagram

// MaxMessage is the maximum size of a message in bytes.
const MaxMessage = 16 << 20

// decMode limits the memory that decoding a message may allocate.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode encodes a message as a tag followed by CBOR, and compresses it if it
// is longer than compressAbove.
func Encode(m Message) ([]byte, error) {
	var t tag
	switch m.(type) {
	case node.Heartbeat:
		t = tagHeartbeat
	case node.Fetch:
		t = tagFetch
	case node.Deliver:
		t = tagDeliver
	case node.SubtreeSums:
		t = tagSubtreeSums
	case node.TotalsReport:
		t = tagTotalsReport
	case node.HallReport:
		t = tagHallReport
	case node.Copies:
		t = tagCopies
	case node.CopiesHeld:
		t = tagCopiesHeld
	case node.Release:
		t = tagRelease
	case gossip.Request:
		t = tagRequest
	case gossip.Response:
		t = tagResponse
	case gossip.Evidence:
		t = tagEvidence
	default:
		return nil, &Error{Op: "encode message", Kind: BadMessage, Err: fmt.Errorf("%T is not a message type", m)}
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "encode message", Kind: BadMessage, Err: err}
	}
	data := append([]byte{byte(t)}, body...)
	if len(data) <= compressAbove {
		return data, nil
	}
	return compress(data)
}

// compress compresses an encoded message.
func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(byte(tagCompressed))
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, &Error{Op: "encode message", Kind: BadMessage, Err: err}
	}
	if _, err := w.Write(data); err != nil {
		return nil, &Error{Op: "encode message", Kind: BadMessage, Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: "encode message", Kind: BadMessage, Err: err}
	}
	return out.Bytes(), nil
}

// decompress decodes the body of a compressed message.
func decompress(body []byte) (Message, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), MaxMessage+1))
	if err != nil {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: err}
	}
	if len(data) == 0 || tag(data[0]) == tagCompressed {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: errors.New("a compressed message is empty or contains another compressed one")}
	}
	return Decode(data)
}

// Decode decodes a message that Encode returned.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 || len(data) > MaxMessage {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: fmt.Errorf("a length of %d bytes is out of range", len(data))}
	}
	t, body := tag(data[0]), data[1:]
	if t == tagCompressed {
		return decompress(body)
	}
	decodeBody, ok := decoders[t]
	if !ok {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: fmt.Errorf("unknown tag %d", t)}
	}
	return decodeBody(body)
}

// decoders maps each tag to the decoder of its message type.
var decoders = map[tag]func(body []byte) (Message, error){
	tagHeartbeat:    decode[node.Heartbeat],
	tagFetch:        decode[node.Fetch],
	tagDeliver:      decode[node.Deliver],
	tagSubtreeSums:  decode[node.SubtreeSums],
	tagTotalsReport: decode[node.TotalsReport],
	tagHallReport:   decode[node.HallReport],
	tagCopies:       decode[node.Copies],
	tagCopiesHeld:   decode[node.CopiesHeld],
	tagRelease:      decode[node.Release],
	tagRequest:      decode[gossip.Request],
	tagResponse:     decode[gossip.Response],
	tagEvidence:     decode[gossip.Evidence],
}

func decode[M any](body []byte) (Message, error) {
	var m M
	if err := decMode.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: err}
	}
	return m, nil
}
