package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/quota"
	"ladderridge.example/core/retry"
	"ladderridge.example/core/routemap"
	"ladderridge.example/core/verdict"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/storesync"
)

// dialect is a minimal Dialect with headers of its own.
type dialect struct{}

func (dialect) Compose(a proxy.Attempt) http.Header {
	h := http.Header{"Id": {a.Request.ID}, "Server": {a.Server.ID}, "Model": {a.Model}, "Organisation": {a.Organisation}}
	if a.LastEvent >= 0 {
		h.Set("After", strconv.FormatInt(a.LastEvent, 10))
	}
	if a.TimeLeft > 0 {
		h.Set("Left", strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	}
	return h
}

func (dialect) ParseHead(id, _ string, status int, h http.Header) proxy.Head {
	head := proxy.Head{Response: verdict.Head{Status: status, Subject: verdict.ThisRequest, Signed: h.Get("Unsigned") == "", NotRun: h.Get("Declined") != "", Encoded: h.Get("Content-Encoding") != ""}}
	switch h.Get("Id") {
	case id:
	case "":
		head.Response.Subject = verdict.NoRequest
	default:
		head.Response.Subject = verdict.AnotherRequest
	}
	if n, err := strconv.Atoi(h.Get("Confidence")); err == nil {
		head.Confidence, head.Confident = n, true
	}
	head.Notice = notice.Notice{Leaving: h.Get("Leaving") != "", Backoff: notice.ParseSeconds(h.Get("Rest")), Limit: notice.ParseRates(h.Values("Limit"))}
	head.Notice.Rejections = notice.ParseRates(h.Values("Brittle")).Rate
	head.Notice.Limit.Lifted = len(h.Values("Limit")) == 0 && !head.Response.NotRun
	return head
}

func (dialect) ResponseHeaders(h http.Header) http.Header { return h }

// fakeStore is a fixed StoreSync that tests replace.
type fakeStore struct {
	mu       sync.Mutex
	view     *storesync.View
	recorded []storesync.Observation
	exited   []string
	// onObserve, if set, is called with each observation.
	onObserve func()
	// registry has the crash counts of requests.
	registry *quarantine.Registry
	parts    *quarantine.Registry
}

func (k *fakeStore) View() *storesync.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.view
}

func (k *fakeStore) Observe(f storesync.Observation) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recorded = append(k.recorded, f)
	if k.onObserve != nil {
		k.onObserve()
	}
}

// observations returns the observations so far.
func (k *fakeStore) observations() []storesync.Observation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.recorded)
}

// lastObservation returns the observation of the last response. The two observations of a stream are
// merged.
func (k *fakeStore) lastObservation() storesync.Observation {
	all := k.observations()
	f := all[len(all)-1]
	if f.Stage == storesync.Remainder {
		f.FirstRatio = all[len(all)-2].FirstRatio
	}
	return f
}

func (k *fakeStore) RecordSession(string, uint64, string) {}

// exits returns the servers whose exits were recorded.
func (k *fakeStore) exits() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.exited)
}

func (k *fakeStore) RecordServerExit(server string, suspects []quarantine.Suspect) {
	k.mu.Lock()
	k.exited = append(k.exited, server)
	k.mu.Unlock()
	k.registry.RecordServerExit(quarantine.ServerHash(server), suspects, quarantine.ContentKeys, time.Now())
	k.parts.RecordServerExit(quarantine.ServerHash(server), suspects, quarantine.PartKeys, time.Now())
}

func (k *fakeStore) Answered(server string, s quarantine.Suspect) {
	k.registry.Answered(quarantine.ContentKeys(s), s.Group, quarantine.ServerHash(server), time.Now())
	k.parts.Answered(s.Parts, s.Group, quarantine.ServerHash(server), time.Now())
}

// set replaces the configuration by one that is confirmed now.
func (k *fakeStore) set(m *routemap.Map, servers ...*fleet.Server) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.view = &storesync.View{Map: m, Servers: fleet.NewList(servers), ConfigAt: now, ServersAt: now, Daemons: 1, Quarantine: k.registry, Parts: k.parts}
	k.view.Sharers = quota.Daemons{Self: "d", ByHall: map[string][]string{"h": {"d"}}}
}

// arrival is a request that has reached a server.
type arrival struct {
	server string
	header http.Header
	body   string
	target string
}

// script answers one request; the connection is closed if it returns false.
type script func(c net.Conn, a arrival) bool

// fixture is an engine with servers behind in-memory pipes.
type fixture struct {
	t      *testing.T
	engine *proxy.Engine
	known  *fakeStore
	mu     sync.Mutex
	// scripts are the servers by address.
	scripts map[string]script
	// conns are the servers' ends of the connections.
	conns map[string][]net.Conn
	// ended counts the servers that have exited.
	ended    atomic.Int64
	arrivals []arrival
	reports  []proxy.Report
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{t: t, known: &fakeStore{view: &storesync.View{}, registry: quarantine.NewContentRegistry(), parts: quarantine.NewPartRegistry()}, scripts: map[string]script{}, conns: map[string][]net.Conn{}}
	pool := channel.NewPool()
	pool.Dial = b.dial
	t.Cleanup(func() {
		// A probe of a server that broke off may still be under way.
		synctest.Wait()
		pool.Sweep(func(string) bool { return false })
	})
	b.engine = proxy.New()
	pool.OnIdleEnded = b.engine.IdleConnectionEnded
	b.engine.StoreSync, b.engine.Channels, b.engine.Dialect = b.known, pool, dialect{}
	b.engine.Budget = &retry.Budget{Ratio: 2, Window: 10 * time.Second, Slack: 800}
	b.engine.SetKeyAge(4*time.Second, 0)
	b.engine.OnComplete = func(r proxy.Report) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.reports = append(b.reports, r)
	}
	return b
}

