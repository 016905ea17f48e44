package proxy_test

import (
	"net"
	"testing"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/proxy"
	"ladderridge.example/daemon/storesync"
)

// inHalls sets the hall of servers.
func inHalls(hall string, servers ...*fleet.Server) []*fleet.Server {
	for _, s := range servers {
		s.Hall = hall
	}
	return servers
}

// changeView replaces the view by a changed copy.
func (b *fixture) changeView(change func(v *storesync.View)) {
	b.known.mu.Lock()
	defer b.known.mu.Unlock()
	v := *b.known.view
	change(&v)
	b.known.view = &v
}

// When the last hall of a service is drained, callers are refused at once with the true reason,
// and nothing is sent.
func TestServiceInDrainedHallsIsRefusedImmediately(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.known.set(routemap.New(parts(1, "k")), inHalls("emptied", b.server("a", whole(200, "ok")), b.server("b", whole(200, "ok")))...)
		b.changeView(func(v *storesync.View) { v.Servers = v.Servers.WithDrained(map[string]bool{"emptied": true}) })
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		if out, ok := got.outcome.(proxy.Refused); !ok || out.Reason != proxy.NoServer || out.RetryAfter <= 0 {
			t.Errorf("outcome %v", got.outcome)
		}
		if len(b.received()) > 0 || got.took > 10*time.Millisecond {
			t.Errorf("%d requests sent, caller waited %v", len(b.received()), got.took)
		}
	})
}

// A retry is not sent to a hall that was drained after the first attempt was sent.
func TestRetryAvoidsADrainedHall(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		empty := func(net.Conn, arrival) bool {
			b.changeView(func(v *storesync.View) { v.Servers = v.Servers.WithDrained(map[string]bool{"emptied": true}) })
			return false
		}
		near := inHalls("emptied", b.server("a", empty), b.server("b", empty))
		far := inHalls("away", b.server("c", whole(200, "ok")))
		b.engine.Hall = "emptied"
		b.known.set(routemap.New(parts(1, "k")), append(near, far...)...)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if seen := b.received(); got.body.String() != "ok" || len(seen) != 2 || seen[1].server != "c" {
			t.Errorf("outcome %v after %v", got.outcome, seen)
		}
	})
}

// A request whose route or organisation is restricted to regions runs only there, including its
// retries. Without a server there it is refused at once.
func TestRequestRunsInAllowedRegionsOnly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.Hall = "south-a"
		p := parts(1, "k")
		for i := range p.Routes {
			p.Routes[i].Regions = []string{"north", "east"}
		}
		p.Organisations[0].Regions = []string{"north", "south"}
		reset := func(net.Conn, arrival) bool { return false }
		south := inHalls("south-a", b.server("a", whole(200, "ok")))
		north := inHalls("north-a", b.server("b", reset), b.server("c", whole(200, "ok")))
		regions := func(v *storesync.View) { v.Regions = map[string]string{"south-a": "south", "north-a": "north"} }
		b.known.set(routemap.New(p), append(south, north...)...)
		b.changeView(regions)
		for range 20 {
			got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
			if got.body.String() != "ok" {
				t.Fatalf("outcome %v", got.outcome)
			}
		}
		b.known.set(routemap.New(p), south...)
		b.changeView(regions)
		got := b.send(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if out, ok := got.outcome.(proxy.Refused); !ok || out.Reason != proxy.NoServer {
			t.Errorf("outcome without a server in the allowed regions: %v", got.outcome)
		}
		for _, a := range b.received() {
			if a.server == "a" {
				t.Fatal("server of another region received the request")
			}
		}
	})
}
