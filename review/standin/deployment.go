// Command standin plays the cases of this review: it starts a small deployment of ladderridged
// processes on loopback addresses, with stand-ins of the store, the runners and the consumers,
// and checks one rule from what consumers and runners see.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ladderridge.example/platform/standin"
)

// zones are the zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// machinesIn is how many entry machines each zone has: seven in all, as in the small sites.
var machinesIn = map[string]int{"zone-a": 2, "zone-b": 3, "zone-c": 2}

// host is the Host header of all routes, apiKey the key of the only tenant.
const (
	host   = "desk.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"
)

// idleTimeout is the idleTimeoutMs of the configuration, as in the pages' example.
const idleTimeout = 15 * time.Second

// settings is deploy/gateway.ini, filled in with the figures of a small site.
const settings = `[daemon]
id = %s
hall = %s
callers = %s
readiness = %s
admin = %s
peers = %s
[store]
url = http://%s
[keys]
usable_for = 5000ms
[config]
in_force_within = 2000ms
[sessions]
pause = 5s
[repeats]
ratio = 0.9
slack = 54
window = 10s
[rollouts]
exposure_share = 0.15
exposure_slack = 30
[halls]
regions = zone-a:west,zone-b:west,zone-c:west
[start]
first = true
[stop]
grace = 8s
[vm]
processor = 0.4
link = 1000.0
memory = 284
[log]
level = info
`

// deployment is the store and the daemons of one run.
type deployment struct {
	dir     string
	store   *standin.Store
	daemons []*daemon
}

// daemon is one ladderridged process.
type daemon struct {
	id        string
	front     string
	readiness string
	cmd       *exec.Cmd
	program   string
	file      string
	log       *os.File
}

// startDeployment starts the store and the daemons of each zone, and waits until all are ready.
func startDeployment(program string, configure func(*standin.Store) error) (*deployment, error) {
	dir, err := os.MkdirTemp("", "ladderridge-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: standin.NewStore()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return d, err
	}
	go func() { _ = http.Serve(l, withoutEra(d.store)) }()
	if err := configure(d.store); err != nil {
		return d, err
	}
	for _, zone := range zones {
		for n := range machinesIn[zone] {
			one, err := startDaemon(dir, program, zone, n+1, l.Addr().String())
			if err != nil {
				return d, err
			}
			d.daemons = append(d.daemons, one)
		}
	}
	return d, d.awaitReady()
}

// withoutEra serves a store without the header Store-Era, which the pages for these sites don't name.
func withoutEra(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { store.ServeHTTP(&eraless{w}, r) })
}

// eraless is a response without the header Store-Era.
type eraless struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (e *eraless) WriteHeader(status int) {
	e.Header().Del("Store-Era")
	e.ResponseWriter.WriteHeader(status)
}

// startDaemon starts a daemon of a zone by the command of the deploy file.
func startDaemon(dir, program, zone string, n int, store string) (*daemon, error) {
	d := &daemon{id: fmt.Sprintf("front-%s-%d", zone, n), front: freeAddr(), readiness: freeAddr()}
	file := filepath.Join(dir, d.id+".ini")
	text := fmt.Sprintf(settings, d.id, zone, d.front, d.readiness, freeAddr(), freeAddr(), store)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, d.id+".log"))
	if err != nil {
		return nil, err
	}
	d.program, d.file, d.log = program, file, log
	return d, d.start()
}

// start starts the process.
func (d *daemon) start() error {
	d.cmd = exec.Command(d.program, "gateway")
	d.cmd.Env = append(os.Environ(), "LADDERRIDGE_NODE_FILE="+d.file)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// The daemon ends with this process, however that ends.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

// restart kills the process, and starts it again after a pause, with the settings of a later start.
func (d *daemon) restart(after time.Duration) error {
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
	text, err := os.ReadFile(d.file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.file, bytes.Replace(text, []byte("first = true"), []byte("first = false"), 1), 0o600); err != nil {
		return err
	}
	time.Sleep(after)
	return d.start()
}

// awaitReady waits until each daemon has answered its readiness check with 200.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, one := range d.daemons {
			resp, err := client.Get("http://" + one.readiness + "/v1/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.daemons) {
			// The daemons have found each other by then.
			time.Sleep(3 * time.Second)
			return nil
		}
	}
	return errors.New("the daemons did not become ready")
}

// stop ends the daemons and removes their files. It reports daemons that had ended by themselves.
func (d *deployment) stop() (ended []string) {
	for _, one := range d.daemons {
		if err := one.cmd.Process.Signal(syscall.Signal(0)); err != nil {
			ended = append(ended, one.id)
		}
		_ = one.cmd.Process.Kill()
		_ = one.cmd.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
	return ended
}

// firstPort and portSpan are the ports that daemons listen on. They lie below those of outgoing
// connections, so that no connection takes one before its daemon listens there.
const firstPort, portSpan = 12000, 18000

// freeAddr returns a loopback address that is free for TCP and UDP.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portSpan))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return addr
	}
}

// record writes the record of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begun: time.Now()}, err
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// sleep waits, or returns at once if ctx has ended.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
