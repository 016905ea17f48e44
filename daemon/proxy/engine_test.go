package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/retry"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/storesync"
)

// parts returns a configuration with one route of each kind.
func parts(number uint64, keys ...string) routemap.Parts {
	base := routemap.Route{Host: "h", Shares: []routemap.Share{{Service: "s", Weight: 1}}, Attempts: 2, Timeout: 2 * time.Second, LatencyObjective: 200 * time.Millisecond}
	once, again, stream := base, base, base
	once.Name, once.Prefix = "once", "/once/"
	again.Name, again.Prefix, again.Repeat = "again", "/again/", routemap.Repeatable
	stream.Name, stream.Prefix, stream.Streaming, stream.Resumable, stream.GapObjective = "stream", "/stream/", true, true, time.Second
	ladder := stream
	ladder.Name, ladder.Prefix, ladder.Cascade, ladder.Attempts = "ladder", "/ladder/", []string{"small", "middle", "large"}, 3
	slow := stream
	slow.Name, slow.Prefix, slow.Timeout = "slow", "/slow/", 10*time.Second
	return routemap.Parts{
		Number: number, Routes: []routemap.Route{once, again, stream, ladder, slow},
		Organisations: []routemap.Organisation{{Name: "org", Keys: keys}},
	}
}

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(200, "the answer", "Proof: p")))
		got := b.send(t.Context(), proxy.Request{ID: "r1", Path: "/once/x", Target: "/once/x?q=%20", Key: "k", Body: []byte("in"), Timeout: time.Second})
		if got.status != 200 || got.body.String() != "the answer" || got.header.Get("Proof") != "p" || got.outcome != (proxy.Answered{Status: 200}) {
			t.Errorf("status %d, body %q, outcome %v", got.status, got.body.String(), got.outcome)
		}
		a := b.received()[0]
		if a.target != "/once/x?q=%20" || a.body != "in" || a.header.Get("Organisation") != "org" || a.header.Get("Left") != "1000" {
			t.Errorf("server received %+v", a)
		}
	})
}

func TestRefusedRequestsReachNoServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		s := b.server("a", whole(200, "x"))
		if got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k"}); got.outcome.(proxy.Refused).Reason != proxy.NotReady {
			t.Errorf("outcome without a configuration: %v", got.outcome)
		}
		b.known.set(routemap.New(parts(1, "k")), s)
		for want, r := range map[proxy.Reason]proxy.Request{
			proxy.NoRoute:    {Path: "/other/"},
			proxy.NoKey:      {Path: "/once/x"},
			proxy.WrongKey:   {Path: "/once/x", Key: "other"},
			proxy.WrongModel: {Path: "/ladder/x", Key: "k", Model: "large"},
		} {
			r.ID = "r"
			if got := b.send(t.Context(), r); got.outcome.(proxy.Refused).Reason != want {
				t.Errorf("want refusal %q, got outcome %v", want, got.outcome)
			}
		}
		// The configuration has not been confirmed since: keys are no longer accepted.
		time.Sleep(4*time.Second + time.Millisecond)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k"})
		if out := got.outcome.(proxy.Refused); out.Reason != proxy.Stale || out.RetryAfter <= 0 {
			t.Errorf("outcome with an old configuration: %v", got.outcome)
		}
		if len(b.received()) > 0 {
			t.Errorf("%d requests reached a server", len(b.received()))
		}
	})
}

func TestNonRepeatableRequestIsSentOnceAndReportedAsFailure(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		lose := func(net.Conn, arrival) bool { return false }
		b.known.set(routemap.New(parts(1, "k")), b.server("a", lose), b.server("b", lose))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Failure{Reason: proxy.Failed}) {
			t.Errorf("outcome %v", got.outcome)
		}
		if len(b.received()) != 1 {
			t.Errorf("request sent %d times", len(b.received()))
		}
	})
}

func TestDeclinedRequestIsRetriedAtAnotherServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		full := whole(503, "", "Declined: 1")
		servers := []*fleet.Server{b.server("a", full), b.server("b", full), b.server("c", whole(200, "ok"))}
		b.known.set(routemap.New(parts(1, "k")), servers...)
		if got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second}); got.body.String() != "ok" {
			t.Errorf("%v", got.outcome)
		}
		b.scripts["c"] = full
		b.known.set(routemap.New(parts(2, "k")), servers[:2]...)
		got := b.send(t.Context(), proxy.Request{ID: "r2", Path: "/once/x", Key: "k", Timeout: time.Second})
		if out, ok := got.outcome.(proxy.Refused); !ok || out.Reason != proxy.Overloaded || out.RetryAfter <= 0 || got.took > 0 {
			t.Errorf("outcome with all servers full: %v after %v", got.outcome, got.took)
		}
	})
}

