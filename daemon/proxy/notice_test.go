package proxy_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/notice"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

const (
	leaves = "Leaving: yes"
	rests  = "Rest: 3"
)

// requestsAt counts the requests that have reached a server.
func (b *fixture) requestsAt(id string) int {
	n := 0
	for _, a := range b.received() {
		if a.server == id {
			n++
		}
	}
	return n
}

// sendTwenty sends 20 repeatable requests and returns how many failed.
func (b *fixture) sendTwenty(name, path string) (bad int) {
	for n := range 20 {
		got := b.send(b.t.Context(), proxy.Request{ID: fmt.Sprintf("%s-%d", name, n), Path: path, Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: http.StatusOK}) {
			bad++
		}
	}
	return bad
}

// A server may announce that it is leaving with a response that is not forwarded: one that
// failed and was retried elsewhere, or that was dropped for a larger model's. The notice counts.
func TestNoticeInADroppedResponseCounts(t *testing.T) {
	for name, c := range map[string]struct {
		path  string
		first script
		other script
	}{
		"failed":   {"/again/x", whole(500, "no", leaves), whole(200, "ok")},
		"declined": {"/again/x", whole(503, "", "Declined: 1", leaves), whole(200, "ok")},
		"dropped":  {"/ladder/x", events(1, 3, true, "Confidence: 5", leaves), events(1, 3, true, "Confidence: 95")},
		"broken":   {"/stream/x", events(1, 1, false, leaves), events(2, 3, true)},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				leaving := b.server("a", c.first)
				// The other server is busy, so that the first request goes to the leaving one.
				other := b.server("b", c.other)
				other.State.Begin(50)
				b.known.set(routemap.New(parts(1, "k")), leaving, other)
				b.send(t.Context(), proxy.Request{ID: "first", Path: c.path, Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
				if b.requestsAt("a") != 1 || leaving.Usable() {
					t.Fatalf("server received %d requests, usable: %v", b.requestsAt("a"), leaving.Usable())
				}
				b.sendTwenty("next", c.path)
				if n := b.requestsAt("a"); n > 1 {
					t.Errorf("%d more requests reached the server", n-1)
				}
			})
		})
	}
}

func TestServerIsUsedAgainAfterBackoff(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		var noticed []string
		b.engine.OnNotice = func(s *fleet.Server, n notice.Notice) { noticed = append(noticed, s.ID+" "+n.String()) }
		tired := b.server("a", whole(503, "", "Declined: 1", rests))
		other := b.server("b", whole(200, "ok"))
		other.State.Begin(50)
		b.known.set(routemap.New(parts(1, "k")), tired, other)
		if bad := b.sendTwenty("first", "/once/x"); bad > 0 || b.requestsAt("a") != 1 {
			t.Errorf("%d requests failed, %d reached the server that asks for back-off", bad, b.requestsAt("a"))
		}
		time.Sleep(3*time.Second - time.Millisecond)
		if bad := b.sendTwenty("second", "/once/x"); bad > 0 || b.requestsAt("a") != 1 {
			t.Errorf("%d requests failed, %d reached the server during its back-off", bad, b.requestsAt("a"))
		}
		time.Sleep(time.Millisecond)
		if bad := b.sendTwenty("third", "/once/x"); bad > 0 || b.requestsAt("a") != 2 {
			t.Errorf("%d requests failed, %d reached the server in two back-off periods", bad, b.requestsAt("a"))
		}
		if len(noticed) != 2 || noticed[0] != "a wants rest 3s" {
			t.Errorf("notices: %v", noticed)
		}
	})
}

// Requests for a service whose servers are all in back-off are refused at once, however often
// they are sent, with the time until the first server accepts requests again.
func TestServiceInBackoffIsRefusedImmediately(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(503, "", "Declined: 1", rests)), b.server("b", whole(503, "", "Declined: 1", "Rest: 8")))
		ask := func() proxy.Refused {
			got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
			refused, ok := got.outcome.(proxy.Refused)
			if !ok || got.took > time.Millisecond {
				t.Fatalf("outcome %v after %v", got.outcome, got.took)
			}
			return refused
		}
		if got := ask(); got.Reason != proxy.Backoff || got.RetryAfter != 3*time.Second {
			t.Errorf("%+v", got)
		}
		time.Sleep(time.Second)
		if got := ask(); got.Reason != proxy.Backoff || got.RetryAfter != 2*time.Second || len(b.received()) != 2 {
			t.Errorf("outcome %+v, %d requests sent", got, len(b.received()))
		}
	})
}

// Connecting may take long. A notice that arrives meanwhile applies to a request that has
// already chosen the server: it goes to another one and does not count as sent.
func TestNoticeReceivedWhileConnectingCounts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		leaving, other := b.server("a", whole(200, "ok")), b.server("b", whole(200, "ok"))
		other.State.Begin(50)
		b.known.set(routemap.New(parts(1, "k")), leaving, other)
		dial := b.engine.Channels.Dial
		b.engine.Channels.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "a" {
				time.Sleep(300 * time.Millisecond)
				leaving.State.Notices.Observe(notice.Notice{Leaving: true}, time.Now())
			}
			return dial(ctx, addr)
		}
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: http.StatusOK}) || b.requestsAt("a") != 0 || b.requestsAt("b") != 1 {
			t.Errorf("outcome %v, %d requests at the leaving server, %d at the other", got.outcome, b.requestsAt("a"), b.requestsAt("b"))
		}
	})
}
