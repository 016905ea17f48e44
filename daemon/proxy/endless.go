package proxy

import (
	"errors"
	"sync/atomic"

	"ladderridge.example/core/answer"
	"ladderridge.example/core/fault"
	"ladderridge.example/daemon/channel"
)

// endlessForm is a form in which a server sends bytes without end.
type endlessForm int

const (
	endlessHead endlessForm = iota
	endlessFailure
	endlessEvent
	endlessEvents
	endlessKeepAlive
	endlessForms
)

func (f endlessForm) String() string {
	return [...]string{"head", "failure", "event", "events", "keep-alive"}[f]
}

// EndlessCounts counts answers without end by their form. It is safe for concurrent use.
type EndlessCounts struct {
	counts [endlessForms]atomic.Int64
}

func (c *EndlessCounts) count(f endlessForm) { c.counts[f].Add(1) }

// Of returns the count of a form by its name.
func (c *EndlessCounts) Of(form string) int64 {
	for f := range endlessForms {
		if f.String() == form {
			return c.counts[f].Load()
		}
	}
	return 0
}

// EndlessForms returns the names of the forms.
func EndlessForms() []string {
	var out []string
	for f := range endlessForms {
		out = append(out, f.String())
	}
	return out
}

// countEndless counts an answer that was ended because of a limit of its size.
func (j *job) countEndless(err error) {
	switch {
	case errors.Is(err, channel.ErrHeadTooLong):
		j.engine.Endless.count(endlessHead)
	case errors.Is(err, errEventTooLong):
		j.engine.Endless.count(endlessEvent)
	case fault.Is(err, answer.TooManyEvents):
		j.engine.Endless.count(endlessEvents)
	case fault.Is(err, answer.NoProgress):
		j.engine.Endless.count(endlessKeepAlive)
	}
}
