package brittle_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/brittle"
)

var start = time.Unix(1000, 0)

// server is a modelled server: it processes slots requests, lets some wait, and rejects the others.
type server struct {
	slots, queue int
	inFlight     int
	rejections   []time.Time
	// falls counts the seconds in which it rejected more than it bears; it is down until then.
	falls int
	down  time.Time
}

// arrive reports whether the server takes a request.
func (s *server) arrive(bears float64, now time.Time) bool {
	if s.inFlight < s.slots+s.queue {
		s.inFlight++
		return true
	}
	for len(s.rejections) > 0 && now.Sub(s.rejections[0]) >= time.Second {
		s.rejections = s.rejections[1:]
	}
	if s.rejections = append(s.rejections, now); float64(len(s.rejections)) > bears {
		s.falls++
		s.rejections, s.inFlight, s.down = nil, 0, now.Add(3*time.Second)
	}
	return false
}

// Daemons that sent until they were rejected made brittle servers fall over again and again.
func TestOverloadedBrittleServersDoNotFall(t *testing.T) {
	for _, daemons := range []int{2, 7, 30} {
		for _, bears := range []float64{5, 20} {
			t.Run(fmt.Sprintf("%d daemons, %v rejections", daemons, bears), func(t *testing.T) {
				r := rand.New(rand.NewPCG(1, uint64(daemons)))
				const work, length = 50 * time.Millisecond, 20 * time.Second
				servers := make([]*server, 6)
				for i := range servers {
					servers[i] = &server{slots: 8, queue: 4}
				}
				bounds := make([]brittle.Bound, daemons*len(servers))
				inFlight := make([]int, len(bounds))
				served := 0
				type end struct {
					at   time.Duration
					slot int
				}
				var ends []end
				// 1.5 times what the servers can process arrives.
				rate := 1.5 * float64(len(servers)*8) / work.Seconds()
				for at := time.Duration(0); at < length; at += time.Millisecond {
					now := start.Add(at)
					var later []end
					for _, e := range ends {
						if e.at > at {
							later = append(later, e)
							continue
						}
						inFlight[e.slot]--
						if s := servers[e.slot%len(servers)]; s.inFlight > 0 {
							s.inFlight--
						}
					}
					ends = later
					for n := r.Float64() * 2 * rate / 1000; n >= 1 || r.Float64() < n; n-- {
						d, slot := r.IntN(daemons), -1
						for _, i := range r.Perm(len(servers)) {
							phase := float64((d*7+i*3)%daemons) / float64(daemons)
							c := brittle.Capacity{Share: brittle.Share(servers[i].slots, daemons, phase, now), Daemons: daemons, Rejections: bears}
							if at := d*len(servers) + i; !now.Before(servers[i].down) && inFlight[at] < bounds[at].Max(c, now) {
								slot = at
								break
							}
						}
						if slot < 0 {
							continue
						}
						s := servers[slot%len(servers)]
						if !s.arrive(bears, now) {
							bounds[slot] = bounds[slot].WithRejection(inFlight[slot], now)
							continue
						}
						served++
						inFlight[slot]++
						took := work * time.Duration(max(1, (s.inFlight+s.slots-1)/s.slots))
						ends = append(ends, end{at + took, slot})
					}
				}
				falls := 0
				for _, s := range servers {
					falls += s.falls
				}
				if falls > 2 {
					t.Errorf("%d falls", falls)
				}
				if can := float64(len(servers)*8) * length.Seconds() / work.Seconds(); float64(served) < 0.6*can {
					t.Errorf("served %d of %.0f that they can", served, can)
				}
			})
		}
	}
}

func TestAnnouncementEndsWithAnAnswerWithoutIt(t *testing.T) {
	a := brittle.Announcement{}.With(10, start, start.Add(time.Second))
	if !a.Active(start.Add(2*time.Second)) || a.Active(start.Add(time.Minute)) {
		t.Error("active at the wrong time")
	}
	if late := a.With(0, start.Add(time.Millisecond), start.Add(2*time.Second)); late != a {
		t.Error("ended by an answer to an earlier request")
	}
	if a.With(0, start.Add(2*time.Second), start.Add(3*time.Second)).Active(start.Add(3 * time.Second)) {
		t.Error("not ended")
	}
}

func TestRejectionLowersTheBoundForAWhile(t *testing.T) {
	c := brittle.Capacity{Share: 10, Daemons: 7, Rejections: 14}
	b := brittle.Bound{}
	if got := b.Max(c, start); got != 10 {
		t.Errorf("without rejections %d", got)
	}
	b = b.WithRejection(10, start)
	for after, want := range map[time.Duration]int{0: 8, 999 * time.Millisecond: 8, time.Second: 9, time.Minute: 10} {
		if got := b.Max(c, start.Add(after)); got != want {
			t.Errorf("%v after a rejection %d, not %d", after, got, want)
		}
	}
}

// Shares that were rounded up were more than the slots where there are more daemons than slots.
func TestSharesAddUpToTheSlots(t *testing.T) {
	for _, c := range []struct{ slots, daemons int }{{64, 7}, {6, 7}, {8, 30}, {64, 985}} {
		r := rand.New(rand.NewPCG(1, 1))
		phases := make([]float64, c.daemons)
		for i := range phases {
			phases[i] = (float64(i) + r.Float64()) / float64(c.daemons)
		}
		had := make([]int, c.daemons)
		for at := time.Duration(0); at < time.Second; at += 50 * time.Millisecond {
			sum := 0
			for i, phase := range phases {
				n := brittle.Share(c.slots, c.daemons, phase, start.Add(at))
				sum, had[i] = sum+n, had[i]+n
			}
			if sum < c.slots-1 || sum > c.slots+1 {
				t.Errorf("%d daemons have %d of %d slots", c.daemons, sum, c.slots)
			}
		}
		for i, n := range had {
			if c.daemons < 100 && n == 0 {
				t.Errorf("daemon %d of %d never has one of %d slots", i, c.daemons, c.slots)
			}
		}
	}
}
