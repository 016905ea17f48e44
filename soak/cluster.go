package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// cluster holds everything that a run starts: the store, the backend servers and the daemons.
type cluster struct {
	seed uint64
	// brittle gives the servers few slots and a queue, as brittle servers need.
	brittle bool
	// slowVersions has bad versions be slow rather than fail.
	slowVersions bool
	recorder     *recorder
	store        *standin.Store
	server       *httptest.Server
	daemons      []*daemon
	// backends lists the backend servers; those that serve models come first.
	backends []*backend
	// preferred is the daemon that most new connections go to, nil for none.
	preferred atomic.Pointer[daemon]
	// armed is set when the crashing request begins to crash servers.
	armed  atomic.Bool
	cancel context.CancelFunc

	mu     sync.Mutex
	config standin.Config
	// rolloutStarted reports whether the roll-out of the new version has started; each run has
	// at most one.
	rolloutStarted bool
}

// The initial configuration.
const (
	host         = "soak.example"
	organisation = "org"
	// keys is the number of API keys; the first permanentKeys of them are never revoked.
	keys, permanentKeys = 12, 4
	routeLimit          = 2 * time.Second
	streamLimit         = 4 * time.Second
)

// The paths of the routes in every configuration.
const (
	onceRoute   = "/once/"
	readRoute   = "/read/"
	streamRoute = "/chat/"
)

func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// addedRoute returns the path of the route that the configuration with this number adds.
func addedRoute(number uint64) string { return fmt.Sprintf("/added-%d/", number) }

func initialConfig() standin.Config {
	c := standin.Config{Number: 1, Host: host, Keys: map[string][]string{}, Routes: []standin.Route{
		{Name: "once", Prefix: onceRoute, Kind: standin.Unsafe, Service: modelPlain, Attempts: 1, Limit: routeLimit},
		{Name: "read", Prefix: readRoute, Kind: standin.Safe, Service: modelPlain, Attempts: 3, Limit: routeLimit},
		{Name: "chat", Prefix: streamRoute, Kind: standin.Streaming, Service: modelStream, Attempts: 3, Limit: streamLimit, Cascade: []string{smallModel, largeModel}},
	}}
	for n := range keys {
		c.Keys[organisation] = append(c.Keys[organisation], keyName(n))
	}
	return c
}

func newCluster(o Options, p Plan) (*cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &cluster{seed: o.Seed, brittle: o.BrittleServers, slowVersions: o.SlowVersions, recorder: newRecorder(), store: standin.NewStore(), cancel: cancel, config: initialConfig()}
	s.server = httptest.NewServer(s.store)
	if err := s.build(ctx, o, p); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// build starts the backend servers, then the daemons.
func (s *cluster) build(ctx context.Context, o Options, p Plan) error {
	if err := s.store.SetConfig(s.config); err != nil {
		return &Error{Op: "write configuration", Kind: NoStart, Err: err}
	}
	for n := range servers {
		service := modelStream
		if n >= modelServers {
			service = modelPlain
		}
		b, err := newBackend(s, fmt.Sprintf("%s-%d", service, n), service, hallName(n%p.Halls), "v1")
		if err != nil {
			return err
		}
		s.backends = append(s.backends, b)
	}
	if o.LyingServer {
		s.backends[servers-1].setFault(standin.Lying)
	}
	for n := range p.Daemons {
		d, err := newDaemon(o, n, p.Halls, strings.TrimPrefix(s.server.URL, "http://"))
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, d)
		go d.run(ctx)
		go d.watchReady(ctx)
	}
	return nil
}

// close stops the daemons, the backend servers and the store.
func (s *cluster) close() {
	s.cancel()
	for _, d := range s.daemons {
		d.stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// awaitReady waits until all daemons report ready, and fails if that takes longer than within.
func (s *cluster) awaitReady(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		var missing []string
		for _, d := range s.daemons {
			if !d.ready.Load() {
				missing = append(missing, d.id)
			}
		}
		if len(missing) == 0 {
			return nil
		}
		if ctx.Err() != nil {
			return &Error{Op: "wait for daemons", Kind: NoReturn, Err: fmt.Errorf("not ready: %v", missing)}
		}
		clock.Wait(ctx, readyEvery/5)
	}
}

// addRoute writes a new configuration with one more route.
func (s *cluster) addRoute() {
	s.configure(func(c *standin.Config) {
		n := c.Number
		c.Routes = append(c.Routes[:len(c.Routes):len(c.Routes)], standin.Route{
			Name: fmt.Sprintf("added-%d", n), Prefix: addedRoute(n), Kind: standin.Safe, Service: modelPlain, Attempts: 2, Limit: routeLimit,
		})
	}, func(c standin.Config, at time.Time) { s.recorder.added(c.Number, at) })
}

// revokeKey writes a new configuration without one of the keys. It does nothing when only the
// permanent keys are left.
func (s *cluster) revokeKey() {
	var revokedKey string
	s.configure(func(c *standin.Config) {
		current := c.Keys[organisation]
		if len(current) > permanentKeys {
			revokedKey = current[len(current)-1]
			c.Keys = maps.Clone(c.Keys)
			c.Keys[organisation] = current[:len(current)-1]
		}
	}, func(_ standin.Config, at time.Time) {
		if revokedKey != "" {
			s.recorder.revoked(revokedKey, at)
		}
	})
}

// configure writes a changed configuration to the store and calls record once the store has
// acknowledged it.
func (s *cluster) configure(change func(*standin.Config), record func(standin.Config, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.config
	next.Number += 3
	change(&next)
	if err := s.store.SetConfig(next); err != nil {
		s.recorder.found("SOAK", err.Error())
		return
	}
	s.config = next
	record(next, time.Now())
}
