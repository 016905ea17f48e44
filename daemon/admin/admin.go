// Package admin is the HTTP interface for operators, on an address separate from
// the callers': health, metrics, state dumps, records, traces and the explanation
// of routing decisions.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ladderridge.example/core/trace"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/record"
)

// Paths of the interface for operators.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathDump    = "/dump"
	PathWatch   = "/watch"
	PathExplain = "/explain"
	PathHalls   = "/halls"
	PathTrace   = "/trace"
)

// headerTimeout bounds the time to read a request's headers.
const headerTimeout = 10 * time.Second

// Admin serves the interface for operators. Set the exported fields before Run.
type Admin struct {
	Addr string
	// Listener accepts operators' connections; if nil, Run listens at Addr.
	Listener net.Listener
	Control  *control.Control
	Records  *record.Log
	Tracer   *record.Tracer
	Registry *prometheus.Registry
	// Dump returns the state of the process, to be written as JSON.
	Dump func() (any, error)

	stopping atomic.Bool
}

// BeginShutdown makes the readiness check fail, because the daemon is shutting down.
func (a *Admin) BeginShutdown() { a.stopping.Store(true) }

// Run serves the interface for operators until ctx ends.
func (a *Admin) Run(ctx context.Context) error {
	l := a.Listener
	a.Listener = nil
	if l == nil {
		var err error
		if l, err = (&net.ListenConfig{}).Listen(ctx, "tcp", a.Addr); err != nil {
			return err
		}
	}
	s := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: headerTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

// Handler returns the HTTP handler of the interface for operators.
func (a *Admin) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET "+PathReady, a.ready)
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PathDump, a.dump)
	mux.HandleFunc("GET "+PathWatch, a.watch)
	mux.HandleFunc("GET "+PathTrace, a.trace)
	mux.HandleFunc("GET "+PathExplain, a.explain)
	mux.HandleFunc("GET "+PathHalls, a.halls)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (a *Admin) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case a.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !a.Control.Ready():
		http.Error(w, "no table yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

func (a *Admin) dump(w http.ResponseWriter, _ *http.Request) {
	d, err := a.Dump()
	writeJSON(w, d, err)
}

func (a *Admin) halls(w http.ResponseWriter, _ *http.Request) {
	halls, err := a.Control.Halls()
	writeJSON(w, halls, err)
}

func (a *Admin) explain(w http.ResponseWriter, r *http.Request) {
	rec, ok := a.Records.Find(r.URL.Query().Get("request"))
	if !ok {
		http.Error(w, "this daemon no longer knows the request", http.StatusNotFound)
		return
	}
	writeJSON(w, rec, nil)
}

func writeJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// watch streams the records of requests as JSON lines, filtered by organisation,
// version and outcome.
func (a *Admin) watch(w http.ResponseWriter, r *http.Request) {
	records, stop := a.Records.Watch()
	defer stop()
	q := r.URL.Query()
	stream(w, r, records, func(rec record.Record) bool {
		return matches(q.Get("organisation"), rec.Organisation) && matches(q.Get("version"), rec.Version) && matches(q.Get("run"), rec.Run)
	})
}

// trace streams routing decisions as JSON lines, with the views that they were made
// from.
func (a *Admin) trace(w http.ResponseWriter, r *http.Request) {
	lines, stop := a.Tracer.Listen()
	defer stop()
	stream(w, r, lines, func(trace.Line) bool { return true })
}

// stream writes matching items as JSON lines until the client disconnects.
func stream[T any](w http.ResponseWriter, r *http.Request, items <-chan T, match func(T) bool) {
	flush := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush()
	e := json.NewEncoder(w)
	for {
		select {
		case <-r.Context().Done():
			return
		case item := <-items:
			if !match(item) {
				continue
			}
			if e.Encode(item) != nil {
				return
			}
			_ = flush.Flush()
		}
	}
}

func matches(filter, value string) bool { return filter == "" || filter == value }
