// Package gateway assembles the daemon that serves routed services on a
// platform: it builds the components, runs them in a supervisor tree and shuts
// them down gracefully. The program passes in the adapter for its platform.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/duty"
	"ladderridge.example/core/retry"
	"ladderridge.example/daemon/bodylimit"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/duties"
	"ladderridge.example/daemon/logwriter"
	"ladderridge.example/daemon/peer"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/relay"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/daemon/slowreader"
	"ladderridge.example/daemon/storesync"
	"ladderridge.example/daemon/supervise"
	"ladderridge.example/daemon/suspend"
)

// Engine serves the requests that a front end has parsed.
type Engine interface {
	Serve(ctx context.Context, r *proxy.Request, sink proxy.Sink) proxy.Outcome
}

// FrontEndConfig is what the daemon provides to the front end that serves callers.
type FrontEndConfig struct {
	Engine Engine
	// BodyLimit returns the largest request body that is accepted at present,
	// in bytes; 0 means no limit.
	BodyLimit func() int64
	// Closing reports whether connections are to be closed after the current
	// answer, because the daemon is shutting down.
	Closing func() bool
}

// Platform is the adapter to the platform that the daemon runs on.
type Platform struct {
	Store   storesync.Store
	Decoder storesync.Decoder
	Dialect proxy.Dialect
	// FrontEnd returns the HTTP handler for callers' requests.
	FrontEnd func(FrontEndConfig) http.Handler
	// Duties is the platform's interface for duties, which one daemon at a time does for all;
	// nil if there are none. DutyNames lists these duties.
	Duties    duties.Platform
	DutyNames []duty.Name
	// DutyRows accesses the rows of duties in the store.
	DutyRows duties.Rows
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
}

// Gateway is one daemon. Get one from New, set the exported fields, then Run.
type Gateway struct {
	Settings *settings.Gateway
	// ReadSettings reads the settings again for a reload; nil disables reloads.
	ReadSettings func() (*settings.Gateway, error)
	Platform     Platform
	// Start identifies this process among the successive processes of one
	// daemon; any number that differs between them will do.
	Start uint64
	// Listen opens a TCP listener on an address of the settings; nil uses the operating
	// system. A caller that has already bound the addresses passes its listeners here, so
	// that no other process can take an address in between.
	Listen func(ctx context.Context, addr string) (net.Listener, error)
	// PeerConn is the UDP socket for other daemons; nil opens one on the address of the settings.
	PeerConn *net.UDPConn
	// Dial opens connections to backend servers; nil uses the operating system.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	log         log.Logger
	logWriter   *logwriter.Writer
	syncer      *storesync.Syncer
	leaseholder *duties.Leaseholder
	peers       *peer.Transport
	channels    *channel.Pool
	relay       *relay.Client
	relayServer *relay.Server
	engine      *proxy.Engine
	reporter    *reporter
	registry    *prometheus.Registry
	slowReaders slowreader.Guard
	bodies      bodylimit.Limiter
	callers     *server
	readiness   *server
	admin       *server
	phase       phase

	// settings are the current settings; a value on reloads requests that they be read again.
	settings        atomic.Pointer[settings.Gateway]
	reloads         chan struct{}
	lastReloadError string
}

// New returns a daemon with the given settings.
func New(s *settings.Gateway) *Gateway { return &Gateway{Settings: s, reloads: make(chan struct{}, 1)} }

// Run runs the daemon until ctx ends, and then shuts it down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	if err := g.build(); err != nil {
		return err
	}
	defer g.logWriter.Close()
	for _, s := range []*server{g.callers, g.readiness, g.admin} {
		if err := s.listen(ctx, g.Listen); err != nil {
			return err
		}
	}
	return supervise.Run(ctx, g.tree(), func() {
		g.log.Info().Str("id", g.Settings.ID).Str("hall", g.Settings.Hall).Str("callers", g.Settings.Callers).Str("store", g.Settings.StoreURL).Dur("key_age", g.Settings.KeyAge).Dur("key_age_cut", g.Settings.OutageKeyAge).Msg("gateway: started")
	}, g.stop)
}

