package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/retry"
)

// repeatCollector exports the retry budget of each service. Its labels name the VM and the start
// of the process, so that sums over all daemons include processes that have since ended.
type repeatCollector struct {
	usage                           func() []retry.Usage
	requests, repeats, denied, left *prometheus.Desc
}

func newRepeatCollector(g *Gateway) *repeatCollector {
	labels := prometheus.Labels{"daemon": g.Settings.ID, "start": strconv.FormatUint(g.Start, 16)}
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "repeat", name), help, []string{"service"}, labels)
	}
	return &repeatCollector{
		usage:    g.engine.Repeats,
		requests: desc("budget_requests_total", "Requests for a service that pay for repeats."),
		repeats:  desc("sent_total", "Repeats sent to a service beyond the first attempt of each request."),
		denied:   desc("denied_total", "Repeats that were not sent since the budget had nothing left."),
		left:     desc("budget_left", "Repeats that may be sent to a service now."),
	}
}

// Describe implements prometheus.Collector.
func (c *repeatCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.requests, c.repeats, c.denied, c.left} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *repeatCollector) Collect(out chan<- prometheus.Metric) {
	for _, u := range c.usage() {
		out <- prometheus.MustNewConstMetric(c.requests, prometheus.CounterValue, float64(u.Requests), u.Service)
		out <- prometheus.MustNewConstMetric(c.repeats, prometheus.CounterValue, float64(u.Repeats), u.Service)
		out <- prometheus.MustNewConstMetric(c.denied, prometheus.CounterValue, float64(u.Denied), u.Service)
		out <- prometheus.MustNewConstMetric(c.left, prometheus.GaugeValue, u.Left, u.Service)
	}
}

// repeatLogInterval is the time between two log lines about a service's retries.
const repeatLogInterval = time.Second

// logRepeats periodically logs each service with retries that were sent or denied since its
// previous line, until ctx ends.
func (g *Gateway) logRepeats(ctx context.Context) error {
	tick := clock.NewTicker(repeatLogInterval)
	defer tick.Stop()
	last := map[string]retry.Usage{}
	for {
		select {
		case <-tick.C:
			for _, u := range g.engine.Repeats() {
				if prev := last[u.Service]; u.Repeats != prev.Repeats || u.Denied != prev.Denied {
					g.logRepeat(u)
				}
				last[u.Service] = u
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Gateway) logRepeat(u retry.Usage) {
	g.log.Info().Str("service", u.Service).Str("start", strconv.FormatUint(g.Start, 16)).Int("daemons", g.syncer.View().Daemons).
		Int64("requests", u.Requests).Int64("repeats", u.Repeats).Int64("denied", u.Denied).Float64("left", u.Left).Msg("repeats: totals since the start of the process")
}
