package gateway

import (
	"os"

	"github.com/phuslu/log"

	"ladderridge.example/daemon/logwriter"
)

// logBacklog is how many lines are buffered for standard output. Further ones
// are dropped, so that logging never blocks a request.
const logBacklog = 4096

// newLogger returns a logger that writes JSON lines to standard output
// asynchronously.
func newLogger(level string) (log.Logger, *logwriter.Writer) {
	w := logwriter.New(os.Stdout, logBacklog)
	return log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: w}, TimeFormat: "15:04:05.000"}, w
}
