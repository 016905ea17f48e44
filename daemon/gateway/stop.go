package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// phase is the phase of a graceful shutdown. The zero value means serving.
type phase struct {
	stopping atomic.Bool
}

// closing reports whether connections are to be closed after the current answer.
func (p *phase) closing() bool { return p.stopping.Load() }

// Times of a graceful shutdown.
const (
	// notReadyPeriod is how long the daemon reports not ready but still takes all requests:
	// the load balancer checks every second and needs two failed checks.
	notReadyPeriod = 2500 * time.Millisecond
	// pollInterval is the time between two checks whether all accepted requests have ended.
	pollInterval = 50 * time.Millisecond
	// closeMargin is how long before the end of the grace period requests are given up, answerMargin the
	// time to write to their callers that they are.
	closeMargin  = 500 * time.Millisecond
	answerMargin = closeMargin / 2
)

// stop shuts the daemon down without aborting requests: it reports not ready, takes
// requests until the load balancer has noticed, and finishes those in progress.
// Meanwhile it accepts requests that can end within the grace period and refuses the
// others with a time to retry after: while all daemons are being restarted one by one,
// there may be no other daemon to take them.
func (g *Gateway) stop() {
	start, grace := time.Now(), g.settings.Load().Grace
	g.log.Info().Int64("open", g.engine.InFlight.Load()).Msg("gateway: shutting down: reporting not ready")
	g.phase.stopping.Store(true)
	end := start.Add(grace - closeMargin)
	g.relayServer.ShutdownBy(end)
	time.Sleep(min(notReadyPeriod, grace/2))
	g.engine.ShutdownBy(end)
	for g.engine.InFlight.Load()+g.relayServer.Serving() > 0 && time.Until(end) > pollInterval {
		time.Sleep(pollInterval)
	}
	if open := g.engine.InFlight.Load(); open > 0 {
		g.log.Warn().Int64("open", open).Msg("gateway: shutting down: requests exceed the grace period and are given up")
		g.engine.GiveUp()
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(answerMargin))
	defer cancel()
	if err := g.callers.http.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Int64("open", g.engine.InFlight.Load()).Msg("gateway: shutting down: requests exceeded the grace period")
	}
	g.log.Info().Dur("took", time.Since(start)).Msg("gateway: stopped")
}