// build creates the components and connects them.
func (g *Gateway) build() error {
	s := g.Settings
	g.settings.Store(s)
	g.log, g.logWriter = newLogger(s.LogLevel)
	keys, err := peer.NewSelfSignedKeys(s.ID)
	if err != nil {
		return err
	}
	g.syncer = storesync.New()
	keys.Trusted = g.syncer.PublicKey
	g.peers = &peer.Transport{Addr: s.Peers, Conn: g.PeerConn, Keys: keys, Log: g.log, Deliver: func(in peer.Incoming) {
		g.syncer.HandleMessage(in.From, in.Message)
	}}
	g.syncer.Store, g.syncer.Decoder, g.syncer.Peers, g.syncer.Log = g.Platform.Store, g.Platform.Decoder, sender{g.peers}, g.log
	g.syncer.InForceWithin, g.syncer.SessionPause, g.syncer.FirstStart = s.InForceWithin, s.SessionPause, s.FirstStart
	g.syncer.ReportInterval = s.ReportInterval
	g.syncer.Self = storesync.Member{ID: s.ID, Hall: s.Hall, Addr: s.PeerAddr(), Public: keys.Public(), Start: g.Start, Capacity: s.Capacity()}
	g.reporter = newReporter(g.log)
	g.channels = channel.NewPool()
	g.channels.Listed = g.listed
	if g.Dial != nil {
		g.channels.Dial = g.Dial
	}
	g.prepareRelay(s)
	g.engine = proxy.New()
	g.engine.StoreSync, g.engine.Channels, g.engine.Dialect = g.syncer, g.channels, g.Platform.Dialect
	g.syncer.SuspendClock, g.engine.SuspendClock = suspend.TotalSuspended, suspend.TotalSuspended
	g.engine.Hall, g.engine.OnComplete, g.engine.OnNotice = s.Hall, g.reporter.report, g.reporter.logNotice
	g.engine.OnLimitChange, g.syncer.OnLimitChange = g.onLimitChange, g.reporter.logLimitChange
	g.engine.OnRejectionBound = g.reporter.logRejectionBound
	g.engine.Budget = &retry.Budget{Seed: g.Start}
	g.channels.OnIdleEnded = g.engine.IdleConnectionEnded
	g.syncer.OnServerRestart = g.engine.ServerRestarted
	g.syncer.Exposure = canary.Exposure{Share: s.ExposureShare, Slack: s.ExposureSlack}
	g.syncer.Regions, g.syncer.ColdOverage, g.syncer.ColdSlack = s.Regions.ByHall(), s.ColdOverage, s.ColdSlack
	g.syncer.Rate = g.engine.RequestRate
	g.prepareCapacity(s)
	g.prepareDuties(s)
	g.apply(s)
	g.registry = g.metrics()
	g.slowReaders.Log, g.bodies.Log = g.log, g.log
	g.bodies.Budget.Limit = s.RequestBodyBytes()
	frontEnd := g.Platform.FrontEnd(FrontEndConfig{Engine: g.engine, BodyLimit: g.bodyLimit, Closing: g.phase.closing})
	g.callers = newServer(s.Callers, g.slowReaders.Wrap(g.bodies.Wrap(frontEnd)))
	g.readiness = newServer(s.Readiness, g.readyHandler())
	g.admin = newServer(s.Admin, g.adminHandler())
	return nil
}

// prepareDuties creates the component that contends for duties, if the platform has any.
func (g *Gateway) prepareDuties(s *settings.Gateway) {
	if g.Platform.Duties == nil || len(g.Platform.DutyNames) == 0 {
		return
	}
	g.leaseholder = duties.New()
	g.leaseholder.Self, g.leaseholder.Start, g.leaseholder.Log, g.leaseholder.SuspendClock = s.ID, g.Start, g.log, suspend.TotalSuspended
	g.leaseholder.Settings = duties.Settings{Names: g.Platform.DutyNames, Lease: s.DutyLease, Window: s.UsageWindow, ReportDeadline: s.UsageDeadline, Rate: s.DutyRate}
	g.leaseholder.Rows, g.leaseholder.Platform, g.leaseholder.StoreSync = g.Platform.DutyRows, g.Platform.Duties, g.syncer
	g.leaseholder.Prepare()
	g.syncer.Usage, g.engine.OnStart = g.leaseholder, g.leaseholder.CountRequest
}

