// Package gateway is a daemon that serves routed services on a platform: its
// parts put together as a supervisor tree, from start to a planned stop. The
// platform is an adapter that the program hands in.
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
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/duties"
	"ladderridge.example/daemon/logwriter"
	"ladderridge.example/daemon/peer"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/daemon/slowreader"
	"ladderridge.example/daemon/storesync"
	"ladderridge.example/daemon/supervise"
	"ladderridge.example/daemon/suspend"
)

// Engine serves the requests that a door has read.
type Engine interface {
	Serve(ctx context.Context, r *proxy.Request, sink proxy.Sink) proxy.Outcome
}

// Port is what a door is given.
type Port struct {
	Engine Engine
	// BodyLimit is the longest body that callers may send now, in bytes; 0 is
	// no limit.
	BodyLimit func() int64
	// Closing reports whether connections are to be closed after their answer.
	Closing func() bool
}

// Platform is an adapter to what the daemon runs on.
type Platform struct {
	Store   storesync.Store
	Decoder storesync.Decoder
	Dialect proxy.Dialect
	// Door makes the handler of callers' requests.
	Door func(Port) http.Handler
	// Duties takes what one daemon does for all; nil is nothing. DutyNames are what that is.
	Duties    duties.Platform
	DutyNames []duty.Name
	// DutyRows are the store's rows of duties.
	DutyRows duties.Rows
	// ReadyPath is where the balancer asks whether the daemon is ready.
	ReadyPath string
}

// Gateway is one daemon. Get one from New, set the exported fields, then Run.
type Gateway struct {
	Settings *settings.Gateway
	// Load reads the settings again; nil keeps those of the start.
	Load     func() (*settings.Gateway, error)
	Platform Platform
	// Start tells the processes of one daemon apart; it is any number that
	// differs.
	Start uint64
	// Listen takes a TCP address of the settings; nil asks the system for it. Whoever
	// holds the addresses already hands them over here, so that nobody takes one between.
	Listen func(ctx context.Context, addr string) (net.Listener, error)

	log         log.Logger
	logWriter   *logwriter.Writer
	keeper      *storesync.Syncer
	leaseholder *duties.Leaseholder
	peers       *peer.Transport
	channels    *channel.Pool
	engine      *proxy.Engine
	reporter    *reporter
	registry    *prometheus.Registry
	unread      slowreader.Guard
	callers     *server
	readiness   *server
	admin       *server
	phase       phase

	// settings are those in force; reloads asks for them to be read again.
	settings    atomic.Pointer[settings.Gateway]
	reloads     chan struct{}
	badSettings string
}

// New returns a daemon with its settings.
func New(s *settings.Gateway) *Gateway { return &Gateway{Settings: s, reloads: make(chan struct{}, 1)} }

// Run runs the daemon until ctx ends, and then stops it as planned.
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
		g.log.Info().Str("id", g.Settings.ID).Str("hall", g.Settings.Hall).Str("callers", g.Settings.Callers).Str("store", g.Settings.StoreURL).Dur("key_age", g.Settings.KeyAge).Dur("key_age_cut", g.Settings.KeyAgeCut).Msg("gateway: started")
	}, g.stop)
}

// build puts the parts together.
func (g *Gateway) build() error {
	s := g.Settings
	g.settings.Store(s)
	g.log, g.logWriter = newLogger(s.LogLevel)
	keys, err := peer.NewOwnKeys(s.ID)
	if err != nil {
		return err
	}
	g.keeper = storesync.New()
	keys.Trusted = g.keeper.PublicKey
	g.peers = &peer.Transport{Addr: s.Peers, Keys: keys, Log: g.log, Deliver: func(in peer.Incoming) {
		g.keeper.HandleMessage(in.From, in.Message)
	}}
	g.keeper.Store, g.keeper.Decoder, g.keeper.Peers, g.keeper.Log = g.Platform.Store, g.Platform.Decoder, sender{g.peers}, g.log
	g.keeper.InForceWithin, g.keeper.SessionPause, g.keeper.FirstStart = s.InForceWithin, s.SessionPause, s.FirstStart
	g.keeper.Self = storesync.Member{ID: s.ID, Hall: s.Hall, Addr: s.PeerAddr(), Public: keys.Public(), Start: g.Start, Capacity: s.Capacity()}
	g.channels = channel.NewPool()
	g.channels.Listed = g.listed
	g.reporter = newReporter(g.log)
	g.engine = proxy.New()
	g.engine.StoreSync, g.engine.Channels, g.engine.Dialect = g.keeper, g.channels, g.Platform.Dialect
	g.keeper.SuspendClock, g.engine.SuspendClock = suspend.TotalSuspended, suspend.TotalSuspended
	g.engine.Hall, g.engine.OnComplete, g.engine.OnNotice = s.Hall, g.reporter.report, g.reporter.noticed
	g.engine.OnLimitChange, g.keeper.OnLimitChange = g.limited, g.reporter.limited
	g.engine.Budget = &retry.Budget{Seed: g.Start}
	g.keeper.OnServerRestart = g.engine.ServerRestarted
	g.keeper.Exposure = canary.Exposure{Share: s.ExposureShare, Slack: s.ExposureSlack}
	g.keeper.Regions, g.keeper.ColdOverage, g.keeper.ColdSlack = s.Regions.ByHall(), s.ColdOverage, s.ColdSlack
	g.keeper.Rate = g.engine.RequestRate
	g.takeDuties(s)
	g.apply(s)
	g.registry = g.metrics()
	g.unread.Log = g.log
	g.callers = newServer(s.Callers, g.unread.Wrap(g.Platform.Door(Port{Engine: g.engine, BodyLimit: g.bodyLimit, Closing: g.phase.closing})))
	g.readiness = newServer(s.Readiness, g.readyHandler())
	g.admin = newServer(s.Admin, g.adminHandler())
	return nil
}

