package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/clock"
)

// skewer has a load balancer give nearly all new connections to one daemon, one time after the other,
// while callers reconnect more often.
type skewer struct {
	cluster *cluster
	random  *rand.Rand
	stopped atomic.Bool
	running sync.WaitGroup
}

// Skew is a time in which most new connections went to one daemon.
type Skew struct {
	Daemon   int
	From, To time.Time
}

const (
	// skewStream is the random stream of the skewer.
	skewStream = 9200
	// skewPause is the pause between two skews, skewLength how long one lasts.
	skewPause, skewLength = 4 * time.Second, 6 * time.Second
	// skewedOneIn is how many new connections one goes to another daemon meanwhile, and skewReconnectOneIn
	// how often a caller reconnects.
	skewedOneIn, skewReconnectOneIn = 8, 4
	// skewServedFraction is how often requests must be answered, compared with the seconds before.
	skewServedFraction = 3.0 / 4
)

func newSkewer(s *cluster, seed uint64) *skewer {
	return &skewer{cluster: s, random: newRand(seed, skewStream)}
}

func (d *skewer) start(ctx context.Context) {
	d.running.Go(func() {
		for !d.stopped.Load() && ctx.Err() == nil {
			clock.Wait(ctx, skewPause)
			to := d.cluster.daemons[d.random.IntN(len(d.cluster.daemons))]
			s := Skew{Daemon: to.number, From: time.Now()}
			d.cluster.preferred.Store(to)
			clock.Wait(ctx, skewLength)
			d.cluster.preferred.Store(nil)
			s.To = time.Now()
			d.cluster.recorder.update(func(o *Observations) { o.Skews = append(o.Skews, s) })
		}
	})
}

func (d *skewer) stop() {
	d.stopped.Store(true)
	d.running.Wait()
}

// servedWhileSkewed checks that requests are answered while most new connections go to one daemon, from
// contactTime on, nearly as often as in the seconds before.
func (c *checker) servedWhileSkewed(s Skew) {
	var before, during share
	for _, a := range c.seen.Requests {
		if a.CrashingPart || a.Body == crashingBody || !c.undisturbed(a.Daemon, a.Sent, a.Ended, harmless...) {
			continue
		}
		count := &during
		switch {
		case a.Sent.After(s.From.Add(-contactTime)) && a.Sent.Before(s.From):
			count = &before
		case a.Sent.Before(s.From.Add(contactTime)) || a.Ended.After(s.To):
			continue
		}
		if count.sent++; a.Reply.Status == http.StatusOK && a.Reply.Complete {
			count.answered++
		}
	}
	if before.sent >= minStreams && during.sent >= minStreams && during.fraction() < skewServedFraction*before.fraction() {
		c.found("RECOVER", "while most connections went to daemon %d, %d of %d requests were answered, %d of %d before", s.Daemon, during.answered, during.sent, before.answered, before.sent)
	}
}
