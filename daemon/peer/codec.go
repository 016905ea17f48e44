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

// Message is what daemons say to each other: a message of package node or of
// package gossip.
type Message any

// tag says which type of message follows it on the wire.
type tag byte

// The tags. They are part of the protocol: never renumber them.
const (
	tagHeartbeat tag = iota + 1
	tagFetch
	tagDeliver
	tagTallyUp
	tagTallyDown
	tagCopies
	tagCopiesHeld
	tagRelease
	tagTallyAcross
	tagAsk
	tagTell
	tagEvidence
	// tagPacked is a message of any other tag, compressed.
	tagPacked
)

// packFrom is the length from which a message is compressed, in bytes: shorter
// ones fit into a datagram.
const packFrom = maxDatagram

// MaxMessage bounds a message, in bytes.
const MaxMessage = 16 << 20

// decoding bounds what a message may make the decoder allocate.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode writes a message: one byte for its type, then CBOR.
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
		t = tagTallyUp
	case node.TotalsReport:
		t = tagTallyDown
	case node.HallReport:
		t = tagTallyAcross
	case node.Copies:
		t = tagCopies
	case node.CopiesHeld:
		t = tagCopiesHeld
	case node.Release:
		t = tagRelease
	case gossip.Request:
		t = tagAsk
	case gossip.Response:
		t = tagTell
	case gossip.Evidence:
		t = tagEvidence
	default:
		return nil, &Error{Op: "encode message", Kind: BadMessage, Err: fmt.Errorf("%T is no message", m)}
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, &Error{Op: "encode message", Kind: BadMessage, Err: err}
	}
	data := append([]byte{byte(t)}, body...)
	if len(data) <= packFrom {
		return data, nil
	}
	return pack(data)
}

// pack compresses an encoded message.
func pack(data []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(byte(tagPacked))
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

// unpack reads a compressed message.
func unpack(body []byte) (Message, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), MaxMessage+1))
	if err != nil {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: err}
	}
	if len(data) == 0 || tag(data[0]) == tagPacked {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: errors.New("a compressed message holds none")}
	}
	return Decode(data)
}

// Decode reads a message.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 || len(data) > MaxMessage {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: fmt.Errorf("%d bytes", len(data))}
	}
	t, body := tag(data[0]), data[1:]
	if t == tagPacked {
		return unpack(body)
	}
	read, ok := decoders[t]
	if !ok {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: fmt.Errorf("tag %d is unknown", t)}
	}
	return read(body)
}

// decoders read the messages by their tags.
var decoders = map[tag]func(body []byte) (Message, error){
	tagHeartbeat:   decode[node.Heartbeat],
	tagFetch:       decode[node.Fetch],
	tagDeliver:     decode[node.Deliver],
	tagTallyUp:     decode[node.SubtreeSums],
	tagTallyDown:   decode[node.TotalsReport],
	tagTallyAcross: decode[node.HallReport],
	tagCopies:      decode[node.Copies],
	tagCopiesHeld:  decode[node.CopiesHeld],
	tagRelease:     decode[node.Release],
	tagAsk:         decode[gossip.Request],
	tagTell:        decode[gossip.Response],
	tagEvidence:    decode[gossip.Evidence],
}

func decode[M any](body []byte) (Message, error) {
	var m M
	if err := decoding.Unmarshal(body, &m); err != nil {
		return nil, &Error{Op: "decode message", Kind: BadMessage, Err: err}
	}
	return m, nil
}
