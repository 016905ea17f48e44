// Package permits limits how many requests this daemon has in flight at services with few slots.
// The limits follow the demand of all daemons, which they exchange as the figures "slots". They
// apply only while servers decline requests.
package permits

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/permits"
)

// expiry is the time after which figures are not used any more.
const expiry = 1500 * time.Millisecond

// Pool limits the requests of this daemon. It implements storesync.Figures. A service without
// SetPool is not limited. The methods can be called concurrently.
type Pool struct {
	// services is replaced as a whole, so that requests read it without a lock.
	services atomic.Pointer[map[string]*service]
	// mu guards the writers of services, and the figures.
	mu             sync.Mutex
	daemons, halls reports
	total          report
	malformed      atomic.Int64
}

// New returns a pool without services.
func New() *Pool {
	p := &Pool{daemons: reports{}, halls: reports{}}
	p.services.Store(&map[string]*service{})
	return p
}

// SetPool sets the capacity of a service and the number of daemons that share it. Without slots,
// requests are not limited.
func (p *Pool) SetPool(name string, pool permits.Pool, daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	s := (*p.services.Load())[name]
	if s == nil {
		s = newService(now)
		services := maps.Clone(*p.services.Load())
		services[name] = s
		p.services.Store(&services)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pool.Limited = s.pool.Limited
	s.pool, s.daemons = pool, daemons
	p.setShare(name, s, now)
}

// setShare computes the limit of a service from the total. The caller holds both locks.
func (p *Pool) setShare(name string, s *service, now time.Time) {
	static := s.pool.Static(s.daemons)
	total, ok := p.total.figures[name]
	if !ok {
		s.pool.Limited = false
		s.gate.SetShares(static, now)
		s.update(now)
		return
	}
	limit := permits.Divide(s.pool, total, s.reported(p.total.at), s.daemons)
	s.pool.Limited = limit != permits.Unlimited
	// While some daemons may have a total without this one and others one with it, they reserve
	// its static share or its last one.
	reserved := min(limit, static)
	if limit != permits.Unlimited && p.total.at.Sub(s.reportsSince) < 2*expiry {
		limit = reserved
	}
	s.gate.SetShares(static, now,
		permits.Share{Limit: limit, Until: p.total.at.Add(expiry)},
		permits.Share{Limit: reserved, Until: p.total.at.Add(2 * expiry)})
	s.update(now)
}

// Enter waits until a request may be sent to a service. The caller calls release when the request
// has ended, with whether a server has answered it. The error is of kind NoSlot if the request is refused, or Cancelled if ctx ends.
func (p *Pool) Enter(ctx context.Context, name string, t permits.Ticket) (release func(answered bool), err error) {
	s := (*p.services.Load())[name]
	if s == nil {
		return func(bool) {}, nil
	}
	id, d, answer := s.enter(t)
	if answer != nil {
		select {
		case d = <-answer:
		case <-ctx.Done():
			s.leave(id, false)
			return nil, &Error{Op: opEnter, Kind: Cancelled, Err: context.Cause(ctx)}
		}
	}
	if d, ok := d.(permits.Refuse); ok {
		s.refused.Add(1)
		return nil, &Error{Op: opEnter, Kind: NoSlot, Err: RetryAfter(d.RetryAfter)}
	}
	return func(answered bool) { s.leave(id, answered) }, nil
}

// Declined records that a server has declined a request to a service as full, without running it.
func (p *Pool) Declined(name string) {
	if s := (*p.services.Load())[name]; s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		s.gate.Declined(now)
		s.update(now)
	}
}

// State is the state of one service.
type State struct {
	// Limit is the number of requests of this daemon that may be in flight; it is +Inf unless
	// servers decline requests.
	Limit             float64
	InFlight, Waiting int
	// Granted and Refused count requests since the start.
	Granted, Refused int64
	Service          time.Duration
	// Total is the demand of all daemons, or zero if it is unknown.
	Total permits.Demand
}

// Snapshot returns the states of all services with a pool.
func (p *Pool) Snapshot(now time.Time) map[string]State {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total map[string]permits.Demand
	if now.Sub(p.total.at) < expiry {
		total = p.total.figures
	}
	out := map[string]State{}
	for name, s := range *p.services.Load() {
		s.mu.Lock()
		out[name] = State{
			Limit: s.gate.Limit(now), InFlight: s.gate.InFlight(), Waiting: s.gate.Waiting(),
			Granted: s.granted.Load(), Refused: s.refused.Load(), Service: s.gate.Service(),
			Total: total[name],
		}
		s.mu.Unlock()
	}
	return out
}

// Malformed returns how many reports were dropped because they did not decode.
func (p *Pool) Malformed() int64 { return p.malformed.Load() }

// service is the gate of one service.
type service struct {
	granted, refused atomic.Int64
	mu               sync.Mutex
	gate             *permits.Gate
	pool             permits.Pool
	daemons          int
	answers          map[permits.ID]chan permits.Decision
	timer            *time.Timer
	// own holds the demands that were reported within the last two expiries.
	own []ownDemand
	// reportsSince is the time of the first report after which none was missing.
	reportsSince time.Time
}

func newService(now time.Time) *service {
	s := &service{gate: permits.NewGate(now), answers: map[permits.ID]chan permits.Decision{}}
	s.timer = time.AfterFunc(time.Hour, s.expire)
	s.timer.Stop()
	return s
}

// enter returns a channel for the later decision if the request has to wait.
func (s *service) enter(t permits.Ticket) (permits.ID, permits.Decision, <-chan permits.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.update(now)
	id, d := s.gate.Enter(t, now, rand.Float64())
	switch d.(type) {
	case permits.Go:
		s.granted.Add(1)
	case permits.Wait:
		answer := make(chan permits.Decision, 1)
		s.answers[id] = answer
		s.update(now)
		return id, nil, answer
	}
	return id, d, nil
}

// leave records the end of a request, or of its wait.
func (s *service) leave(id permits.ID, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(s.answers, id)
	s.gate.Leave(id, answered, now)
	s.update(now)
}

func (s *service) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(time.Now())
}

// update sends the decisions that are due and sets the timer for the next ones.
func (s *service) update(now time.Time) {
	for _, o := range s.gate.Expire(now, rand.Float64()) {
		if _, ok := o.Decision.(permits.Go); ok {
			s.granted.Add(1)
		}
		s.answers[o.ID] <- o.Decision
		delete(s.answers, o.ID)
	}
	if next := s.gate.Next(now); !next.IsZero() {
		s.timer.Reset(next.Sub(now))
	}
}
