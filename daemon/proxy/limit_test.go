package proxy_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/quota"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// limited is a server that announces a rate limit, shared by the daemons of a test.
type limited struct {
	mu sync.Mutex
	// limit is the limit that it announces, "" for none.
	limit string
	came  []time.Time
}

func (l *limited) name(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// serve answers after a delay.
func (l *limited) serve(c net.Conn, a arrival) bool {
	l.mu.Lock()
	l.came = append(l.came, time.Now())
	named := l.limit
	l.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	if named != "" {
		return whole(200, "ok", "Limit: "+named)(c, a)
	}
	return whole(200, "ok")(c, a)
}

// between counts the requests that arrived in a period.
func (l *limited) between(from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.came {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// maxInWindow returns the most requests that arrived within four seconds, from a time on.
func (l *limited) maxInWindow(from time.Time) (n int) {
	l.mu.Lock()
	starts := append([]time.Time(nil), l.came...)
	l.mu.Unlock()
	for _, at := range starts {
		if !at.Before(from) {
			n = max(n, l.between(at, at.Add(quota.Span)))
		}
	}
	return n
}

// daemons returns seven engines in three halls, each with its own view of the servers.
func daemons(t *testing.T, servers map[string]script) []*fixture {
	t.Helper()
	byHall := map[string][]string{}
	for i := range 7 {
		byHall[hallOf(i)] = append(byHall[hallOf(i)], strconv.Itoa(i))
	}
	var out []*fixture
	for i := range 7 {
		b := newFixture(t)
		b.engine.Hall, b.engine.OnComplete = hallOf(i), nil
		b.engine.SetKeyAge(time.Hour, 0)
		var all []*fleet.Server
		for id, s := range servers {
			server := b.server(id, s)
			server.Hall = id[:2]
			all = append(all, server)
		}
		b.known.set(routemap.New(parts(1, "k")), all...)
		b.known.view.Sharers = quota.Daemons{Self: strconv.Itoa(i), ByHall: byHall}
		out = append(out, b)
	}
	return out
}

func hallOf(i int) string { return "h" + strconv.Itoa(i%3) }

// load sends requests from all daemons for a while, ten a second each, and returns how many
// were not answered.
func load(t *testing.T, all []*fixture, lasts time.Duration) (bad int) {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, b := range all {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(uint64(i), 7))
			var mine sync.WaitGroup
			for n, end := 0, time.Now().Add(lasts); time.Now().Before(end); n++ {
				mine.Go(func() {
					got := b.send(t.Context(), proxy.Request{ID: fmt.Sprintf("%d-%d-%v", i, n, end), Path: "/once/x", Key: "k", Timeout: time.Second})
					if got.outcome != (proxy.Answered{Status: http.StatusOK}) {
						mu.Lock()
						defer mu.Unlock()
						bad++
					}
				})
				time.Sleep(time.Duration(random.ExpFloat64() * float64(100*time.Millisecond)))
			}
			mine.Wait()
		})
	}
	wg.Wait()
	return bad
}

// Daemons must share a server's limit: if each one kept it on its own, each would send what all
// together may send. They share it whichever daemon receives it first, also when it changes, and
// make use of it.
func TestDaemonsShareAServersLimit(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		one := &limited{}
		all := daemons(t, map[string]script{"h0-a": one.serve, "h1-a": (&limited{}).serve, "h2-a": (&limited{}).serve})
		if bad := load(t, all, 3*time.Second); bad > 0 || one.between(time.Time{}, time.Now()) < 60 {
			t.Fatalf("without a limit: %d not answered, %d received by the server", bad, one.between(time.Time{}, time.Now()))
		}
		one.name("1.6")
		start := time.Now()
		bad := load(t, all, 60*time.Second)
		if most := one.maxInWindow(start.Add(3 * time.Second)); float64(most) > quota.Factor*1.6*4+quota.Slack || bad > 0 {
			t.Errorf("%d requests in four seconds, %d not answered", most, bad)
		}
		if used := float64(one.between(start.Add(10*time.Second), start.Add(60*time.Second))) / 50 / 1.6; used < 0.8 {
			t.Errorf("share of the limit used: %.2f", used)
		}
		one.name("0.16")
		start = time.Now()
		load(t, all, 20*time.Second)
		if most := one.maxInWindow(start.Add(3 * time.Second)); float64(most) > quota.Factor*0.16*4+quota.Slack {
			t.Errorf("after the limit fell to a tenth: %d requests in four seconds", most)
		}
		one.name("")
		load(t, all, 20*time.Second)
		if n := one.between(time.Now().Add(-5*time.Second), time.Now()); n < 20 {
			t.Errorf("after the end of the limit: %d requests in five seconds", n)
		}
	})
}

