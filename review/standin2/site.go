package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployment vmelu-ladder, as its sheet and its settings have them.
var figures = map[string]string{
	"bounds.revokeMs": "5000", "bounds.revokeStrict": "true", "bounds.configApplyMs": "2000", "bounds.sessionS": "5",
	"bounds.retryBudgetRatio": "0.9", "bounds.retrySlack": "54", "bounds.retryWindowS": "10",
	"bounds.exposeShare": "0.15", "bounds.exposeSlack": "30", "bounds.graceS": "8",
	"limits.cpuShare": "0.4", "limits.linkMbps": "1000.0", "limits.memoryMb": "284",
}

// halls are the data halls of the deployment, all in one region.
var halls = []string{"vad-hall-a", "vad-hall-b", "anand-dr"}

// site is a deployment on loopback addresses: a store, servers in this process, and daemons.
type site struct {
	dir       string
	store     *store
	storeAddr string
	daemons   []*daemon
	children  []*child
	// base is when the case began.
	base   time.Time
	record *record
}

// daemon is one gateway process.
type daemon struct {
	name, hall, ip          string
	callers, ready, control string
	file                    string
	log                     *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
	at   time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  ", time.Since(r.at).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// newSite starts the store and prepares n daemons, spread over the halls.
func newSite(rec *record, n int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, store: newStore(), record: rec, base: rec.at}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }() //nolint:gosec // A stand-in.
	// Each daemon has an address of its own, since its metrics have a fixed port.
	base := 1 + os.Getpid()%200
	for i := range n {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", halls[i%len(halls)], i/len(halls)+1), hall: halls[i%len(halls)], ip: fmt.Sprintf("127.%d.%d.%d", base, 1+os.Getpid()/200%200, i+1)}
		d.callers, d.ready, d.control = d.ip+":8227", d.ip+":8220", d.ip+":8229"
		d.file = filepath.Join(dir, d.name+".ini")
		if err := s.fill(d, true); err != nil {
			return nil, err
		}
		if d.log, err = os.Create(filepath.Join(dir, d.name+".log")); err != nil {
			return nil, err
		}
		s.daemons = append(s.daemons, d)
	}
	return s, nil
}

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.0-9]+)\}\}(.*?)\{\{/([A-Za-z.0-9]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)
)

// fill writes the settings file of a daemon from the template of the deploy file.
func (s *site) fill(d *daemon, first bool) error {
	text, err := os.ReadFile("deploy/gateway.ini")
	if err != nil {
		return err
	}
	values := map[string]string{
		"nodeName": d.name, "zone": d.hall, "listen.front": d.callers, "listen.readiness": d.ready, "ip": d.ip,
		"internalPorts.0": "7340", "platform.address": s.storeAddr,
	}
	for k, v := range figures {
		values[k] = v
	}
	if first {
		values["bootstrap"] = "true"
	}
	var regions []string
	for _, h := range halls {
		regions = append(regions, h+":guj-west")
	}
	filled := strings.ReplaceAll(string(text), "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(regions, ","))
	filled = section.ReplaceAllStringFunc(filled, func(m string) string {
		p := section.FindStringSubmatch(m)
		given := values[p[2]] != "" && values[p[2]] != "false"
		if (p[1] == "#") == given {
			return p[3]
		}
		return ""
	})
	filled = gap.ReplaceAllStringFunc(filled, func(m string) string { return values[strings.Trim(m, "{}")] })
	return os.WriteFile(d.file, []byte(filled), 0o600)
}

// start starts the process of a daemon by the command of the deploy file.
func (s *site) start(d *daemon) error {
	cmd := exec.Command("target/ladderridged", "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "LADDERRIDGE_NODE_FILE=" + d.file}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	s.record.printf("process %d of %s started", cmd.Process.Pid, d.name)
	go func() {
		err := cmd.Wait()
		s.record.printf("process %d of %s ended: %v", cmd.Process.Pid, d.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a daemon.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(sig)
}

// alive reports whether the process of a daemon runs.
func (d *daemon) alive() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// startAll starts all daemons and waits until they are ready.
func (s *site) startAll() error {
	for _, d := range s.daemons {
		if err := s.start(d); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.awaitReady(d, 15*time.Second); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		// Nobody but this process starts with a first start again.
		if err := s.fill(d, false); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) isReady(d *daemon) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+"/v1/readyz", nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *site) awaitReady(d *daemon, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s.isReady(d) {
			return nil
		}
	}
	return errors.New(d.name + " did not become ready")
}

// stop ends all processes that the site has started, by their ids, and removes its folder.
func (s *site) stop() {
	for _, c := range s.children {
		c.kill()
	}
	for _, d := range s.daemons {
		if d.cmd != nil && d.alive() {
			d.signal(syscall.SIGCONT)
			d.signal(syscall.SIGKILL)
			<-d.ended
		}
		_ = d.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// object is a JSON object.
type object map[string]any

const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// config returns a configuration like that of the site: one model pool and one plain service.
func config(version int) object {
	stream := object{
		"name": "r-stream", "host": host, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 25000, "targetLatencyMs": 4000, "priority": 2,
		"sizes": []string{"m0", "m1", "m2"}, "service": "ladder-llm", "maxAttempts": 3, "allowAnonymous": false, "stickySessions": true, "streamResume": true, "gapAimMs": 1200,
	}
	plain := func(name, prefix, kind string, attempts int) object {
		return object{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2,
			"service": "lic-broker", "maxAttempts": attempts, "allowAnonymous": false, "stickySessions": false,
		}
	}
	return object{
		"version": version, "routes": []object{stream, plain("r-checkout", "/checkout/", "unsafe", 3), plain("r-release", "/release/", "safe", 3)},
		"services": []object{
			{"name": "ladder-llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": object{
				"slots": 64, "kvTokens": 439367, "models": []object{{"name": "m0", "cost": 0.018}, {"name": "m1", "cost": 0.13}, {"name": "m2", "cost": 0.27}},
			}},
			{"name": "lic-broker", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
