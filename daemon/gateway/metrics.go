package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ladderridge.example/core/verdict"
	"ladderridge.example/daemon/duties"
	"ladderridge.example/daemon/proxy"
)

// namespace is the prefix of every metric.
const namespace = "ladderridge"

// Paths of the admin interface for operators.
const (
	PathMetrics = "/metrics"
	PathDump    = "/dump"
	PathHalls   = "/halls"
	PathDuties  = "/duties"
)

// metrics returns a registry with the daemon's metrics.
func (g *Gateway) metrics() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), g.reporter.requests, g.reporter.duration, g.reporter.timeToFirst, g.reporter.attempts, g.reporter.notices)
	counter := func(name, help string, get func() float64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, get))
	}
	gauge := func(name, help string, get func() float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, get))
	}
	counter("store_calls_total", "Calls to the platform's store.", func() float64 { return float64(g.syncer.Calls.Load()) })
	counter("store_lost_total", "Times that the store stopped answering.", func() float64 { return float64(g.syncer.Outages.Load()) })
	counter("store_regained_total", "Times that the store answered again.", func() float64 { return float64(g.syncer.Recoveries.Load()) })
	counter("store_returns_total", "Topics of the store whose rows came from a copy, since its era rose.", func() float64 { return float64(g.syncer.Restores.Load()) })
	counter("connections_opened_total", "Connections opened to servers.", func() float64 { return float64(g.channels.Opened.Load()) })
	counter("connections_reused_total", "Requests sent on kept connections.", func() float64 { return float64(g.channels.Reused.Load()) })
	counter("surplus_answers_total", "Answers of servers that belonged to no request.", func() float64 { return float64(g.channels.Surplus.Load()) })
	counter("continuations_dropped_total", "Answers of servers that were dropped since they were not the rest of a stream that a caller had received in part.", func() float64 { return float64(g.engine.NotContinued.Load()) })
	g.registerFaultyResponses(r)
	counter("refusals_unconfirmed_total", "Refused connections to servers that count as no exit, since no other daemon could tell whether the server or the path is at fault.", func() float64 { return float64(g.channels.Unconfirmed.Load()) })
	counter("peer_sent_bytes_total", "Bytes sent to other daemons, QUIC included.", func() float64 { return float64(g.peers.Usage().SentBytes) })
	counter("peer_received_bytes_total", "Bytes received from other daemons, QUIC included.", func() float64 { return float64(g.peers.Usage().ReceivedBytes) })
	counter("log_lines_dropped_total", "Log lines that found the backlog full or could not be written.", func() float64 { return float64(g.logWriter.Dropped()) })
	counter("standstills_total", "Times that the VM has stood still.", func() float64 { return float64(g.syncer.Suspensions.Load()) })
	counter("row_mismatches_total", "Topics whose rows differed from those of the reader at the same version of the store, and were replaced.", func() float64 { return float64(g.syncer.Mismatches.Load()) })
	counter("rows_spoiled_total", "Rows of the store that came and do not decode.", func() float64 { return float64(g.syncer.CorruptedRows.Load()) })
	counter("servers_ended_total", "Servers that ended without notice while requests of this daemon were under way there.", func() float64 { return float64(g.syncer.ServerExits.Load()) })
	counter("servers_ended_after_answer_total", "Servers that ended without notice within a second after they had answered the only requests of this daemon there.", func() float64 { return float64(g.syncer.ExitsAfterAnswer.Load()) })
	counter("servers_ended_planned_total", "Servers that ended as planned while requests of this daemon were under way there.", func() float64 { return float64(g.syncer.PlannedExits.Load()) })
	counter("callers_unread_total", "Callers that were let go since they did not read their answer.", func() float64 { return float64(g.slowReaders.Disconnected.Load()) })
	counter("bodies_refused_total", "Requests that were refused since their bodies found no memory.", func() float64 { return float64(g.bodies.Refused.Load()) })
	counter("bodies_late_total", "Requests whose callers did not send their bodies in time.", func() float64 { return float64(g.bodies.TimedOut.Load()) })
	gauge("held_body_bytes", "Bytes of request bodies that are held or reserved.", func() float64 { return float64(g.bodies.Budget.Held()) })
	gauge("held_answer_bytes", "Bytes of whole answers that are held for callers.", func() float64 { return float64(g.engine.BufferedBytes()) })
	gauge("requests_quarantined", "Requests that get no server, since servers ended under them.", func() float64 { return float64(len(g.syncer.View().Quarantine.Confinements(time.Now()))) })
	gauge("parts_confined", "Sets of prompt parts whose requests get no server, since servers ended under them.", func() float64 { return float64(len(g.syncer.View().Parts.Confinements(time.Now()))) })
	gauge("halls_emptied", "Data halls whose servers get nothing.", func() float64 { return float64(len(g.syncer.View().Drained)) })
	gauge("requests_open", "Requests under way.", func() float64 { return float64(g.engine.InFlight.Load()) })
	gauge("config_age_seconds", "How long ago the configuration was confirmed.", func() float64 { return g.syncer.View().ConfigAge(time.Now()).Seconds() })
	counter("config_old_total", "Times that the configuration became older than config.in_force_within.", func() float64 { return float64(g.syncer.OldConfigurations.Load()) })
	counter("config_exchanges_slow_total", "Exchanges about the configuration with the store or another daemon that took longer than half a second.", func() float64 { return float64(g.syncer.SlowExchanges.Load()) })
	gauge("config_number", "The configuration in force.", func() float64 {
		if v := g.syncer.View(); v.Map != nil {
			return float64(v.Map.Number)
		}
		return 0
	})
	counter("figures_dropped_total", "Figures of other daemons that do not decode or are out of range.", g.droppedFigures)
	g.dutyMetrics(counter)
	g.relayMetrics(r, gauge)
	r.MustRegister(newRepeatCollector(g), newLimitCollector(g), newCapacityCollector(g))
	return r
}

