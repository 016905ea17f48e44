// Package process assembles a daemon from its parts and runs it as a supervisor
// tree, from the start to a planned stop.
package process

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"ladderridge.example/core/node"
	"ladderridge.example/daemon/admin"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/claims"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/front"
	"ladderridge.example/daemon/peer"
	"ladderridge.example/daemon/pins"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/record"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/daemon/supervise"
	"ladderridge.example/daemon/suspend"
)

// sender sends the messages of the control loop to other daemons.
type sender struct{ peers *peer.Transport }

// Send implements control.Sender.
func (s sender) Send(id, addr string, m node.Message) { s.peers.Send(id, addr, m) }

// Process is a daemon. Set Settings, then Run it.
type Process struct {
	Settings *settings.Settings

	log     log.Logger
	control *control.Control
	peers   *peer.Transport
	front   *front.Front
	admin   *admin.Admin
	claims  *claims.Store
	records *record.Log
	backend *backend.Client
}

// Time-outs and intervals of a planned stop.
const (
	// flushTimeout is how long a stopping daemon waits for the platform to
	// acknowledge its claims, and after that its bills, before it hands the bills
	// over.
	flushTimeout = 3 * time.Second
	// handOverTimeout is how long it then waits for another daemon to accept them.
	handOverTimeout       = 5 * time.Second
	pendingCheckInterval  = 50 * time.Millisecond
	handOverRetryInterval = time.Second
)

// Run runs the daemon until ctx ends, and then performs a planned stop.
func (p *Process) Run(ctx context.Context) error {
	if err := p.build(); err != nil {
		return err
	}
	if err := p.listen(ctx); err != nil {
		return err
	}
	return supervise.Run(ctx, p.tree(), func() {
		p.log.Info().Str("id", p.Settings.ID).Str("hall", p.Settings.Hall).Msg("process: started")
	}, p.stop)
}

// build creates the parts and connects them.
func (p *Process) build() error {
	s := p.Settings
	p.log = newLogger(s)
	keys := &peer.Keys{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}
	if err := keys.Load(); err != nil {
		return err
	}
	client := &platform.Client{URL: s.PlatformURL, Hall: s.Hall, Timeout: s.PlatformTimeout, HTTP: &http.Client{}}
	p.records = record.NewLog()
	tracer := record.NewTracer()
	p.backend = backend.New()
	p.backend.Pool.Listed = p.listedAddrs
	p.claims = &claims.Store{Platform: client}
	p.front = front.New()
	p.control = control.New()
	p.peers = &peer.Transport{Addr: s.Peers, Keys: keys, Log: p.log, Deliver: func(in peer.Incoming) {
		if m, ok := in.Message.(node.Message); ok {
			p.control.Received(in.From, m)
		}
	}}
	p.control.Settings, p.control.Platform, p.control.Peers = s, client, sender{p.peers}
	p.control.Log = p.log
	p.control.Demands = p.front.Demands
	p.control.SuspendClock = suspend.TotalSuspended
	p.control.Crashes = p.front.Crashes
	p.control.OnPublish = p.front.DispatchQueued
	p.control.Incarnation = uint64(time.Now().UnixMilli())
	p.front.Settings, p.front.Control, p.front.Backend = s, p.control, p.backend
	p.front.Claims, p.front.Pins, p.front.Records = p.claims, pins.New(client), p.records
	p.front.Log, p.front.Tracer = p.log, tracer
	registry, observe := p.metrics()
	p.front.OnComplete = observe
	p.admin = &admin.Admin{Addr: s.Admin, Control: p.control, Records: p.records, Tracer: tracer, Registry: registry, Dump: p.Dump}
	return nil
}

// listen opens the listeners before the parts start, so that a daemon whose
// address is in use ends at once with an error.
func (p *Process) listen(ctx context.Context) error {
	var err error
	if p.front.Listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", p.Settings.Callers); err != nil {
		return err
	}
	if p.admin.Listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp", p.Settings.Admin); err != nil {
		return err
	}
	return nil
}

// tree returns the supervisor tree. The parts that serve callers and those that
// communicate with other daemons have separate supervisors, so that one group can
// be restarted without the other.
func (p *Process) tree() *suture.Supervisor {
	spec := suture.Spec{EventHook: func(e suture.Event) {
		p.log.Error().Str("event", e.String()).Msg("process: a supervised component ended")
	}}
	root := suture.New("ladderridged", spec)
	coordination := suture.New("coordination", spec)
	coordination.Add(supervise.Part{Name: "control", Run: p.control.Run})
	coordination.Add(supervise.Part{Name: "peers", Run: p.peers.Run})
	serving := suture.New("serving", spec)
	serving.Add(supervise.Part{Name: "front", Run: p.front.Run})
	serving.Add(supervise.Part{Name: "admin", Run: p.admin.Run})
	serving.Add(supervise.Part{Name: "channels", Run: p.backend.Pool.Run})
	root.Add(coordination)
	root.Add(serving)
	return root
}

