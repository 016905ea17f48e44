package proxy_test

import (
	"context"
	"net"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/storesync"
)

// A request whose connection took long reached a server that had been removed from the list, or whose
// hall had been drained, in the meantime.
func TestSlowConnectionSendsNothingToAServerOutOfUse(t *testing.T) {
	const dialTime = 200 * time.Millisecond
	for name, withdraw := range map[string]func(b *fixture, s *fleet.Server){
		"removed or leaving": func(_ *fixture, s *fleet.Server) { s.State.SetWithdrawn(true) },
		"hall drained": func(b *fixture, s *fleet.Server) {
			b.changeView(func(v *storesync.View) {
				v.Drained = map[string]time.Time{s.Hall: time.Now()}
				v.Servers = v.Servers.WithDrained(map[string]bool{s.Hall: true})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				b := newFixture(t)
				servers := append(inHalls("east", b.server("a", whole(200, "ok"))), inHalls("west", b.server("b", whole(200, "ok")))...)
				b.known.set(routemap.New(parts(1, "k")), servers...)
				var first string
				b.engine.Channels.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
					if first == "" {
						first = addr
						time.Sleep(dialTime / 2)
						withdraw(b, b.known.View().Servers.At(addr))
						time.Sleep(dialTime / 2)
					}
					return b.dial(ctx, addr)
				}
				got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: 2 * time.Second})
				if n := b.requestsAt(first); n != 0 || got.outcome != (proxy.Answered{Status: 200}) {
					t.Errorf("server out of use got %d requests; outcome %v", n, got.outcome)
				}
			})
		})
	}
}
