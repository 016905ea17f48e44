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
	// decideInterval is the time between two decisions on how many servers are needed.
	decideInterval = 500 * time.Millisecond
	// minUnavailable and maxUnavailable bound how long nothing is ordered in a pool where no
	// servers were available; the time doubles with each refusal.
	minUnavailable = 2 * time.Second
	maxUnavailable = 4 * time.Second
	// replaceInterval is the minimum time between two orders for servers that were preempted.
	replaceInterval = 2 * time.Second
)

// orderTask is the task of the daemon that holds the duty to order servers.
type orderTask struct {
	// services is keyed by service name.
	services  map[string]*serviceOrders
	decidedAt time.Time
}

// serviceOrders holds the orders for one service and the measurements that they are decided by.
type serviceOrders struct {
	demand     autoscaling.PeakLoad
	countWatch autoscaling.CountWatch
	pools      map[autoscaling.Pool]*poolOrders
	// planned is how many servers were needed according to the last decision.
	planned      int
	loggedAt     time.Time
	scaledDownAt time.Time
	// due lists the orders that the platform has not accepted yet. They are sent once the store
	// holds them.
	due []autoscaling.Order
}

// poolOrders is the last order for one pool.
type poolOrders struct {
	count   int
	ordered bool
	at      time.Time
	// maxServing is the largest number of servers that have served in the pool since the order,
	// shortSince since when fewer serve than were ordered.
	maxServing int
	shortSince time.Time
	// Nothing is ordered until unavailableUntil, since no servers were available;
	// unavailableFor is the length of that pause.
	unavailableUntil time.Time
	unavailableFor   time.Duration
}

func newOrderTask() *orderTask { return &orderTask{services: map[string]*serviceOrders{}} }

func (w *orderTask) service(name string) *serviceOrders {
	if w.services[name] == nil {
		w.services[name] = &serviceOrders{pools: map[autoscaling.Pool]*poolOrders{}}
	}
	return w.services[name]
}

func (o *serviceOrders) pool(p autoscaling.Pool) *poolOrders {
	if o.pools[p] == nil {
		o.pools[p] = &poolOrders{}
	}
	return o.pools[p]
}

// OrderLog is the stored state of the duty to order servers.
type OrderLog struct {
	// Orders lists the last order for each pool, sent or about to be sent.
	Orders []Ordered `json:"orders"`
	// Planned is how many servers each service needed according to the last decision.
	Planned map[string]int `json:"planned"`
}

// Ordered is one stored order.
type Ordered struct {
	Service string           `json:"service"`
	Hall    string           `json:"hall"`
	Kind    autoscaling.Kind `json:"kind"`
	Count   int              `json:"count"`
}

// DecodeOrders decodes the stored state of the duty to order servers.
func DecodeOrders(state string) (OrderLog, error) {
	var b OrderLog
	if state == "" {
		return b, nil
	}
	if err := json.Unmarshal([]byte(state), &b); err != nil {
		return OrderLog{}, &Error{Op: "read orders", Kind: Malformed, Err: err}
	}
	return b, nil
}

// loadOrders loads the orders that the previous holder stored.
func (d *Leaseholder) loadOrders(ds *dutyState, w *orderTask) {
	*w = *newOrderTask()
	stored, err := DecodeOrders(ds.elector.State())
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: the stored orders do not decode: assuming that the serving servers are those that were ordered")
		return
	}
	for name, n := range stored.Planned {
		w.service(name).planned = n
	}
	for _, o := range stored.Orders {
		p := w.service(o.Service).pool(autoscaling.Pool{Hall: o.Hall, Kind: o.Kind})
		p.count, p.ordered, p.at = o.Count, true, time.Now()
	}
}

// storeOrders has the current orders stored.
func (d *Leaseholder) storeOrders(ds *dutyState, w *orderTask) {
	out := OrderLog{Planned: map[string]int{}}
	for name, service := range w.services {
		out.Planned[name] = service.planned
		for pool, p := range service.pools {
			if p.ordered {
				out.Orders = append(out.Orders, Ordered{Service: name, Hall: pool.Hall, Kind: pool.Kind, Count: p.count})
			}
		}
	}
	slices.SortFunc(out.Orders, func(a, b Ordered) int {
		return slices.Compare([]string{a.Service, a.Hall, string(a.Kind)}, []string{b.Service, b.Hall, string(b.Kind)})
	})
	data, err := json.Marshal(out)
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: cannot encode the orders")
		return
	}
	ds.elector.SetState(string(data))
}

// order decides how many servers are needed, and sends due orders once the store holds them.
func (d *Leaseholder) order(ctx context.Context, ds *dutyState, w *orderTask, now time.Time) {
	v := d.StoreSync.View()
	if v.Map == nil || v.Servers == nil || ds.calling {
		return
	}
	if now.Sub(w.decidedAt) >= decideInterval && !w.anyDue() {
		w.decidedAt = now
		d.decide(ds, w, v, now)
	}
	if !ds.elector.StateStored() {
		return
	}
	for name, service := range w.services {
		if len(service.due) > 0 && d.beginCall(ds, now) {
			d.send(ctx, ds, name, service)
			return
		}
	}
}

func (w *orderTask) anyDue() bool {
	for _, service := range w.services {
		if len(service.due) > 0 {
			return true
		}
	}
	return false
}

