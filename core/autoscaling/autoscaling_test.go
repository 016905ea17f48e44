package autoscaling_test

import (
	"testing"
	"time"

	"ladderridge.example/core/autoscaling"
)

// site is a provider of servers in three halls, as far as the decision sees it. Its time moves
// in steps.
type site struct {
	now     time.Time
	halls   []string
	places  map[autoscaling.Place]*stock
	emptied map[string]bool
	dry     map[string]bool
	demand  autoscaling.Demand
	stands  autoscaling.Stand
	planned int
	ended   time.Time
	terms   autoscaling.Terms
	// given are the orders that were carried out.
	given int
	// lateBy is how much later than it is given an order is carried out.
	lateBy time.Duration
}

// stock is what a place has: servers that serve, and those that start, by when they serve.
type stock struct {
	serving  int
	starting []time.Time
	ordered  int
	asked    bool
	none     time.Time
	most     int
	short    time.Time
	orderAt  time.Time
}

const (
	slots = 64
	step  = 500 * time.Millisecond
	boot  = 4 * time.Second
)

func newSite(each int) *site {
	s := &site{
		now: time.Unix(1000, 0), halls: []string{"a", "b", "c"}, places: map[autoscaling.Place]*stock{}, emptied: map[string]bool{}, dry: map[string]bool{},
		terms: autoscaling.Terms{Least: 1, Most: 40, Boot: boot, SpotPrice: 0.2},
	}
	for _, hall := range s.halls {
		s.places[autoscaling.Place{Hall: hall, Kind: autoscaling.Regular}] = &stock{serving: each}
		s.places[autoscaling.Place{Hall: hall, Kind: autoscaling.Spot}] = &stock{}
	}
	return s
}

// run plays a while with as much work under way.
func (s *site) run(d time.Duration, work float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.start()
		s.demand.Note(work, s.now)
		in := s.input()
		for _, o := range autoscaling.Decide(in) {
			s.carryOut(o)
			s.planned = in.Need()
		}
	}
}

// start lets servers serve that have started.
func (s *site) start() {
	for _, at := range s.places {
		var left []time.Time
		for _, when := range at.starting {
			if when.After(s.now) {
				left = append(left, when)
			} else {
				at.serving++
			}
		}
		at.starting = left
	}
}

func (s *site) carryOut(o autoscaling.Order) {
	at := s.places[o.Place]
	if o.Place.Kind == autoscaling.Spot && s.dry[o.Place.Hall] {
		at.none, at.asked = s.now.Add(2*time.Second), false
		return
	}
	s.given++
	if o.Fewer {
		s.ended = s.now
	}
	at.ordered, at.asked, at.most, at.orderAt, at.short = o.Count, true, 0, s.now, time.Time{}
	for at.serving+len(at.starting) < o.Count {
		at.starting = append(at.starting, s.now.Add(boot+s.lateBy))
	}
	at.starting = at.starting[:min(len(at.starting), max(0, o.Count-at.serving))]
	at.serving = min(at.serving, o.Count)
}

func (s *site) input() autoscaling.Input {
	in := autoscaling.Input{Now: s.now, Terms: s.terms, Halls: s.halls, Emptied: s.emptied, Slots: slots, Planned: s.planned, EndedAt: s.ended, Places: map[autoscaling.Place]autoscaling.Standing{}}
	standing := 0
	for p, at := range s.places {
		at.most = max(at.most, at.serving)
		switch {
		case !at.asked || at.serving >= at.ordered:
			at.short = time.Time{}
		case at.short.IsZero():
			at.short = s.now
		}
		standing += at.serving
		in.Places[p] = autoscaling.Standing{
			Serving: at.serving, Warm: at.serving, Ordered: at.ordered, Asked: at.asked, Short: at.short,
			Lost: at.asked && at.serving < min(at.most, at.ordered), None: s.now.Before(at.none),
		}
	}
	in.Steady = s.stands.Note(standing, s.now)
	in.Peak, in.Known = s.demand.Peak()
	in.Settled = s.demand.Settled(s.now)
	return in
}

// reclaim takes all spot servers of a hall back; for a while there are no others.
func (s *site) reclaim(hall string) {
	s.dry[hall] = true
	s.places[autoscaling.Place{Hall: hall, Kind: autoscaling.Spot}].serving = 0
}

// serving counts servers of a kind, in one hall or in all.
func (s *site) serving(kind autoscaling.Kind, halls ...string) int {
	sum := 0
	for p, at := range s.places {
		if p.Kind == kind && (len(halls) == 0 || p.Hall == halls[0]) && !s.emptied[p.Hall] {
			sum += at.serving
		}
	}
	return sum
}

func (s *site) all() int { return s.serving(autoscaling.Regular) + s.serving(autoscaling.Spot) }

// Servers of a site that starts are listed one after the other. The first three were taken for
// all of them, and the rest was ended before anybody called.
func TestNothingIsOrderedWhileServersAreStillBeingListed(t *testing.T) {
	s := newSite(1)
	for _, at := range s.places {
		for range at.serving * 19 {
			at.starting = append(at.starting, s.now.Add(time.Second))
		}
	}
	s.run(15*time.Second, 0)
	if n := s.all(); n < 40 {
		t.Errorf("%d servers stand before anybody has called", n)
	}
}

func TestSpotServersTakeThePlaceOfDearOnes(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	if n := s.serving(autoscaling.Regular); n > 0 {
		t.Errorf("%d dear servers stand", n)
	}
	for _, hall := range s.halls {
		if n := s.serving(autoscaling.Spot, hall); n != 20 {
			t.Errorf("%d spot servers in %s: any two halls are to carry what any two did", n, hall)
		}
	}
}