func (b *fixture) dial(_ context.Context, addr string) (net.Conn, error) {
	b.mu.Lock()
	s := b.scripts[addr]
	b.mu.Unlock()
	if s == nil {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	b.mu.Lock()
	b.conns[addr] = append(b.conns[addr], far)
	b.mu.Unlock()
	go b.serve(addr, far, s)
	return near, nil
}

// received returns the requests that have reached servers.
func (b *fixture) received() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrivals)
}

func (b *fixture) serve(addr string, c net.Conn, s script) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := arrival{server: addr, header: req.Header, body: string(body), target: req.RequestURI}
		b.mu.Lock()
		b.arrivals = append(b.arrivals, a)
		b.mu.Unlock()
		if !s(c, a) {
			return
		}
	}
}

// server adds a server of the service "s" with a script.
func (b *fixture) server(id string, s script) *fleet.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.scripts[id] = s
	return &fleet.Server{ID: id, Service: "s", Addr: id, Version: "v1", State: fleet.NewServerState(fleet.NewHallState())}
}

// crashing returns a script that makes the server exit some time after it received a body: its
// connections break and nobody listens at its address.
func (b *fixture) crashing(body string, after time.Duration, s script) script {
	return func(c net.Conn, a arrival) bool {
		if a.body != body {
			return s(c, a)
		}
		time.AfterFunc(after, func() { b.end(a.server) })
		s(c, a)
		time.Sleep(after)
		return false
	}
}

// end makes a server exit: nobody listens at its address, and its connections break.
func (b *fixture) end(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.scripts[addr] != nil {
		b.ended.Add(1)
	}
	delete(b.scripts, addr)
	for _, c := range b.conns[addr] {
		_ = c.Close()
	}
}

// response is the response that a caller received.
type response struct {
	status  int
	header  http.Header
	body    bytes.Buffer
	length  int64
	begins  int
	outcome proxy.Outcome
	took    time.Duration
}

func (t *response) Begin(status int, h http.Header, length int64) {
	t.status, t.header, t.length = status, h, length
	t.begins++
}

func (t *response) Write(p []byte) (int, error) { return t.body.Write(p) }

func (t *response) Flush() error { return nil }

// send sends a request through the engine.
func (b *fixture) send(ctx context.Context, r proxy.Request) *response {
	r.Arrived = time.Now()
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	if r.Target == "" {
		r.Target = r.Path
	}
	r.Host = "h"
	r.LastEvent = max(r.LastEvent, -1)
	if r.LastEvent == 0 {
		r.LastEvent = -1
	}
	out := &response{}
	out.outcome = b.engine.Serve(ctx, &r, out)
	out.took = time.Since(r.Arrived)
	return out
}

// whole returns a script that answers with a body of known length.
func whole(status int, body string, headers ...string) script {
	return func(c net.Conn, a arrival) bool {
		_, err := io.WriteString(c, "HTTP/1.1 "+strconv.Itoa(status)+" X\r\nId: "+a.header.Get("Id")+"\r\n"+lines(headers)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		return err == nil
	}
}

func lines(headers []string) string {
	var b strings.Builder
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	return b.String()
}

// events returns a script that answers with a stream of the events from..to, which ends properly
// only if whole is set.
func events(from, to int, whole bool, headers ...string) script {
	return func(c net.Conn, a arrival) bool {
		head := "HTTP/1.1 200 OK\r\nId: " + a.header.Get("Id") + "\r\n" + lines(headers) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		if _, err := io.WriteString(c, head); err != nil {
			return false
		}
		for i := from; i <= to; i++ {
			text := "id: " + strconv.Itoa(i) + "\ndata: " + a.server + "\n\n"
			if _, err := io.WriteString(c, strconv.FormatInt(int64(len(text)), 16)+"\r\n"+text+"\r\n"); err != nil {
				return false
			}
		}
		if !whole {
			return false
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// silent is a script that accepts requests and answers none.
func silent(c net.Conn, _ arrival) bool {
	_, _ = io.Copy(io.Discard, c)
	return false
}

// inBubble runs a test with the fake clock of synctest.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

// paced returns a script that answers with a complete stream of n events with a pause between
// them.
func paced(n int, pause time.Duration) script { return pacedFrom(1, n, pause) }

// pacedFrom returns a script that answers with the events from one id to another with a pause
// between them.
func pacedFrom(from, to int, pause time.Duration) script {
	return func(c net.Conn, a arrival) bool {
		events(from, from, false)(c, a)
		for i := from + 1; i <= to; i++ {
			time.Sleep(pause)
			text := "id: " + strconv.Itoa(i) + "\ndata: x\n\n"
			if _, err := io.WriteString(c, strconv.FormatInt(int64(len(text)), 16)+"\r\n"+text+"\r\n"); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}
