//go:build measure

package scenario_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"ladderridge.example/core/table"
)

// Durations of the warm-up and of a measurement, and the number of measured table edits.
const (
	warmUp      = 12 * time.Second
	measureTime = 20 * time.Second
	editCount   = 5
)

// ticksPerSecond is the number of clock ticks a second in which /proc counts CPU time.
const ticksPerSecond = 100

func (d *daemon) proc(t *testing.T, file string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", d.cmd.Process.Pid, file))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// cpu returns the CPU time that the daemon has used, in seconds.
func (d *daemon) cpu(t *testing.T) float64 {
	stat := d.proc(t, "stat")
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// memory returns the daemon's resident memory in MiB.
func (d *daemon) memory(t *testing.T) float64 {
	for line := range strings.SplitSeq(d.proc(t, "status"), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// sample has the CPU time in seconds, the peer and platform traffic in bytes, and the platform
// calls of one daemon since its start.
type sample struct {
	cpu      float64
	peers    float64
	platform float64
	calls    float64
}

func (c *cluster) sample(id string) sample {
	dump, err := c.dump(id)
	if err != nil {
		c.t.Fatal(err)
	}
	return sample{
		cpu: c.daemons[id].cpu(c.t), peers: float64(dump.Peers.SentBytes + dump.Peers.ReceivedBytes),
		platform: float64(dump.Control.PlatformBytes), calls: float64(dump.Control.PlatformCalls),
	}
}

func (c *cluster) sampleAll() map[string]sample {
	out := map[string]sample{}
	for id := range c.daemons {
		out[id] = c.sample(id)
	}
	return out
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// figure prints one result as a line that the scripts in measure/ read.
func figure(name string, value float64, unit string) {
	fmt.Printf("%s: %.4g %s\n", name, value, unit)
}

// TestCapacityOfDaemons measures the control overhead of a daemon without traffic, with 7
// to 100 daemons in 4 data halls.
func TestCapacityOfDaemons(t *testing.T) {
	for _, n := range daemonCounts() {
		c := &cluster{t: t, halls: 4, backends: 4}
		c.start(n)
		time.Sleep(warmUp)
		before := c.sampleAll()
		begun := time.Now()
		time.Sleep(measureTime)
		after := c.sampleAll()
		seconds := time.Since(begun).Seconds()
		var cpu, peers, platform, memory []float64
		calls := 0.0
		for id, a := range after {
			b := before[id]
			cpu = append(cpu, 100*(a.cpu-b.cpu)/seconds)
			peers = append(peers, (a.peers-b.peers)/seconds/1000)
			platform = append(platform, (a.platform-b.platform)/seconds/1000)
			memory = append(memory, c.daemons[id].memory(t))
			calls += (a.calls - b.calls) / seconds
		}
		name := fmt.Sprintf("daemons %d ", n)
		figure(name+"control cpu median", median(cpu), "% of a core")
		figure(name+"control cpu most", slices.Max(cpu), "% of a core")
		figure(name+"control bytes median", median(peers), "KB/s")
		figure(name+"control bytes most", slices.Max(peers), "KB/s")
		figure(name+"platform bytes most", slices.Max(platform), "KB/s")
		figure(name+"memory median", median(memory), "MB")
		figure(name+"memory most", slices.Max(memory), "MB")
		figure(name+"platform calls per data hall", calls/4, "calls/s")
		c.measureEdits(name)
		c.stop()
		for id := range c.daemons {
			c.awaitExit(id)
		}
	}
}

// measureEdits measures the time from the acceptance of a table edit until the last daemon
// logs that the new table is in force.
func (c *cluster) measureEdits(name string) {
	var took []float64
	for i := range editCount {
		t := baseTable()
		t.Allows[0].Weight = i + 2
		c.apply(t)
		accepted := time.Now()
		last := accepted
		for _, d := range c.daemons {
			if at := c.loggedInForceAt(d); at.After(last) {
				last = at
			}
		}
		took = append(took, last.Sub(accepted).Seconds())
	}
	figure(name+"edit in force median", median(took), "s")
	figure(name+"edit in force most", slices.Max(took), "s")
}

// loggedInForceAt returns the time at which a daemon logged that the newest table is in force.
func (c *cluster) loggedInForceAt(d *daemon) time.Time {
	mark := fmt.Sprintf("generation=%d control: a table is in force", c.generation)
	var at time.Time
	c.await("the log of "+d.id+" shows the table in force", func() bool {
		for line := range strings.SplitSeq(d.log.String(), "\n") {
			if strings.Contains(line, mark) {
				at, _ = time.Parse("2006-01-02T15:04:05.000Z07:00", strings.Fields(line)[0])
				return true
			}
		}
		return false
	})
	return at
}

// TestCapacityOfBackends measures the overhead of a daemon without traffic by the number of
// backend servers, all in its own data hall.
func TestCapacityOfBackends(t *testing.T) {
	for _, n := range []int{4, 60, 180, 720} {
		c := &cluster{t: t, halls: 1, backends: n}
		c.start(1)
		time.Sleep(warmUp / 2)
		before := c.sample("entry-0")
		time.Sleep(measureTime)
		after := c.sample("entry-0")
		name := fmt.Sprintf("backend servers %d ", n)
		figure(name+"control cpu", 100*(after.cpu-before.cpu)/measureTime.Seconds(), "% of a core")
		figure(name+"memory", c.daemons["entry-0"].memory(t), "MB")
		c.stop()
		c.awaitExit("entry-0")
	}
}

// TestCapacityOfRows measures the encoded size of a table row and the time and memory to parse it.
func TestCapacityOfRows(t *testing.T) {
	for _, n := range []int{100, 1000, 10_000} {
		data := wideTable(n).Encode()
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := table.Parse(data); err != nil {
					b.Fatal(err)
				}
			}
		})
		name := fmt.Sprintf("table rows %d ", n)
		figure(name+"file", float64(len(data))/float64(n), "bytes/row")
		figure(name+"parse time", float64(r.NsPerOp())/float64(n)/1000, "us/row")
		figure(name+"parse memory", float64(r.AllocedBytesPerOp())/float64(n), "bytes/row")
	}
}

// wideTable returns a table of about n rows: organisations that may each use ten versions.
func wideTable(n int) *table.Table {
	var t table.Table
	for i := range 10 {
		t.Versions = append(t.Versions, table.Version{Ref: table.Ref{Model: "m", Version: fmt.Sprint("v", i)}, Price: 10, Quality: 0.9})
	}
	for i := 0; len(t.Organisations)+len(t.Allows)+10 < n; i++ {
		name := fmt.Sprint("organisation-", i)
		t.Organisations = append(t.Organisations, table.Organisation{Name: name, KeyHashes: []string{table.HashKey(name)}})
		for _, v := range t.Versions {
			t.Allows = append(t.Allows, table.Allow{Organisation: name, Ref: v.Ref, Weight: 1, Target: 0.8})
		}
	}
	return table.New(t)
}

// daemonCounts returns the numbers of daemons to measure: LADDERRIDGE_COUNTS, by default 7 to
// 100.
func daemonCounts() []int {
	text := os.Getenv("LADDERRIDGE_COUNTS")
	if text == "" {
		text = "7 25 50 100"
	}
	var counts []int
	for field := range strings.FieldsSeq(text) {
		n, err := strconv.Atoi(field)
		if err != nil {
			panic(err)
		}
		counts = append(counts, n)
	}
	return counts
}
