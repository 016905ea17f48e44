package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
)

// onLimitChange logs a changed rate limit that a server announced in an answer to this daemon,
// and announces it to the other daemons.
func (g *Gateway) onLimitChange(s *fleet.Server, old, current notice.LimitState) {
	g.reporter.logLimitChange(s, old, current)
	if current.Rate != old.Rate {
		g.syncer.AnnounceLimit(s)
	}
}

// maxLimitSeries bounds the number of servers with metrics of their own.
const maxLimitSeries = 64

// limitCollector exports, for each server that announced a rate limit: the limit, this daemon's
// share of it, and how many requests it has sent under it.
type limitCollector struct {
	gateway            *Gateway
	limit, share, sent *prometheus.Desc
	servers            *prometheus.Desc
}

func newLimitCollector(g *Gateway) *limitCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
	}
	return &limitCollector{
		gateway: g,
		limit:   desc("server_limit_per_second", "Requests a second that a server takes from all daemons.", "server"),
		share:   desc("server_limit_share_per_second", "Requests a second that this daemon may send of that.", "server"),
		sent:    desc("server_limit_sent", "Requests that this daemon has sent since it keeps the limit.", "server"),
		servers: desc("servers_limited", "Servers that name a limit; the first 64 are told by name."),
	}
}

// Describe implements prometheus.Collector.
func (c *limitCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.limit, c.share, c.sent, c.servers} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *limitCollector) Collect(ch chan<- prometheus.Metric) {
	n, now := 0, time.Now()
	if v := c.gateway.syncer.View(); v.Servers != nil {
		for _, s := range v.Servers.All() {
			d := limitDump(s, now)
			if d == nil {
				continue
			}
			if n++; n > maxLimitSeries {
				continue
			}
			name := s.Incarnation().String()
			ch <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, d.PerSecond, name)
			ch <- prometheus.MustNewConstMetric(c.share, prometheus.GaugeValue, d.Share, name)
			ch <- prometheus.MustNewConstMetric(c.sent, prometheus.GaugeValue, float64(d.Sent), name)
		}
	}
	ch <- prometheus.MustNewConstMetric(c.servers, prometheus.GaugeValue, float64(n))
}