func TestRepeatableRequestIsRetried(t *testing.T) {
	for name, first := range map[string]script{
		"lost":   func(net.Conn, arrival) bool { return false },
		"failed": whole(500, "failure"),
		"mute":   silent,
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				var failed atomic.Bool
				s := func(c net.Conn, a arrival) bool {
					if failed.CompareAndSwap(false, true) {
						return first(c, a)
					}
					return whole(200, "ok")(c, a)
				}
				b.known.set(routemap.New(parts(1, "k")), b.server("a", s), b.server("b", s))
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Method: http.MethodGet, Key: "k", Timeout: time.Second})
				if got.body.String() != "ok" || len(b.received()) != 2 {
					t.Errorf("outcome %v, request sent %d times", got.outcome, len(b.received()))
				}
			})
		})
	}
}

func TestLastErrorResponseIsForwarded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(500, "failure", "Proof: p")))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if got.status != 500 || got.body.String() != "failure" || got.header.Get("Proof") != "p" {
			t.Errorf("status %d, body %q", got.status, got.body.String())
		}
	})
}

func TestDeadlineEndsARequestImmediately(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", silent))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: 300 * time.Millisecond})
		if got.outcome != (proxy.Failure{Reason: proxy.DeadlineExceeded}) || got.took != 300*time.Millisecond {
			t.Errorf("outcome %v after %v", got.outcome, got.took)
		}
	})
}

func TestInterruptedStreamIsResumedAfterTheLastEvent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		s := func(c net.Conn, a arrival) bool {
			if a.header.Get("After") == "" {
				return events(1, 2, false, "Proof: first")(c, a)
			}
			return events(3, 4, true, "Proof: second")(c, a)
		}
		b.known.set(routemap.New(parts(1, "k")), b.server("a", s), b.server("b", s))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: 200}) || got.header.Get("Proof") != "first" {
			t.Errorf("outcome %v, headers %v", got.outcome, got.header)
		}
		if diff := cmp.Diff([]string{"1", "2", "3", "4"}, ids(got.body.String())); diff != "" {
			t.Error(diff)
		}
		if b.received()[1].header.Get("After") != "2" || b.received()[1].server == b.received()[0].server {
			t.Errorf("stream resumed with %+v", b.received()[1])
		}
	})
}

// ids returns the ids of the events in a body.
func ids(body string) []string {
	var out []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			out = append(out, id)
		}
	}
	return out
}

// A stream whose key is revoked while it runs must be completed. Answering it as a refusal would
// make the part that the caller has look complete.
func TestStartedStreamSurvivesRevocationOfItsKey(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		var servers []*fleet.Server
		s := func(c net.Conn, a arrival) bool {
			if a.header.Get("After") == "" {
				b.known.set(routemap.New(parts(2, "another")), servers...)
				return events(1, 2, false)(c, a)
			}
			return events(3, 3, true)(c, a)
		}
		servers = []*fleet.Server{b.server("a", s), b.server("b", s)}
		b.known.set(routemap.New(parts(1, "k")), servers...)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: 200}) || len(ids(got.body.String())) != 3 {
			t.Errorf("outcome %v, events %v", got.outcome, ids(got.body.String()))
		}
	})
}

func TestInterruptedStreamNeverLooksComplete(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		s := events(1, 2, false)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", s), b.server("b", s), b.server("c", s))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		if _, ok := got.outcome.(proxy.Interrupted); !ok {
			t.Errorf("outcome %v", got.outcome)
		}
		if diff := cmp.Diff([]string{"1", "2"}, ids(got.body.String())); diff != "" {
			t.Error(diff)
		}
	})
}

func TestIdleStreamIsResumedAtAnotherServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		s := func(c net.Conn, a arrival) bool {
			if a.header.Get("After") == "" {
				events(1, 1, false)(c, a)
				return silent(c, a)
			}
			return events(2, 2, true)(c, a)
		}
		b.known.set(routemap.New(parts(1, "k")), b.server("a", s), b.server("b", s))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/slow/x", Key: "k", Timeout: 9 * time.Second})
		if got.outcome != (proxy.Answered{Status: 200}) || got.took >= 4*time.Second {
			t.Errorf("outcome %v after %v", got.outcome, got.took)
		}
	})
}

func TestLowConfidenceEscalatesToTheLargestModel(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		s := func(c net.Conn, a arrival) bool {
			if a.header.Get("Model") == "small" {
				return events(1, 1, true, "Confidence: 10")(c, a)
			}
			return events(1, 2, true, "Confidence: 20")(c, a)
		}
		b.known.set(routemap.New(parts(1, "k")), b.server("a", s))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		if len(ids(got.body.String())) != 2 {
			t.Errorf("outcome %v, caller received events %v", got.outcome, ids(got.body.String()))
		}
		if len(b.received()) != 2 || b.received()[1].header.Get("Model") != "large" {
			t.Errorf("servers received %+v", b.received())
		}
	})
}

