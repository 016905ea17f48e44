package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform/standin"
)

// site is everything that runs: the store, the backend servers, the daemons.
type site struct {
	seed    uint64
	oracle  *oracle
	store   *standin.Store
	server  *httptest.Server
	daemons []*daemon
	// backends are the servers, those of models first.
	backends []*backend
	cancel   context.CancelFunc

	mu     sync.Mutex
	config standin.Config
	// ordered tells that a version has been brought in; there is one order in a
	// run.
	ordered bool
}

// The configuration.
const (
	host         = "soak.example"
	organisation = "org"
	// keys is how many keys there are; the first ones are never taken away.
	keys, lastingKeys = 12, 4
	routeLimit        = 2 * time.Second
	streamLimit       = 4 * time.Second
)

// The routes that are always there.
const (
	onceRoute   = "/once/"
	readRoute   = "/read/"
	streamRoute = "/chat/"
)

func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// addedRoute is the path of the route that a configuration brings.
func addedRoute(number uint64) string { return fmt.Sprintf("/added-%d/", number) }

func firstConfig() standin.Config {
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

func newSite(o Options, p Plan) (*site, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{seed: o.Seed, oracle: newOracle(), store: standin.NewStore(), cancel: cancel, config: firstConfig()}
	s.server = httptest.NewServer(s.store)
	if err := s.build(ctx, o, p); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// build starts the servers and then the daemons.
func (s *site) build(ctx context.Context, o Options, p Plan) error {
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
	if o.Liar {
		s.backends[servers-1].play(standin.Lying)
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

// close ends all that was started.
func (s *site) close() {
	s.cancel()
	for _, d := range s.daemons {
		d.end()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		b.close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady(ctx context.Context, within time.Duration) error {
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

// addRoute brings a new configuration with one more route.
func (s *site) addRoute() {
	s.configure(func(c *standin.Config) {
		n := c.Number
		c.Routes = append(c.Routes[:len(c.Routes):len(c.Routes)], standin.Route{
			Name: fmt.Sprintf("added-%d", n), Prefix: addedRoute(n), Kind: standin.Safe, Service: modelPlain, Attempts: 2, Limit: routeLimit,
		})
	}, func(c standin.Config, at time.Time) { s.oracle.added(c.Number, at) })
}

// revokeKey brings a new configuration without one of the keys.
func (s *site) revokeKey() {
	var gone string
	s.configure(func(c *standin.Config) {
		held := c.Keys[organisation]
		if len(held) > lastingKeys {
			gone = held[len(held)-1]
			c.Keys = maps.Clone(c.Keys)
			c.Keys[organisation] = held[:len(held)-1]
		}
	}, func(_ standin.Config, at time.Time) {
		if gone != "" {
			s.oracle.revoked(gone, at)
		}
	})
}

// configure changes the configuration and then tells of the acknowledged one.
func (s *site) configure(change func(*standin.Config), tell func(standin.Config, time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.config
	next.Number += 3
	change(&next)
	if err := s.store.SetConfig(next); err != nil {
		s.oracle.found("SOAK", err.Error())
		return
	}
	s.config = next
	tell(next, time.Now())
}
