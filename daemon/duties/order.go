package duties

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"ladderridge.example/core/autoscaling"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/storesync"
)

const (
	// decideEvery is the time between two looks at how many servers are needed.
	decideEvery = 500 * time.Millisecond
	// noneFloor and noneCeiling bound how long nothing is ordered where there was nothing to
	// be had, which doubles.
	noneFloor   = 2 * time.Second
	noneCeiling = 4 * time.Second
	// lostAgain is the least time between two orders for servers that were taken back.
	lostAgain = 2 * time.Second
)

// ordering is the work of the holder of the duty to order servers.
type ordering struct {
	// services are by name.
	services  map[string]*serviceOrders
	decidedAt time.Time
}

// serviceOrders is what was ordered for one service.
type serviceOrders struct {
	demand autoscaling.PeakLoad
	stands autoscaling.CountWatch
	places map[autoscaling.Pool]*placeOrders
	// planned is how many servers were last found to be needed.
	planned int
	toldAt  time.Time
	endedAt time.Time
	// due are orders that stand in the store and have not been taken yet.
	due []autoscaling.Order
}

// placeOrders is what was ordered in one place.
type placeOrders struct {
	count int
	asked bool
	at    time.Time
	// most is how many servers have served there since the order, short since when fewer do
	// than were ordered.
	most  int
	short time.Time
	// none is until when nothing is ordered, noneFor how long that was.
	none    time.Time
	noneFor time.Duration
}

func newOrdering() *ordering { return &ordering{services: map[string]*serviceOrders{}} }

func (w *ordering) service(name string) *serviceOrders {
	if w.services[name] == nil {
		w.services[name] = &serviceOrders{places: map[autoscaling.Pool]*placeOrders{}}
	}
	return w.services[name]
}

func (o *serviceOrders) place(p autoscaling.Pool) *placeOrders {
	if o.places[p] == nil {
		o.places[p] = &placeOrders{}
	}
	return o.places[p]
}

// OrderBook is what the store keeps of orders.
type OrderBook struct {
	// Orders are those that the platform was last given, or is about to be.
	Orders []Ordered `json:"orders"`
	// Planned is how many servers were last found to be needed, by service.
	Planned map[string]int `json:"planned"`
}

// Ordered is one order as the store keeps it.
type Ordered struct {
	Service string           `json:"service"`
	Hall    string           `json:"hall"`
	Kind    autoscaling.Kind `json:"kind"`
	Count   int              `json:"count"`
}

// ReadOrders reads what the store keeps of orders.
func ReadOrders(state string) (OrderBook, error) {
	var b OrderBook
	if state == "" {
		return b, nil
	}
	if err := json.Unmarshal([]byte(state), &b); err != nil {
		return OrderBook{}, &Error{Op: "read orders", Kind: Malformed, Err: err}
	}
	return b, nil
}

// takeOrders takes the orders that the holder before has left.
func (d *Leaseholder) takeOrders(h *holding, w *ordering) {
	*w = *newOrdering()
	left, err := ReadOrders(h.claim.State())
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: the orders of the holder before do not decode: what serves is taken for what was ordered")
		return
	}
	for name, n := range left.Planned {
		w.service(name).planned = n
	}
	for _, o := range left.Orders {
		p := w.service(o.Service).place(autoscaling.Pool{Hall: o.Hall, Kind: o.Kind})
		p.count, p.asked, p.at = o.Count, true, time.Now()
	}
}

// keepOrders has the store keep what is ordered.
func (d *Leaseholder) keepOrders(h *holding, w *ordering) {
	out := OrderBook{Planned: map[string]int{}}
	for name, service := range w.services {
		out.Planned[name] = service.planned
		for place, p := range service.places {
			if p.asked {
				out.Orders = append(out.Orders, Ordered{Service: name, Hall: place.Hall, Kind: place.Kind, Count: p.count})
			}
		}
	}
	slices.SortFunc(out.Orders, func(a, b Ordered) int {
		return slices.Compare([]string{a.Service, a.Hall, string(a.Kind)}, []string{b.Service, b.Hall, string(b.Kind)})
	})
	data, err := json.Marshal(out)
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: orders cannot be encoded")
		return
	}
	h.claim.SetState(string(data))
}

// order decides how many servers are needed, and sends orders that the store keeps.
func (d *Leaseholder) order(ctx context.Context, h *holding, w *ordering, now time.Time) {
	v := d.Knowledge.View()
	if v.Map == nil || v.Servers == nil || h.calling {
		return
	}
	if now.Sub(w.decidedAt) >= decideEvery && !w.anyDue() {
		w.decidedAt = now
		d.decide(h, w, v, now)
	}
	if !h.claim.StateStored() {
		return
	}
	for name, service := range w.services {
		if len(service.due) > 0 && d.mayCall(h, now) {
			d.send(ctx, h, name, service)
			return
		}
	}
}

func (w *ordering) anyDue() bool {
	for _, service := range w.services {
		if len(service.due) > 0 {
			return true
		}
	}
	return false
}

