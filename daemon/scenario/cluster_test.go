package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/admin"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/keys"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/process"
	"ladderridge.example/daemon/standin"
	"ladderridge.example/daemon/tablestore"
	"ladderridge.example/daemon/wire"
)

// daemonBinary is the path of the daemon's binary, which TestMain builds once for all tests.
var daemonBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ladderridge")
	if err != nil {
		panic(err)
	}
	daemonBinary = filepath.Join(dir, "ladderridged")
	out, err := exec.Command("go", "build", "-o", daemonBinary, "../cmd/ladderridged").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	orgKey   = "key-of-voluntas"
	otherKey = "key-of-licence-desk"
	// eventTimeout bounds every wait for an event. Its length affects only tests whose
	// event never happens.
	eventTimeout = 60 * time.Second
)

var (
	v1 = table.Ref{Model: "roster", Version: "v1"}
	v2 = table.Ref{Model: "roster", Version: "v2"}
)

// cluster runs a platform, engines and a service in the test process, and each daemon
// in a process of its own.
type cluster struct {
	t          *testing.T
	dir        string
	platform   *standin.Platform
	server     *httptest.Server
	store      *tablestore.Store
	vms        []platform.VM
	engines    map[string]*standin.Engine
	broker     *standin.Service
	daemons    map[string]*daemon
	generation uint64
	// halls is the number of data halls, backends the number of engines.
	halls    int
	backends int
	// batch is the number of requests that an engine runs concurrently; 0 means no limit.
	batch int
	// slots is the number of versions that an engine can load; 0 means unknown.
	slots int
	// A server that starts to run a request whose body contains crashBody crashes; crashes
	// counts these servers.
	crashBody string
	crashes   atomic.Int64
	// refs are the two versions, each loaded on one half of the engines.
	refs [2]table.Ref
}

// daemon is one daemon process.
type daemon struct {
	id      string
	hall    string
	callers string
	admin   string
	peers   string
	cmd     *exec.Cmd
	exited  chan error
	log     *lockedBuffer
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// baseTable allows voluntas to use both versions, and licence-desk the first one.
func baseTable() *table.Table {
	return table.New(table.Table{
		Organisations: []table.Organisation{
			{Name: "voluntas", KeyHashes: []string{table.HashKey(orgKey)}},
			{Name: "licence-desk", KeyHashes: []string{table.HashKey(otherKey)}},
		},
		Versions: []table.Version{{Ref: v1, Price: 20, Quality: 0.9}, {Ref: v2, Price: 10, Quality: 0.9}},
		Allows: []table.Allow{
			{Organisation: "voluntas", Ref: v1, Weight: 1, Target: 0.8},
			{Organisation: "voluntas", Ref: v2, Weight: 1, Target: 0.8},
			{Organisation: "licence-desk", Ref: v1, Weight: 1, Target: 0.8},
		},
		CallRules: []table.CallRule{
			{Organisation: "*", Service: "broker", Method: "POST", Path: "/checkout", Once: true},
			{Organisation: "*", Service: "broker", Method: "*", Path: "/"},
		},
	})
}

// newCluster starts two engines for each version, a broker and n daemons in two data
// halls, and waits until all daemons are ready.
func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{t: t, halls: 2, backends: 4}
	c.start(n)
	return c
}

// start starts the cluster with n daemons and waits until all of them are ready.
func (c *cluster) start(n int) {
	t := c.t
	t.Helper()
	c.dir, c.platform = t.TempDir(), standin.NewPlatform()
	if c.refs[0] == (table.Ref{}) {
		c.refs = [2]table.Ref{v1, v2}
	}
	c.engines, c.daemons = map[string]*standin.Engine{}, map[string]*daemon{}
	c.server = httptest.NewServer(c.platform.Handler())
	t.Cleanup(c.server.Close)
	c.store = &tablestore.Store{Platform: &platform.Client{URL: c.server.URL, HTTP: &http.Client{}}}
	for i := range c.backends {
		ref := c.refs[0]
		if i >= c.backends/2 {
			ref = c.refs[1]
		}
		id := fmt.Sprintf("engine-%d", i)
		e := &standin.Engine{ID: id, Model: ref.Model, Version: ref.Version, Quality: 0.9, Batch: c.batch, Slots: c.slots, ChecksFence: c.slots > 0}
		c.engines[id] = e
		c.backend(id, platform.RoleEngine, c.hall(i), "", e.Handler())
	}
	c.broker = &standin.Service{ID: "broker-0"}
	c.backend("broker-0", platform.RoleService, c.hall(0), "broker", c.broker.Handler())
	if err := keys.MakeAuthority(c.dir); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		c.addDaemon(fmt.Sprintf("entry-%d", i), c.hall(i))
	}
	c.platform.SetVMs(c.vms)
	c.apply(baseTable())
	for id := range c.daemons {
		c.startDaemon(id)
	}
	t.Cleanup(c.stop)
	for id := range c.daemons {
		c.awaitServing(id)
	}
}

