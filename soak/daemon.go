package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ladderridge.example/core/clock"
	"ladderridge.example/platform"
)

// daemon is a real daemon process with its proxies. It is restarted whenever the process ends,
// as the platform does.
type daemon struct {
	number int
	id     string
	hall   string
	file   string
	log    *os.File
	// program is the path of the daemon's binary.
	program string

	callers *TCPProxy
	store   *TCPProxy
	peers   *UDPProxy
	// readiness is the address of the readiness check that the load balancer queries.
	readiness string
	ready     atomic.Bool
	// admin is the address for the daemon's state.
	admin string

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int
	downFor time.Duration
	ended   bool
	// exited is closed when the process has ended and is not restarted.
	exited chan struct{}
}

// nextPort counts the ports handed out. They lie below the ephemeral port range, so that
// outgoing connections don't take them.
var nextPort atomic.Int64

const firstPort, portSpan = 12000, 18000

// freeAddr returns a loopback address that is not in use.
func freeAddr() string {
	for {
		port := firstPort + (int64(os.Getpid())*97+nextPort.Add(1))%portSpan
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
}

// shutdownGrace is how long a daemon may take to shut down; keyAge is how long a cached key
// remains usable.
const (
	shutdownGrace = 6 * time.Second
	keyAge        = 5 * time.Second
)

// newDaemon prepares a daemon without starting it.
func newDaemon(o Options, number, halls int, store string) (*daemon, error) {
	d := &daemon{
		number: number, id: fmt.Sprintf("entry-%d", number), hall: hallName(number % halls), program: o.Program,
		readiness: freeAddr(), admin: freeAddr(), exited: make(chan struct{}),
	}
	callers, peers := freeAddr(), freeAddr()
	var err error
	if d.callers, err = NewTCPProxy(callers); err != nil {
		return nil, err
	}
	if d.store, err = NewTCPProxy(store); err != nil {
		return nil, err
	}
	if d.peers, err = NewUDPProxy(peers, newRand(o.Seed, uint64(1000+number))); err != nil {
		return nil, err
	}
	d.file = filepath.Join(o.Dir, d.id+".ini")
	settings := fmt.Sprintf(`[daemon]
id = %s
hall = %s
callers = %s
readiness = %s
admin = %s
peers = %s
peers_reached_at = %s
[store]
url = http://%s
[keys]
usable_for = %s
[repeats]
ratio = 0.9
slack = 50
[stop]
grace = %s
`, d.id, d.hall, callers, d.readiness, d.admin, peers, d.peers.Addr(), d.store.Addr(), keyAge, shutdownGrace)
	if err := os.WriteFile(d.file, []byte(settings), 0o600); err != nil {
		return nil, &Error{Op: "write settings", Kind: NoStart, Err: err}
	}
	if d.log, err = os.Create(filepath.Join(o.Dir, d.id+".log")); err != nil {
		return nil, &Error{Op: "open log", Kind: NoStart, Err: err}
	}
	return d, nil
}

func hallName(n int) string { return fmt.Sprintf("hall-%d", n) }

// restartAfter is how long the platform takes to restart a process.
const restartAfter = 200 * time.Millisecond

// run restarts the process until stop is called or ctx ends, which kills it.
func (d *daemon) run(ctx context.Context) {
	defer close(d.exited)
	for d.start(ctx) {
		_ = d.cmd.Wait()
		d.mu.Lock()
		down := max(restartAfter, d.downFor)
		d.cmd, d.downFor = nil, 0
		d.mu.Unlock()
		time.Sleep(down)
	}
}

// start starts the process, unless the daemon was stopped.
func (d *daemon) start(ctx context.Context) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended || ctx.Err() != nil {
		return false
	}
	cmd := exec.CommandContext(ctx, d.program, "gateway", "--config", d.file)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	// A process group of its own: the system resumes stopped processes of an orphaned group, so
	// a paused daemon in the soak's group would resume when the shell that started the soak
	// exits.
	cmd.Env = append(os.Environ(), pathFileEnv+"="+d.pathFile())
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	d.starts++
	if err := cmd.Start(); err != nil {
		fmt.Fprintln(d.log, err)
		d.ended = true
		return false
	}
	d.cmd = cmd
	return true
}

// pathFileEnv tells the daemon's build for the soak the file that cuts its paths to the servers.
const pathFileEnv = "LADDERRIDGE_SOAK_PATH"

func (d *daemon) pathFile() string { return d.file + ".path" }

// setPath cuts the paths to the servers in a way, or heals them with "".
func (d *daemon) setPath(mode string) error {
	return os.WriteFile(d.pathFile(), []byte(mode), 0o600)
}

// signal sends a signal to the process, if it is running.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// kill kills the process and keeps it down for the given time.
func (d *daemon) kill(down time.Duration) {
	d.mu.Lock()
	d.downFor = down
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
}

// terminate stops the process gracefully, and kills it after shutdownGrace.
func (d *daemon) terminate() {
	life := d.processNumber()
	d.signal(syscall.SIGTERM)
	time.AfterFunc(shutdownGrace, func() {
		if d.processNumber() == life {
			d.signal(syscall.SIGKILL)
		}
	})
}

// processNumber returns how often the process was started: the first process is 1.
func (d *daemon) processNumber() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

// stop stops the daemon permanently.
func (d *daemon) stop() {
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	d.signal(syscall.SIGKILL)
	<-d.exited
	d.callers.Close()
	d.store.Close()
	d.peers.Close()
	_ = d.log.Close()
}

// The readiness checks of the load balancer.
const (
	readyEvery = 500 * time.Millisecond
	// readyMisses is the number of consecutive failed checks after which a daemon is removed
	// from the load balancer.
	readyMisses = 2
)

// watchReady polls the daemon's readiness until ctx ends, as the load balancer does.
func (d *daemon) watchReady(ctx context.Context) {
	client := &http.Client{Timeout: readyEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		if d.askReady(ctx, client) {
			misses = 0
		} else {
			misses++
		}
		d.ready.Store(misses < readyMisses)
		clock.Wait(ctx, readyEvery)
	}
}

func (d *daemon) askReady(ctx context.Context, client *http.Client) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.readiness+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
