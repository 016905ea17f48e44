package logwriter_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"

	"ladderridge.example/daemon/logwriter"
)

const (
	loggers = 8
	each    = 2000
)

// logAll logs from several goroutines at once and waits for them.
func logAll(l *log.Logger) {
	var wg sync.WaitGroup
	for g := range loggers {
		wg.Go(func() {
			for n := range each {
				l.Info().Int("goroutine", g).Int("line", n).Msg(strings.Repeat("x", n%100))
			}
		})
	}
	wg.Wait()
}

// The log library's own asynchronous writer fails this test under the race detector.
func TestConcurrentLinesAreNotInterleaved(t *testing.T) {
	var out bytes.Buffer
	w := logwriter.New(&out, loggers*each)
	logAll(&log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}})
	w.Close()
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	if len(lines) != loggers*each || w.Dropped() != 0 {
		t.Fatalf("got %d lines of %d, %d dropped", len(lines), loggers*each, w.Dropped())
	}
	for _, line := range lines {
		if !strings.HasPrefix(line, "{") || !strings.HasSuffix(line, "}") {
			t.Fatalf("incomplete line: %q", line)
		}
	}
}

// stuck is an output whose writes block until it is released.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	const backlog = 10
	s := stuck{released: make(chan struct{})}
	w := logwriter.New(s, backlog)
	logAll(&log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}})
	// The writer's goroutine may already have taken one line from the backlog.
	if d := w.Dropped(); d < loggers*each-backlog-1 || d > loggers*each-backlog {
		t.Errorf("%d lines dropped of %d", d, loggers*each)
	}
	close(s.released)
	w.Close()
}

func TestLineAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	w := logwriter.New(&out, 1)
	w.Close()
	w.Close()
	if n, err := fmt.Fprintln(w, "late"); n != 5 || err != nil {
		t.Errorf("wrote %d bytes, error %v", n, err)
	}
	if out.Len() > 0 || w.Dropped() != 1 {
		t.Errorf("%q written, %d dropped", out.String(), w.Dropped())
	}
}

// failing is an output whose writes fail.
type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, errors.New("closed") }

func TestFailedWritesCountAsDropped(t *testing.T) {
	w := logwriter.New(failing{}, 3)
	for range 3 {
		_, _ = fmt.Fprintln(w, "x")
	}
	w.Close()
	if w.Dropped() != 3 {
		t.Errorf("%d lines dropped, want 3", w.Dropped())
	}
}