// A server on which the smaller model has just taken much longer than is typical is busy: the
// larger model must run on another server.
func TestEscalationAvoidsABusyServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		var busy atomic.Bool
		s := func(c net.Conn, a arrival) bool {
			confidence := "Confidence: 90"
			if busy.Load() && a.header.Get("Model") == "small" {
				confidence = "Confidence: 10"
				time.Sleep(90 * time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			return events(1, 2, true, confidence)(c, a)
		}
		first, second := b.server("a", s), b.server("b", s)
		for range 5 {
			// The second server has more load, as far as this daemon knows.
			second.State.Begin(1)
		}
		b.known.set(routemap.New(parts(1, "k")), first, second)
		ask := func() {
			b.send(t.Context(), proxy.Request{ID: "r", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		}
		for range 20 {
			ask()
		}
		busy.Store(true)
		before := len(b.received())
		ask()
		if seen := b.received()[before:]; len(seen) != 2 || seen[0].server != "a" || seen[1].server != "b" {
			t.Errorf("servers received %+v", seen)
		}
	})
}

// In a burst, a larger model's run delays other requests, but only while they are waiting: the
// latest response time must count as well as the typical one.
func TestBurstSuspendsEscalationBriefly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		var waits atomic.Int64
		s := func(c net.Conn, a arrival) bool {
			if a.header.Get("Model") == "small" {
				time.Sleep(time.Duration(waits.Load()))
			}
			return events(1, 1, true, "Confidence: 30")(c, a)
		}
		servers := []*fleet.Server{b.server("a", s), b.server("b", s)}
		larger := func(requests int) (n int) {
			b.known.set(routemap.New(parts(1, "k")), servers...)
			before := len(b.received())
			for range requests {
				b.send(t.Context(), proxy.Request{ID: "r", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
			}
			return len(b.received()) - before - requests
		}
		for _, phase := range []struct {
			waits    time.Duration
			requests int
			// least and most bound how many are escalated to a larger model.
			least, most int
		}{{5 * time.Millisecond, 40, 40, 40}, {100 * time.Millisecond, 30, 0, 20}, {100 * time.Millisecond, 20, 0, 0}, {5 * time.Millisecond, 3, 3, 3}} {
			waits.Store(int64(phase.waits))
			if n := larger(phase.requests); n < phase.least || n > phase.most {
				t.Errorf("of %d requests that waited %v, %d were escalated", phase.requests, phase.waits, n)
			}
		}
	})
}

func TestResponseAboveConfidenceThresholdIsKept(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", events(1, 1, true, "Confidence: 90")))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		if len(b.received()) != 1 || got.outcome != (proxy.Answered{Status: 200}) {
			t.Errorf("outcome %v after %d attempts", got.outcome, len(b.received()))
		}
	})
}

// With the retry budget used up, a response of low confidence is better than none.
func TestLowConfidenceResponseIsKeptWithoutRetryBudget(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.Budget = &retry.Budget{Window: 10 * time.Second}
		b.known.set(routemap.New(parts(1, "k")), b.server("a", events(1, 1, true, "Confidence: 10")))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: 200}) || len(b.received()) != 1 {
			t.Errorf("outcome %v after %d attempts", got.outcome, len(b.received()))
		}
	})
}

// A daemon that is stopping leaves its share of the budget's slack to its replacement.
func TestStoppingDaemonHasNoRetrySlack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", events(1, 1, true, "Confidence: 90")))
		for range 20 {
			b.send(t.Context(), proxy.Request{ID: "r", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		}
		time.Sleep(2 * time.Second)
		before := b.engine.Repeats()[0].Left
		b.engine.ShutdownBy(time.Now().Add(time.Second))
		if after := b.engine.Repeats()[0].Left; before < 10 || after > 2 {
			t.Errorf("%.1f retries left, %.1f while stopping", before, after)
		}
	})
}

func TestDisconnectOfTheCallerAbortsTheAttempt(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		left := make(chan struct{})
		b.known.set(routemap.New(parts(1, "k")), b.server("a", func(c net.Conn, a arrival) bool {
			silent(c, a)
			close(left)
			return false
		}))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		got := b.send(ctx, proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		<-left
		if got.outcome != (proxy.ClientGone{}) || got.took != 100*time.Millisecond {
			t.Errorf("outcome %v after %v", got.outcome, got.took)
		}
	})
}

// A stream from a slow server must go on if the budget allows no retry: aborting it leaves the
// caller with nothing.
func TestIdleStreamWithoutRetryBudgetIsNotAborted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.Budget = &retry.Budget{Window: 10 * time.Second}
		b.known.set(routemap.New(parts(1, "k")), b.server("a", func(c net.Conn, a arrival) bool {
			events(1, 1, false)(c, a)
			time.Sleep(4 * time.Second)
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		}))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/slow/x", Key: "k", Timeout: 9 * time.Second})
		if got.outcome != (proxy.Answered{Status: 200}) || len(b.received()) != 1 {
			t.Errorf("outcome %v after %d attempts", got.outcome, len(b.received()))
		}
	})
}

