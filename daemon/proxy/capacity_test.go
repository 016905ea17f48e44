package proxy_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/prefixcache"
	"ladderridge.example/core/routemap"
	"ladderridge.example/daemon/congestion"
	"ladderridge.example/daemon/permits"
	"ladderridge.example/daemon/proxy"
)

// fewSlots returns an engine whose service has servers with few slots, and routes with a cascade:
// short prompts of rank 0 and long ones of rank 2. First parts take as long as wait says.
func fewSlots(t *testing.T, slots int, wait *time.Duration) *fixture {
	t.Helper()
	b := newFixture(t)
	p := parts(1, "k")
	p.Services = []routemap.Service{{Name: "s", Slots: slots}}
	for rank, name := range map[int]string{0: "urgent", 2: "bulk"} {
		r := p.Routes[3]
		r.Name, r.Prefix, r.Rank = name, "/"+name+"/", rank
		p.Routes = append(p.Routes, r)
	}
	b.known.set(routemap.New(p), b.server("a", func(c net.Conn, a arrival) bool {
		time.Sleep(*wait)
		return events(0, 3, true, "Confidence: 35")(c, a)
	}), b.server("b", func(c net.Conn, a arrival) bool {
		time.Sleep(*wait)
		return events(0, 3, true, "Confidence: 35")(c, a)
	}))
	b.engine.Congestion, b.engine.FewSlots = congestion.New(), 16
	b.engine.Congestion.Log = log.Logger{Level: log.PanicLevel}
	b.engine.SetKeyAge(time.Hour, 0)
	return b
}

// ask sends a request of a route, and returns its report.
func (b *fixture) ask(route string, n int) proxy.Report {
	r := proxy.Request{ID: fmt.Sprint(route, n), Path: "/" + route + "/x", Key: "k", Model: proxy.AnyModel, Timeout: 2 * time.Second}
	r.Prompt, r.ExpectedOutput = []prefixcache.Part{{ID: fmt.Sprint("p", n), Tokens: 600}}, 100
	if route == "bulk" {
		r.Prompt[0].Tokens, r.ExpectedOutput = 6000, 400
	}
	b.send(b.t.Context(), r)
	return b.reports[len(b.reports)-1]
}

// Long prompts of rank 2 fill the servers: their requests give up larger models, the short ones
// of rank 0 keep them. By the wait relative to their own objective, all lost them.
func TestUrgentRequestsKeepLargerModelsUnderLoad(t *testing.T) {
	for _, slots := range []int{12, 64} {
		inBubble(t, func(t *testing.T) {
			wait := 5 * time.Millisecond
			b := fewSlots(t, slots, &wait)
			play := func() map[string]int {
				escalated := map[string]int{}
				for n := range 60 {
					for _, route := range []string{"urgent", "bulk"} {
						if b.ask(route, n).Escalated && n >= 20 {
							escalated[route]++
						}
					}
				}
				return escalated
			}
			if calm := play(); calm["urgent"] != 40 || calm["bulk"] != 40 {
				t.Errorf("%d slots: calm servers: escalated %v of 40", slots, calm)
			}
			wait = 50 * time.Millisecond
			busy := play()
			if few := slots == 12; few != (busy["urgent"] == 40) || busy["bulk"] > 10 {
				t.Errorf("%d slots: busy servers: escalated %v of 40", slots, busy)
			}
		})
	}
}

// Under severe congestion requests that cost others the most are refused at once, as not run and
// with a retry-after time. Nothing is refused on servers with many slots, as before.
func TestSevereCongestionRefusesCostlyRequests(t *testing.T) {
	for _, slots := range []int{12, 64} {
		inBubble(t, func(t *testing.T) {
			wait := 300 * time.Millisecond
			b := fewSlots(t, slots, &wait)
			refused := map[string]int{}
			// Attempts that timed out end at their servers.
			defer time.Sleep(wait)
			for n := range 100 {
				for _, route := range []string{"urgent", "bulk"} {
					arrived := len(b.received())
					out, ok := b.ask(route, n).Outcome.(proxy.Refused)
					if !ok {
						continue
					}
					refused[route]++
					if out.Reason != proxy.Congested || out.RetryAfter <= 0 || len(b.received()) != arrived {
						t.Fatalf("%v after %d arrivals", out, len(b.received())-arrived)
					}
				}
			}
			if few := slots == 12; few != (refused["bulk"] > 20) || refused["bulk"] > 60 || refused["urgent"] > refused["bulk"] {
				t.Errorf("%d slots: refused %v of 100", slots, refused)
			}
		})
	}
}

