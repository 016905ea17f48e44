package proxy_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
	"weak"

	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/storesync"
)

// answersAfter returns a script that answers after a time.
func answersAfter(d time.Duration) script {
	return func(c net.Conn, a arrival) bool {
		time.Sleep(d)
		return whole(200, "ok")(c, a)
	}
}

// Guards against good versions that are taken back because their few requests open connections into
// other data halls: the network's time is not the server's.
func TestNetworkTimeDoesNotCountAgainstAVersion(t *testing.T) {
	const work, roundTrip = 10 * time.Millisecond, 30 * time.Millisecond
	for name, c := range map[string]struct {
		work time.Duration
		slow bool
	}{"alike": {work, false}, "slow": {8 * work, true}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				dial := b.engine.Channels.Dial
				b.engine.Channels.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					if addr == "far" {
						time.Sleep(roundTrip)
					}
					return dial(ctx, addr)
				}
				near, far := b.server("near", answersAfter(work)), b.server("far", answersAfter(c.work+roundTrip))
				near.Hall, far.Hall = "here", "there"
				ask := func() storesync.Observation {
					b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
					return b.known.lastObservation()
				}
				b.known.set(routemap.New(parts(1, "k")), near)
				for range 20 {
					ask()
				}
				b.known.set(routemap.New(parts(2, "k")), far)
				for i := range 3 {
					if f := ask(); f.Server == "" || f.FirstRatio > 2 != c.slow {
						t.Errorf("answer %d: %+v", i, f)
					}
				}
			})
		})
	}
}

// Guards against a slow version that is completed because the daemons have just started: answers that
// come before a daemon has a reference must count once it has one.
func TestAnswersBeforeTheReferenceCount(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("slow", answersAfter(100*time.Millisecond)))
		ask := func() {
			b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		}
		ask()
		b.known.set(routemap.New(parts(2, "k")), b.server("a", answersAfter(10*time.Millisecond)))
		for range 12 {
			ask()
		}
		answers, timed, slow := 0, 0, 0
		for _, f := range b.known.observations() {
			if f.Stage == storesync.Complete {
				answers++
			}
			if f.FirstRatio > 0 {
				timed++
			}
			if f.FirstRatio > 3 && f.Server == "slow" {
				slow++
			}
		}
		if answers != 13 || timed != answers || slow != 1 {
			t.Errorf("%d answers, %d with a time, %d slow", answers, timed, slow)
		}
	})
}

// Guards against bodies of requests that stay in memory on routes with few requests.
func TestUnratedAnswersDoNotHoldTheirRequests(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), b.server("a", answersAfter(10*time.Millisecond)))
		var sent []weak.Pointer[proxy.Request]
		for range 5 {
			r := &proxy.Request{ID: "r", Host: "h", Path: "/again/x", Target: "/again/x", Key: "k", Method: http.MethodPost, Timeout: time.Second, Arrived: time.Now(), LastEvent: -1}
			sent = append(sent, weak.Make(r))
			if out := b.engine.Serve(t.Context(), r, &response{}); out != (proxy.Answered{Status: 200}) {
				t.Fatal(out)
			}
		}
		b.reports = nil
		runtime.GC()
		held := 0
		for _, r := range sent {
			if r.Value() != nil {
				held++
			}
		}
		if held > 1 {
			t.Errorf("%d of %d requests are held", held, len(sent))
		}
	})
}
