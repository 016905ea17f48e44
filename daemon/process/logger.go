package process

import (
	"os"

	"github.com/phuslu/log"

	"ladderridge.example/daemon/settings"
)

// newLogger writes to standard error, as the settings say. Each message starts
// with the name of its part.
func newLogger(s *settings.Settings) log.Logger {
	l := log.Logger{Level: log.ParseLevel(s.LogLevel)}
	if s.LogJSON {
		l.Writer = &log.IOWriter{Writer: os.Stderr}
	} else {
		l.Writer = &log.ConsoleWriter{Writer: os.Stderr, EndWithMessage: true}
	}
	return l
}