// dutyMetrics registers the metrics of duties.
func (g *Gateway) dutyMetrics(counter func(name, help string, get func() float64)) {
	if g.leaseholder == nil {
		return
	}
	counter("duty_reports_total", "Reports of usage that the platform has taken from this daemon.", func() float64 { return float64(g.leaseholder.Reports.Load()) })
	counter("duty_orders_total", "Orders for servers that the platform has taken from this daemon.", func() float64 { return float64(g.leaseholder.Orders.Load()) })
	counter("duty_failures_total", "Calls for duties that the platform has not taken.", func() float64 { return float64(g.leaseholder.Failures.Load()) })
	counter("duty_store_calls_total", "Calls to the store about duties.", func() float64 { return float64(g.leaseholder.Calls.Load()) })
}

// Duties returns the state of each duty as this daemon knows it.
func (g *Gateway) Duties() []duties.Status {
	if g.leaseholder == nil {
		return []duties.Status{}
	}
	return g.leaseholder.Status()
}

// adminHandler serves the admin interface.
func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathDump, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Dump())
	})
	mux.HandleFunc("GET "+PathHalls, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Halls())
	})
	mux.HandleFunc("GET "+PathDuties, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.Duties())
	})
	return mux
}

// readyHandler answers the load balancer's readiness check.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.Platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if reason := g.notReady(time.Now()); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// notReady returns why the daemon should get no new connections, or "" if it is ready.
func (g *Gateway) notReady(now time.Time) string {
	v := g.syncer.View()
	switch {
	case g.phase.stopping.Load():
		return "stopping"
	case !v.Ready():
		return "no configuration yet"
	case v.ConfigAge(now) > g.settings.Load().MaxKeyAge() || !v.InForce(now):
		return "the configuration is too old"
	}
	return ""
}

// registerFaultyResponses registers the counters of responses that were no answers, by reason, and of those that were
// ended since they had no end, by form.
func (g *Gateway) registerFaultyResponses(r *prometheus.Registry) {
	register := func(name, help, label, value string, count func() int64) {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value}}, func() float64 { return float64(count()) }))
	}
	for _, form := range proxy.EndlessForms() {
		register("answers_endless_total", "Answers of servers that were ended since they had no end, by what was sent without end.", "form", form, func() int64 { return g.engine.Endless.Of(form) })
	}
	for _, reason := range verdict.Reasons() {
		register("responses_invalid_total", "Responses of servers that were no answers, by reason.", "reason", reason.String(), func() int64 { return g.engine.Invalid.Of(reason) })
	}
}
