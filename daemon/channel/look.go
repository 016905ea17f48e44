package channel

import (
	"context"

	"ladderridge.example/core/quarantine"
)

// Look finds out whether a server that broke off is there, without waiting: one look at a
// place at a time. The connection is kept for the next request; ended is told of a server
// that refuses it.
func (p *Pool) Look(runs *quarantine.Tracker, at quarantine.Instance, ended func(quarantine.Instance)) {
	if !runs.BeginProbe(at) {
		return
	}
	go func() {
		defer runs.EndProbe(at)
		c, err := p.open(context.Background(), at.Addr)
		if err == nil {
			p.keep(at.Addr, c)
			return
		}
		if ConnectionRefused(err) {
			ended(at)
		}
	}()
}
