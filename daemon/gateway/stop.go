package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// phase is how far a planned stop has come. The zero value serves.
type phase struct {
	stopping atomic.Bool
}

// closing reports whether connections are closed after their answer.
func (p *phase) closing() bool { return p.stopping.Load() }

// The times of a planned stop.
const (
	// stopNotice is how long the daemon still takes all requests while it says that it
	// is not ready: the balancer asks every second and needs two answers.
	stopNotice = 2500 * time.Millisecond
	// lookEvery is the time between two looks whether what was taken has ended.
	lookEvery = 50 * time.Millisecond
	// lastMoment is what is left of the grace when requests are broken off.
	lastMoment = 500 * time.Millisecond
)

// stop ends the daemon without cutting a request: it says that it is not ready,
// takes requests until the balancer has noticed, and finishes what is under way.
// While that lasts it takes what is over in time and refuses the rest with a time to
// come back: when all daemons are stopped in turn there may be no other.
func (g *Gateway) stop() {
	begun, grace := time.Now(), g.settings.Load().Grace
	g.log.Info().Int64("open", g.engine.InFlight.Load()).Msg("gateway: stopping: not ready")
	g.phase.stopping.Store(true)
	time.Sleep(min(stopNotice, grace/2))
	end := begun.Add(grace - lastMoment)
	g.engine.ShutdownBy(end)
	for g.engine.InFlight.Load() > 0 && time.Until(end) > lookEvery {
		time.Sleep(lookEvery)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := g.callers.http.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Int64("open", g.engine.InFlight.Load()).Msg("gateway: stopping: requests outlasted the grace")
	}
	g.log.Info().Dur("took", time.Since(begun)).Msg("gateway: stopped")
}
