package gateway

import (
	"context"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/daemon/settings"
)

// reloadInterval is how often the settings file is read: it may change without
// a signal to the process.
const reloadInterval = time.Second

// Reload requests that the settings be read again now.
func (g *Gateway) Reload() {
	select {
	case g.reloads <- struct{}{}:
	default:
	}
}

// watchSettings applies changed settings until ctx ends.
func (g *Gateway) watchSettings(ctx context.Context) error {
	tick := clock.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.reload(false)
		case <-g.reloads:
			g.reload(true)
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the settings and applies changes. Settings that cannot change
// while the process runs, such as addresses, keep their effect, and the log says
// that they need a restart. If the file is invalid, the current settings stay.
// With requested set, it also logs that nothing has changed.
func (g *Gateway) reload(requested bool) {
	if g.ReadSettings == nil {
		return
	}
	old := g.settings.Load()
	now, err := g.ReadSettings()
	if err != nil {
		if g.lastReloadError != err.Error() {
			g.lastReloadError = err.Error()
			g.log.Error().Err(err).Msg("gateway: the changed settings are invalid: the previous ones stay in use")
		}
		return
	}
	g.lastReloadError = ""
	if *now == *old {
		if requested {
			g.log.Info().Msg("gateway: settings reloaded: nothing has changed")
		}
		return
	}
	g.settings.Store(now)
	g.apply(now)
	restart := settings.StaticOf(now) != settings.StaticOf(old)
	g.log.Info().Bool("needs_restart", restart).Dur("key_age", now.KeyAge).Dur("grace", now.Grace).Msg("gateway: changed settings applied")
}

// apply applies the settings that may change while the process runs.
func (g *Gateway) apply(s *settings.Gateway) {
	g.engine.SetKeyAge(s.KeyAge, s.OutageKeyAge)
	g.engine.Budget.Set(s.RepeatRatio, s.RepeatSlack, s.RepeatWindow)
}