// A daemon that is about to stop accepts requests whose deadline is before its end, and refuses
// the others with a retry-after time.
func TestStoppingDaemonAcceptsRequestsThatEndInTime(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(200, "ok")))
		b.engine.ShutdownBy(time.Now().Add(1500 * time.Millisecond))
		ask := func(wait time.Duration) proxy.Outcome {
			return b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: wait}).outcome
		}
		if out := ask(time.Second); out != (proxy.Answered{Status: 200}) {
			t.Errorf("short request: %v", out)
		}
		if out, ok := ask(9 * time.Second).(proxy.Refused); !ok || out.Reason != proxy.ShuttingDown || out.RetryAfter <= 0 {
			t.Errorf("request that may outlast the daemon: %v", out)
		}
		if len(b.received()) != 1 {
			t.Errorf("%d requests were sent", len(b.received()))
		}
	})
}

// Where operators let keys outlive the store connection, known keys are accepted without the
// store. Unknown keys are refused as temporarily undecidable, since they may have been added.
func TestKnownKeysAreAcceptedWithoutTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(200, "ok")))
		ask := func(key string) proxy.Outcome {
			return b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: key, Timeout: time.Second}).outcome
		}
		b.engine.SetKeyAge(4*time.Second, 20*time.Second)
		if out := ask("other"); out != (proxy.Refused{Reason: proxy.WrongKey}) {
			t.Errorf("wrong key: %v", out)
		}
		time.Sleep(10 * time.Second)
		if out := ask("k"); out != (proxy.Answered{Status: 200}) {
			t.Errorf("known key without the store: %v", out)
		}
		if out, ok := ask("other").(proxy.Refused); !ok || out.Reason != proxy.Stale || out.RetryAfter <= 0 {
			t.Errorf("unknown key without the store: %v", out)
		}
		time.Sleep(12 * time.Second)
		if out, ok := ask("k").(proxy.Refused); !ok || out.Reason != proxy.Stale {
			t.Errorf("known key after the maximum age: %v", out)
		}
		b.engine.SetKeyAge(4*time.Second, 0)
		if out, ok := ask("k").(proxy.Refused); !ok || out.Reason != proxy.Stale {
			t.Errorf("known key where keys may not outlive the store: %v", out)
		}
	})
}

// A request that was accepted must be retried even if the configuration has meanwhile become too
// old for new requests. It used to fail after its first attempt.
func TestAcceptedRequestIsRetriedUnderAnOldConfiguration(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.SetKeyAge(50*time.Millisecond, 0)
		var lost atomic.Bool
		s := func(c net.Conn, a arrival) bool {
			if lost.CompareAndSwap(false, true) {
				time.Sleep(100 * time.Millisecond)
				return false
			}
			return whole(200, "ok")(c, a)
		}
		b.known.set(routemap.New(parts(1, "k")), b.server("a", s), b.server("b", s))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if got.body.String() != "ok" {
			t.Errorf("%v", got.outcome)
		}
	})
}

// Observations of a version include the time to the first event and the interval between events,
// each relative to the reference.
func TestObservationsIncludeFirstEventAndIntervals(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		first, between := 10*time.Millisecond, 5*time.Millisecond
		b.known.set(routemap.New(parts(1, "k")), b.server("a", func(c net.Conn, a arrival) bool {
			time.Sleep(first)
			return paced(6, between)(c, a)
		}))
		ask := func() storesync.Observation {
			b.send(t.Context(), proxy.Request{ID: "r", Path: "/slow/x", Key: "k", Timeout: 9 * time.Second})
			return b.known.lastObservation()
		}
		for range 20 {
			if f := ask(); f.FirstRatio > 2 || f.BetweenRatio > 2 {
				t.Fatalf("typical response counts as slow: %+v", f)
			}
		}
		first = 150 * time.Millisecond
		if f := ask(); f.FirstRatio < 4 || f.BetweenRatio > 2 {
			t.Errorf("observation of a late first event: %+v", f)
		}
		first, between = 10*time.Millisecond, 40*time.Millisecond
		if f := ask(); f.FirstRatio > 2 || f.BetweenRatio < 4 {
			t.Errorf("observation of slow events: %+v", f)
		}
	})
}

// The first part of a stream must be reported when it arrives, not at the end of the stream:
// meanwhile other callers get the same version. Otherwise a slow version is stopped up to half a
// second too late. In one run, streams of some seconds whose first parts had been late were in
// flight (41 responses, but only 27 first parts observed), and the faulty version still got a
// request 5037 ms after its 50th bad response.
func TestFirstPartIsObservedBeforeTheStreamEnds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", paced(4, time.Second)))
		go b.send(t.Context(), proxy.Request{ID: "r", Path: "/slow/x", Key: "k", Timeout: 9 * time.Second})
		time.Sleep(500 * time.Millisecond)
		if told := b.known.observations(); len(told) != 1 || told[0].Stage != storesync.Started {
			t.Errorf("observations so far: %+v", told)
		}
		time.Sleep(6 * time.Second)
		if told := b.known.observations(); len(told) != 2 || told[1].Stage != storesync.Remainder || told[1].FirstRatio != 0 {
			t.Errorf("observations: %+v", told)
		}
	})
}

