package gateway

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/daemon/proxy"
)

// reporter logs and counts finished requests. Log lines are limited per second,
// with a higher limit for requests that failed or were retried than for those
// that succeeded at once; of the lines beyond the limits only the number is
// logged.
type reporter struct {
	log         log.Logger
	requests    *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	timeToFirst *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	notices     *prometheus.CounterVec
	relayAsked  *prometheus.CounterVec
	relayServed *prometheus.CounterVec

	successLines lineLimiter
	failureLines lineLimiter
	relayLines   lineLimiter
	pathLines    lineLimiter
	omitted      atomic.Int64
}

// The rate limits of the request log, in lines a second.
const (
	maxSuccessLines = 20
	maxFailureLines = 100
	maxRelayLines   = 20
	maxPathLines    = 2
)

// lineLimiter limits the number of log lines in each second.
type lineLimiter struct {
	perSecond int64
	second    atomic.Int64
	used      atomic.Int64
}

// take reports whether another line may be written in this second. Seconds are
// counted from the start of the process.
func (l *lineLimiter) take(second int64) bool {
	if prev := l.second.Load(); prev != second && l.second.CompareAndSwap(prev, second) {
		l.used.Store(0)
	}
	return l.used.Add(1) <= l.perSecond
}

var startedAt = time.Now()

func newReporter(l log.Logger) *reporter {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 15)
	return &reporter{
		log: l,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Requests by route, outcome and reason."},
			[]string{"route", "outcome", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "request_seconds", Help: "How long requests took, by outcome.", Buckets: buckets},
			[]string{"outcome"}),
		timeToFirst: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "first_part_seconds", Help: "Time to the first part of an answer, by route.", Buckets: buckets},
			[]string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "attempts_total", Help: "Attempts at servers, by service and version."},
			[]string{"service", "version"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "server_notices_total", Help: "Answers with which a server said that it leaves, asked for rest, or named a limit."},
			[]string{"service", "notice"}),
		relayAsked: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "relay_asked_total", Help: "Other daemons that were asked for a connection to a server, by their answer."},
			[]string{"answer"}),
		relayServed: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "relay_served_total", Help: "Connections to servers that other daemons asked for, by the answer."},
			[]string{"answer"}),
		relayLines: lineLimiter{perSecond: maxRelayLines}, pathLines: lineLimiter{perSecond: maxPathLines}, successLines: lineLimiter{perSecond: maxSuccessLines}, failureLines: lineLimiter{perSecond: maxFailureLines},
	}
}

// outcomeNames returns the name and the reason of an outcome for metrics and logs.
func outcomeNames(out proxy.Outcome) (name, reason string) {
	switch out := out.(type) {
	case proxy.Answered:
		if out.Status >= 400 {
			return "passed_failure", strconv.Itoa(out.Status)
		}
		return "answered", ""
	case proxy.Refused:
		return "refused", string(out.Reason)
	case proxy.Failure:
		return "failed", string(out.Reason)
	case proxy.Interrupted:
		return "broken", string(out.Reason)
	default:
		return "caller_gone", ""
	}
}

// report counts a finished request and logs it if the limits allow.
func (r *reporter) report(rep proxy.Report) {
	name, reason := outcomeNames(rep.Outcome)
	r.requests.WithLabelValues(rep.Route, name, reason).Inc()
	r.duration.WithLabelValues(name).Observe(rep.Took.Seconds())
	if rep.FirstByte > 0 {
		r.timeToFirst.WithLabelValues(rep.Route).Observe(rep.FirstByte.Seconds())
	}
	r.attempts.WithLabelValues(rep.Service, rep.Version).Add(float64(len(rep.Attempts)))
	r.countNotices(rep)
	second := int64(time.Since(startedAt) / time.Second)
	success := name == "answered" && len(rep.Attempts) <= 1
	if (success && !r.successLines.take(second)) || (!success && !r.failureLines.take(second)) {
		r.omitted.Add(1)
		return
	}
	r.logRequest(rep, name, reason)
}

// logNotice logs a new notice that a server announced about itself.
func (r *reporter) logNotice(s *fleet.Server, n notice.Notice) {
	r.log.Info().Str("server", s.Incarnation().String()).Str("service", s.Service).Bool("listed_leaving", s.Leaving).Stringer("notice", n).Msg("server: announced that it leaves, backs off or is limited")
}

