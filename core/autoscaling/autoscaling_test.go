package autoscaling_test

import (
	"testing"
	"time"

	"ladderridge.example/core/autoscaling"
)

// site simulates a provider of servers in three halls. Its time advances in steps.
type site struct {
	now          time.Time
	halls        []string
	pools        map[autoscaling.Pool]*simPool
	drained      map[string]bool
	noSpot       map[string]bool
	load         autoscaling.PeakLoad
	counts       autoscaling.CountWatch
	lastNeed     int
	scaledDownAt time.Time
	policy       autoscaling.Policy
	// executed counts the orders that were carried out.
	executed int
	// orderDelay is how long the provider waits before it carries out an order.
	orderDelay time.Duration
}

// simPool is the state of a pool: the number of servers that serve, and when those that start will serve.
type simPool struct {
	serving    int
	starting   []time.Time
	ordered    int
	hasOrder   bool
	noneUntil  time.Time
	peak       int
	shortSince time.Time
	orderAt    time.Time
}

const (
	slots = 64
	step  = 500 * time.Millisecond
	boot  = 4 * time.Second
)

func newSite(each int) *site {
	s := &site{
		now: time.Unix(1000, 0), halls: []string{"a", "b", "c"}, pools: map[autoscaling.Pool]*simPool{}, drained: map[string]bool{}, noSpot: map[string]bool{},
		policy: autoscaling.Policy{MinServers: 1, MaxServers: 40, BootTime: boot, SpotPrice: 0.2},
	}
	for _, hall := range s.halls {
		s.pools[autoscaling.Pool{Hall: hall, Kind: autoscaling.OnDemand}] = &simPool{serving: each}
		s.pools[autoscaling.Pool{Hall: hall, Kind: autoscaling.Spot}] = &simPool{}
	}
	return s
}

// run simulates a period with constant load in flight.
func (s *site) run(d time.Duration, load float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.start()
		s.load.Observe(load, s.now)
		in := s.input()
		for _, o := range autoscaling.Decide(in) {
			s.carryOut(o)
			s.lastNeed = in.Need()
		}
	}
}

// start makes servers serve that have started.
func (s *site) start() {
	for _, pool := range s.pools {
		var left []time.Time
		for _, when := range pool.starting {
			if when.After(s.now) {
				left = append(left, when)
			} else {
				pool.serving++
			}
		}
		pool.starting = left
	}
}

func (s *site) carryOut(o autoscaling.Order) {
	pool := s.pools[o.Pool]
	if o.Pool.Kind == autoscaling.Spot && s.noSpot[o.Pool.Hall] {
		pool.noneUntil, pool.hasOrder = s.now.Add(2*time.Second), false
		return
	}
	s.executed++
	if o.ScaleDown {
		s.scaledDownAt = s.now
	}
	pool.ordered, pool.hasOrder, pool.peak, pool.orderAt, pool.shortSince = o.Count, true, 0, s.now, time.Time{}
	for pool.serving+len(pool.starting) < o.Count {
		pool.starting = append(pool.starting, s.now.Add(boot+s.orderDelay))
	}
	pool.starting = pool.starting[:min(len(pool.starting), max(0, o.Count-pool.serving))]
	pool.serving = min(pool.serving, o.Count)
}

func (s *site) input() autoscaling.Input {
	in := autoscaling.Input{Now: s.now, Policy: s.policy, Halls: s.halls, Drained: s.drained, Slots: slots, LastNeed: s.lastNeed, ScaledDownAt: s.scaledDownAt, Pools: map[autoscaling.Pool]autoscaling.PoolState{}}
	serving := 0
	for p, pool := range s.pools {
		pool.peak = max(pool.peak, pool.serving)
		switch {
		case !pool.hasOrder || pool.serving >= pool.ordered:
			pool.shortSince = time.Time{}
		case pool.shortSince.IsZero():
			pool.shortSince = s.now
		}
		serving += pool.serving
		in.Pools[p] = autoscaling.PoolState{
			Serving: pool.serving, Warm: pool.serving, Ordered: pool.ordered, HasOrder: pool.hasOrder, ShortSince: pool.shortSince,
			ServersLost: pool.hasOrder && pool.serving < min(pool.peak, pool.ordered), Unavailable: s.now.Before(pool.noneUntil),
		}
	}
	in.CountSteady = s.counts.Observe(serving, s.now)
	in.Peak, in.HasLoad = s.load.Peak()
	in.PeakSettled = s.load.Settled(s.now)
	return in
}