// A request that waits at its server for longer than others is sent to another one while that can
// still answer within the objective. It used to wait until the objective had passed.
func TestStalledRequestIsAnsweredInTimeElsewhere(t *testing.T) {
	for _, slots := range []int{12, 64} {
		inBubble(t, func(t *testing.T) {
			var stalls atomic.Bool
			b := fewSlots(t, slots, new(time.Duration))
			s := func(c net.Conn, a arrival) bool {
				if stalls.CompareAndSwap(true, false) {
					time.Sleep(400 * time.Millisecond)
				}
				time.Sleep(10 * time.Millisecond)
				return events(0, 3, true, "Confidence: 99")(c, a)
			}
			b.known.set(b.known.View().Map, b.server("a", s), b.server("b", s))
			for n := range 50 {
				stalled := n >= 30 && n%5 == 0
				stalls.Store(stalled)
				r := b.ask("urgent", n)
				if inTime := r.FirstByte < 200*time.Millisecond; stalled && inTime != (slots == 12) {
					t.Errorf("%d slots: first part after %v, attempts %+v", slots, r.FirstByte, r.Attempts)
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
}

// A small pool of servers must not receive more requests than its slots and queue hold: each of
// many daemons sends only what its share allows once servers have declined requests as full. The
// others wait, or are refused as not run. Without a decline nobody waits.
func TestSmallPoolReceivesOnlyTheDaemonsShare(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.Permits, b.engine.OnComplete = permits.New(), nil
		var inFlight, most atomic.Int64
		var full atomic.Bool
		s := b.server("a", func(c net.Conn, a arrival) bool {
			if full.Load() {
				return whole(503, "", "Declined: 1")(c, a)
			}
			most.Store(max(most.Load(), inFlight.Add(1)))
			time.Sleep(20 * time.Millisecond)
			inFlight.Add(-1)
			return whole(200, "ok")(c, a)
		})
		s.Slots = 6
		p := parts(1, "k")
		p.Services = []routemap.Service{{Name: "s"}}
		b.known.set(routemap.New(p), s)
		b.known.view.Daemons = 72
		outcomes := make(chan proxy.Outcome, 30)
		send := func(count int) {
			for n := range count {
				go func() {
					outcomes <- b.send(t.Context(), proxy.Request{ID: fmt.Sprint(n), Path: "/once/x", Key: "k", Timeout: time.Second}).outcome
				}()
			}
		}
		send(10)
		for range 10 {
			if out, ok := (<-outcomes).(proxy.Answered); !ok {
				t.Errorf("before any decline: %+v", out)
			}
		}
		full.Store(true)
		send(4)
		for range 4 {
			<-outcomes
		}
		full.Store(false)
		most.Store(0)
		before := len(b.received())
		time.Sleep(time.Second)
		send(cap(outcomes))
		answered := 0
		for range cap(outcomes) {
			switch out := (<-outcomes).(type) {
			case proxy.Answered:
				answered++
			case proxy.Refused:
				if out.Reason != proxy.NoSlot || out.RetryAfter <= 0 {
					t.Errorf("%+v", out)
				}
			default:
				t.Errorf("%T", out)
			}
		}
		if answered == 0 || answered > 10 || most.Load() > 3 || len(b.received())-before != answered {
			t.Errorf("%d answered, %d at the server at the same time", answered, most.Load())
		}
	})
}

// Guards against a request that waits for a permit until its deadline, which is earlier than the
// objective, although it cannot be answered by then.
func TestRequestForSmallPoolThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := newFixture(t)
		b.engine.Permits, b.engine.OnComplete = permits.New(), nil
		s := b.server("a", func(c net.Conn, a arrival) bool {
			time.Sleep(100 * time.Millisecond)
			return whole(200, "ok")(c, a)
		})
		s.Slots = 1
		p := parts(1, "k")
		p.Services = []routemap.Service{{Name: "s"}}
		b.known.set(routemap.New(p), s)
		b.known.view.Daemons = 2
		send := func(timeout time.Duration) proxy.Outcome {
			return b.send(t.Context(), proxy.Request{ID: "r", Path: "/once/x", Key: "k", Timeout: timeout}).outcome
		}
		send(time.Second)
		for range 3 {
			b.engine.Permits.Declined("s")
		}
		for range 4 {
			go send(time.Second)
		}
		time.Sleep(10 * time.Millisecond)
		begun := time.Now()
		out, ok := send(80 * time.Millisecond).(proxy.Refused)
		if took := time.Since(begun); !ok || out.Reason != proxy.NoSlot || took > time.Millisecond {
			t.Errorf("%+v after %v", out, took)
		}
		time.Sleep(time.Second)
	})
}