// logLimitChange logs that the rate limit of a server begins, changes or ends.
func (r *reporter) logLimitChange(s *fleet.Server, old, current notice.LimitState) {
	e, message := r.log.Info(), "server: rate limit changed"
	switch {
	case current.Rate == old.Rate:
		e, message = r.log.Warn(), "server: announced a malformed rate limit: the previous limit stays"
	case old.Rate == 0:
		message = "server: announced a rate limit"
	case current.Rate == 0:
		message = "server: rate limit ended"
	}
	if old.Rate > 0 {
		e.Dur("stood", current.ReceivedAt.Sub(old.Since))
	}
	e.Str("server", s.Incarnation().String()).Str("service", s.Service).Float64("per_second", current.Rate).Float64("was", old.Rate).
		Str("told_by", current.From).Str("malformed", current.Malformed).Msg(message)
}

// logRejectionBound logs that servers begin to announce how many rejections they bear, or no longer do.
func (r *reporter) logRejectionBound(s *fleet.Server, rejections float64) {
	message := "server: announced that it fails if it rejects too many requests"
	if rejections == 0 {
		message = "server: no longer announces that it fails if it rejects too many requests"
	}
	r.log.Info().Str("server", s.Incarnation().String()).Str("service", s.Service).Float64("rejections_per_second", rejections).Msg(message)
}

// countNotices counts the notices that servers announced in their answers.
func (r *reporter) countNotices(rep proxy.Report) {
	for _, t := range rep.Attempts {
		if t.Notice.Leaving {
			r.notices.WithLabelValues(rep.Service, "leaving").Inc()
		}
		if t.Notice.Backoff > 0 {
			r.notices.WithLabelValues(rep.Service, "rest").Inc()
		}
		if t.Notice.Limit.Rate > 0 {
			r.notices.WithLabelValues(rep.Service, "limit").Inc()
		}
		if t.Notice.Limit.Malformed != "" || t.Notice.MalformedRejections != "" {
			r.notices.WithLabelValues(rep.Service, "malformed limit").Inc()
		}
		if t.Notice.Rejections > 0 {
			r.notices.WithLabelValues(rep.Service, "brittle").Inc()
		}
	}
}

// confirmationLogAge is the age of the configuration from which on a request's line says who confirmed it.
const confirmationLogAge = 2 * time.Second

// logRequest writes the log line of a finished request.
func (r *reporter) logRequest(rep proxy.Report, name, reason string) {
	e := r.log.Info()
	if name != "answered" && name != "caller_gone" {
		e = r.log.Warn()
	}
	e = e.Str("request", rep.Request.ID).Str("outcome", name).Str("reason", reason).
		Str("route", rep.Route).Str("organisation", rep.Organisation).Stringer("content", rep.Content).Str("service", rep.Service).
		Str("version", rep.Version).Str("model", rep.Model).Str("server", rep.Server).
		Uint64("config", rep.Config).Int64("config_age_ms", rep.ConfigAge.Milliseconds()).
		Str("session", strconv.FormatUint(rep.Session, 16)).Str("rollout", rep.Rollout).Bool("escalated", rep.Escalated).Int64("took_ms", rep.Took.Milliseconds()).Int64("first_ms", rep.FirstByte.Milliseconds())
	if rep.ConfigAge > confirmationLogAge {
		e = e.Str("config_by", rep.ConfirmedBy)
	}
	if len(rep.Attempts) > 0 {
		e = e.Str("tries", attemptsText(rep.Attempts))
	}
	if reason == string(proxy.Quarantined) {
		e = e.Strs("parts", quarantine.PartNames(rep.Parts))
	}
	if refused, ok := rep.Outcome.(proxy.Refused); ok {
		e = e.Int64("retry_after_ms", refused.RetryAfter.Milliseconds())
	}
	e.Msg("request: ended")
}

// attemptsText formats the attempts of a request for its log line.
func attemptsText(attempts []proxy.AttemptReport) string {
	var b strings.Builder
	for i, t := range attempts {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(t.Server + " " + t.Model + " " + strconv.FormatInt(t.Took.Milliseconds(), 10) + "ms " + t.Result)
		if t.Path.Reused {
			b.WriteString(", kept connection")
		}
		if t.Path.Via != "" {
			b.WriteString(", through " + t.Path.Via + " (" + t.Path.Reason + ")")
		}
		if t.Notice.Any() {
			b.WriteString(", " + t.Notice.String())
		}
	}
	return b.String()
}

// omittedLogInterval is the time between two log lines about omitted lines.
const omittedLogInterval = 5 * time.Second

// run periodically logs how many lines were omitted, until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	tick := clock.NewTicker(omittedLogInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if n := r.omitted.Swap(0); n > 0 {
				r.log.Info().Int64("requests", n).Msg("request: log lines omitted by the rate limit")
			}
		case <-ctx.Done():
			return nil
		}
	}
}