// reclaim makes the provider reclaim all spot servers of a hall, without replacements for some time.
func (s *site) reclaim(hall string) {
	s.noSpot[hall] = true
	s.pools[autoscaling.Pool{Hall: hall, Kind: autoscaling.Spot}].serving = 0
}

// serving returns the number of servers of a kind, in one hall or in all.
func (s *site) serving(kind autoscaling.Kind, halls ...string) int {
	sum := 0
	for p, pool := range s.pools {
		if p.Kind == kind && (len(halls) == 0 || p.Hall == halls[0]) && !s.drained[p.Hall] {
			sum += pool.serving
		}
	}
	return sum
}

func (s *site) all() int { return s.serving(autoscaling.OnDemand) + s.serving(autoscaling.Spot) }

// The servers of a new site appear in the VM list one after the other. The first three were taken for all of them,
// and the rest was stopped before there was any request.
func TestNothingIsOrderedWhileServersAreStillBeingListed(t *testing.T) {
	s := newSite(1)
	for _, pool := range s.pools {
		for range pool.serving * 19 {
			pool.starting = append(pool.starting, s.now.Add(time.Second))
		}
	}
	s.run(15*time.Second, 0)
	if n := s.all(); n < 40 {
		t.Errorf("%d servers run before the first request", n)
	}
}

func TestSpotServersReplaceOnDemandServers(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	if n := s.serving(autoscaling.OnDemand); n > 0 {
		t.Errorf("%d on-demand servers run", n)
	}
	for _, hall := range s.halls {
		if n := s.serving(autoscaling.Spot, hall); n != 20 {
			t.Errorf("%d spot servers in %s: any two halls must carry as much as before", n, hall)
		}
	}
}

func TestOnDemandServersAreKeptWhereSpotServersCostAsMuch(t *testing.T) {
	s := newSite(20)
	s.policy.SpotPrice = 1
	s.run(30*time.Second, 500)
	if n := s.serving(autoscaling.Spot); n > 0 {
		t.Errorf("%d spot servers", n)
	}
	if n := s.serving(autoscaling.OnDemand); n == 0 || n >= 60 {
		t.Errorf("%d servers carry a load for eight", n)
	}
}

// A periodic load whose crests are closer together than the peak window must not cause servers to be stopped in its
// troughs.
func TestPeriodicLoadStopsNoServers(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	for range 4 {
		s.run(6*time.Second, 1500)
		s.run(6*time.Second, 800)
	}
	before := s.executed
	for range 4 {
		s.run(6*time.Second, 1500)
		s.run(6*time.Second, 800)
	}
	if s.executed != before {
		t.Errorf("%d orders during a load wave that has been observed before", s.executed-before)
	}
}

func TestLoadJumpIsMetWithinTheBootTime(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	s.run(25*time.Second, 800)
	calm := s.all()
	s.run(boot+2*step, 3200)
	if n := s.all(); n < 50 || n <= calm {
		t.Errorf("%d servers after a jump to what 50 carry, %d before", n, calm)
	}
	s.run(60*time.Second, 800)
	if n := s.all(); n > calm {
		t.Errorf("%d servers long after the jump, %d before", n, calm)
	}
}

// All spot servers of a hall are reclaimed at peak load, and there are no replacements for ten seconds.
func TestSpotServersOfAnyHallMayBeReclaimed(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	s.run(30*time.Second, 1500)
	for _, hall := range s.halls {
		s.reclaim(hall)
		if n := s.all(); n*slots < 1500 {
			t.Errorf("%d servers without %s", n, hall)
		}
		s.run(10*time.Second, 1500)
		s.noSpot[hall] = false
		s.run(15*time.Second, 1500)
		if n := s.serving(autoscaling.Spot, hall); n == 0 {
			t.Errorf("no spot servers run in %s again", hall)
		}
	}
	if n := s.serving(autoscaling.OnDemand); n > 0 {
		t.Errorf("%d on-demand servers", n)
	}
}

