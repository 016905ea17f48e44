// Package process is one daemon: its parts put together as a supervisor tree,
// from start to a planned stop.
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

// sender carries the control state's messages to other daemons.
type sender struct{ peers *peer.Transport }

// Send implements control.Sender.
func (s sender) Send(id, addr string, m node.Message) { s.peers.Send(id, addr, m) }

// Process is one daemon. Set its field, then Run it.
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

// The times of a planned stop.
const (
	// flushWait is how long a stopping daemon waits for the platform to
	// acknowledge what it holds, before it hands that over.
	flushWait = 3 * time.Second
	// handOverWait is how long it then waits for another daemon to take it.
	handOverWait = 5 * time.Second
	checkEvery   = 50 * time.Millisecond
	againEvery   = time.Second
)

// Run runs the daemon until ctx ends, and then stops it as planned.
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

// build puts the parts together.
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
	p.backend.Channels.Listed = p.listed
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
	p.control.StoodStill = suspend.TotalSuspended
	p.control.Crashes = p.front.Crashes
	p.control.Published = p.front.Wake
	p.control.Incarnation = uint64(time.Now().UnixMilli())
	p.front.Settings, p.front.Control, p.front.Backend = s, p.control, p.backend
	p.front.Claims, p.front.Pins, p.front.Records = p.claims, pins.New(client), p.records
	p.front.Log, p.front.Tracer = p.log, tracer
	registry, observe := p.metrics()
	p.front.Observe = observe
	p.admin = &admin.Admin{Addr: s.Admin, Control: p.control, Records: p.records, Tracer: tracer, Registry: registry, Dump: p.Dump}
	return nil
}

// listen takes the addresses, so that a daemon whose address is in use ends at
// once with an error.
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

// tree is the supervisor tree: what serves callers apart from what the daemons
// do among themselves, so that the one can be restarted without the other.
func (p *Process) tree() *suture.Supervisor {
	spec := suture.Spec{EventHook: func(e suture.Event) {
		p.log.Error().Str("event", e.String()).Msg("process: a part ended")
	}}
	root := suture.New("ladderridged", spec)
	coordination := suture.New("coordination", spec)
	coordination.Add(supervise.Part{Name: "control", Run: p.control.Run})
	coordination.Add(supervise.Part{Name: "peers", Run: p.peers.Run})
	serving := suture.New("serving", spec)
	serving.Add(supervise.Part{Name: "front", Run: p.front.Run})
	serving.Add(supervise.Part{Name: "admin", Run: p.admin.Run})
	serving.Add(supervise.Part{Name: "channels", Run: p.backend.Channels.Run})
	root.Add(coordination)
	root.Add(serving)
	return root
}

// listed reports of an address whether a server is listed there.
func (p *Process) listed() func(addr string) bool {
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

// stop ends the daemon without cutting a request: it says that it is not
// ready, keeps accepting until the balancer has noticed, finishes what is
// under way and hands over what the platform has not acknowledged.
func (p *Process) stop() {
	p.log.Info().Msg("process: stopping: not ready")
	p.admin.Stopping()
	p.front.Stopping()
	time.Sleep(p.Settings.StopNotice)
	ctx, cancel := context.WithTimeout(context.Background(), p.Settings.StopGrace)
	defer cancel()
	if err := p.front.Stop(ctx); err != nil {
		p.log.Warn().Err(err).Int64("open", p.front.Open.Load()).Msg("process: stopping: requests outlasted the grace")
	}
	p.settle()
	p.log.Info().Msg("process: stopped")
}

// settle has the platform, or else another daemon, take what is held here.
func (p *Process) settle() {
	ctx, cancel := context.WithTimeout(context.Background(), flushWait)
	defer cancel()
	p.claims.Wait(ctx)
	if p.drained(flushWait) {
		_ = p.control.Leave()
		return
	}
	for end := time.Now().Add(handOverWait); time.Now().Before(end); {
		if p.control.Leave() != nil || p.drained(againEvery) {
			return
		}
	}
	n, _ := p.control.Pending()
	p.log.Error().Int("bills", n).Msg("process: stopping: nobody took the bills")
}

// drained waits until no bill is held, at most for a time.
func (p *Process) drained(wait time.Duration) bool {
	for end := time.Now().Add(wait); ; time.Sleep(checkEvery) {
		n, err := p.control.Pending()
		if err != nil || n == 0 {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// Dump is the state of the whole process.
type Dump struct {
	Control  control.Dump `json:"control"`
	Peers    peer.Usage   `json:"peers"`
	Front    FrontDump    `json:"front"`
	Settling int64        `json:"claims_settling"`
}

// FrontDump is what the front has counted.
type FrontDump struct {
	Requests int64 `json:"requests"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	Open     int64 `json:"open"`
	Waiting  int   `json:"waiting"`
	Unsafe   int64 `json:"answers_before_bill_was_safe"`
	Crossed  int64 `json:"crossed_answers"`
}

// Dump returns the state of the whole process.
func (p *Process) Dump() (any, error) {
	c, err := p.control.Dump()
	if err != nil {
		return nil, err
	}
	return Dump{
		Control: c, Peers: p.peers.Usage(), Settling: p.claims.Settling(),
		Front: FrontDump{
			Requests: p.front.Requests.Load(), Answered: p.front.Answered.Load(), Refused: p.front.Refused.Load(),
			Open: p.front.Open.Load(), Waiting: p.front.Waiting(), Unsafe: p.front.Unsafe.Load(), Crossed: p.backend.CrossedAnswers.Load(),
		},
	}, nil
}

// LogDump writes the state of the whole process to the log.
func (p *Process) LogDump() {
	d, err := p.Dump()
	if err != nil {
		p.log.Error().Err(err).Msg("process: the dump failed")
		return
	}
	data, err := json.Marshal(d)
	if err != nil {
		p.log.Error().Err(err).Msg("process: the dump failed")
		return
	}
	p.log.Info().RawJSON("state", data).Msg("process: dump")
}
