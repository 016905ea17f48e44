package channel

import (
	"context"

	"ladderridge.example/core/quarantine"
)

// Probe checks in the background whether a server that interrupted an answer is
// still running, with at most one probe of an instance at a time. The
// connection is kept for the next request. If the server refuses the
// connection, ended is called; if it accepts it, running is, unless it is nil.
func (p *Pool) Probe(runs *quarantine.Tracker, at quarantine.Instance, ended func(quarantine.Instance), running func()) {
	if !runs.BeginProbe(at) {
		return
	}
	go func() {
		defer runs.EndProbe(at)
		c, err := p.open(context.Background(), Endpoint{Addr: at.Addr})
		if err == nil {
			p.release(at.Addr, c)
			if running != nil {
				running()
			}
			return
		}
		if ConnectionRefused(err) {
			ended(at)
		}
	}()
}