// One hall was drained when the spot servers of another were reclaimed, and the servers of the third hall carried a
// third of the load only.
func TestHallMayBeLostWhileAnotherIsDrained(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	s.run(30*time.Second, 1500)
	s.drained["a"] = true
	s.run(8*time.Second, 1500)
	s.reclaim("b")
	if n := s.all(); n*slots < 1500 {
		t.Errorf("%d servers are left", n)
	}
}

func TestOnDemandServersReplaceUnavailableSpotServers(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	for _, hall := range s.halls {
		s.reclaim(hall)
	}
	s.run(8*time.Second, 1500)
	if n := s.serving(autoscaling.OnDemand); n*slots < 1500 {
		t.Errorf("%d servers", n)
	}
	clear(s.noSpot)
	s.run(60*time.Second, 1500)
	if n := s.serving(autoscaling.OnDemand); n > 0 {
		t.Errorf("%d on-demand servers still run", n)
	}
}

func TestSlowOrdersAreNotRepeatedOften(t *testing.T) {
	s := newSite(20)
	s.orderDelay = 3 * time.Second
	s.run(15*time.Second, 0)
	before := s.executed
	s.run(10*time.Second, 3000)
	if n := s.executed - before; n > 9 {
		t.Errorf("%d orders for one rise", n)
	}
}

// A new holder of the duty, which did not know the load in flight yet, stopped most of the servers.
func TestNewHolderKeepsWhatWasNeeded(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	s.run(30*time.Second, 2500)
	before := s.all()
	s.load, s.counts = autoscaling.PeakLoad{}, autoscaling.CountWatch{}
	s.run(15*time.Second, 50)
	if n := s.all(); n < before*2/3 {
		t.Errorf("%d servers of %d are left under a new holder", n, before)
	}
}

// A version that was rolled out brought its own servers. There were then more than had been ordered, and an order for
// one more stopped them.
func TestServersBeyondTheOrderAreNotEndedByAnOrderForMore(t *testing.T) {
	in := newSite(20).input()
	in.HasLoad, in.PeakSettled, in.Peak = true, true, 4000
	for _, hall := range in.Halls {
		in.Pools[autoscaling.Pool{Hall: hall, Kind: autoscaling.Spot}] = autoscaling.PoolState{Unavailable: true}
		in.Pools[autoscaling.Pool{Hall: hall, Kind: autoscaling.OnDemand}] = autoscaling.PoolState{Serving: 20, Warm: 20, HasOrder: true}
	}
	for _, o := range autoscaling.Decide(in) {
		if o.Count < 20 {
			t.Errorf("%+v", o)
		}
	}
}

func TestHallLimitCoversAllServersThere(t *testing.T) {
	in := newSite(20).input()
	in.HasLoad, in.PeakSettled, in.Peak = true, true, 20000
	in.Pools[autoscaling.Pool{Hall: "a", Kind: autoscaling.OnDemand}] = autoscaling.PoolState{Serving: 10, Warm: 10, RollingOut: 20}
	for _, o := range autoscaling.Decide(in) {
		if o.Pool.Hall == "a" && o.Pool.Kind == autoscaling.Spot && o.Count > 10 {
			t.Errorf("%+v: 30 servers run there, and the limit is 40", o)
		}
	}
}

func TestServicesWithoutAPolicyGetNoOrders(t *testing.T) {
	in := newSite(20).input()
	in.Policy, in.CountSteady = autoscaling.Policy{}, true
	if orders := autoscaling.Decide(in); len(orders) > 0 {
		t.Errorf("%+v", orders)
	}
}

// Without the number of slots of a server the load in flight does not show how many servers are needed, and one
// seemed to be enough.
func TestServersOfUnknownSlotsAreLeftAlone(t *testing.T) {
	in := newSite(20).input()
	in.Slots, in.HasLoad, in.PeakSettled, in.Peak = 0, true, true, 1500
	if orders := autoscaling.Decide(in); len(orders) > 0 {
		t.Errorf("%+v", orders)
	}
}