// A caller that leaves at once says nothing about the wait at the servers. Such requests counted as
// short waits and lowered the level of a congested service.
func TestCallersThatLeaveDoNotLowerTheLevel(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		wait := 300 * time.Millisecond
		b := fewSlots(t, 12, &wait)
		defer time.Sleep(wait)
		for n := range 20 {
			b.ask("urgent", n)
		}
		before := b.engine.Congestion.Level("s", time.Now())
		for n := range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			b.send(ctx, proxy.Request{ID: fmt.Sprint("gone", n), Path: "/urgent/x", Key: "k", Model: proxy.AnyModel, Timeout: 2 * time.Second})
			cancel()
		}
		if after := b.engine.Congestion.Level("s", time.Now()); after < 0.9*before {
			t.Errorf("level %.2f after callers left, was %.2f", after, before)
		}
	})
}

// The rest of a stream that continues at another server takes less time than a whole run. It
// counted as one, so that requests that could not end in time were sent.
func TestContinuedStreamsDoNotShortenTheExpectedRun(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := fewSlots(t, 12, new(time.Duration))
		var breaks atomic.Bool
		s := func(c net.Conn, a arrival) bool {
			time.Sleep(5 * time.Millisecond)
			switch {
			case a.header.Get("After") != "":
				return pacedFrom(2, 5, time.Millisecond)(c, a)
			case breaks.Load():
				return events(1, 1, false)(c, a)
			}
			return paced(5, 200*time.Millisecond)(c, a)
		}
		b.known.set(b.known.View().Map, b.server("a", s), b.server("b", s))
		for n := range 80 {
			breaks.Store(n >= 30)
			if out, ok := b.ask("urgent", n).Outcome.(proxy.Answered); !ok {
				t.Fatalf("request %d: %v", n, out)
			}
		}
		r := proxy.Request{ID: "short", Path: "/urgent/x", Key: "k", Model: proxy.AnyModel, Timeout: 100 * time.Millisecond}
		r.Prompt, r.ExpectedOutput = []prefixcache.Part{{ID: "p", Tokens: 600}}, 100
		if out, ok := b.send(t.Context(), r).outcome.(proxy.Refused); !ok || out.Reason != proxy.TooLate {
			t.Errorf("%T %v, want a refusal as too late", b.reports[len(b.reports)-1].Outcome, out)
		}
	})
}

// Once servers were slow, requests with short deadlines were refused as too late for ever: only runs
// that end show that the servers are fast again, and none was sent.
func TestShortDeadlinesAreServedAgainAfterSlowRuns(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		b := fewSlots(t, 12, new(time.Duration))
		pause := 400 * time.Millisecond
		s := func(c net.Conn, a arrival) bool {
			time.Sleep(5 * time.Millisecond)
			return paced(5, pause)(c, a)
		}
		b.known.set(b.known.View().Map, b.server("a", s), b.server("b", s))
		for n := range 60 {
			b.ask("urgent", n)
		}
		pause = time.Millisecond
		refused := [2]int{}
		for n := range 600 {
			r := proxy.Request{ID: fmt.Sprint("short", n), Path: "/urgent/x", Key: "k", Model: proxy.AnyModel, Timeout: 300 * time.Millisecond}
			r.Prompt, r.ExpectedOutput = []prefixcache.Part{{ID: "p", Tokens: 600}}, 100
			if out, ok := b.send(t.Context(), r).outcome.(proxy.Refused); ok && out.Reason == proxy.TooLate {
				refused[n/300]++
			}
			time.Sleep(time.Second)
		}
		if refused[0] == 0 || refused[1] > 0 {
			t.Errorf("refused %d, then %d of 300 requests", refused[0], refused[1])
		}
	})
}
