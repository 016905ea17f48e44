package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/reach"
	"ladderridge.example/daemon/relay"
	"ladderridge.example/daemon/settings"
)

// prepareRelay lets this daemon reach servers through others, and others through it.
func (g *Gateway) prepareRelay(s *settings.Gateway) {
	g.relay = &relay.Client{Hall: s.Hall, Opener: g.peers, Members: g.relayMembers, Known: func() bool { return g.syncer.View().Daemons > 1 }}
	g.relay.Helpers.Self, g.relay.OnAnswer = s.ID, g.reporter.countRelay
	g.relayServer = &relay.Server{Pool: g.channels, Listed: g.listedAt, OnServed: g.reporter.reportServed}
	g.peers.Relay = g.relayServer.Serve
	g.syncer.Unreachable = g.unreachable
	g.syncer.OnServerExit = func(addr string) { g.onPathChange(g.channels.Paths.Exited(addr, time.Now())) }
	g.channels.Relay, g.channels.References, g.channels.OnPathChange = g.relay, g.referenceServers, g.onPathChange
}

// regainedPause is how long after the servers are reached again the first answers may take.
const regainedPause = 1500 * time.Millisecond

// unreachable reports whether this daemon reaches no servers, or did not until a moment ago.
func (g *Gateway) unreachable(now time.Time) bool {
	status := g.channels.Paths.Status(now)
	return status.Lost || now.Sub(status.RegainedAt) < regainedPause
}

// relayMembers returns the other daemons.
func (g *Gateway) relayMembers() []relay.Member {
	others := g.syncer.Others()
	out := make([]relay.Member, 0, len(others))
	for _, m := range others {
		out = append(out, relay.Member{ID: m.ID, Hall: m.Hall, Addr: m.Addr})
	}
	return out
}

// listedAt reports whether a backend server is listed at an address.
func (g *Gateway) listedAt(addr string) bool {
	v := g.syncer.View()
	return v.Servers != nil && v.Servers.At(addr) != nil
}

// maxReferences is how many servers show that a path is intact.
const maxReferences = 2

// referenceServers returns the addresses of other servers than the given one: of its service and
// hall, else of its service, else any. Servers in back-off are not left out: the one server that this
// daemon happens to reach would say nothing of the others. Those that are known to have exited are.
func (g *Gateway) referenceServers(addr string) []string {
	v := g.syncer.View()
	if v.Servers == nil {
		return nil
	}
	of := v.Servers.At(addr)
	if of == nil {
		return nil
	}
	now := time.Now()
	others := func(servers []*fleet.Server, suits func(*fleet.Server) bool) []string {
		var out []string
		for _, i := range rand.Perm(len(servers)) {
			if s := servers[i]; s.Addr != addr && s.Open(now) && !g.channels.Paths.HasExited(s.Addr, now) && suits(s) && len(out) < maxReferences {
				out = append(out, s.Addr)
			}
		}
		return out
	}
	addrs := others(v.Servers.Service(of.Service), func(s *fleet.Server) bool { return s.Hall == of.Hall })
	if len(addrs) == 0 {
		addrs = others(v.Servers.Service(of.Service), func(*fleet.Server) bool { return true })
	}
	if len(addrs) == 0 {
		addrs = others(v.Servers.All(), func(*fleet.Server) bool { return true })
	}
	return addrs
}

// onPathChange logs that the servers are out of this daemon's reach, or reached again. A daemon that
// reaches a few of them changes between the two.
func (g *Gateway) onPathChange(c reach.Change) {
	if c == reach.Unchanged || !g.reporter.pathLines.take(int64(time.Since(startedAt)/time.Second)) {
		return
	}
	status := g.channels.Paths.Status(time.Now())
	if c == reach.Lost {
		g.log.Warn().Int("servers_failing", status.Failing).Time("last_reached", status.Reached).Msg("reach: connections to servers fail on this VM's path: requests pass through other daemons")
		return
	}
	g.log.Info().Int("servers_failing", status.Failing).Msg("reach: servers are reached directly again")
}

// countRelay counts the answer of another daemon that was asked for a connection.
func (r *reporter) countRelay(a reach.Answer) { r.relayAsked.WithLabelValues(a.String()).Inc() }

// reportServed counts and logs a connection that was served for another daemon. The line has the
// same request id as the line at the other daemon.
func (r *reporter) reportServed(s relay.Served) {
	r.relayServed.WithLabelValues(s.Answer.String()).Inc()
	if !r.relayLines.take(int64(time.Since(startedAt) / time.Second)) {
		r.omitted.Add(1)
		return
	}
	r.log.Info().Str("request", s.RequestID).Str("from", s.From).Str("server_addr", s.Server).Stringer("answer", s.Answer).Bool("kept", s.Kept).
		Int64("sent_bytes", s.SentBytes).Int64("received_bytes", s.ReceivedBytes).Int64("took_ms", s.Took.Milliseconds()).Msg("relay: served another daemon")
}

// relayMetrics registers the metrics of requests through other daemons.
func (g *Gateway) relayMetrics(r *prometheus.Registry, gauge func(name, help string, get func() float64)) {
	r.MustRegister(g.reporter.relayAsked, g.reporter.relayServed)
	gauge("relay_open", "Connections to servers through other daemons.", func() float64 { return float64(g.relay.Helpers.Open()) })
	gauge("relay_serving", "Connections to servers that are served for other daemons.", func() float64 { return float64(g.relayServer.Serving()) })
	gauge("servers_out_of_reach", "Servers to which this daemon's direct connections failed in the last seconds.", func() float64 { return float64(g.channels.Paths.Status(time.Now()).Failing) })
}

// ReachDump is what a daemon knows of its direct paths to the servers.
type ReachDump struct {
	// Lost reports whether the servers are out of direct reach, Failing to how many of them a
	// direct connection failed recently.
	Lost    bool `json:"lost"`
	Failing int  `json:"servers_failing"`
	// ReachedMS is the time since a direct connection was last established, -1 for never.
	ReachedMS int64 `json:"reached_ms"`
	// Open are connections through other daemons, Serving those served for others.
	Open    int   `json:"relay_open"`
	Serving int64 `json:"relay_serving"`
}

// reachDump returns the state of the paths to the servers.
func (g *Gateway) reachDump(now time.Time) ReachDump {
	status := g.channels.Paths.Status(now)
	d := ReachDump{Lost: status.Lost, Failing: status.Failing, ReachedMS: -1, Open: g.relay.Helpers.Open(), Serving: g.relayServer.Serving()}
	if !status.Reached.IsZero() {
		d.ReachedMS = now.Sub(status.Reached).Milliseconds()
	}
	return d
}
