//go:build measure

package scenario_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/load"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/standin"
	"ladderridge.example/daemon/wire"
)

// engineProcess starts a stand-in engine in a process of its own, so that its CPU time does
// not count as that of the daemon or of the load generator.
func (c *cluster) engineProcess(id, version string) {
	tool := filepath.Join(c.dir, "ladderridge")
	if out, err := exec.Command("go", "build", "-o", tool, "../cmd/ladderridge").CombinedOutput(); err != nil {
		c.t.Fatal(string(out))
	}
	addr := freeTCP(c.t)
	cmd := exec.Command(tool, "standin", "engine", "--listen", addr, "--id", id, "--model", "roster", "--model-version", version, "--pace", "0")
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	c.vms = append(c.vms, platform.VM{ID: id, Role: platform.RoleEngine, Hall: c.hall(0), Addr: addr})
}

// newPlan returns a load plan for one target: an engine, if echo is set, or a daemon.
func newPlan(target string, echo bool, workers, requests int) *load.Plan {
	return &load.Plan{Targets: []string{target}, Key: otherKey, Model: "roster", MaxTokens: 4, Requests: requests, Workers: workers, EngineTargets: echo}
}

// TestBenchLatency measures the latency that a daemon adds to that of a stand-in engine, and
// the requests a second that one core of the daemon handles. Direct and routed load alternate
// within one run.
func TestBenchLatency(t *testing.T) {
	// The second daemon keeps copies of the first daemon's bills.
	c := &cluster{t: t, halls: 1, backends: 0}
	c.start(2)
	c.engineProcess("engine-x", "v1")
	c.platform.SetVMs(c.vms)
	direct, routed := "http://"+c.vms[len(c.vms)-1].Addr, "http://"+c.daemons["entry-0"].callers
	c.await("the daemon routes to the engine", func() bool {
		return newPlan(routed, false, 1, 1).Run(context.Background()).Complete == 1
	})
	const rounds = 5
	var d50, d99, r50, r99, ratio []float64
	for range rounds {
		d := newPlan(direct, true, 1, 3000).Run(context.Background())
		r := newPlan(routed, false, 1, 3000).Run(context.Background())
		if d.Complete != d.Sent || r.Complete != r.Sent {
			t.Fatalf("complete answers: %d of %d direct, %d of %d routed", d.Complete, d.Sent, r.Complete, r.Sent)
		}
		d50 = append(d50, float64(d.Total.ValueAtQuantile(50)))
		d99 = append(d99, float64(d.Total.ValueAtQuantile(99)))
		r50 = append(r50, float64(r.Total.ValueAtQuantile(50)))
		r99 = append(r99, float64(r.Total.ValueAtQuantile(99)))
		ratio = append(ratio, float64(r.Total.ValueAtQuantile(50))/float64(d.Total.ValueAtQuantile(50)))
	}
	figure("latency direct p50", median(d50), "us")
	figure("latency direct p99", median(d99), "us")
	figure("latency routed p50", median(r50), "us")
	figure("latency routed p99", median(r99), "us")
	figure("latency added p50", median(r50)-median(d50), "us")
	figure("latency added p99", median(r99)-median(d99), "us")
	figure("latency ratio p50", median(ratio), "routed/direct")
	before := c.daemons["entry-0"].cpu(t)
	r := newPlan(routed, false, 16, 30_000).Run(context.Background())
	used := c.daemons["entry-0"].cpu(t) - before
	figure("throughput routed, 16 workers", float64(r.Sent)/r.Elapsed.Seconds(), "requests/s")
	figure("throughput per core of the daemon", float64(r.Complete)/used, "requests/s")
	d := newPlan(direct, true, 16, 30_000).Run(context.Background())
	figure("throughput direct, 16 workers", float64(d.Sent)/d.Elapsed.Seconds(), "requests/s")
	p := newPlan(routed, false, 16, 2000)
	p.Stream, p.MaxTokens = true, 200
	before = c.daemons["entry-0"].cpu(t)
	s := p.Run(context.Background())
	figure("tokens streamed per core of the daemon", float64(s.Tokens)/(c.daemons["entry-0"].cpu(t)-before), "tokens/s")
}

// TestBenchMemoryPerStream measures the memory that a daemon uses for each open stream.
func TestBenchMemoryPerStream(t *testing.T) {
	c := &cluster{t: t, halls: 1, backends: 2}
	c.start(1)
	e := c.engines["engine-0"]
	e.SetFault(standin.EngineFault{HoldAnswers: true})
	before := c.daemons["entry-0"].memory(t)
	const streams = 2000
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newPlan("http://"+c.daemons["entry-0"].callers, false, streams, streams)
	p.Stream, p.HTTP, p.Model = true, client, v1.String()
	done := make(chan load.Result, 1)
	go func() { done <- p.Run(ctx) }()
	c.await("the streams are open", func() bool {
		d, err := c.dump("entry-0")
		return err == nil && d.Front.InFlight == streams
	})
	figure("memory per open stream", 1024*(c.daemons["entry-0"].memory(t)-before)/streams, "KB")
	e.SetFault(standin.EngineFault{})
	if r := <-done; r.Complete != streams {
		t.Errorf("%d of %d streams are complete", r.Complete, streams)
	}
}

