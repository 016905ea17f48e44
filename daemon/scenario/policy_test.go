package scenario_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"ladderridge.example/core/table"
	"ladderridge.example/daemon/admin"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/record"
	"ladderridge.example/daemon/standin"
	"ladderridge.example/daemon/wire"
)

// rollingOut returns the base table with v2 at its first rollout stage.
func rollingOut() *table.Table {
	v, _ := baseTable().Version(v2)
	v.Status, v.Stages, v.StepAfter, v.StepAnswers = table.RollingOut, []float64{50, 100}, time.Second, 10
	return baseTable().WithVersion(v)
}

func (c *cluster) newest() (*table.Table, string) {
	c.t.Helper()
	t, h, err := c.store.Load(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	return t, h.Note
}

// TestRolloutAdvancesAfterItsDriverIsKilled checks that the daemons advance a rollout
// on their own, even when the daemon that drives it is killed.
func TestRolloutAdvancesAfterItsDriverIsKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4)
	c.apply(rollingOut())
	c.awaitGeneration("entry-0", "entry-1", "entry-2", "entry-3")
	for id := range c.daemons {
		if d, err := c.dump(id); err == nil && d.Control.Rank == 0 && d.Control.Hall == "hall-0" {
			c.kill(id)
		}
	}
	i := 0
	c.await("the last stage is reached", func() bool {
		i++
		if id := fmt.Sprintf("entry-%d", i%4); c.daemons[id].cmd.ProcessState == nil {
			c.chat(id, "roster")
		}
		table, _ := c.newest()
		v, _ := table.Version(v2)
		return v.Stage == 1
	})
	if _, note := c.newest(); !strings.Contains(note, "stage 0 to 1") {
		t.Errorf("the note in the table's history is %q", note)
	}
}

// TestFaultyVersionIsWithdrawn makes a version fail while it is rolled out: the daemons detect
// it from their combined evidence and withdraw it in the table, with the reason in the history.
func TestFaultyVersionIsWithdrawn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.apply(rollingOut())
	c.awaitGeneration("entry-0", "entry-1", "entry-2")
	for _, id := range []string{"engine-2", "engine-3"} {
		c.engines[id].SetFault(standin.EngineFault{ErrorRate: 0.6})
	}
	i, refused := 0, 0
	c.await("the version is withdrawn", func() bool {
		i++
		if a := c.chat(fmt.Sprintf("entry-%d", i%3), "roster"); a.status != http.StatusOK {
			refused++
		}
		table, _ := c.newest()
		v, _ := table.Version(v2)
		return isWithdrawn(v)
	})
	if _, note := c.newest(); !strings.Contains(note, "withdrawn at stage") {
		t.Errorf("the note in the table's history is %q", note)
	}
	t.Logf("withdrawn after %d requests, of which %d were refused", i, refused)
}

// TestVersionThatInterruptsStreamsIsWithdrawn makes a version interrupt its streams, which
// counts as a failure of the version.
func TestVersionThatInterruptsStreamsIsWithdrawn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.apply(rollingOut())
	c.awaitGeneration("entry-0", "entry-1")
	for _, id := range []string{"engine-2", "engine-3"} {
		c.engines[id].SetFault(standin.EngineFault{CutAfter: 2})
	}
	i := 0
	c.await("the version is withdrawn", func() bool {
		i++
		c.do(fmt.Sprintf("entry-%d", i%2), http.MethodPost, wire.PathChat, chatBody("roster", true, 6))
		table, _ := c.newest()
		v, _ := table.Version(v2)
		return isWithdrawn(v)
	})
}

func isWithdrawn(v table.Version) bool { return v.Status == table.Withdrawn }

// TestBadlyRatedVersionIsWithdrawn gives a version low ratings from one organisation: it is
// withdrawn because of the ratings alone.
func TestBadlyRatedVersionIsWithdrawn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.apply(rollingOut())
	for range 40 {
		c.platform.Rate(platform.Rating{Organisation: "voluntas", Model: v2.Model, Version: v2.Version, Score: 0.1})
	}
	c.await("the version is withdrawn", func() bool {
		table, _ := c.newest()
		v, _ := table.Version(v2)
		return isWithdrawn(v)
	})
	if _, note := c.newest(); !strings.Contains(note, "ratings") {
		t.Errorf("the note in the table's history is %q", note)
	}
}

