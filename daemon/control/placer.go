package control

import (
	"net/http"
	"time"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/placement"
	"ladderridge.example/daemon/orders"
	"ladderridge.example/daemon/platform"
)

// orderInterval is the minimum time between two orders of one daemon. It leaves
// time for a report of the engine that carried out the first one.
const orderInterval = 3 * time.Second

// placer sends orders to the engines of the own data hall, one at a time.
type placer struct {
	issuer      *orders.Issuer
	busy        bool
	nextOrderAt time.Time
	// lastEngine is the engine that got the last order. It has to report again
	// before the next order.
	lastEngine  string
	lastOrderAt time.Time
}

func newPlacer(p *platform.Client, holder string) *placer {
	return &placer{issuer: &orders.Issuer{Platform: p, HTTP: &http.Client{}, Holder: holder}}
}

// orderDone records that sending an order has finished, with or without success.
func (p *placer) orderDone(engine string, now time.Time) {
	p.busy, p.nextOrderAt = false, now.Add(orderInterval)
	p.lastEngine, p.lastOrderAt = engine, now
}

// drivePlacement sends the next order, on the daemon at the root of the data
// hall's aggregation tree. It sends none while the table is unconfirmed, nor
// before the engine that got the last order has reported again.
func (l *loop) drivePlacement(now time.Time) {
	p := l.placer
	if l.node.Group.Rank() != 0 || p.busy || now.Before(p.nextOrderAt) || l.node.Unconfirmed(now) {
		return
	}
	if b := l.servers.byID[p.lastEngine]; b != nil && !b.reportedAt.After(p.lastOrderAt) {
		return
	}
	order, ok := placement.Next(l.table, l.servers.engines(l.node.Leaving, now))
	if !ok {
		return
	}
	addr := l.servers.byID[order.Engine].vm.Addr
	p.busy = true
	go func() {
		f, err := p.issuer.Issue(l.ctx, order, addr)
		switch {
		case err == nil:
			l.Log.Info().Str("engine", order.Engine).Str("action", string(order.Action)).Str("version", order.Ref.String()).
				Uint64("fence", f.Number).Msg("control: order sent to engine")
		case fault.Is(err, orders.Superseded):
			l.Log.Info().Err(err).Msg("control: engine order superseded by another daemon")
		default:
			l.Log.Warn().Err(err).Msg("control: engine order failed")
		}
		l.post(orderEvent{engine: order.Engine})
	}()
}

// engines returns the model engines of the own data hall that have reported.
func (s *servers) engines(announced func(id string) bool, now time.Time) []placement.Engine {
	var out []placement.Engine
	for _, b := range s.sorted {
		if b.vm.Role != platform.RoleEngine || b.vm.Hall != s.hall || b.reportedAt.IsZero() {
			continue
		}
		out = append(out, placement.Engine{
			ID: b.vm.ID, ChecksFence: b.vm.ChecksFence, Slots: b.slots, Loaded: b.loaded, Loading: b.loading, InFlight: b.reportedLoad,
			Leaving: b.leaving(announced) || now.Before(b.ejectedUntil),
		})
	}
	return out
}
