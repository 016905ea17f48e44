package control

import (
	"net/http"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/placement"
	"ladderridge.example/daemon/orders"
	"ladderridge.example/daemon/platform"
)

// orderEvery is the least time between two orders of one daemon: a report of
// the engine that obeyed comes in between.
const orderEvery = 3 * time.Second

// placer gives the engines of the own data hall orders, one at a time.
type placer struct {
	issuer *orders.Issuer
	busy   bool
	next   time.Time
	// asked are the engines whose report is wanted before the next order.
	asked string
	at    time.Time
}

func newPlacer(p *platform.Client, holder string) *placer {
	return &placer{issuer: &orders.Issuer{Platform: p, HTTP: &http.Client{}, Holder: holder}}
}

// ordered notes that an order has been given, or has failed.
func (p *placer) ordered(engine string, now time.Time) {
	p.busy, p.next = false, now.Add(orderEvery)
	p.asked, p.at = engine, now
}

// drivePlacement gives the next order, on the root of the data hall's tree.
// Nothing is ordered by a table that is not confirmed, nor before the engine
// that had the last order has reported again.
func (l *loop) drivePlacement(now time.Time) {
	p := l.placer
	if l.node.Group.Rank() != 0 || p.busy || now.Before(p.next) || l.node.Unconfirmed(now) {
		return
	}
	if b := l.servers.byID[p.asked]; b != nil && !b.reportedAt.After(p.at) {
		return
	}
	order, ok := placement.Next(l.table, l.servers.engines(l.node.Leaving, now))
	if !ok {
		return
	}
	addr := l.servers.byID[order.Engine].vm.Addr
	p.busy = true
	go func() {
		f, err := p.issuer.Give(l.ctx, order, addr)
		switch {
		case err == nil:
			l.Log.Info().Str("engine", order.Engine).Str("action", string(order.Action)).Str("version", order.Ref.String()).
				Uint64("fence", f.Number).Msg("control: an engine was given an order")
		case fault.Is(err, orders.Superseded):
			l.Log.Info().Err(err).Msg("control: another daemon gives the engine orders")
		default:
			l.Log.Warn().Err(err).Msg("control: an order failed")
		}
		l.post(orderEvent{engine: order.Engine})
	}()
}

// engines are the model engines of the own data hall that have reported.
func (s *servers) engines(told func(id string) bool, now time.Time) []placement.Engine {
	var out []placement.Engine
	for _, b := range s.sorted {
		if b.vm.Role != platform.RoleEngine || b.vm.Hall != s.hall || b.reportedAt.IsZero() {
			continue
		}
		out = append(out, placement.Engine{
			ID: b.vm.ID, ChecksFence: b.vm.ChecksFence, Slots: b.slots, Loaded: b.loaded, Loading: b.loading, InFlight: b.reported,
			Leaving: b.goes(told) || now.Before(b.ejected),
		})
	}
	return out
}