// tableCalls returns the numbers of transactions and of operations of the platform's table service.
func (c *cluster) tableCalls() (calls, ops float64) {
	stats := c.platform.Stats()
	return float64(stats["table POST"]), float64(stats["table ops"])
}

// TestBenchPlatformCalls counts the platform transactions for each kind of request at 30
// requests a second, the peak rate of each of 400 daemons.
func TestBenchPlatformCalls(t *testing.T) {
	c := newCluster(t, 2)
	kinds := []struct {
		name string
		do   func(i int) answer
	}{
		{"chat", func(int) answer { return c.chat("entry-0", "roster") }},
		{"chat in a new session", func(int) answer { return c.chat("entry-0", "roster", header{wire.HeaderSession, wire.SessionNew}) }},
		{"chat in a session named by its caller", func(i int) answer {
			return c.chat("entry-0", "roster", header{wire.HeaderSession, fmt.Sprint("s-", i)})
		}},
		{"call that may not be repeated", func(i int) answer {
			return c.do("entry-0", http.MethodPost, checkout, "x", header{wire.HeaderKey, fmt.Sprint("k-", i)})
		}},
		{"call that may be repeated", func(int) answer { return c.do("entry-0", http.MethodGet, wire.PathService+"broker/seats", "") }},
	}
	const requests = 300
	for _, k := range kinds {
		calls, ops := c.tableCalls()
		billed := c.billCount()
		for i := range requests {
			if a := k.do(i); a.status != http.StatusOK {
				t.Fatalf("%s: %d %s", k.name, a.status, a.body)
			}
			time.Sleep(time.Second / 30)
		}
		c.await("all requests are billed and their claims settled", func() bool {
			d, err := c.dump("entry-0")
			return err == nil && d.SettlingClaims == 0 && c.billCount() == billed+requests
		})
		calls2, ops2 := c.tableCalls()
		figure("platform transactions, "+k.name, 1000*(calls2-calls)/requests, "transactions per 1000 requests")
		figure("platform operations, "+k.name, 1000*(ops2-ops)/requests, "operations per 1000 requests")
	}
}

// TestBenchPlannedStop measures a graceful shutdown with open streams.
func TestBenchPlannedStop(t *testing.T) {
	c := newCluster(t, 2)
	const streams, tokens = 200, 100
	for _, e := range c.engines {
		e.TokenInterval = 10 * time.Millisecond
	}
	var open []<-chan answer
	for range streams {
		open = append(open, inBackground(func() answer {
			return c.do("entry-0", http.MethodPost, wire.PathChat, chatBody(v1.String(), true, tokens))
		}))
	}
	c.await("the streams are open", func() bool {
		d, err := c.dump("entry-0")
		return err == nil && d.Front.InFlight == streams
	})
	begun := time.Now()
	c.signal("entry-0", syscall.SIGTERM)
	cut := 0
	for _, w := range open {
		if err := checkStream(<-w, v1, tokens); err != nil {
			cut++
		}
	}
	lastAnswer := time.Since(begun)
	c.awaitExit("entry-0")
	figure("planned stop, streams cut", float64(cut), "streams of 200")
	figure("planned stop, from signal to last answer", lastAnswer.Seconds(), "s")
	figure("planned stop, from last answer to exit", time.Since(begun).Seconds()-lastAnswer.Seconds(), "s")
	c.await("the platform has a bill for each stream", func() bool { return len(c.platform.Keys(control.BillPrefix)) == streams })
}

func init() {
	if _, err := os.Stat("/proc/self/stat"); err != nil {
		panic("the measurements need /proc")
	}
}

// TestBenchFailureRuns counts the outcomes of requests in runs with injected faults.
func TestBenchFailureRuns(t *testing.T) {
	const runs, faults = 3, 12
	var sum chaosCounts
	for seed := range uint64(runs) {
		got := runChaos(t, 100+seed, faults)
		sum.faults += got.faults
		sum.answered += got.answered
		sum.refused += got.refused
		sum.interrupted += got.interrupted
		sum.duplicated += got.duplicated
		sum.falselyNotRun += got.falselyNotRun
		sum.moved += got.moved
		sum.unbilled += got.unbilled
		sum.wrong += got.wrong
	}
	figure("failure runs", runs, "runs")
	figure("failure runs, faults", float64(sum.faults), "faults")
	figure("failure runs, answered whole", float64(sum.answered), "requests")
	figure("failure runs, refused", float64(sum.refused), "requests")
	figure("failure runs, broken off by a daemon's death", float64(sum.interrupted), "requests")
	figure("failure runs, ran twice", float64(sum.duplicated), "requests")
	figure("failure runs, said not run but ran", float64(sum.falselyNotRun), "requests")
	figure("failure runs, sessions moved", float64(sum.moved), "requests")
	figure("failure runs, answered and not billed", float64(sum.unbilled), "requests")
	figure("failure runs, wrong answers", float64(sum.wrong), "requests")
}
