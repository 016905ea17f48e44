package process

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"ladderridge.example/daemon/record"
)

// namespace is the prefix of every metric.
const namespace = "ladderridge"

// metrics registers the daemon's metrics, and returns the function to call with
// the record of each request.
func (p *Process) metrics() (*prometheus.Registry, func(record.Record)) {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counter := func(name, help string, get func() float64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, get))
	}
	gauge := func(name, help string, get func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, get))
	}
	counter("control_busy_seconds_total", "Time that the control goroutine has worked.", func() float64 {
		return time.Duration(p.control.Busy.Load()).Seconds()
	})
	counter("control_peer_sent_bytes_total", "Bytes sent to other daemons, QUIC included.", func() float64 { return float64(p.peers.Usage().SentBytes) })
	counter("control_peer_received_bytes_total", "Bytes received from other daemons, QUIC included.", func() float64 { return float64(p.peers.Usage().ReceivedBytes) })
	counter("control_platform_calls_total", "Calls of the platform.", func() float64 { return float64(p.control.Platform.Calls.Load()) })
	counter("control_platform_bytes_total", "Bytes to and from the platform.", func() float64 { return float64(p.control.Platform.Bytes.Load()) })
	counter("control_dropped_facts_total", "Facts from traffic that found the inbox full.", func() float64 { return float64(p.control.DroppedObservations.Load()) })
	counter("crossed_answers_total", "Answers dropped because they belonged to another request.", func() float64 { return float64(p.backend.MismatchedReplies.Load()) })
	counter("claims_unrecorded_total", "Outcomes of claims that were given up.", func() float64 { return float64(p.claims.Unrecorded.Load()) })
	gauge("requests_open", "Requests under way.", func() float64 { return float64(p.front.InFlight.Load()) })
	gauge("table_generation", "The table generation in force.", func() float64 { return float64(p.control.Snapshot().View.Generation.Number) })
	gauge("table_age_seconds", "How long ago the generation was known to be the newest.", func() float64 {
		return p.control.Snapshot().View.Age(time.Now()).Seconds()
	})
	requests := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Requests by organisation, version, outcome and code."},
		[]string{"organisation", "version", "run", "code"})
	duration := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "request_seconds", Help: "How long requests took, by outcome.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 18)},
		[]string{"run"})
	r.MustRegister(requests, duration)
	return r, func(rec record.Record) {
		requests.WithLabelValues(rec.Organisation, rec.Version, rec.Run, rec.Code).Inc()
		duration.WithLabelValues(rec.Run).Observe(rec.DurationMS / 1000)
	}
}
