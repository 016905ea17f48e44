package scenario_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/control"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/standin"
	"ladderridge.example/daemon/tablestore"
	"ladderridge.example/daemon/wire"
)

const checkout = wire.PathService + "broker/checkout"

func withdraw(t *table.Table, ref table.Ref) *table.Table {
	v, _ := t.Version(ref)
	v.Status = table.Withdrawn
	return t.WithVersion(v)
}

// TestKilledDaemonLosesNoBillAndRepeatsNoCall kills a daemon (SIGKILL) right after it
// answered requests and while a non-repeatable call runs.
func TestKilledDaemonLosesNoBillAndRepeatsNoCall(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	// The daemon cannot write bills to the platform, so that they are lost with it unless
	// another daemon has copies.
	c.platform.SetFault(platform.Fault{Service: "table", CutHalls: []string{c.daemons["entry-0"].hall}})
	for i := range 10 {
		if a := c.chat("entry-0", "roster"); a.status != http.StatusOK || a.run() != "done" {
			t.Fatalf("request %d: %+v", i, a)
		}
	}
	c.platform.SetFault(platform.Fault{Service: "table"})
	c.broker.SetFault(standin.ServiceFault{HoldAnswers: true})
	key := header{wire.HeaderKey, "seat-17"}
	shortDeadline := header{wire.HeaderDeadline, "1000"}
	inBackground(func() answer { return c.do("entry-0", http.MethodPost, checkout, "seat=17", key, shortDeadline) })
	c.await("the checkout runs", func() bool { return c.broker.Runs()["seat-17"] == 1 })
	c.kill("entry-0")
	c.broker.SetFault(standin.ServiceFault{})

	a := c.do("entry-1", http.MethodPost, checkout, "seat=17", key, shortDeadline)
	if a.status != http.StatusConflict || a.code() != "in_progress" || a.run() != "unknown" || a.header.Get("Retry-After") == "" {
		t.Errorf("repeated while the first attempt may still run: %d %s %s", a.status, a.code(), a.run())
	}
	c.await("the claim has expired", func() bool {
		a = c.do("entry-2", http.MethodPost, checkout, "seat=17", key, shortDeadline)
		return a.code() == "outcome_unknown"
	})
	if a.run() != "unknown" {
		t.Errorf("an unknown outcome is reported as %q", a.run())
	}
	if n := c.broker.Runs()["seat-17"]; n != 1 {
		t.Errorf("the checkout ran %d times", n)
	}
	c.await("the platform has the ten bills", func() bool { return c.billCount() == 10 })
}

// TestPausedDaemonServesNothingWithdrawn pauses a daemon (SIGSTOP), withdraws a version,
// and resumes the daemon (SIGCONT) with requests waiting for it.
func TestPausedDaemonServesNothingWithdrawn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.signal("entry-0", syscall.SIGSTOP)
	var waiting []<-chan answer
	for range 20 {
		waiting = append(waiting, inBackground(func() answer { return c.chat("entry-0", v2.String()) }))
	}
	c.apply(withdraw(baseTable(), v2))
	c.awaitGeneration("entry-1", "entry-2")
	c.await("the other daemons consider the paused daemon down", func() bool {
		d, err := c.dump("entry-1")
		return err == nil && memberState(d.Control.Members, "entry-0") == "down"
	})
	before := c.runCount("engine-2") + c.runCount("engine-3")
	c.signal("entry-0", syscall.SIGCONT)
	for _, w := range waiting {
		a := <-w
		if a.status == http.StatusOK {
			t.Errorf("answered by a withdrawn version: %s", a.header.Get(wire.HeaderVersion))
		} else if a.run() != "not_run" {
			t.Errorf("refused with %d %s, run %q", a.status, a.code(), a.run())
		}
	}
	if after := c.runCount("engine-2") + c.runCount("engine-3"); after != before {
		t.Errorf("%d requests ran on a withdrawn version", after-before)
	}
	c.awaitGeneration("entry-0")
	c.await("the daemon serves again", func() bool { return c.chat("entry-0", v1.String()).status == http.StatusOK })
}

