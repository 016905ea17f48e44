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
	"ladderridge.example/daemon/proxy"
)

// reporter logs and counts requests that have ended. Requests that went wrong
// are logged first; of the others, and beyond a number of lines a second, only
// the count of what is left out is.
type reporter struct {
	log      log.Logger
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	first    *prometheus.HistogramVec
	tries    *prometheus.CounterVec
	notices  *prometheus.CounterVec

	fine    quota
	wrong   quota
	leftOut atomic.Int64
}

// The bounds of the log, in lines a second.
const (
	fineLines  = 20
	wrongLines = 100
)

// quota bounds lines by the second.
type quota struct {
	perSecond int64
	second    atomic.Int64
	used      atomic.Int64
}

// take reports whether another line may be written in this second, which is
// counted from the start of the process.
func (q *quota) take(second int64) bool {
	if was := q.second.Load(); was != second && q.second.CompareAndSwap(was, second) {
		q.used.Store(0)
	}
	return q.used.Add(1) <= q.perSecond
}

var started = time.Now()

func newReporter(l log.Logger) *reporter {
	buckets := prometheus.ExponentialBuckets(0.002, 2, 15)
	return &reporter{
		log: l,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "requests_total", Help: "Requests by route, outcome and reason."},
			[]string{"route", "outcome", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "request_seconds", Help: "How long requests took, by outcome.", Buckets: buckets},
			[]string{"outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "first_part_seconds", Help: "Time to the first part of an answer, by route.", Buckets: buckets},
			[]string{"route"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "attempts_total", Help: "Attempts at servers, by service and version."},
			[]string{"service", "version"}),
		notices: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "server_notices_total", Help: "Answers with which a server said that it leaves, asked for rest, or named a limit."},
			[]string{"service", "notice"}),
		fine: quota{perSecond: fineLines}, wrong: quota{perSecond: wrongLines},
	}
}

// outcomeNames are an outcome's name and reason.
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

// report takes a request that has ended.
func (r *reporter) report(rep proxy.Report) {
	name, reason := outcomeNames(rep.Outcome)
	r.requests.WithLabelValues(rep.Route, name, reason).Inc()
	r.duration.WithLabelValues(name).Observe(rep.Took.Seconds())
	if rep.FirstByte > 0 {
		r.first.WithLabelValues(rep.Route).Observe(rep.FirstByte.Seconds())
	}
	r.tries.WithLabelValues(rep.Service, rep.Version).Add(float64(len(rep.Attempts)))
	r.countNotices(rep)
	second := int64(time.Since(started) / time.Second)
	plain := name == "answered" && len(rep.Attempts) <= 1
	if (plain && !r.fine.take(second)) || (!plain && !r.wrong.take(second)) {
		r.leftOut.Add(1)
		return
	}
	r.line(rep, name, reason)
}

// noticed logs what a server says of itself that was not known.
func (r *reporter) noticed(s *fleet.Server, n notice.Notice) {
	r.log.Info().Str("server", s.Incarnation().String()).Str("service", s.Service).Bool("listed_leaving", s.Leaving).Stringer("notice", n).Msg("server: says of itself what it takes")
}

// limited logs a server whose limit begins, changes or ends.
func (r *reporter) limited(s *fleet.Server, was, is notice.LimitState) {
	e, what := r.log.Info(), "server: its limit has changed"
	switch {
	case is.Rate == was.Rate:
		e, what = r.log.Warn(), "server: names a limit that is none: what stood before stands"
	case was.Rate == 0:
		what = "server: names a limit"
	case is.Rate == 0:
		what = "server: its limit has ended"
	}
	if was.Rate > 0 {
		e.Dur("stood", is.ReceivedAt.Sub(was.Since))
	}
	e.Str("server", s.Incarnation().String()).Str("service", s.Service).Float64("per_second", is.Rate).Float64("was", was.Rate).
		Str("told_by", is.From).Str("malformed", is.Malformed).Msg(what)
}

// countNotices counts what servers said of themselves in answers.
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
		if t.Notice.Limit.Malformed != "" {
			r.notices.WithLabelValues(rep.Service, "malformed limit").Inc()
		}
	}
}

// line writes a request's line.
func (r *reporter) line(rep proxy.Report, name, reason string) {
	e := r.log.Info()
	if name != "answered" && name != "caller_gone" {
		e = r.log.Warn()
	}
	e = e.Str("request", rep.Request.ID).Str("outcome", name).Str("reason", reason).
		Str("route", rep.Route).Str("organisation", rep.Organisation).Stringer("content", rep.Content).Str("service", rep.Service).
		Str("version", rep.Version).Str("model", rep.Model).Str("server", rep.Server).
		Uint64("config", rep.Config).Int64("config_age_ms", rep.ConfigAge.Milliseconds()).
		Str("session", strconv.FormatUint(rep.Session, 16)).Str("rollout", rep.Rollout).Bool("escalated", rep.Escalated).Int64("took_ms", rep.Took.Milliseconds()).Int64("first_ms", rep.FirstByte.Milliseconds())
	if len(rep.Attempts) > 0 {
		e = e.Str("tries", triesText(rep.Attempts))
	}
	if refused, ok := rep.Outcome.(proxy.Refused); ok {
		e = e.Int64("retry_after_ms", refused.RetryAfter.Milliseconds())
	}
	e.Msg("request: ended")
}

// triesText writes the attempts in one line.
func triesText(tries []proxy.AttemptReport) string {
	var b strings.Builder
	for i, t := range tries {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(t.Server + " " + t.Model + " " + strconv.FormatInt(t.Took.Milliseconds(), 10) + "ms " + t.Result)
		if t.Notice.Any() {
			b.WriteString(", " + t.Notice.String())
		}
	}
	return b.String()
}

// leftOutEvery is the time between two lines about lines left out.
const leftOutEvery = 5 * time.Second

// run tells how many lines were left out, until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	tick := clock.NewTicker(leftOutEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if n := r.leftOut.Swap(0); n > 0 {
				r.log.Info().Int64("requests", n).Msg("request: lines left out")
			}
		case <-ctx.Done():
			return nil
		}
	}
}
