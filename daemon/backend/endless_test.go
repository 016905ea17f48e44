package backend_test

import (
	"io"
	"strings"
	"testing"

	"ladderridge.example/core/answer"
	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/backend"
)

// repeating reads the same text again and again, up to most bytes.
type repeating struct {
	text       string
	read, most int
}

func (r *repeating) Read(p []byte) (int, error) {
	if r.read >= r.most {
		return 0, io.EOF
	}
	n := copy(p, strings.Repeat(r.text, 1+len(p)/len(r.text)))
	r.read += n
	return n, nil
}

// Guards against the processor time of a model server's stream that sends comments or empty lines
// without end.
func TestStreamWithoutEventsIsEnded(t *testing.T) {
	for _, text := range []string{": nothing\n\n", "\n", "event: x\n"} {
		body := &repeating{text: text, most: 64 << 20}
		_, _, err := backend.NewStream(body).Next()
		if !fault.Is(err, answer.NoProgress) || body.read > 1<<20 {
			t.Errorf("%q: %v after %d bytes", text, err, body.read)
		}
	}
}
