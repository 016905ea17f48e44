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

// inHalls gives servers their halls.
func inHalls(hall string, servers ...*fleet.Server) []*fleet.Server {
	for _, s := range servers {
		s.Hall = hall
	}
	return servers
}

// look replaces what is known of halls.
func (b *bench) look(change func(v *storesync.View)) {
	b.known.mu.Lock()
	defer b.known.mu.Unlock()
	v := *b.known.view
	change(&v)
	b.known.view = &v
}

// With the last hall of a service emptied callers are refused at once, and told so
// truly; nothing leaves.
func TestServiceInEmptiedHallsIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(t)
		b.known.set(routemap.New(parts(1, "k")), inHalls("emptied", b.server("a", whole(200, "ok")), b.server("b", whole(200, "ok")))...)
		b.look(func(v *storesync.View) { v.Servers = v.Servers.WithDrained(map[string]bool{"emptied": true}) })
		got := b.ask(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: time.Second})
		if out, ok := got.outcome.(proxy.Refused); !ok || out.Reason != proxy.NoServer || out.RetryAfter <= 0 {
			t.Errorf("the outcome is %v", got.outcome)
		}
		if len(b.seen()) > 0 || got.took > 10*time.Millisecond {
			t.Errorf("%d requests left, the caller waited %v", len(b.seen()), got.took)
		}
	})
}

// A repeat goes to no hall that was emptied after the first attempt had left.
func TestRepeatLeavesOutAHallThatIsEmptiedMeanwhile(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(t)
		empty := func(net.Conn, arrival) bool {
			b.look(func(v *storesync.View) { v.Servers = v.Servers.WithDrained(map[string]bool{"emptied": true}) })
			return false
		}
		near := inHalls("emptied", b.server("a", empty), b.server("b", empty))
		far := inHalls("away", b.server("c", whole(200, "ok")))
		b.engine.Hall = "emptied"
		b.known.set(routemap.New(parts(1, "k")), append(near, far...)...)
		got := b.ask(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if seen := b.seen(); got.body.String() != "ok" || len(seen) != 2 || seen[1].server != "c" {
			t.Errorf("%v after %v", got.outcome, seen)
		}
	})
}

// A request of a route, or of an organisation, that is bound to regions runs there and
// nowhere else, repeats as well; without a server there it is refused at once.
func TestRequestRunsAtHomeOnly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newBench(t)
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
		b.look(regions)
		for range 20 {
			got := b.ask(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
			if got.body.String() != "ok" {
				t.Fatalf("the outcome is %v", got.outcome)
			}
		}
		b.known.set(routemap.New(p), south...)
		b.look(regions)
		got := b.ask(t.Context(), proxy.Request{ID: "r", Path: "/again/x", Key: "k", Timeout: time.Second})
		if out, ok := got.outcome.(proxy.Refused); !ok || out.Reason != proxy.NoServer {
			t.Errorf("without a server at home the outcome is %v", got.outcome)
		}
		for _, a := range b.seen() {
			if a.server == "a" {
				t.Fatal("a server of another region got the request")
			}
		}
	})
}
