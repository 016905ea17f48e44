package soak_test

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ladderridge.example/soak"
)

var (
	seedFlag    = flag.Uint64("soak.seed", 0, "run this seed alone")
	seedsFlag   = flag.Int("soak.seeds", 0, "run that many fresh seeds")
	lengthFlag  = flag.Duration("soak.length", 15*time.Second, "how long faults come in each run")
	atOnceFlag  = flag.Int("soak.at-once", 2, "how many runs go on at once")
	daemonsFlag = flag.Int("soak.daemons", 0, "how many daemons; 0 is drawn from the seed")
	strangeFlag = flag.Bool("soak.strange", true, "a caller comes again and again with a request that ends its servers, somebody spoils entries of servers, servers say of themselves what stands nowhere else, and the store returns from copies")
	keepFlag    = flag.String("soak.keep", "", "directory that keeps settings and logs of runs with findings")
)

// program is the daemon's binary, built once for all tests.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ladderridged")
	build := exec.Command("go", "build", "-o", program, "./cmd/ladderridged")
	build.Dir = "../daemon"
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// run runs a seed and keeps its logs if it has findings.
func run(t *testing.T, o soak.Options) soak.Report {
	t.Helper()
	o.Program, o.Dir = program, t.TempDir()
	report, err := soak.Run(t.Context(), o)
	if err != nil {
		t.Errorf("seed %d: %v", o.Seed, err)
	}
	t.Log(report)
	if (err != nil || len(report.Findings) > 0) && *keepFlag != "" {
		to := filepath.Join(*keepFlag, strconv.FormatUint(o.Seed, 10))
		if err := os.CopyFS(to, os.DirFS(o.Dir)); err != nil {
			t.Error(err)
		}
		plan := ""
		for _, f := range report.Plan.Faults {
			plan += fmt.Sprintln(f)
		}
		if err := os.WriteFile(filepath.Join(to, "plan.txt"), []byte(plan+report.String()+"\n"), 0o600); err != nil {
			t.Error(err)
		}
	}
	return report
}

// TestShortRun runs one seed for a few seconds. What is checked holds at any
// time, so a busy machine does not change the verdict.
func TestShortRun(t *testing.T) {
	report := run(t, soak.Options{Seed: 1, Daemons: 3, Length: 4 * time.Second})
	if len(report.Findings) > 0 {
		t.Error(report)
	}
	if report.Answered == 0 {
		t.Error("nothing was answered")
	}
}

// TestShortRunWithStrangers has a caller come again and again with a request that ends its
// servers, which begin again under their id or another one, and spoiled entries, besides.
func TestShortRunWithStrangers(t *testing.T) {
	report := run(t, soak.Options{Seed: 3, Daemons: 3, Length: 6 * time.Second, Deadly: true, Stranger: true, Moods: true, Drills: true})
	if len(report.Findings) > 0 {
		t.Error(report)
	}
}

// TestChecksNoticeABrokenPromise has one server run requests and say that it has
// not: a request that may not be repeated runs twice, or is refused as not run
// though it ran.
func TestChecksNoticeABrokenPromise(t *testing.T) {
	report := run(t, soak.Options{Seed: 2, Daemons: 2, Faults: 1, Length: 2 * time.Second, Liar: true})
	rules := map[string]bool{}
	for _, f := range report.Findings {
		rules[f.Rule] = true
	}
	if !rules["TWICE"] && !rules["REFUSED"] {
		t.Errorf("nothing was noticed: %v", report)
	}
}

// TestSeeds runs what the flags ask for: one seed, or fresh ones.
func TestSeeds(t *testing.T) {
	var seeds []uint64
	switch {
	case *seedFlag > 0:
		seeds = []uint64{*seedFlag}
	case *seedsFlag > 0:
		for range *seedsFlag {
			seeds = append(seeds, uint64(rand.Uint32()))
		}
	default:
		t.Skip("no seeds are asked for: make soak")
	}
	runAll(t, seeds, *lengthFlag, *strangeFlag)
}

// TestSeedsThatFailed runs the seeds that ever failed, once fresh ones are asked
// for.
func TestSeedsThatFailed(t *testing.T) {
	if *seedsFlag == 0 {
		t.Skip("no seeds are asked for: make soak")
	}
	for seed, length := range failedSeeds(t) {
		runAll(t, []uint64{seed}, length, false)
	}
}

// failedSeeds reads the seeds of the list, each with the length of its run: the
// plan is drawn for that.
func failedSeeds(t *testing.T) map[uint64]time.Duration {
	t.Helper()
	file, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	seeds := map[uint64]time.Duration{}
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		if seeds[seed], err = time.ParseDuration(fields[1]); err != nil {
			t.Fatal(err)
		}
	}
	return seeds
}

func runAll(t *testing.T, seeds []uint64, length time.Duration, strange bool) {
	t.Helper()
	places := make(chan struct{}, *atOnceFlag)
	var running sync.WaitGroup
	for _, seed := range seeds {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			report := run(t, soak.Options{Seed: seed, Daemons: *daemonsFlag, Length: length, Bounds: true, Deadly: strange, Stranger: strange, Moods: strange, Drills: strange})
			if len(report.Findings) > 0 {
				t.Errorf("make soak SEED=%d repeats this", seed)
			}
		})
	}
	running.Wait()
}