// decide looks at each service whose servers are ordered.
func (d *Leaseholder) decide(h *holding, w *ordering, v *storesync.View, now time.Time) {
	changed := false
	for _, s := range v.Map.Services() {
		if !s.Autoscaling.Enabled() {
			continue
		}
		service := w.service(s.Name)
		in := service.input(s, v, now)
		d.tellStands(s.Name, service, in, now)
		service.due = autoscaling.Decide(in)
		for _, o := range service.due {
			if o.ScaleDown {
				service.endedAt = now
			}
			p := service.place(o.Pool)
			p.count, p.asked, p.at, p.most, p.short = o.Count, true, now, 0, time.Time{}
			d.Log.Info().Str("service", s.Name).Str("hall", o.Pool.Hall).Str("kind", string(o.Pool.Kind)).Int("count", o.Count).Str("why", o.Reason).
				Int("need", in.Need()).Float64("peak", in.Peak).Bool("known", in.HasLoad).Int("serving", in.Pools[o.Pool].Serving).Msg("duty: servers are ordered")
		}
		if len(service.due) > 0 {
			changed, service.planned = true, in.Need()
		}
	}
	if changed {
		d.keepOrders(h, w)
	}
}

// standsEvery is the time between two lines about what stands.
const standsEvery = 5 * time.Second

// tellStands logs how many servers stand and are needed: why there were so few at a time.
func (d *Leaseholder) tellStands(name string, service *serviceOrders, in autoscaling.Input, now time.Time) {
	if now.Sub(service.toldAt) < standsEvery {
		return
	}
	service.toldAt = now
	var text []string
	for _, hall := range in.Halls {
		for _, kind := range []autoscaling.Kind{autoscaling.OnDemand, autoscaling.Spot} {
			p := autoscaling.Pool{Hall: hall, Kind: kind}
			at := in.Pools[p]
			text = append(text, fmt.Sprintf("%s %s: %d of %d, %d warm, %d of another version", hall, kind, at.Serving, at.Ordered, at.Warm, at.RollingOut))
		}
	}
	d.Log.Info().Str("service", name).Int("need", in.Need()).Float64("peak", in.Peak).Bool("settled", in.PeakSettled).Str("stands", strings.Join(text, "; ")).Msg("duty: what stands")
}

// send sends the first order that is due.
func (d *Leaseholder) send(ctx context.Context, h *holding, name string, service *serviceOrders) {
	o := service.due[0]
	d.call(ctx, h, func(ctx context.Context, by Signature) error { return d.Platform.Order(ctx, by, name, o) }, func(err error) {
		p := service.place(o.Pool)
		switch {
		case err == nil:
			d.Orders.Add(1)
			p.noneFor = 0
		case fault.Is(err, Forbidden):
			p.noneFor = min(noneCeiling, max(noneFloor, 2*p.noneFor))
			p.none, p.asked = time.Now().Add(p.noneFor), false
		case fault.Is(err, Unanswered):
			// It may be carried out after the next one, unless that carries a higher token.
			h.claim.RaiseToken()
			return
		default:
			return
		}
		service.due = service.due[1:]
	})
}

// input is what an order for the service is decided by.
func (o *serviceOrders) input(s *routemap.Service, v *storesync.View, now time.Time) autoscaling.Input {
	in := autoscaling.Input{Now: now, Policy: s.Autoscaling, Slots: s.Slots, Drained: map[string]bool{}, Pools: map[autoscaling.Pool]autoscaling.PoolState{}}
	for hall := range v.Drained {
		in.Drained[hall] = true
	}
	work := 0.0
	for _, server := range v.Servers.Service(s.Name) {
		work += server.State.TotalLoad()
		if !slices.Contains(in.Halls, server.Hall) {
			in.Halls = append(in.Halls, server.Hall)
		}
		place := placeOf(server)
		if !server.Usable() {
			continue
		}
		at := in.Pools[place]
		switch {
		case !v.Stable(s.Name, server.Version):
			at.RollingOut++
		case now.Before(server.State.ColdLimit().Until):
			at.Serving++
		default:
			at.Serving++
			at.Warm++
		}
		in.Pools[place] = at
	}
	for place := range o.places {
		if !slices.Contains(in.Halls, place.Hall) {
			in.Halls = append(in.Halls, place.Hall)
		}
	}
	slices.Sort(in.Halls)
	standing := 0
	for _, at := range in.Pools {
		standing += at.Serving
	}
	in.LastNeed, in.ScaledDownAt = o.planned, o.endedAt
	in.CountSteady = o.stands.Observe(standing, now)
	o.demand.Observe(work, now)
	in.Peak, in.HasLoad = o.demand.Peak()
	in.PeakSettled = o.demand.Settled(now)
	o.stand(&in, now)
	return in
}

// stand adds what was ordered to what stands.
func (o *serviceOrders) stand(in *autoscaling.Input, now time.Time) {
	for place, p := range o.places {
		at := in.Pools[place]
		p.most = max(p.most, at.Serving)
		switch {
		case !p.asked || at.Serving >= p.count:
			p.short = time.Time{}
		case p.short.IsZero():
			p.short = now
		}
		at.Ordered, at.HasOrder, at.ShortSince = p.count, p.asked, p.short
		at.ServersLost = p.asked && at.Serving < min(p.most, p.count) && now.Sub(p.at) >= lostAgain
		at.Unavailable = now.Before(p.none)
		in.Pools[place] = at
	}
}

// placeOf is where a server stands.
func placeOf(s *fleet.Server) autoscaling.Pool {
	if s.Spot {
		return autoscaling.Pool{Hall: s.Hall, Kind: autoscaling.Spot}
	}
	return autoscaling.Pool{Hall: s.Hall, Kind: autoscaling.OnDemand}
}