// sender sends the syncer's messages to other daemons.
type sender struct{ peers *peer.Transport }

// Send implements storesync.Sender.
func (s sender) Send(id, addr string, m any) { s.peers.Send(id, addr, m) }

// SendAll implements storesync.Sender.
func (s sender) SendAll(to map[string]string, m any) { s.peers.SendAll(to, m) }

// CloseConnections implements storesync.Sender.
func (s sender) CloseConnections(id string) { s.peers.CloseConnections(id) }

// bodyLimit returns the largest request body that the current configuration allows, in bytes.
func (g *Gateway) bodyLimit() int64 {
	if v := g.syncer.View(); v.Map != nil {
		return v.Map.Limits.BodyBytes
	}
	return 0
}

// tree returns the supervisor tree. The components that serve callers and those
// that follow the store and talk to other daemons are under separate
// supervisors, so that either group can be restarted without the other.
func (g *Gateway) tree() *suture.Supervisor {
	spec := suture.Spec{EventHook: func(e suture.Event) {
		g.log.Error().Str("event", e.String()).Msg("gateway: a supervised component ended")
	}}
	root := suture.New("gateway", spec)
	coordination := suture.New("coordination", spec)
	coordination.Add(supervise.Part{Name: "knowledge", Run: g.syncer.Run})
	coordination.Add(supervise.Part{Name: "peers", Run: g.peers.Run})
	if g.leaseholder != nil {
		coordination.Add(supervise.Part{Name: "duties", Run: g.leaseholder.Run})
	}
	serving := suture.New("serving", spec)
	serving.Add(supervise.Part{Name: "callers", Run: g.callers.run})
	serving.Add(supervise.Part{Name: "readiness", Run: g.readiness.run})
	serving.Add(supervise.Part{Name: "admin", Run: g.admin.run})
	serving.Add(supervise.Part{Name: "channels", Run: g.channels.Run})
	serving.Add(supervise.Part{Name: "relay", Run: g.relay.Run})
	serving.Add(supervise.Part{Name: "reports", Run: g.reporter.run})
	serving.Add(supervise.Part{Name: "repeats", Run: g.logRepeats})
	serving.Add(supervise.Part{Name: "settings", Run: g.watchSettings})
	root.Add(coordination)
	root.Add(serving)
	return root
}

// listed returns a function that reports whether a backend server is listed at an address.
func (g *Gateway) listed() func(addr string) bool {
	addrs := map[string]bool{}
	if v := g.syncer.View(); v.Servers != nil {
		for _, s := range v.Servers.All() {
			addrs[s.Addr] = true
		}
	}
	return func(addr string) bool { return addrs[addr] }
}

// server is an HTTP server of this daemon with its listener.
type server struct {
	addr     string
	http     *http.Server
	listener net.Listener
}

// Limits for callers' connections. The configuration's own limits are meant for
// well-behaved callers; these bound the resources that any other client can take.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 64 << 10
)

func newServer(addr string, h http.Handler) *server {
	return &server{addr: addr, http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}}
}

// listen binds the address before the daemon starts, so that an address in use
// ends it at once with an error.
func (s *server) listen(ctx context.Context, listen func(context.Context, string) (net.Listener, error)) error {
	if listen == nil {
		listen = listenTCP
	}
	l, err := listen(ctx, s.addr)
	s.listener = l
	return err
}

// listenTCP opens a listener of the operating system.
func listenTCP(ctx context.Context, addr string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
}

func (s *server) run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = s.http.Close() })()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