func memberState(members []control.MemberDump, id string) string {
	for _, m := range members {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

// TestGracefulShutdownInterruptsNoStream stops a daemon gracefully (SIGTERM) with
// streams open, while it cannot write bills to the platform.
func TestGracefulShutdownInterruptsNoStream(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	for _, e := range c.engines {
		e.SetFault(standin.EngineFault{HoldAnswers: true})
	}
	const streams, tokens = 12, 20
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
	c.platform.SetFault(platform.Fault{Service: "table", CutHalls: []string{c.daemons["entry-0"].hall}})
	c.signal("entry-0", syscall.SIGTERM)
	c.await("the readiness check fails", func() bool {
		resp, err := http.Get("http://" + c.daemons["entry-0"].admin + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	for _, e := range c.engines {
		e.SetFault(standin.EngineFault{})
	}
	for _, w := range open {
		if err := checkStream(<-w, v1, tokens); err != nil {
			t.Error(err)
		}
	}
	if err := <-c.daemons["entry-0"].exited; err != nil {
		t.Errorf("the daemon exited with %v", err)
	}
	c.platform.SetFault(platform.Fault{Service: "table"})
	c.await("the platform has a bill for each stream", func() bool { return c.billCount() == streams })
}

// TestOutageAndLostAnswers sends requests while the platform is down, and then while it
// applies writes but loses the responses to them.
func TestOutageAndLostAnswers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.platform.SetFault(platform.Fault{Service: "table", Down: true})
	for i := range 10 {
		if a := c.chat(fmt.Sprintf("entry-%d", i%2), "roster"); a.status != http.StatusOK {
			t.Fatalf("with the platform down: %d %s", a.status, a.body)
		}
	}
	a := c.do("entry-0", http.MethodPost, checkout, "seat=1", header{wire.HeaderKey, "seat-1"})
	// Only the platform knows whether an earlier request with this key ran.
	if a.status != http.StatusServiceUnavailable || a.code() != "claim_unavailable" || a.run() != "unknown" || a.header.Get("Retry-After") == "" {
		t.Errorf("a non-repeatable call with the platform down: %d %s %s", a.status, a.code(), a.run())
	}
	if n := len(c.broker.Runs()); n != 0 {
		t.Errorf("%d calls ran without a claim record", n)
	}
	if a := c.chat("entry-0", "roster", header{wire.HeaderSession, "named-by-caller"}); a.code() != "session_unconfirmed" || a.run() != "not_run" {
		t.Errorf("a session named by its caller with the platform down: %d %s", a.status, a.code())
	}
	if a := c.chat("entry-0", "roster", header{wire.HeaderSession, wire.SessionNew}); a.status != http.StatusOK {
		t.Errorf("a new session with the platform down: %d %s", a.status, a.code())
	}
	c.platform.SetFault(platform.Fault{Service: "table", LoseAnswers: 6})
	for i := range 8 {
		key := fmt.Sprintf("lost-%d", i)
		a := c.do(fmt.Sprintf("entry-%d", i%2), http.MethodPost, checkout, "seat=2", header{wire.HeaderKey, key})
		if a.status != http.StatusOK || c.broker.Runs()[key] != 1 {
			t.Errorf("with lost responses: %d %s, ran %d times", a.status, a.code(), c.broker.Runs()[key])
		}
	}
	c.await("the platform has every bill", func() bool { return c.billCount() == 10+1+8 })
	for i := range 8 {
		key := fmt.Sprintf("lost-%d", i)
		c.await("the outcome is recorded", func() bool {
			a := c.do(fmt.Sprintf("entry-%d", (i+1)%2), http.MethodPost, checkout, "seat=2", header{wire.HeaderKey, key})
			return a.status == http.StatusOK && a.header.Get(wire.HeaderReplayed) != ""
		})
		if n := c.broker.Runs()[key]; n != 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// TestStreamContinuesOnAnotherServer interrupts the streams of one server: they continue from
// another server of the same version.
func TestStreamContinuesOnAnotherServer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.engines["engine-0"].SetFault(standin.EngineFault{CutAfter: 5})
	const tokens = 12
	for range 10 {
		a := c.do("entry-0", http.MethodPost, wire.PathChat, chatBody(v1.String(), true, tokens))
		if err := checkStream(a, v1, tokens); err != nil {
			t.Error(err)
		}
	}
	c.await("each request is billed once", func() bool { return c.billCount() == 10 })
	for _, e := range c.platform.Keys(control.BillPrefix) {
		var b struct{ Tokens int64 }
		if err := json.Unmarshal(e.Value, &b); err != nil || b.Tokens != tokens {
			t.Errorf("bill %s says %d tokens, want %d", e.Key, b.Tokens, tokens)
		}
	}
	// With no other server left the stream ends with an error event and is not billed.
	for _, id := range []string{"engine-0", "engine-1"} {
		c.engines[id].SetFault(standin.EngineFault{CutAfter: 2})
	}
	a := c.do("entry-0", http.MethodPost, wire.PathChat, chatBody(v1.String(), true, tokens))
	if err := checkStream(a, v1, tokens); err == nil {
		t.Error("an interrupted stream looks complete")
	}
}

// TestStreamThatBreaksOffLooksBroken guards against a stream without an end that looks like a complete
// answer to an HTTP client: the caller gets the error event, and no end of the body.
func TestStreamThatBreaksOffLooksBroken(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	for _, id := range []string{"engine-0", "engine-1"} {
		c.engines[id].SetFault(standin.EngineFault{CutAfter: 1})
	}
	a := c.do("entry-0", http.MethodPost, wire.PathChat, chatBody(v1.String(), true, 12))
	if a.status != http.StatusOK || !strings.Contains(a.body, `"error"`) || !errors.Is(a.err, io.ErrUnexpectedEOF) {
		t.Errorf("status %d, error %v, body %q", a.status, a.err, a.body)
	}
}

// TestOtherAnswersDoNotContinueAStream guards against a stream that is taken up at an engine which does not
// send its rest and then looks complete, and against an engine's error that passes for a token.
func TestOtherAnswersDoNotContinueAStream(t *testing.T) {
	t.Parallel()
	const tokens = 12
	for name, f := range map[string]standin.EngineFault{
		"error after tokens":   {FailAfter: 2},
		"error after a resume": {CutAfter: 2, FailResumed: true},
		"shorter answer":       {CutAfter: 5, ReplayTokens: 2},
		"end after a resume":   {CutAfter: 5, EndResumed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1)
			for _, id := range []string{"engine-0", "engine-1"} {
				c.engines[id].SetFault(f)
			}
			a := c.do("entry-0", http.MethodPost, wire.PathChat, chatBody(v1.String(), true, tokens))
			if a.status != http.StatusOK || !errors.Is(a.err, io.ErrUnexpectedEOF) || strings.Contains(a.body, wire.Terminator) || strings.Contains(a.body, "engine failed") {
				t.Errorf("status %d, error %v, body %q", a.status, a.err, a.body)
			}
		})
	}
}

// TestMismatchedAnswersAreDropped makes one engine of each version answer with the ids of
// other attempts: no caller may receive an answer to another request.
func TestMismatchedAnswersAreDropped(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	for _, id := range []string{"engine-0", "engine-2"} {
		c.engines[id].SetFault(standin.EngineFault{MismatchAnswers: 3})
	}
	for range 20 {
		a := c.do("entry-0", http.MethodPost, wire.PathChat, chatBody("roster", true, 3))
		ref := v1
		if a.header.Get(wire.HeaderVersion) == v2.String() {
			ref = v2
		}
		if err := checkStream(a, ref, 3); err != nil {
			t.Error(err)
		}
	}
	d, err := c.dump("entry-0")
	if err != nil || d.Front.CrossedAnswers == 0 {
		t.Errorf("no mismatched answer was counted: %v", err)
	}
}

// TestNonRepeatableCallIsSentOnce makes the service interrupt the answer of a non-repeatable call
// after running it: the call is not sent again and never reported as not run.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	for _, h := range [][]header{{{wire.HeaderKey, "cut"}}, nil} {
		c.broker.SetFault(standin.ServiceFault{CutAnswers: 1})
		before := total(c.broker.Runs())
		a := c.do("entry-0", http.MethodPost, checkout, "seat=9", h...)
		if a.status != http.StatusBadGateway || a.run() != "unknown" {
			t.Errorf("interrupted answer: %d, run %q", a.status, a.run())
		}
		if n := total(c.broker.Runs()) - before; n != 1 {
			t.Errorf("the call ran %d times", n)
		}
	}
	c.await("the claim record has the unknown outcome", func() bool {
		a := c.do("entry-1", http.MethodPost, checkout, "seat=9", header{wire.HeaderKey, "cut"})
		return a.code() == "outcome_unknown" && a.run() == "unknown"
	})
	if a := c.do("entry-1", http.MethodPost, checkout, "seat=10", header{wire.HeaderKey, "cut"}); a.code() != "key_reused" {
		t.Errorf("another request with the same key: %d %s", a.status, a.code())
	}
}

func total(runs map[string]int) int {
	n := 0
	for _, times := range runs {
		n += times
	}
	return n
}

// TestSessionKeepsItsVersion checks that sessions keep their version when the table is
// edited and a daemon is restarted, and that they end when the version is withdrawn.
func TestSessionKeepsItsVersion(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	type session struct{ name, token, version string }
	var sessions []session
	for i := range 12 {
		name := wire.SessionNew
		if i%2 == 0 {
			name = fmt.Sprintf("named-%d", i)
		}
		a := c.chat("entry-0", "roster", header{wire.HeaderSession, name})
		if a.status != http.StatusOK {
			t.Fatalf("%d %s", a.status, a.body)
		}
		s := session{name: name, token: a.header.Get(wire.HeaderPin), version: a.header.Get(wire.HeaderVersion)}
		if name != wire.SessionNew {
			// The caller names the session and does not carry the token.
			s.token = ""
		}
		sessions = append(sessions, s)
	}
	weights := baseTable()
	weights.Allows[0].Weight = 0
	c.apply(weights)
	c.kill("entry-0")
	c.startDaemon("entry-0")
	c.awaitServing("entry-0")
	c.awaitGeneration("entry-1")
	headers := func(s session) header {
		if s.token != "" {
			return header{wire.HeaderPin, s.token}
		}
		return header{wire.HeaderSession, s.name}
	}
	moved := 0
	for i, s := range sessions {
		a := c.chat(fmt.Sprintf("entry-%d", i%2), "roster", headers(s))
		if a.header.Get(wire.HeaderVersion) != s.version {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d of %d sessions changed their version", moved, len(sessions))
	}
	c.apply(withdraw(weights, v1))
	c.awaitGeneration("entry-0", "entry-1")
	for i, s := range sessions {
		a := c.chat(fmt.Sprintf("entry-%d", i%2), "roster", headers(s))
		if s.version == v1.String() && (a.code() != "session_version_gone" || a.run() != "not_run") {
			t.Errorf("a session of the withdrawn version: %d %s %s", a.status, a.code(), a.header.Get(wire.HeaderVersion))
		}
		if s.version == v2.String() && a.header.Get(wire.HeaderVersion) != s.version {
			t.Errorf("a session of the other version: %d %s", a.status, a.code())
		}
	}
}

// TestLeavingServerGetsNoNewRequests makes an engine decline requests because it is leaving:
// one daemon notices, and the others learn it from that daemon.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	c.engines["engine-0"].SetFault(standin.EngineFault{Leaving: true})
	c.await("a daemon has noticed that the server is leaving", func() bool {
		if a := c.chat("entry-0", v1.String()); a.status != http.StatusOK {
			t.Fatalf("%d %s", a.status, a.body)
		}
		d, err := c.dump("entry-0")
		return err == nil && leaving(d.Control.Servers, "engine-0")
	})
	for _, id := range []string{"entry-1", "entry-2"} {
		c.await(id+" knows that the server is leaving", func() bool {
			d, err := c.dump(id)
			return err == nil && leaving(d.Control.Servers, "engine-0")
		})
	}
	before := c.runCount("engine-0")
	for i := range 30 {
		if a := c.chat(fmt.Sprintf("entry-%d", i%3), v1.String()); a.status != http.StatusOK {
			t.Errorf("%d %s", a.status, a.code())
		}
	}
	if n := c.runCount("engine-0") - before; n != 0 {
		t.Errorf("%d requests ran on a leaving server", n)
	}
}

func leaving(servers []control.ServerDump, id string) bool {
	for _, s := range servers {
		if s.ID == id {
			return s.Leaving
		}
	}
	return false
}

// TestOneOfConcurrentEditsWins applies concurrent edits based on the same generation while the
// platform loses responses: exactly one edit wins each round, and none reverts another.
func TestOneOfConcurrentEditsWins(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	for round := range 5 {
		c.platform.SetFault(platform.Fault{Service: "table", LoseAnswers: round})
		var mu sync.Mutex
		var wg sync.WaitGroup
		won := map[string]uint64{}
		for op := range 6 {
			wg.Go(func() {
				edited := baseTable()
				edited.Allows[0].Weight = 10*round + op + 2
				author := fmt.Sprintf("operator-%d", op)
				h, err := c.store.Apply(context.Background(), tablestore.Edit{From: c.generation, Table: edited, Author: author, At: time.Unix(0, 0)})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					won[author] = h.Number
				} else if !fault.Is(err, tablestore.Stale) {
					t.Errorf("edit by %s failed with %v", author, err)
				}
			})
		}
		wg.Wait()
		newest, _, err := c.store.Newest(context.Background())
		if err != nil || len(won) != 1 || won[newest.Author] != newest.Number || newest.Number != c.generation+1 {
			t.Fatalf("round %d: winners %v, newest generation %d by %s (%v)", round, won, newest.Number, newest.Author, err)
		}
		c.generation = newest.Number
	}
	c.awaitGeneration("entry-0", "entry-1")
}

// TestStartsWhileThePlatformIsDown restarts a daemon during a platform outage: it fetches
// the newest table from another daemon.
func TestStartsWhileThePlatformIsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	c.apply(withdraw(baseTable(), v2))
	c.awaitGeneration("entry-0", "entry-1")
	for _, service := range []string{"table", "objects", "vms", "ratings"} {
		c.platform.SetFault(platform.Fault{Service: service, Down: true})
	}
	c.kill("entry-0")
	c.startDaemon("entry-0")
	c.awaitGeneration("entry-0")
	c.await("it serves requests", func() bool { return c.chat("entry-0", "roster").status == http.StatusOK })
	if a := c.chat("entry-0", v2.String()); a.run() != "not_run" {
		t.Errorf("a withdrawn version: %d %s", a.status, a.run())
	}
}