func (c *cluster) hall(i int) string { return fmt.Sprintf("hall-%d", i%c.halls) }

func (c *cluster) backend(id string, role platform.Role, hall, service string, h http.Handler) {
	s := httptest.NewUnstartedServer(nil)
	s.Config.Handler = c.crashOnBody(s, h)
	s.Start()
	c.t.Cleanup(s.Close)
	c.vms = append(c.vms, platform.VM{
		ID: id, Role: role, Hall: hall, Service: service, Addr: s.Listener.Addr().String(), ChecksFence: c.slots > 0,
	})
}

// crashOnBody wraps the handler of s: a request whose body contains c.crashBody crashes the server.
func (c *cluster) crashOnBody(s *httptest.Server, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if c.crashBody != "" && strings.Contains(string(body), c.crashBody) {
			c.crashes.Add(1)
			_ = s.Listener.Close()
			go s.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		h.ServeHTTP(w, r)
	})
}

// Test daemons listen on ports below the system's ephemeral range. An outgoing
// connection could otherwise occupy a port before its daemon listens on it.
const (
	firstPort = 12_000
	portCount = 18_000
)

var nextPort atomic.Uint64

// freeTCP returns an address that is free for TCP and UDP and that it has not returned
// before.
func freeTCP(t *testing.T) string {
	for range portCount {
		port := firstPort + (uint64(os.Getpid())*101+nextPort.Add(1))%portCount
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = u.Close()
		return addr
	}
	t.Fatal("no free port in the range of the test daemons")
	return ""
}

func (c *cluster) addDaemon(id, hall string) {
	if err := keys.MakeDaemon(c.dir, id); err != nil {
		c.t.Fatal(err)
	}
	d := &daemon{id: id, hall: hall, callers: freeTCP(c.t), admin: freeTCP(c.t), peers: freeTCP(c.t)}
	c.daemons[id] = d
	c.vms = append(c.vms, platform.VM{ID: id, Role: platform.RoleEntry, Hall: hall, Addr: d.callers, Admin: d.admin, Peer: d.peers})
}

// platformTimeout is the daemons' timeout for platform requests. The stand-in injects every
// fault immediately and never leaves a request unanswered, so that only a busy machine can
// delay a response. The long timeout keeps such delays from failing these tests.
const platformTimeout = 30 * time.Second

func (c *cluster) settingsOf(d *daemon) string {
	seeds := ""
	for _, other := range c.daemons {
		seeds += other.id + "@" + other.peers + " "
	}
	file := func(name string) string { return filepath.Join(c.dir, name) }
	text := fmt.Sprintf("[daemon]\nid = %s\nhall = %s\ncallers = %s\nadmin = %s\npeers = %s\nseeds = %s\n", d.id, d.hall, d.callers, d.admin, d.peers, seeds) +
		fmt.Sprintf("[platform]\nurl = %s\ntimeout = %s\n", c.server.URL, platformTimeout) +
		fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n", file(d.id+".pem"), file(d.id+".key"), file(keys.AuthorityFile)) +
		"[sessions]\npin_keys = 00112233445566778899aabbccddeeff\n[stop]\nnotice = 100ms\n[log]\nlevel = debug\n"
	path := file(d.id + ".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *cluster) startDaemon(id string) {
	d := c.daemons[id]
	d.log = &lockedBuffer{}
	d.cmd = exec.Command(daemonBinary, "--config", c.settingsOf(d))
	d.cmd.Stderr = d.log
	// A separate process group: when the shell that started the test exits, the system
	// sends SIGCONT to the test's own group and would resume a paused daemon.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := d.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	d.exited = make(chan error, 1)
	go func() { d.exited <- d.cmd.Wait() }()
}

// stop kills all daemons that still run and, if the test failed, logs the end of their output.
func (c *cluster) stop() {
	for _, d := range c.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		if c.t.Failed() {
			log := d.log.String()
			c.t.Logf("%s:\n%s", d.id, log[max(0, len(log)-1500):])
		}
	}
}

func (c *cluster) signal(id string, sig syscall.Signal) {
	c.t.Helper()
	p := c.daemons[id].cmd.Process
	if err := p.Signal(sig); err != nil {
		c.t.Fatal(err)
	}
	if sig == syscall.SIGSTOP {
		c.await("the process is stopped", func() bool { return stopped(p.Pid) })
	}
}

// stopped reports whether a process is in the stopped state, as SIGSTOP takes effect
// asynchronously.
func stopped(pid int) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return strings.HasPrefix(state, "T")
}

