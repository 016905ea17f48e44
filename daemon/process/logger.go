package process

import (
	"os"

	"github.com/phuslu/log"

	"ladderridge.example/daemon/settings"
)

// newLogger returns a logger that writes to standard error with the level and
// format of the settings. By convention each message starts with the name of its
// package.
func newLogger(s *settings.Settings) log.Logger {
	l := log.Logger{Level: log.ParseLevel(s.LogLevel)}
	if s.LogJSON {
		l.Writer = &log.IOWriter{Writer: os.Stderr}
	} else {
		l.Writer = &log.ConsoleWriter{Writer: os.Stderr, EndWithMessage: true}
	}
	return l
}
