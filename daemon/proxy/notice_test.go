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

// at counts the requests that have reached a server.
func (b *bench) at(id string) int {
	n := 0
	for _, a := range b.seen() {
		if a.server == id {
			n++
		}
	}
	return n
}

// ask20 sends 20 repeatable requests and returns how many of them were not answered well.
func (b *bench) ask20(name, path string) (bad int) {
	for n := range 20 {
		got := b.ask(b.t.Context(), proxy.Request{ID: fmt.Sprintf("%s-%d", name, n), Path: path, Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: http.StatusOK}) {
			bad++
		}
	}
	return bad
}

// A server may say that it leaves with an answer that the caller never gets: one that failed
// and was repeated elsewhere, or that was dropped for a larger model's. The word counts.
func TestWordWithAnAnswerThatIsNotPassedOnCounts(t *testing.T) {
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
				b := newBench(t)
				leaver := b.server("a", c.first)
				// The other one is busy, so that the first request goes to the one that leaves.
				other := b.server("b", c.other)
				other.State.Begin(50)
				b.known.set(routemap.New(parts(1, "k")), leaver, other)
				b.ask(t.Context(), proxy.Request{ID: "first", Path: c.path, Key: "k", Model: proxy.AnyModel, Timeout: time.Second})
				if b.at("a") != 1 || leaver.Usable() {
					t.Fatalf("it got %d requests, usable is %v", b.at("a"), leaver.Usable())
				}
				b.ask20("next", c.path)
				if n := b.at("a"); n > 1 {
					t.Errorf("%d more reached it", n-1)
				}
			})
		})
	}
}

func TestRestEndsAndTheServerIsUsedAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(t)
		var noticed []string
		b.engine.OnNotice = func(s *fleet.Server, n notice.Notice) { noticed = append(noticed, s.ID+" "+n.String()) }
		tired := b.server("a", whole(503, "", "Declined: 1", rests))
		other := b.server("b", whole(200, "ok"))
		other.State.Begin(50)
		b.known.set(routemap.New(parts(1, "k")), tired, other)
		if bad := b.ask20("first", "/once/x"); bad > 0 || b.at("a") != 1 {
			t.Errorf("%d went wrong, %d reached the server that wants rest", bad, b.at("a"))
		}
		time.Sleep(3*time.Second - time.Millisecond)
		if bad := b.ask20("second", "/once/x"); bad > 0 || b.at("a") != 1 {
			t.Errorf("%d went wrong, %d reached it before its rest was over", bad, b.at("a"))
		}
		time.Sleep(time.Millisecond)
		if bad := b.ask20("third", "/once/x"); bad > 0 || b.at("a") != 2 {
			t.Errorf("%d went wrong, %d reached it in two rests", bad, b.at("a"))
		}
		if len(noticed) != 2 || noticed[0] != "a wants rest 3s" {
			t.Errorf("noticed is %v", noticed)
		}
	})
}

// What can't be served is refused at once, however often it is asked, with the time after
// which the first server takes requests again.
func TestServiceAtRestIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", whole(503, "", "Declined: 1", rests)), b.server("b", whole(503, "", "Declined: 1", "Rest: 8")))
		ask := func() proxy.Refused {
			got := b.ask(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
			refused, ok := got.outcome.(proxy.Refused)
			if !ok || got.took > time.Millisecond {
				t.Fatalf("%v after %v", got.outcome, got.took)
			}
			return refused
		}
		if got := ask(); got.Reason != proxy.Backoff || got.RetryAfter != 3*time.Second {
			t.Errorf("%+v", got)
		}
		time.Sleep(time.Second)
		if got := ask(); got.Reason != proxy.Backoff || got.RetryAfter != 2*time.Second || len(b.seen()) != 2 {
			t.Errorf("%+v with %d requests sent", got, len(b.seen()))
		}
	})
}

// A connection may take long to come up. What the server says meanwhile holds for a request
// that has chosen it already: it goes elsewhere, and has not reached it.
func TestWordHeardWhileAConnectionComesUpCounts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(t)
		leaver, other := b.server("a", whole(200, "ok")), b.server("b", whole(200, "ok"))
		other.State.Begin(50)
		b.known.set(routemap.New(parts(1, "k")), leaver, other)
		dial := b.engine.Channels.Dial
		b.engine.Channels.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			if addr == "a" {
				time.Sleep(300 * time.Millisecond)
				leaver.State.Notices.Observe(notice.Notice{Leaving: true}, time.Now())
			}
			return dial(ctx, addr)
		}
		got := b.ask(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		if got.outcome != (proxy.Answered{Status: http.StatusOK}) || b.at("a") != 0 || b.at("b") != 1 {
			t.Errorf("%v, %d at the one that leaves, %d at the other", got.outcome, b.at("a"), b.at("b"))
		}
	})
}
