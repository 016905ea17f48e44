package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// eventReader reads a stream event by event. An event ends with an empty line;
// what is broken off before that is no event.
type eventReader struct {
	r *bufio.Reader
}

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

var (
	errEventTooLong = errors.New("an event is too long")
	errEventCut     = errors.New("the stream ended within an event")
)

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4<<10)}
}

// event is one event as it came, with its id, or -1.
type event struct {
	raw []byte
	id  int64
}

var idField = []byte("id:")

// next returns the next event; io.EOF is the stream's proper end.
func (e *eventReader) next() (event, error) {
	out := event{id: -1}
	for {
		line, err := e.r.ReadSlice('\n')
		out.raw = append(out.raw, line...)
		if len(out.raw) > maxEvent {
			return out, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(out.raw) > 0 {
				return out, errEventCut
			}
			return out, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return out, nil
		}
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(rest)), 10, 64); err == nil {
				out.id = id
			}
		}
	}
}

// waiting reports whether the next event has arrived at least in part.
func (e *eventReader) waiting() bool { return e.r.Buffered() > 0 }
