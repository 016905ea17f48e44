package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
	"strconv"
)

// eventReader reads an event stream (SSE) event by event. An event ends with an empty line; an
// incomplete event at the end of the stream is an error.
type eventReader struct {
	r *bufio.Reader
}

// maxEventBytes is the limit of the size of an event.
const maxEventBytes = 1 << 20

var (
	errEventTooLong   = errors.New("event exceeds the size limit")
	errEventTruncated = errors.New("stream ended within an event")
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// event is one event as received, with its id, or -1. One that only keeps the connection alive has
// no lines but comments and the fields retry and event.
type event struct {
	raw       []byte
	id        int64
	keepAlive bool
}

var idField = []byte("id:")

// keepAliveFields are the beginnings of lines that carry nothing of an answer.
var keepAliveFields = [][]byte{[]byte(":"), []byte("retry:"), []byte("event:")}

// next returns the next event, or io.EOF at the regular end of the stream.
func (e *eventReader) next() (event, error) {
	out := event{id: -1, keepAlive: true}
	start := 0 // of the current line, which may be longer than the buffer
	for {
		read, err := e.r.ReadSlice('\n')
		out.raw = append(out.raw, read...)
		if len(out.raw) > maxEventBytes {
			return out, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(out.raw) > 0 {
				return out, errEventTruncated
			}
			return out, err
		}
		line := bytes.TrimRight(out.raw[start:], "\r\n")
		start = len(out.raw)
		if len(line) == 0 {
			return out, nil
		}
		if !slices.ContainsFunc(keepAliveFields, func(f []byte) bool { return bytes.HasPrefix(line, f) }) {
			out.keepAlive = false
		}
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64); err == nil {
				out.id = id
			}
		}
	}
}

// buffered reports whether at least a part of the next event has arrived.
func (e *eventReader) buffered() bool { return e.r.Buffered() > 0 }