// A long prompt takes longer than a short one, which must not count against the version.
func TestLongPromptDoesNotCountAsSlow(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", func(c net.Conn, a arrival) bool {
			tokens, _ := strconv.Atoi(a.header.Get("Id"))
			time.Sleep(10*time.Millisecond + time.Duration(tokens)*5*time.Microsecond)
			return paced(6, 5*time.Millisecond)(c, a)
		}))
		ask := func(tokens int) storesync.Observation {
			prompt := []prefixcache.Part{{ID: "shared", Tokens: 4000}, {ID: fmt.Sprint(tokens), Tokens: tokens}}
			b.send(t.Context(), proxy.Request{ID: fmt.Sprint(tokens), Path: "/slow/x", Key: "k", Timeout: 9 * time.Second, Prompt: prompt})
			return b.known.lastObservation()
		}
		for i := range 40 {
			ask(1000 * (1 + i%8))
		}
		if f := ask(20000); f.FirstRatio > 2 {
			t.Errorf("observation of a long prompt: %+v", f)
		}
		if f := ask(100); f.FirstRatio > 2 {
			t.Errorf("observation of a short prompt: %+v", f)
		}
	})
}

// A response that has not arrived by the deadline must count as slow.
func TestMissingResponseCountsAsSlow(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		first := 10 * time.Millisecond
		b.known.set(routemap.New(parts(1, "k")), b.server("a", func(c net.Conn, a arrival) bool {
			time.Sleep(first)
			return paced(6, time.Millisecond)(c, a)
		}))
		ask := func() storesync.Observation {
			b.send(t.Context(), proxy.Request{ID: "r", Path: "/slow/x", Key: "k", Timeout: time.Second})
			return b.known.lastObservation()
		}
		for range 20 {
			ask()
		}
		first = 3 * time.Second
		if f := ask(); f.Stage != storesync.Abandoned || f.FirstRatio < 8 {
			t.Errorf("observation: %+v", f)
		}
		// The server ends its script as well.
		time.Sleep(first)
	})
}

// Broken connections must not count against the version at their other end. A good version was
// once rolled back because servers running it had crashed.
func TestBrokenConnectionsDoNotCountAgainstAVersion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", func(net.Conn, arrival) bool { return false }))
		b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		b.known.set(routemap.New(parts(2, "k")), b.server("b", events(1, 2, false)))
		b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		// Only the first part of the stream, which arrived at once, is observed.
		if told := b.known.recorded; len(told) != 1 || told[0].Stage != storesync.Started || told[0].Failed || told[0].FirstRatio > 2 {
			t.Errorf("observations: %+v", told)
		}
		b.known.recorded = nil
		b.known.set(routemap.New(parts(3, "k")), b.server("c", whole(500, "")))
		b.send(t.Context(), proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Timeout: time.Second})
		if len(b.known.recorded) == 0 || !b.known.recorded[0].Failed {
			t.Errorf("observations after a failure: %+v", b.known.recorded)
		}
	})
}

// A request that a server has failed is retried at another server, and at the same one only if
// there is no other.
func TestFailedRequestIsRetriedAtAnotherServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		grey, sound := b.server("a", whole(500, "")), b.server("b", whole(200, "ok"))
		for range 5 {
			// The healthy server has more load.
			sound.State.Begin(1)
		}
		b.known.set(routemap.New(parts(1, "k")), grey, sound)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if got.body.String() != "ok" || b.received()[0].server != "a" {
			t.Errorf("outcome %v, servers received %+v", got.outcome, b.received())
		}
	})
}

// A request without enough time for two servers stays at the first one: aborting it after a part
// of its time wastes the work of several servers.
func TestRequestNearItsDeadlineStaysAtItsServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		s := func(c net.Conn, a arrival) bool {
			time.Sleep(60 * time.Millisecond)
			return whole(200, "ok")(c, a)
		}
		b.known.set(routemap.New(parts(1, "k")), b.server("a", s), b.server("b", s))
		ask := func(wait time.Duration) *response {
			return b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: wait})
		}
		for range 20 {
			ask(time.Second)
		}
		before := len(b.received())
		if got := ask(90 * time.Millisecond); got.body.String() != "ok" || len(b.received()) != before+1 {
			t.Errorf("outcome %v after %v, sent to %d servers", got.outcome, got.took, len(b.received())-before)
		}
	})
}