func TestDearServersAreKeptWhereSpotServersCostAsMuch(t *testing.T) {
	s := newSite(20)
	s.terms.SpotPrice = 1
	s.run(30*time.Second, 500)
	if n := s.serving(autoscaling.Spot); n > 0 {
		t.Errorf("%d spot servers", n)
	}
	if n := s.serving(autoscaling.Regular); n == 0 || n >= 60 {
		t.Errorf("%d servers carry what eight can", n)
	}
}

// A wave of load whose crest is less than a peak counts apart must not end servers in its trough.
func TestWaveEndsNoServers(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	for range 4 {
		s.run(6*time.Second, 1500)
		s.run(6*time.Second, 800)
	}
	before := s.given
	for range 4 {
		s.run(6*time.Second, 1500)
		s.run(6*time.Second, 800)
	}
	if s.given != before {
		t.Errorf("%d orders in a wave that has been seen", s.given-before)
	}
}

func TestJumpIsAnsweredWithinTheTimeToStart(t *testing.T) {
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

// All spot servers of a hall are taken back at the peak, and there are no others for ten
// seconds.
func TestAnyHallsSpotServersMayBeTakenBack(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	s.run(30*time.Second, 1500)
	for _, hall := range s.halls {
		s.reclaim(hall)
		if n := s.all(); n*slots < 1500 {
			t.Errorf("%d servers without %s", n, hall)
		}
		s.run(10*time.Second, 1500)
		s.dry[hall] = false
		s.run(15*time.Second, 1500)
		if n := s.serving(autoscaling.Spot, hall); n == 0 {
			t.Errorf("nothing stands in %s again", hall)
		}
	}
	if n := s.serving(autoscaling.Regular); n > 0 {
		t.Errorf("%d dear servers", n)
	}
}

// One hall was emptied when the spot servers of another were taken back, and what stood in the
// third carried a third of the requests.
func TestHallMayBeLostWhileAnotherIsEmptied(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	s.run(30*time.Second, 1500)
	s.emptied["a"] = true
	s.run(8*time.Second, 1500)
	s.reclaim("b")
	if n := s.all(); n*slots < 1500 {
		t.Errorf("%d servers are left", n)
	}
}

func TestDearServersStandInWhereNoSpotServersAreToBeHad(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	for _, hall := range s.halls {
		s.reclaim(hall)
	}
	s.run(8*time.Second, 1500)
	if n := s.serving(autoscaling.Regular); n*slots < 1500 {
		t.Errorf("%d servers", n)
	}
	clear(s.dry)
	s.run(60*time.Second, 1500)
	if n := s.serving(autoscaling.Regular); n > 0 {
		t.Errorf("%d dear servers still stand", n)
	}
}

func TestOrdersThatAreCarriedOutLateAreNotGivenManyTimes(t *testing.T) {
	s := newSite(20)
	s.lateBy = 3 * time.Second
	s.run(15*time.Second, 0)
	before := s.given
	s.run(10*time.Second, 3000)
	if n := s.given - before; n > 9 {
		t.Errorf("%d orders for one rise", n)
	}
}

// A holder of the duty that knows nothing yet of the work under way ended most of the servers.
func TestNewHolderKeepsWhatWasNeeded(t *testing.T) {
	s := newSite(20)
	s.run(15*time.Second, 0)
	s.run(30*time.Second, 2500)
	stood := s.all()
	s.demand, s.stands = autoscaling.Demand{}, autoscaling.Stand{}
	s.run(15*time.Second, 50)
	if n := s.all(); n < stood*2/3 {
		t.Errorf("%d servers of %d are left to a new holder", n, stood)
	}
}

// A version that had been brought in came with servers of its own. They were more than had
// been ordered, and an order for one more ended them.
func TestServersBeyondTheOrderAreNotEndedByAnOrderForMore(t *testing.T) {
	in := newSite(20).input()
	in.Known, in.Settled, in.Peak = true, true, 4000
	for _, hall := range in.Halls {
		in.Places[autoscaling.Place{Hall: hall, Kind: autoscaling.Spot}] = autoscaling.Standing{None: true}
		in.Places[autoscaling.Place{Hall: hall, Kind: autoscaling.Regular}] = autoscaling.Standing{Serving: 20, Warm: 20, Asked: true}
	}
	for _, o := range autoscaling.Decide(in) {
		if o.Count < 20 {
			t.Errorf("%+v", o)
		}
	}
}

func TestBoundOfAHallHoldsForAllThatStandsThere(t *testing.T) {
	in := newSite(20).input()
	in.Known, in.Settled, in.Peak = true, true, 20000
	in.Places[autoscaling.Place{Hall: "a", Kind: autoscaling.Regular}] = autoscaling.Standing{Serving: 10, Warm: 10, Coming: 20}
	for _, o := range autoscaling.Decide(in) {
		if o.Place.Hall == "a" && o.Place.Kind == autoscaling.Spot && o.Count > 10 {
			t.Errorf("%+v: 30 stand there, and 40 may", o)
		}
	}
}

func TestServicesWithoutTermsGetNoOrders(t *testing.T) {
	in := newSite(20).input()
	in.Terms, in.Steady = autoscaling.Terms{}, true
	if orders := autoscaling.Decide(in); len(orders) > 0 {
		t.Errorf("%+v", orders)
	}
}

// Without the number of a server's slots the work under way says nothing of how many are needed,
// and one server seemed to be enough.
func TestServersOfUnknownSlotsAreLeftAlone(t *testing.T) {
	in := newSite(20).input()
	in.Slots, in.Known, in.Settled, in.Peak = 0, true, true, 1500
	if orders := autoscaling.Decide(in); len(orders) > 0 {
		t.Errorf("%+v", orders)
	}
}
