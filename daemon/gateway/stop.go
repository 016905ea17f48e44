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
	// notice is how long the daemon still accepts connections while it says
	// that it is not ready: the balancer asks every second and needs two
	// answers.
	notice = 2500 * time.Millisecond
	// lastMoment is what is left of the grace when requests are broken off.
	lastMoment = 500 * time.Millisecond
)

// stop ends the daemon without cutting a request: it says that it is not ready,
// keeps accepting until the balancer has noticed, and finishes what is under
// way.
func (g *Gateway) stop() {
	begun := time.Now()
	g.log.Info().Int64("open", g.engine.Open.Load()).Msg("gateway: stopping: not ready")
	g.phase.stopping.Store(true)
	time.Sleep(min(notice, g.settings.Load().Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(g.settings.Load().Grace-lastMoment))
	defer cancel()
	if err := g.callers.http.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Int64("open", g.engine.Open.Load()).Msg("gateway: stopping: requests outlasted the grace")
	}
	g.log.Info().Dur("took", time.Since(begun)).Msg("gateway: stopped")
}
