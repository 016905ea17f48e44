package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ladderridge.example/core/fleet"
	"ladderridge.example/daemon/congestion"
	"ladderridge.example/daemon/pacing"
	"ladderridge.example/daemon/permits"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/daemon/storesync"
)

// prepareCapacity creates the components that share out scarce servers, as far as the settings
// enable them.
func (g *Gateway) prepareCapacity(s *settings.Gateway) {
	if s.FewSlots == 0 {
		return
	}
	demand, pace, slots := congestion.New(), pacing.New(), permits.New()
	demand.Log = g.log
	pace.Servers = func() *fleet.List { return g.syncer.View().Servers }
	pace.Includes = func(b *fleet.Server) bool { return len(b.Models) > 0 && b.Slots > 0 && b.Slots <= s.FewSlots }
	g.engine.Congestion, g.engine.FewSlots, g.engine.Pace, g.engine.Permits = demand, s.FewSlots, pace, slots
	g.syncer.Figures = map[string]storesync.Figures{"demand": demand, "pace": pace, "slots": slots}
}

// CongestionDump is the congestion of a service whose model servers have few slots.
type CongestionDump struct {
	Service string `json:"service"`
	// Level is the time to the first part of answers relative to their objectives, Price what a
	// run of average cost costs other requests, as a fraction of the value of one.
	Level float64 `json:"level"`
	Price float64 `json:"price"`
	// Refused counts the refused requests since the start of the process, by reason.
	Refused map[string]uint64 `json:"refused"`
}

// PermitDump is this daemon's share of the slots of a small pool.
type PermitDump struct {
	Service string `json:"service"`
	// Limit is how many requests of this daemon may be in flight, -1 while there is no limit.
	Limit    float64 `json:"limit"`
	InFlight int     `json:"in_flight"`
	Waiting  int     `json:"waiting"`
	Granted  int64   `json:"granted"`
	Refused  int64   `json:"refused"`
	// Demand is how many requests all daemons have in flight or waiting, 0 if it is unknown.
	Demand float64 `json:"demand"`
}

// congestionDump returns the congestion of each service with few slots that had requests.
func (g *Gateway) congestionDump(now time.Time) []CongestionDump {
	var out []CongestionDump
	if g.engine.Congestion == nil {
		return nil
	}
	for _, s := range g.engine.Congestion.Snapshot(now) {
		out = append(out, CongestionDump{Service: s.Service, Level: s.Level, Price: s.Price, Refused: s.Refused})
	}
	return out
}

// permitDump returns the permits of each small pool, sorted by service.
func (g *Gateway) permitDump(now time.Time) []PermitDump {
	var out []PermitDump
	if g.engine.Permits == nil {
		return nil
	}
	for name, s := range g.engine.Permits.Snapshot(now) {
		limit := s.Limit
		if math.IsInf(limit, 1) {
			limit = -1
		}
		out = append(out, PermitDump{Service: name, Limit: limit, InFlight: s.InFlight, Waiting: s.Waiting, Granted: s.Granted, Refused: s.Refused, Demand: s.Total.Load()})
	}
	slices.SortFunc(out, func(a, b PermitDump) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// droppedFigures returns how many figures of other daemons were dropped.
func (g *Gateway) droppedFigures() float64 {
	if g.engine.Congestion == nil {
		return 0
	}
	return float64(g.engine.Congestion.Dropped()) + float64(g.engine.Pace.Malformed()) + float64(g.engine.Permits.Malformed())
}

// capacityCollector exports the congestion of services with few slots and the permits of small
// pools.
type capacityCollector struct {
	gateway                         *Gateway
	level, price                    *prometheus.Desc
	limit, inFlight, waiting, total *prometheus.Desc
}

func newCapacityCollector(g *Gateway) *capacityCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{"service"}, nil)
	}
	return &capacityCollector{
		gateway:  g,
		level:    desc("congestion_level", "Time to the first part of answers, relative to their objectives."),
		price:    desc("run_price", "What a run of average cost costs other requests, as a fraction of the value of one."),
		limit:    desc("permits", "Requests of this daemon that may be in flight at a small pool; -1 is no limit."),
		inFlight: desc("permits_in_flight", "Requests of this daemon in flight at a small pool."),
		waiting:  desc("permits_waiting", "Requests that wait for a permit."),
		total:    desc("pool_demand", "Requests of all daemons in flight or waiting at a small pool."),
	}
}

// Describe implements prometheus.Collector.
func (c *capacityCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.level, c.price, c.limit, c.inFlight, c.waiting, c.total} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *capacityCollector) Collect(ch chan<- prometheus.Metric) {
	now := time.Now()
	gauge := func(d *prometheus.Desc, value float64, service string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, service)
	}
	for _, d := range c.gateway.congestionDump(now) {
		gauge(c.level, d.Level, d.Service)
		gauge(c.price, d.Price, d.Service)
	}
	for _, d := range c.gateway.permitDump(now) {
		gauge(c.limit, d.Limit, d.Service)
		gauge(c.inFlight, float64(d.InFlight), d.Service)
		gauge(c.waiting, float64(d.Waiting), d.Service)
		gauge(c.total, d.Demand, d.Service)
	}
}