// TestCascade checks that the cheaper model is tried first and its answer kept only if the
// engine's own quality signal reaches the confidence threshold. The caller is billed once,
// for the answer that it received.
func TestCascade(t *testing.T) {
	t.Parallel()
	large, small := table.Ref{Model: "large", Version: "v1"}, table.Ref{Model: "small", Version: "v1"}
	c := &cluster{t: t, halls: 1, backends: 4, refs: [2]table.Ref{large, small}}
	c.start(1)
	edited := baseTable()
	edited.Versions = []table.Version{{Ref: large, Price: 20, Quality: 0.9}, {Ref: small, Price: 10, Quality: 0.5}}
	edited.Allows = []table.Allow{
		{Organisation: "voluntas", Ref: large, Weight: 1, Target: 0.8},
		{Organisation: "voluntas", Ref: small, Weight: 1, Target: 0.8, Cascade: 0.7},
	}
	c.apply(table.New(*edited))
	c.awaitGeneration("entry-0")
	for _, step := range []struct {
		signal float64
		want   table.Ref
		cost   int64
	}{{0.8, small, 40}, {0.6, large, 80}} {
		for _, id := range []string{"engine-2", "engine-3"} {
			c.engines[id].SetQuality(step.signal)
		}
		before := c.billCount()
		a := c.chat("entry-0", "auto")
		if a.status != http.StatusOK || a.header.Get(wire.HeaderVersion) != step.want.String() {
			t.Errorf("with a signal of %v: %d by %s, want %s", step.signal, a.status, a.header.Get(wire.HeaderVersion), step.want)
		}
		rec := c.explain("entry-0", a.header.Get(wire.HeaderRequest))
		if rec.Cost != step.cost {
			t.Errorf("with a signal of %v billed %d, want %d", step.signal, rec.Cost, step.cost)
		}
		c.await("the request is billed once", func() bool { return c.billCount() == before+1 })
	}
	// A session keeps one version, so the cheaper model is not tried first.
	a := c.chat("entry-0", "auto", header{wire.HeaderSession, wire.SessionNew})
	if got := a.header.Get(wire.HeaderVersion); got != large.String() {
		t.Errorf("in a session answered by %s", got)
	}
}

func (c *cluster) explain(id, request string) record.Record {
	var rec record.Record
	c.await("the request is recorded", func() bool {
		resp, err := http.Get("http://" + c.daemons[id].admin + admin.PathExplain + "?request=" + request)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&rec) == nil
	})
	return rec
}

// TestFullServersQueueAndShed fills all slots of the servers: further requests are queued,
// one that could not meet its deadline is refused immediately, and all accepted requests are
// answered.
func TestFullServersQueueAndShed(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, halls: 1, backends: 2, batch: 2}
	c.start(1)
	for _, e := range c.engines {
		e.SetFault(standin.EngineFault{HoldAnswers: true})
	}
	longDeadline := header{wire.HeaderDeadline, "300000"}
	var open []<-chan answer
	for range 12 {
		open = append(open, inBackground(func() answer { return c.chat("entry-0", v1.String(), longDeadline) }))
	}
	c.await("two requests run and ten are queued", func() bool {
		d, err := c.dump("entry-0")
		return err == nil && d.Front.Queued == 10
	})
	a := c.chat("entry-0", v1.String(), header{wire.HeaderDeadline, "1000"})
	if a.status != http.StatusServiceUnavailable || a.code() != "overloaded" || a.run() != "not_run" || a.header.Get("Retry-After") == "" {
		t.Errorf("with a deadline of 1 s behind ten queued requests: %d %s %s", a.status, a.code(), a.run())
	}
	for _, e := range c.engines {
		e.SetFault(standin.EngineFault{})
	}
	for _, w := range open {
		if a := <-w; a.status != http.StatusOK {
			t.Errorf("accepted, but answered with %d %s", a.status, a.body)
		}
	}
}