// A caller that disconnects says nothing about the server. Such disconnects used to put servers
// into back-off.
func TestDisconnectOfTheCallerIsNoServerFailure(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		for name, s := range map[string]script{
			"before the head": silent,
			"within a stream": func(c net.Conn, a arrival) bool {
				events(1, 1, false)(c, a)
				return silent(c, a)
			},
		} {
			server := b.server(name, s)
			b.known.set(routemap.New(parts(1, "k")), server)
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				got := b.send(ctx, proxy.Request{ID: "r", Path: "/slow/x", Key: "k", Timeout: 9 * time.Second})
				cancel()
				if got.outcome != (proxy.ClientGone{}) {
					t.Errorf("%s: %v", name, got.outcome)
				}
			}
			if server.State.InBackoff(time.Now()) || server.State.Slowness() != 1 {
				t.Errorf("%s: server in back-off: %v, slowness %v", name, server.State.InBackoff(time.Now()), server.State.Slowness())
			}
		}
	})
}

// A request that arrives just after the daemon's start waits a moment for the configuration.
// Without the wait, hundreds were refused when all processes restarted.
func TestRequestAtTheStartWaitsForTheConfiguration(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		s := b.server("a", whole(200, "ok"))
		time.AfterFunc(100*time.Millisecond, func() { b.known.set(routemap.New(parts(1, "k")), s) })
		if got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second}); got.body.String() != "ok" {
			t.Errorf("outcome %v after %v", got.outcome, got.took)
		}
	})
}

func TestWaitForTheFirstConfigurationIsBounded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		refused, ok := got.outcome.(proxy.Refused)
		if !ok || refused.Reason != proxy.NotReady || refused.RetryAfter == 0 || got.took > 150*time.Millisecond {
			t.Errorf("outcome %v after %v", got.outcome, got.took)
		}
	})
}

// When connections to other halls are reset, a request must not use up its attempts there within
// milliseconds.
func TestBrokenConnectionToAnotherHallIsRetriedInOwnHall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.Hall = "home"
		reset := func(net.Conn, arrival) bool { return false }
		var all []*fleet.Server
		for _, id := range []string{"a", "b", "c", "d"} {
			s := b.server(id, reset)
			s.Hall = "away"
			all = append(all, s)
		}
		ownHall := b.server("z", whole(200, "ok"))
		ownHall.Hall = "home"
		for range 9 {
			// The server in the daemon's own hall has more load.
			ownHall.State.Begin(1)
		}
		b.known.set(routemap.New(parts(1, "k")), append(all, ownHall)...)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if seen := b.received(); got.body.String() != "ok" || len(seen) != 2 {
			t.Errorf("outcome %v after %d attempts", got.outcome, len(seen))
		}
	})
}

// Reports identify requests for the same content, also under different ids. The content of r1
// and r2 is the same, that of r3 is another. Two servers broke off under one request that was
// sent again under other ids, and the log did not show that it was the same one.
func TestReportsOfTheSameContentHaveTheSameFingerprint(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(200, "x")))
		for id, body := range map[string]string{"r1": "in", "r2": "in", "r3": "other"} {
			b.send(t.Context(), proxy.Request{ID: id, Path: "/again/x", Key: "k", Body: []byte(body)})
		}
		content := map[string]quarantine.Fingerprint{}
		for _, r := range b.reports {
			content[r.Request.ID] = r.Content
		}
		if content["r1"] == 0 || content["r1"] != content["r2"] || content["r1"] == content["r3"] {
			t.Errorf("fingerprints: %v", content)
		}
	})
}

// A server that exits shortly after its response was dropped for a larger model's must count as
// a crash. In one run such a request ended its server 20 ms after the drop, when the daemon had
// nothing left in flight there, so only two of three exits were seen.
func TestServerExitAfterADroppedResponseIsCounted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		var servers []*fleet.Server
		for n := range 6 {
			id := string(rune('a' + n))
			servers = append(servers, b.server(id, b.crashing("deadly", 20*time.Millisecond, events(1, 1, false, "Confidence: 10"))))
		}
		b.known.set(routemap.New(parts(1, "k")), servers...)
		ask := func(id string) *response {
			return b.send(t.Context(), proxy.Request{ID: id, Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Body: []byte("deadly"), Timeout: 2 * time.Second})
		}
		for n := 0; b.ended.Load() < 3; n++ {
			ask("r" + strconv.Itoa(n))
			time.Sleep(time.Second)
		}
		arrived := len(b.received())
		got := ask("once more")
		out, refused := got.outcome.(proxy.Refused)
		if !refused || out.Reason != proxy.Quarantined || out.RetryAfter < 9*time.Minute || got.took > 0 || len(b.received()) > arrived {
			t.Errorf("after %d exits: outcome %#v after %v, %d requests arrived", b.ended.Load(), got.outcome, got.took, len(b.received())-arrived)
		}
		if cases := b.known.registry.Confinements(time.Now()); len(cases) != 1 || int64(cases[0].Crashes) != b.ended.Load() {
			t.Errorf("%d servers exited, counted: %+v", b.ended.Load(), cases)
		}
		// Other requests of the organisation are served.
		b.server("f", events(1, 3, true, "Confidence: 99"))
		if got := b.send(t.Context(), proxy.Request{ID: "r3", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Body: []byte("other"), Timeout: 2 * time.Second}); got.status != 200 {
			t.Errorf("outcome of another request: %#v", got.outcome)
		}
	})
}

