package scenario_test

import (
	"net/http"
	"testing"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/placement"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/orders"
	"ladderridge.example/daemon/wire"
)

// TestVersionsArePlacedOnEngines checks that the daemons load a version on a second engine while
// both engines are busy, and unload a version that is withdrawn. An order with an old
// fencing token, as from a lease holder that was paused, is refused.
func TestVersionsArePlacedOnEngines(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t, halls: 1, backends: 2, slots: 2}
	c.start(2)
	stop := make(chan struct{})
	busy := make(chan struct{})
	go func() {
		defer close(busy)
		for {
			select {
			case <-stop:
				return
			default:
				c.chat("entry-0", v1.String())
				c.chat("entry-1", v2.String())
			}
		}
	}()
	defer func() {
		close(stop)
		<-busy
	}()
	wanted := baseTable()
	wanted.Versions[0].Copies = 2
	wanted.Versions[1].Copies = 1
	wanted = table.New(*wanted)
	c.apply(wanted)
	loadedOn := func(id string, ref table.Ref) bool {
		d, err := c.dump("entry-0")
		if err != nil {
			return false
		}
		for _, s := range d.Control.Servers {
			for _, l := range s.Loaded {
				if s.ID == id && l == ref.String() {
					return true
				}
			}
		}
		return false
	}
	c.await("both engines have v1", func() bool { return loadedOn("engine-0", v1) && loadedOn("engine-1", v1) })
	c.apply(withdraw(wanted, v2))
	c.await("v2 is unloaded", func() bool { return !loadedOn("engine-1", v2) })
	issuer := orders.Issuer{Platform: c.store.Platform, HTTP: &http.Client{}, Holder: "paused"}
	oldFence := orders.Fence{Number: 1, Order: placement.Order{Engine: "engine-1", Action: placement.Unload, Ref: v1}}
	addr := ""
	for _, vm := range c.vms {
		if vm.ID == "engine-1" {
			addr = vm.Addr
		}
	}
	if err := issuer.Send(t.Context(), oldFence, addr); !fault.Is(err, orders.Superseded) {
		t.Errorf("an order with an old fencing token: %v", err)
	}
	if !loadedOn("engine-1", v1) {
		t.Error("the engine carried out the order with the old fencing token")
	}
	if a := c.do("entry-0", http.MethodPost, wire.PathChat, chatBody(v1.String(), true, 5)); checkStream(a, v1, 5) != nil {
		t.Errorf("%d %s", a.status, a.body)
	}
}