// decide decides on orders for each service that is scaled automatically.
func (d *Leaseholder) decide(ds *dutyState, w *orderTask, v *storesync.View, now time.Time) {
	changed := false
	for _, s := range v.Map.Services() {
		if !s.Autoscaling.Enabled() {
			continue
		}
		service := w.service(s.Name)
		in := service.input(s, v, now)
		d.logStatus(s.Name, service, in, now)
		service.due = autoscaling.Decide(in)
		for _, o := range service.due {
			if o.ScaleDown {
				service.scaledDownAt = now
			}
			p := service.pool(o.Pool)
			p.count, p.ordered, p.at, p.maxServing, p.shortSince = o.Count, true, now, 0, time.Time{}
			d.Log.Info().Str("service", s.Name).Str("hall", o.Pool.Hall).Str("kind", string(o.Pool.Kind)).Int("count", o.Count).Str("why", o.Reason).
				Int("need", in.Need()).Float64("peak", in.Peak).Bool("known", in.HasLoad).Int("serving", in.Pools[o.Pool].Serving).Msg("duty: ordering servers")
		}
		if len(service.due) > 0 {
			changed, service.planned = true, in.Need()
		}
	}
	if changed {
		d.storeOrders(ds, w)
	}
}

// statusLogInterval is the time between two log lines about a service's servers.
const statusLogInterval = 5 * time.Second

// logStatus logs how many servers a service has and needs, so that an operator can find out later
// why there were too few at some time.
func (d *Leaseholder) logStatus(name string, service *serviceOrders, in autoscaling.Input, now time.Time) {
	if now.Sub(service.loggedAt) < statusLogInterval {
		return
	}
	service.loggedAt = now
	var text []string
	for _, hall := range in.Halls {
		for _, kind := range []autoscaling.Kind{autoscaling.OnDemand, autoscaling.Spot} {
			p := autoscaling.Pool{Hall: hall, Kind: kind}
			state := in.Pools[p]
			text = append(text, fmt.Sprintf("%s %s: %d of %d, %d warm, %d of another version", hall, kind, state.Serving, state.Ordered, state.Warm, state.RollingOut))
		}
	}
	d.Log.Info().Str("service", name).Int("need", in.Need()).Float64("peak", in.Peak).Bool("settled", in.PeakSettled).Str("stands", strings.Join(text, "; ")).Msg("duty: server counts")
}

// send sends the first due order of a service.
func (d *Leaseholder) send(ctx context.Context, ds *dutyState, name string, service *serviceOrders) {
	o := service.due[0]
	d.callPlatform(ctx, ds, func(ctx context.Context, by Caller) error { return d.Platform.Order(ctx, by, name, o) }, func(err error) {
		p := service.pool(o.Pool)
		switch {
		case err == nil:
			d.Orders.Add(1)
			p.unavailableFor = 0
		case fault.Is(err, Forbidden):
			p.unavailableFor = min(maxUnavailable, max(minUnavailable, 2*p.unavailableFor))
			p.unavailableUntil, p.ordered = time.Now().Add(p.unavailableFor), false
		case fault.Is(err, Unanswered):
			// The platform may still carry it out after the next order, unless the next one has a
			// higher token.
			ds.elector.RaiseToken()
			return
		default:
			return
		}
		service.due = service.due[1:]
	})
}

// input returns the data that an order for the service is decided by.
func (o *serviceOrders) input(s *routemap.Service, v *storesync.View, now time.Time) autoscaling.Input {
	in := autoscaling.Input{Now: now, Policy: s.Autoscaling, Slots: s.Slots, Drained: map[string]bool{}, Pools: map[autoscaling.Pool]autoscaling.PoolState{}}
	for hall := range v.Drained {
		in.Drained[hall] = true
	}
	load := 0.0
	for _, server := range v.Servers.Service(s.Name) {
		load += server.State.TotalLoad()
		if !slices.Contains(in.Halls, server.Hall) {
			in.Halls = append(in.Halls, server.Hall)
		}
		pool := poolOf(server)
		if !server.Usable() {
			continue
		}
		state := in.Pools[pool]
		switch {
		case !v.Stable(s.Name, server.Version):
			state.RollingOut++
		case now.Before(server.State.ColdLimit().Until):
			state.Serving++
		default:
			state.Serving++
			state.Warm++
		}
		in.Pools[pool] = state
	}
	for pool := range o.pools {
		if !slices.Contains(in.Halls, pool.Hall) {
			in.Halls = append(in.Halls, pool.Hall)
		}
	}
	slices.Sort(in.Halls)
	serving := 0
	for _, state := range in.Pools {
		serving += state.Serving
	}
	in.LastNeed, in.ScaledDownAt = o.planned, o.scaledDownAt
	in.CountSteady = o.countWatch.Observe(serving, now)
	o.demand.Observe(load, now)
	in.Peak, in.HasLoad = o.demand.Peak()
	in.PeakSettled = o.demand.Settled(now)
	o.addOrders(&in, now)
	return in
}

// addOrders adds the last orders to the state of the pools.
func (o *serviceOrders) addOrders(in *autoscaling.Input, now time.Time) {
	for pool, p := range o.pools {
		state := in.Pools[pool]
		p.maxServing = max(p.maxServing, state.Serving)
		switch {
		case !p.ordered || state.Serving >= p.count:
			p.shortSince = time.Time{}
		case p.shortSince.IsZero():
			p.shortSince = now
		}
		state.Ordered, state.HasOrder, state.ShortSince = p.count, p.ordered, p.shortSince
		state.ServersLost = p.ordered && state.Serving < min(p.maxServing, p.count) && now.Sub(p.at) >= replaceInterval
		state.Unavailable = now.Before(p.unavailableUntil)
		in.Pools[pool] = state
	}
}

// poolOf returns the pool of a server.
func poolOf(s *fleet.Server) autoscaling.Pool {
	if s.Spot {
		return autoscaling.Pool{Hall: s.Hall, Kind: autoscaling.Spot}
	}
	return autoscaling.Pool{Hall: s.Hall, Kind: autoscaling.OnDemand}
}