// Guards against an exit that is seen only when the next request finds it, up to minutes late: a server that exits may
// close its connections before its listener, and the probe in between reaches it.
func TestServerThatClosesItsListenerLastIsCountedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", func(net.Conn, arrival) bool {
			time.AfterFunc(5*time.Millisecond, func() { b.end("a") })
			return false
		}))
		b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Body: []byte("deadly"), Timeout: time.Second})
		time.Sleep(10 * time.Millisecond)
		if n := len(b.known.exits()); n != 1 {
			t.Errorf("%d exits are known", n)
		}
	})
}

// Servers that close connections early but keep running do not count as crashed.
func TestBrokenConnectionsOfRunningServersAreNoCrash(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		var servers []*fleet.Server
		for n := range 6 {
			servers = append(servers, b.server(string(rune('a'+n)), func(net.Conn, arrival) bool { return false }))
		}
		b.known.set(routemap.New(parts(1, "k")), servers...)
		for n := range 5 {
			got := b.send(t.Context(), proxy.Request{ID: strconv.Itoa(n), Path: "/again/x", Key: "k", Body: []byte("in"), Timeout: time.Second})
			if _, refused := got.outcome.(proxy.Refused); refused {
				t.Errorf("outcome of request %d: %#v", n, got.outcome)
			}
			time.Sleep(time.Second)
		}
	})
}

// The exit of a server that was due to leave counts against no request.
func TestExitOfALeavingServerIsNoCrash(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", silent))
		go b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Body: []byte("in"), Timeout: time.Second})
		synctest.Wait()
		b.known.set(routemap.New(parts(1, "k")))
		b.end("a")
		time.Sleep(2 * time.Second)
		if b.known.registry.Len() > 0 {
			t.Error("exit of a leaving server was counted")
		}
	})
}

// Guards against a request whose servers exit right after they have answered it completely: such an exit
// counted for nobody, and the answer cleared what was counted before.
func TestServerExitAfterACompleteAnswerIsCounted(t *testing.T) {
	for name, answer := range map[string]script{"stream": events(1, 3, true), "ends with its connection": unframedAnswer} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				servers := b.servers(24, b.crashing("deadly", 30*time.Millisecond, answer))
				ask := func(body string) *response {
					b.known.set(routemap.New(parts(1, "k")), servers...)
					return b.send(t.Context(), proxy.Request{ID: body, Path: "/stream/x", Key: "k", Body: []byte(body), Timeout: 2 * time.Second})
				}
				for range 24 {
					ask("deadly")
					time.Sleep(500 * time.Millisecond)
					ask("sound")
				}
				if n := b.ended.Load(); n < quarantine.CrashThreshold || n > quarantine.CrashThreshold+3 {
					t.Errorf("%d servers exited", n)
				}
				if out, refused := ask("deadly").outcome.(proxy.Refused); !refused || out.Reason != proxy.Quarantined {
					t.Errorf("outcome after %d exits: %#v", b.ended.Load(), out)
				}
				if got := ask("sound"); got.status != 200 {
					t.Errorf("outcome of a sound request: %#v", got.outcome)
				}
			})
		})
	}
}

// unframedAnswer answers with an event and ends the answer with the connection.
func unframedAnswer(c net.Conn, a arrival) bool {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+a.header.Get("Id")+"\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
	_ = c.Close()
	return false
}

// A request that is aborted at its server runs on for a moment and may crash it: if servers have
// exited under the request before, this one must be probed.
func TestServerExitAfterADisconnectIsCounted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", b.crashing("deadly", 20*time.Millisecond, events(1, 1, false))))
		r := proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Body: []byte("deadly"), Timeout: time.Second}
		content := quarantine.Content{Method: http.MethodPost, Host: "h", Target: "/stream/x", Organisation: "org", Body: r.Body}.Fingerprint()
		b.known.RecordServerExit("x", []quarantine.Suspect{{Content: content}})
		b.known.RecordServerExit("y", []quarantine.Suspect{{Content: content}})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		b.send(ctx, r)
		time.Sleep(time.Second)
		if _, in := b.known.registry.Confined([]quarantine.Part{content.Part()}, time.Now()); !in {
			t.Error("exit of the third server was not counted")
		}
	})
}

// A restarted server does not know the requests that were in flight, and the connections may not
// break: the network was silent for two seconds. The requests must move to another server at once.
func TestServerRestartAbortsRequestsInFlight(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		first := b.server("a", silent)
		first.Born = 100
		b.known.set(routemap.New(parts(1, "k")), first)
		done := make(chan *response, 1)
		go func() {
			done <- b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Body: []byte("in"), Timeout: 2 * time.Second})
		}()
		time.Sleep(100 * time.Millisecond)
		again := b.server("a", whole(200, "x"))
		again.Born = 200
		b.known.set(routemap.New(parts(1, "k")), again)
		b.engine.ServerRestarted(first, again)
		got := <-done
		if got.status != 200 || got.took > 110*time.Millisecond {
			t.Errorf("status %d after %v, outcome %#v", got.status, got.took, got.outcome)
		}
	})
}