// listedAddrs returns a function that reports whether the current view has a server
// at an address.
func (p *Process) listedAddrs() func(addr string) bool {
	addrs := map[string]bool{}
	view := p.control.Snapshot().View
	for _, servers := range view.Engines {
		for _, s := range servers {
			addrs[s.Addr] = true
		}
	}
	for _, servers := range view.Services {
		for _, s := range servers {
			addrs[s.Addr] = true
		}
	}
	return func(addr string) bool { return addrs[addr] }
}

// stop performs a planned stop, which interrupts no request within StopGrace: the
// daemon reports that it is not ready, accepts requests for StopNotice so that the
// load balancer can notice, waits for the requests in flight and hands over the bills
// that the platform has not acknowledged.
func (p *Process) stop() {
	p.log.Info().Msg("process: shutting down: reporting not ready")
	p.admin.BeginShutdown()
	p.front.BeginShutdown()
	time.Sleep(p.Settings.StopNotice)
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.StopGrace)
	defer cancel()
	if err := p.front.Stop(ctx); err != nil {
		p.log.Warn().Err(err).Int64("open", p.front.InFlight.Load()).Msg("process: shutting down: requests exceeded the grace period")
	}
	p.flushOrHandOver()
	p.log.Info().Msg("process: stopped")
}

// flushOrHandOver waits until the platform has acknowledged the claims and bills of
// this daemon, and otherwise hands the bills over to another daemon.
func (p *Process) flushOrHandOver() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	p.claims.Wait(ctx)
	if p.waitForBills(flushTimeout) {
		_ = p.control.Leave()
		return
	}
	for deadline := time.Now().Add(handOverTimeout); time.Now().Before(deadline); {
		if p.control.Leave() != nil || p.waitForBills(handOverRetryInterval) {
			return
		}
	}
	n, _ := p.control.PendingBills()
	p.log.Error().Int("bills", n).Msg("process: stopping with bills neither written nor handed over")
}

// waitForBills waits until no bill is pending or the time-out has passed, and reports
// whether none is pending. It also returns true if the control loop has stopped.
func (p *Process) waitForBills(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); ; time.Sleep(pendingCheckInterval) {
		n, err := p.control.PendingBills()
		if err != nil || n == 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// Dump is the state of the daemon.
type Dump struct {
	Control        control.Dump `json:"control"`
	Peers          peer.Usage   `json:"peers"`
	Front          FrontDump    `json:"front"`
	SettlingClaims int64        `json:"claims_settling"`
}

// FrontDump contains the counters of the front end.
type FrontDump struct {
	Requests           int64 `json:"requests"`
	Answered           int64 `json:"answered"`
	Refused            int64 `json:"refused"`
	InFlight           int64 `json:"open"`
	Queued             int   `json:"waiting"`
	BillsNotReplicated int64 `json:"answers_before_bill_was_safe"`
	CrossedAnswers     int64 `json:"crossed_answers"`
}

// Dump returns the state of the daemon.
func (p *Process) Dump() (any, error) {
	c, err := p.control.Dump()
	if err != nil {
		return nil, err
	}
	return Dump{
		Control: c, Peers: p.peers.Usage(), SettlingClaims: p.claims.Settling(),
		Front: FrontDump{
			Requests: p.front.Requests.Load(), Answered: p.front.Answered.Load(), Refused: p.front.Refused.Load(),
			InFlight: p.front.InFlight.Load(), Queued: p.front.Queued(), BillsNotReplicated: p.front.BillsNotReplicated.Load(), CrossedAnswers: p.backend.MismatchedReplies.Load(),
		},
	}, nil
}

// LogDump writes the state of the daemon to the log.
func (p *Process) LogDump() {
	d, err := p.Dump()
	if err != nil {
		p.log.Error().Err(err).Msg("process: the dump failed")
		return
	}
	data, err := json.Marshal(d)
	if err != nil {
		p.log.Error().Err(err).Msg("process: cannot encode the state dump")
		return
	}
	p.log.Info().RawJSON("state", data).Msg("process: dump")
}
