package proxy_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"ladderridge.example/core/contact"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
)

// A request whose connection took long, as on a slow VM, reached a server by a configuration that had been
// replaced in the meantime.
func TestSlowConnectionSendsNothingByAReplacedConfiguration(t *testing.T) {
	const dialTime = 200 * time.Millisecond
	dropped, moved := parts(2, "k"), parts(2, "k")
	dropped.Routes = dropped.Routes[1:]
	moved.Routes[0].Shares = []routemap.Share{{Service: "t", Weight: 1}}
	for name, next := range map[string]routemap.Parts{"route dropped": dropped, "route moved": moved, "key revoked": parts(2, "another")} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				a, other := b.server("a", whole(200, "ok")), b.server("b", whole(200, "ok"))
				other.Service = "t"
				b.known.set(routemap.New(parts(1, "k")), a, other)
				var slowed atomic.Bool
				b.engine.Channels.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					if slowed.CompareAndSwap(false, true) {
						time.Sleep(dialTime)
					}
					return b.dial(ctx, addr)
				}
				time.AfterFunc(dialTime/2, func() { b.known.set(routemap.New(next), a, other) })
				out := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: 2 * time.Second}).outcome
				if n := b.requestsAt("a"); n != 0 {
					t.Errorf("server of the replaced configuration got %d requests; outcome %v", n, out)
				}
			})
		})
	}
}

// Requests without a key were routed by a configuration of any age, those with a known key by one that was
// older than a change may take to be in force.
func TestOldConfigurationRoutesNoRequestsInTouchWithTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		open := parts(1, "k")
		open.Routes[1].Anonymous = true
		b.known.set(routemap.New(open), b.server("a", whole(200, "ok")))
		b.known.view.InForceWithin = 3 * time.Second
		send := func(path, key string) proxy.Outcome {
			return b.send(t.Context(), proxy.Request{ID: "r", Path: path, Key: key, Timeout: time.Second}).outcome
		}
		time.Sleep(3 * time.Second)
		if out := send("/again/x", ""); out != (proxy.Answered{Status: 200}) {
			t.Errorf("recent configuration: %v", out)
		}
		time.Sleep(time.Second / 2)
		for path, key := range map[string]string{"/again/x": "", "/once/x": "k", "/nowhere/x": "k"} {
			if out, ok := send(path, key).(proxy.Refused); !ok || out.Reason != proxy.Stale || out.RetryAfter <= 0 {
				t.Errorf("old configuration, %s: %v", path, out)
			}
		}
		b.known.view.Contact = contact.State{}.With(contact.CallFailed{Start: time.Now()})
		if out := send("/again/x", ""); out != (proxy.Answered{Status: 200}) {
			t.Errorf("old configuration without a path to the store: %v", out)
		}
	})
}