// Guards against streams that are cut although their server would complete them: a request that was
// sent between the start of a server's new process and the news of it counted as lost with the old one.
func TestStreamAtRestartedServerIsNotAborted(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		first := b.server("a", events(1, 1, true))
		first.Born = 100
		b.known.set(routemap.New(parts(1, "k")), first)
		stream := proxy.Request{ID: "r", Path: "/stream/x", Key: "k", Body: []byte("in"), Timeout: 4 * time.Second}
		// The server exits, which a refused connection shows.
		b.end(first.Addr)
		b.send(t.Context(), proxy.Request{ID: "refused", Path: "/stream/x", Key: "k", Body: []byte("other"), Timeout: 100 * time.Millisecond})
		time.Sleep(2 * time.Second)
		again := b.server("a", paced(10, 100*time.Millisecond))
		again.Born = 200
		done := make(chan *response, 1)
		go func() { done <- b.send(t.Context(), stream) }()
		time.Sleep(42 * time.Millisecond)
		b.known.set(routemap.New(parts(1, "k")), again)
		b.engine.ServerRestarted(first, again)
		got := <-done
		if n := len(b.reports[len(b.reports)-1].Attempts); got.status != 200 || n != 1 || strings.Count(got.body.String(), "id: ") != 10 {
			t.Errorf("status %d after %d attempts, outcome %#v, body %q", got.status, n, got.outcome, got.body.String())
		}
	})
}

// The time for which the VM was suspended counts against the deadline, since the caller was
// waiting. A request past its deadline is sent to no further server.
func TestSuspensionCountsAgainstTheDeadline(t *testing.T) {
	for still, want := range map[time.Duration]int{500 * time.Millisecond: 2, 3 * time.Second: 1} {
		inBubble(t, func(t *testing.T) {
			var stood atomic.Int64
			b := newFixture(t)
			b.engine.SuspendClock = func() time.Duration { return time.Duration(stood.Load()) }
			suspended := func(net.Conn, arrival) bool {
				stood.Store(int64(still))
				return false
			}
			b.known.set(routemap.New(parts(1, "k")), b.server("a", suspended), b.server("b", suspended))
			b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Body: []byte("in"), Timeout: time.Second})
			seen := b.received()
			if len(seen) != want {
				t.Fatalf("suspended for %v: request reached %d servers", still, len(seen))
			}
			if left := seen[want-1].header.Get("Left"); want == 2 && left != "500" {
				t.Errorf("time left at the second server: %s ms", left)
			}
		})
	}
}

// After a suspension of the VM, no request is accepted, with or without a key, until the
// configuration is confirmed.
func TestNoRequestIsAcceptedAfterASuspensionUntilConfirmed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		var stood atomic.Int64
		b := newFixture(t)
		p := parts(1, "k")
		p.Routes[0].Anonymous = true
		b.known.set(routemap.New(p), b.server("a", whole(200, "x")))
		b.known.view.SuspendClock = func() time.Duration { return time.Duration(stood.Load()) }
		stood.Store(int64(3 * time.Second))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x"})
		if out, ok := got.outcome.(proxy.Refused); !ok || out.Reason != proxy.Stale || out.RetryAfter <= 0 || len(b.received()) > 0 {
			t.Errorf("outcome %#v", got.outcome)
		}
	})
}

// Requests that were in flight at the end of the grace period were cut with a closed connection, which does
// not tell whether they may have run.
func TestRequestsInFlightAtTheEndOfAStopAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		script script
		want   proxy.Outcome
	}{
		"no answer":       {"/once/x", silent, proxy.Failure{Reason: proxy.ShuttingDown}},
		"repeatable":      {"/again/x", silent, proxy.Failure{Reason: proxy.ShuttingDown}},
		"stream":          {"/stream/x", silent, proxy.Failure{Reason: proxy.ShuttingDown}},
		"part of a body":  {"/once/x", raw("200 X", "Proof: p\r\nContent-Length: 9\r\n\r\npart", true), proxy.Failure{Reason: proxy.ShuttingDown}},
		"complete before": {"/once/x", whole(200, "ok"), proxy.Answered{Status: 200}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				b.known.set(resumable(), b.server("a", c.script))
				time.AfterFunc(100*time.Millisecond, b.engine.GiveUp)
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: c.path, Key: "k", Timeout: 9 * time.Second})
				if got.outcome != c.want || got.took > 100*time.Millisecond {
					t.Errorf("outcome %#v after %v", got.outcome, got.took)
				}
				time.Sleep(200 * time.Millisecond)
				if out, ok := b.send(t.Context(), proxy.Request{ID: "s", Path: c.path, Key: "k", Timeout: time.Second}).outcome.(proxy.Refused); !ok || out.Reason != proxy.ShuttingDown {
					t.Errorf("a request afterwards: %#v", out)
				}
			})
		})
	}
}
