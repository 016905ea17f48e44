package backend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/ansel1/merry/v2"

	"ladderridge.example/core/answer"
	"ladderridge.example/daemon/wire"
)

// maxLine is the maximum size of a line of a stream, in bytes.
const maxLine = 1 << 20

// Stream reads server-sent events.
type Stream struct {
	scanner *bufio.Scanner
	sent    answer.Stream
}

// NewStream returns a stream that reads events from body.
func NewStream(body io.Reader) *Stream {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 4<<10), maxLine)
	return &Stream{scanner: s, sent: answer.NewStream(answer.LimitsFor(0))}
}

var (
	dataField  = []byte("data:")
	terminator = []byte(wire.Terminator)
)

// Next returns the data of the next event, which is valid until the next call.
// At the terminator, last is true. A stream that ends without it is an error.
func (s *Stream) Next() (data []byte, last bool, err error) {
	for s.scanner.Scan() {
		line := bytes.TrimSuffix(s.scanner.Bytes(), []byte("\r"))
		rest, ok := bytes.CutPrefix(line, dataField)
		var err error
		if s.sent, err = s.sent.With(answer.Event{ID: -1, Bytes: len(line) + 1, KeepAlive: !ok}); err != nil {
			return nil, false, merry.Wrap(err)
		}
		if !ok {
			// Skip other fields, comments and the empty line between events.
			continue
		}
		rest = bytes.TrimPrefix(rest, []byte(" "))
		if bytes.Equal(rest, terminator) {
			return nil, true, nil
		}
		return rest, false, nil
	}
	if err := s.scanner.Err(); err != nil {
		return nil, false, merry.Wrap(err)
	}
	return nil, false, merry.New("the stream ended without its terminator")
}