// takeDuties sets the daemon up for what one daemon does for all, if the platform takes any
// of that.
func (g *Gateway) takeDuties(s *settings.Gateway) {
	if g.Platform.Duties == nil || len(g.Platform.DutyNames) == 0 {
		return
	}
	g.leaseholder = duties.New()
	g.leaseholder.Self, g.leaseholder.Start, g.leaseholder.Log, g.leaseholder.StoodStill = s.ID, g.Start, g.log, suspend.TotalSuspended
	g.leaseholder.Settings = duties.Settings{Names: g.Platform.DutyNames, Lease: s.DutyLease, Window: s.UsageWindow, Late: s.UsageLate, Rate: s.DutyRate}
	g.leaseholder.Rows, g.leaseholder.Platform, g.leaseholder.Knowledge = g.Platform.DutyRows, g.Platform.Duties, g.keeper
	g.leaseholder.Prepare()
	g.keeper.Usage, g.engine.OnStart = g.leaseholder, g.leaseholder.Began
}

// sender carries the keeper's messages to other daemons.
type sender struct{ peers *peer.Transport }

// Send implements storesync.Sender.
func (s sender) Send(id, addr string, m any) { s.peers.Send(id, addr, m) }

// SendAll implements storesync.Sender.
func (s sender) SendAll(to map[string]string, m any) { s.peers.SendAll(to, m) }

// Forget implements storesync.Sender.
func (s sender) Forget(id string) { s.peers.Forget(id) }

// bodyLimit is the longest body that callers may send now.
func (g *Gateway) bodyLimit() int64 {
	if v := g.keeper.View(); v.Map != nil {
		return v.Map.Limits.BodyBytes
	}
	return 0
}

// tree is the supervisor tree: what serves callers apart from what keeps the
// knowledge, so that the one can be restarted without the other.
func (g *Gateway) tree() *suture.Supervisor {
	spec := suture.Spec{EventHook: func(e suture.Event) {
		g.log.Error().Str("event", e.String()).Msg("gateway: a part ended")
	}}
	root := suture.New("gateway", spec)
	coordination := suture.New("coordination", spec)
	coordination.Add(supervise.Part{Name: "knowledge", Run: g.keeper.Run})
	coordination.Add(supervise.Part{Name: "peers", Run: g.peers.Run})
	if g.leaseholder != nil {
		coordination.Add(supervise.Part{Name: "duties", Run: g.leaseholder.Run})
	}
	serving := suture.New("serving", spec)
	serving.Add(supervise.Part{Name: "callers", Run: g.callers.run})
	serving.Add(supervise.Part{Name: "readiness", Run: g.readiness.run})
	serving.Add(supervise.Part{Name: "admin", Run: g.admin.run})
	serving.Add(supervise.Part{Name: "channels", Run: g.channels.Run})
	serving.Add(supervise.Part{Name: "reports", Run: g.reporter.run})
	serving.Add(supervise.Part{Name: "repeats", Run: g.logRepeats})
	serving.Add(supervise.Part{Name: "settings", Run: g.watchSettings})
	root.Add(coordination)
	root.Add(serving)
	return root
}

// listed reports of an address whether a server is listed there.
func (g *Gateway) listed() func(addr string) bool {
	addrs := map[string]bool{}
	if v := g.keeper.View(); v.Servers != nil {
		for _, s := range v.Servers.All() {
			addrs[s.Addr] = true
		}
	}
	return func(addr string) bool { return addrs[addr] }
}

// server is an HTTP server at one address.
type server struct {
	addr     string
	http     *http.Server
	listener net.Listener
}

// The bounds of callers' connections. The configuration's own limits are those
// of well-behaved callers; these only bound what others cost.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	maxHeader     = 64 << 10
)

func newServer(addr string, h http.Handler) *server {
	return &server{addr: addr, http: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}}
}

// listen takes the address, so that one in use ends the daemon at once with an
// error.
func (s *server) listen(ctx context.Context, listen func(context.Context, string) (net.Listener, error)) error {
	if listen == nil {
		listen = listenTCP
	}
	l, err := listen(ctx, s.addr)
	s.listener = l
	return err
}

// listenTCP asks the system for an address.
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
