// Package congestion tracks the congestion of each service of model servers in this daemon: the
// price of runs, the use of server time by organisation, and the admission of requests. Trackers
// of all daemons exchange their sums as the figures "demand" of package storesync.
package congestion

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"ladderridge.example/core/admission"
	"ladderridge.example/core/price"
)

const (
	// congestedLevel and calmAgainLevel are the levels at which a service becomes congested and
	// calm again. At the first one answers begin to be late.
	congestedLevel = 0.4
	calmAgainLevel = 0.2
	// sampleInterval is the time over which the change of a level is taken. It is the time between
	// two totals, in which the level changes by steps.
	sampleInterval = 500 * time.Millisecond
	// maxSampleGap is the time after which the last sample says nothing about the present change.
	maxSampleGap = 3 * time.Second
)

// Tracker is the state of all services in this daemon. It is safe for concurrent use.
type Tracker struct {
	// Log receives a line when a service becomes congested and when it is calm again. It is set
	// before use.
	Log log.Logger

	services atomic.Pointer[map[string]*service]
	dropped  atomic.Uint64

	// mu protects the reports of other daemons and the creation of services.
	mu             sync.Mutex
	daemons, halls map[string]report
	total          report
	// encoded is the encoded total as of encodedAt.
	encoded   []byte
	encodedAt time.Time
}

// service is the state of one service.
type service struct {
	name string
	hash uint32

	mu        sync.Mutex
	market    price.Market
	congested bool
	// sampled is the level as of sampledAt, change its change per second before.
	sampled, change float64
	sampledAt       time.Time
	uses            uses
	refused         [admission.Reasons]uint64
}

// New returns a tracker of services that are calm.
func New() *Tracker {
	t := &Tracker{daemons: map[string]report{}, halls: map[string]report{}}
	t.services.Store(&map[string]*service{})
	return t
}

// service returns the service of that name, which is created if it is not known.
func (t *Tracker) service(name string) *service {
	if s := (*t.services.Load())[name]; s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := (*t.services.Load())[name]; s != nil {
		return s
	}
	s := &service{name: name, hash: hash(name)}
	s.setTotal(t.total)
	services := maps.Clone(*t.services.Load())
	services[name] = s
	t.services.Store(&services)
	return s
}

// hash identifies a service or an organisation in figures.
func hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// ObserveWait records that the first part of an answer took that share of its objective.
func (t *Tracker) ObserveWait(service string, share float64, now time.Time) {
	s := t.service(service)
	s.mu.Lock()
	s.market = s.market.WithWait(share, now)
	_, e := s.level(now)
	s.mu.Unlock()
	t.log(e)
}

// ObserveAbandoned records that an answer was abandoned after that share of its objective, before
// its first part. The wait would have been longer, so a share below the level says nothing.
func (t *Tracker) ObserveAbandoned(service string, share float64, now time.Time) {
	s := t.service(service)
	s.mu.Lock()
	level, e := s.level(now)
	if share > level {
		s.market = s.market.WithWait(share, now)
		_, e = s.level(now)
	}
	s.mu.Unlock()
	t.log(e)
}

// ObserveUse records work of an organisation at the service's servers.
func (t *Tracker) ObserveUse(service, organisation string, work float64, now time.Time) {
	s := t.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses.add(hash(organisation), work, now)
}

// Price returns what a run costs other requests as a fraction of a request's value, and counts the
// run among those considered.
func (t *Tracker) Price(service string, r price.Run, now time.Time) float64 {
	s, cost := t.service(service), r.Cost()
	s.mu.Lock()
	s.market = s.market.WithRun(cost)
	p := s.market.Price(cost, now)
	_, e := s.level(now)
	s.mu.Unlock()
	t.log(e)
	return p
}

// Level returns the level of congestion of a service.
func (t *Tracker) Level(service string, now time.Time) float64 {
	s := t.service(service)
	s.mu.Lock()
	level, e := s.level(now)
	s.mu.Unlock()
	t.log(e)
	return level
}

// Admit decides whether a request is sent to the service. The cost of the request is that of its
// first run, price.Run.Cost; Admit divides it by the mean of the service. The draw is uniform in
// [0, 1).
func (t *Tracker) Admit(service string, r admission.Request, draw float64, now time.Time) admission.Decision {
	s := t.service(service)
	s.mu.Lock()
	r.Cost = s.market.Relative(r.Cost)
	level, e := s.level(now)
	state := admission.State{Level: level, Change: s.change}
	if level > congestedLevel && r.Organisation != "" {
		state.Share = s.uses.share(hash(r.Organisation), now)
	}
	d := admission.Decide(r, state, draw)
	if d, ok := d.(admission.Refuse); ok {
		s.refused[d.Reason]++
	}
	s.mu.Unlock()
	t.log(e)
	return d
}

// Dropped returns the number of messages that were dropped because they are not valid.
func (t *Tracker) Dropped() uint64 { return t.dropped.Load() }

// State is the state of one service, for a state dump.
type State struct {
	Service string
	// Level is the level of congestion, Price the price of a run of average cost.
	Level, Price float64
	Congested    bool
	// Refused is the number of requests refused, by reason.
	Refused map[string]uint64
}

// Snapshot returns the state of all services by name.
func (t *Tracker) Snapshot(now time.Time) []State {
	var states []State
	for _, s := range *t.services.Load() {
		s.mu.Lock()
		level, e := s.level(now)
		state := State{Service: s.name, Level: level, Price: s.market.Price(0, now), Congested: s.congested, Refused: map[string]uint64{}}
		for reason, n := range s.refused {
			state.Refused[admission.Reason(reason).String()] = n
		}
		s.mu.Unlock()
		t.log(e)
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return states
}

// event is a service that has become congested or calm. The zero value is none.
type event struct {
	service      string
	congested    bool
	level, price float64
	refused      uint64
}

// level returns the level of the service, and the event that results from it.
func (s *service) level(now time.Time) (float64, event) {
	level := s.market.Level(now)
	if gap := now.Sub(s.sampledAt); gap >= sampleInterval {
		change := (level - s.sampled) / gap.Seconds()
		if gap > maxSampleGap {
			change, s.change = 0, 0
		}
		s.change = (s.change + change) / 2
		s.sampled, s.sampledAt = level, now
	}
	if !s.congested && level > congestedLevel || s.congested && level < calmAgainLevel {
		s.congested = !s.congested
		return level, event{s.name, s.congested, level, s.market.Price(0, now), s.refused[admission.Congested]}
	}
	return level, event{}
}

// log logs an event. It is called without locks, since a log line may block.
func (t *Tracker) log(e event) {
	switch {
	case e.service == "":
	case e.congested:
		t.Log.Warn().Str("service", e.service).Float64("level", e.level).Float64("price", e.price).Uint64("refused", e.refused).Msg("congestion: service is congested; answers begin to be late")
	default:
		t.Log.Info().Str("service", e.service).Float64("level", e.level).Float64("price", e.price).Uint64("refused", e.refused).Msg("congestion: service is calm again")
	}
}