// A limit also applies if it arrives with a response that is not forwarded to the caller.
func TestLimitInADroppedResponseCounts(t *testing.T) {
	const limit = "Limit: 0.5"
	for name, c := range map[string]struct {
		path  string
		first script
	}{
		"failed":   {"/again/x", whole(500, "no", limit)},
		"declined": {"/again/x", whole(503, "", "Declined: 1", limit)},
		"dropped":  {"/ladder/x", events(1, 3, true, "Confidence: 5", limit)},
		"broken":   {"/stream/x", events(1, 1, false, limit)},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				one, other := b.server("a", c.first), b.server("b", events(1, 3, true, "Confidence: 95"))
				other.State.Begin(50)
				b.known.set(routemap.New(parts(1, "k")), one, other)
				b.send(t.Context(), proxy.Request{ID: "first", Path: c.path, Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
				if q, ok := one.State.Quota(); !ok || q.TotalRate != 0.45 {
					t.Fatalf("server quota %+v, %v", q, ok)
				}
				before := b.requestsAt("a")
				b.sendTwenty("next", c.path)
				if n := b.requestsAt("a"); n > before {
					t.Errorf("%d more requests reached the server at once", n-before)
				}
			})
		})
	}
}

// A request whose server was chosen before the limit was received, and whose connection is
// established later, counts against the limit.
func TestLimitReceivedWhileConnectingCounts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		one, other := b.server("a", whole(200, "ok")), b.server("b", whole(200, "ok"))
		other.State.Begin(50)
		b.known.set(routemap.New(parts(1, "k")), one, other)
		dial := b.engine.Channels.Dial
		b.engine.Channels.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "a" {
				time.Sleep(300 * time.Millisecond)
				one.State.Notices.ObserveLimit(notice.Limit{Rate: 1}, time.Now(), time.Now(), "")
				one.ApplyLimit(b.known.View().Sharers, time.Now())
			}
			return dial(ctx, addr)
		}
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: http.StatusOK}) || b.requestsAt("a") != 0 || b.requestsAt("b") != 1 {
			t.Errorf("outcome %v, %d requests at the server with a limit, %d at the other", got.outcome, b.requestsAt("a"), b.requestsAt("b"))
		}
	})
}

// Requests above the limit are refused at once, with the time until a server accepts more.
func TestServiceAtItsLimitIsRefusedWithRetryAfter(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.SetKeyAge(time.Hour, 0)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(200, "ok", "Limit: 0.5")), b.server("b", whole(200, "ok", "Limit: 0.2")))
		ask := func() *response {
			return b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		}
		for range 2 {
			if got := ask(); got.status != http.StatusOK {
				t.Fatalf("%v", got.outcome)
			}
		}
		got := ask()
		refused, ok := got.outcome.(proxy.Refused)
		if !ok || got.took > 0 || refused.Reason != proxy.RateLimited || refused.RetryAfter <= 0 || refused.RetryAfter > 5*time.Second {
			t.Fatalf("outcome %+v after %v", got.outcome, got.took)
		}
		time.Sleep(refused.RetryAfter + time.Millisecond)
		if got := ask(); got.status != http.StatusOK {
			t.Errorf("outcome after the retry-after time: %v", got.outcome)
		}
		if n := len(b.received()); n != 3 {
			t.Errorf("%d requests reached servers", n)
		}
	})
}

// A smaller model's response is dropped only if a larger model can run.
func TestSmallerModelsResponseIsKeptWithoutAFreeServer(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", events(1, 3, true, "Confidence: 5", "Limit: 1")))
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/ladder/x", Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: http.StatusOK}) || b.requestsAt("a") != 1 {
			t.Errorf("outcome %v with %d requests", got.outcome, b.requestsAt("a"))
		}
	})
}

// Retries that were charged to the budget over a second, and whose connections were established
// together, reached a service at once and exceeded the budget's rate. A late retry must be
// charged again or not be sent.
func TestLateRetryIsChargedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		slow time.Duration
		// spent reports that other requests use up the budget meanwhile.
		spent bool
		want  int
	}{
		"at once, nothing left":       {0, true, 1},
		"a little late, nothing left": {250 * time.Millisecond, true, 1},
		"late":                        {time.Second, false, 1},
		"late, nothing left":          {time.Second, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				fails, other := b.server("a", whole(500, "no")), b.server("b", whole(200, "ok"))
				other.State.Begin(50)
				b.known.set(routemap.New(parts(1, "k")), fails, other)
				dial := b.engine.Channels.Dial
				b.engine.Channels.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					if addr == "b" {
						time.Sleep(c.slow)
						for c.spent && b.engine.Budget.Spend("s", 1, time.Now()) {
						}
					}
					return dial(ctx, addr)
				}
				b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: 1900 * time.Millisecond})
				if got := b.requestsAt("b"); got != c.want {
					t.Errorf("%d retries arrived, want %d", got, c.want)
				}
			})
		})
	}
}