// awaitExit waits until a daemon's process has exited, with whatever status.
func (c *cluster) awaitExit(id string) {
	if err := <-c.daemons[id].exited; err != nil {
		c.t.Logf("%s exited with %v", id, err)
	}
}

// kill sends SIGKILL to a daemon and waits until it has exited.
func (c *cluster) kill(id string) {
	c.signal(id, syscall.SIGKILL)
	if err := <-c.daemons[id].exited; err == nil {
		c.t.Fatalf("%s exited with status 0 although it was killed", id)
	}
}

// await polls until done returns true, and fails the test after the timeout.
func (c *cluster) await(what string, done func() bool) {
	c.t.Helper()
	ticker := clock.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	timeout := clock.After(eventTimeout)
	for !done() {
		select {
		case <-ticker.C:
		case <-timeout:
			c.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (c *cluster) apply(t *table.Table) {
	c.t.Helper()
	h, err := c.store.Apply(context.Background(), tablestore.Edit{From: c.generation, Table: t, Author: "test"})
	if err != nil {
		c.t.Fatal(err)
	}
	c.generation = h.Number
}

// awaitGeneration waits until each of the daemons uses the newest table generation.
func (c *cluster) awaitGeneration(ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		c.await(fmt.Sprintf("%[2]s uses table generation %[1]d", c.generation, id), func() bool {
			d, err := c.dump(id)
			return err == nil && d.Control.Generation.Number >= c.generation
		})
	}
}

func (c *cluster) dump(id string) (process.Dump, error) {
	var d process.Dump
	resp, err := http.Get("http://" + c.daemons[id].admin + admin.PathDump)
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	return d, json.NewDecoder(resp.Body).Decode(&d)
}

// awaitServing waits until a daemon is ready, has the newest table, and has received
// reports from every backend server and every other daemon.
func (c *cluster) awaitServing(id string) {
	c.t.Helper()
	c.await(id+" is ready", func() bool {
		d, err := c.dump(id)
		if err != nil || d.Control.Generation.Number < c.generation {
			return false
		}
		return len(d.Control.Members) == len(c.daemons) && allReported(d.Control.Servers, len(c.engines)+1) && c.ready(id)
	})
}

// ready reports whether the daemon's readiness check succeeds.
func (c *cluster) ready(id string) bool {
	resp, err := http.Get("http://" + c.daemons[id].admin + admin.PathReady)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func allReported(servers []control.ServerDump, want int) bool {
	for _, s := range servers {
		if s.Role == string(platform.RoleEngine) && len(s.Loaded) == 0 {
			return false
		}
	}
	return len(servers) == want
}

// answer is the response that a caller received, or the error of its request.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) code() string {
	var e wire.ErrorBody
	_ = json.Unmarshal([]byte(a.body), &e)
	return e.Error.Code
}

func (a answer) run() string { return a.header.Get(wire.HeaderRun) }

// header is a request header.
type header struct{ name, value string }

func (c *cluster) do(id, method, path, body string, headers ...header) answer {
	r, err := http.NewRequest(method, "http://"+c.daemons[id].callers+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+orgKey)
	for _, h := range headers {
		r.Header.Set(h.name, h.value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func chatBody(model string, stream bool, tokens int) string {
	data, err := json.Marshal(wire.ChatRequest{Model: model, Stream: stream, MaxTokens: tokens, Messages: []wire.Message{{Role: "user", Content: "who has the late shift?"}}})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func (c *cluster) chat(id, model string, headers ...header) answer {
	return c.do(id, http.MethodPost, wire.PathChat, chatBody(model, false, 4), headers...)
}

// inBackground calls f in the background and returns a channel for its answer.
func inBackground(f func() answer) <-chan answer {
	ch := make(chan answer, 1)
	go func() { ch <- f() }()
	return ch
}

// checkStream returns an error unless a streamed answer has all its tokens in order,
// all from version ref, and the terminator.
func checkStream(a answer, ref table.Ref, tokens int) error {
	if a.err != nil {
		return a.err
	}
	next := 0
	for line := range strings.SplitSeq(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == wire.Terminator {
			if next != tokens {
				return fmt.Errorf("stream ended after %d tokens, want %d", next, tokens)
			}
			return nil
		}
		var chunk wire.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		want := fmt.Sprintf("%s-%s-%s-%d ", ref.Model, ref.Version, a.header.Get(wire.HeaderRequest), next)
		if got := string(chunk.Choices[0].Delta.Content); got != want {
			return fmt.Errorf("token %d is %q, want %q", next, got, want)
		}
		next++
	}
	return errors.New("the stream has no terminator")
}

// billCount returns the number of bills stored on the platform.
func (c *cluster) billCount() int { return len(c.platform.Keys(control.BillPrefix)) }

func (c *cluster) runCount(engine string) int {
	n := 0
	for _, times := range c.engines[engine].Runs() {
		n += times
	}
	return n
}
