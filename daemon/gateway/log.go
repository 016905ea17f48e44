package gateway

import (
	"os"

	"github.com/phuslu/log"
)

// logBacklog is how many lines wait for standard output. Further ones are
// dropped: writing never holds a request up.
const logBacklog = 4096

// newLogger writes JSON lines to standard output without waiting.
func newLogger(level string) (log.Logger, *log.AsyncWriter) {
	w := &log.AsyncWriter{ChannelSize: logBacklog, DiscardOnFull: true, Writer: &log.IOWriter{Writer: os.Stdout}}
	return log.Logger{Level: log.ParseLevel(level), Writer: w, TimeFormat: "15:04:05.000"}, w
}
