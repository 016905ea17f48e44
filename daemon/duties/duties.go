// Package duties does what one daemon at a time does for all on the platform: it reports
// usage and orders backend servers. Package duty decides who does it, usage and autoscaling what
// is said; here are the calls to the store and the platform, and their answers.
package duties

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ladderridge.example/core/autoscaling"
	"ladderridge.example/core/clock"
	"ladderridge.example/core/duty"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/usage"
	"ladderridge.example/daemon/storesync"
	"ladderridge.example/daemon/suspend"
)

// Kind says what sort of error a platform met.
type Kind string

// The kinds of error.
const (
	// Unanswered is a call that gave no answer, or none that counts: it may be carried out
	// later.
	Unanswered Kind = "unanswered"
	// Declined is a call that was not carried out, for now.
	Declined Kind = "declined"
	// Overtaken is a call that was not carried out since a later holder has called.
	Overtaken Kind = "overtaken"
	// Forbidden is an order that was not carried out since a later holder has called, or
	// since there is nothing to be had.
	Forbidden Kind = "forbidden"
	// Malformed is a row that does not decode.
	Malformed Kind = "malformed"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Rows are the rows of the platform's store.
type Rows interface {
	// Read returns all rows of a topic.
	Read(ctx context.Context, topic gossip.Topic) (storesync.Page, error)
	// Swap sets a row if its version is still was, and returns its new version.
	Swap(ctx context.Context, topic gossip.Topic, key string, data []byte, was revision.Revision) (revision.Revision, error)
}

// Signature says who calls.
type Signature struct {
	// Holder is the daemon that holds the duty, Token that of its lease.
	Holder string
	Token  uint64
}

// Platform takes what holders of duties say.
type Platform interface {
	// Report tells the usage of a window.
	Report(ctx context.Context, by Signature, r usage.Report) error
	// Order asks for a number of servers of a service.
	Order(ctx context.Context, by Signature, service string, o autoscaling.Order) error
}

// Settings are what the operator says of duties.
type Settings struct {
	// Names are the duties that there are.
	Names []duty.Name
	// Lease is how long a holder holds a duty after it last renewed it.
	Lease time.Duration
	// Window is the length of a window of usage, Late how long after its end it is reported
	// at the latest.
	Window time.Duration
	Late   time.Duration
	// Rate bounds the calls to the platform, a second, of all daemons together.
	Rate float64
}

// Knowledge is what is known of the platform.
type Knowledge interface {
	View() *storesync.View
	// ReadsStore reports whether this daemon reads the store for others.
	ReadsStore() bool
}

// Leaseholder is one daemon's part in all duties. Get one from New, set the exported fields, then
// Run.
type Leaseholder struct {
	Self      string
	Start     uint64
	Settings  Settings
	Rows      Rows
	Platform  Platform
	Knowledge Knowledge
	// StoodStill tells how long the VM has stood still; nil is never.
	StoodStill suspend.Clock
	Log        log.Logger

	// Reports, Orders and Failures count calls to the platform that were taken, and those
	// that were not; Calls those to the store.
	Reports  atomic.Int64
	Orders   atomic.Int64
	Failures atomic.Int64
	Calls    atomic.Int64

	ledger   *ledger
	holdings []*holding
	events   chan event
	began    time.Time
	// calledAt is when the platform was last called.
	calledAt time.Time
	status   atomic.Pointer[[]Status]
	run      func(ctx context.Context) error
}

// holding is this daemon's part in one duty.
type holding struct {
	name  duty.Name
	claim duty.Elector
	// held is the token by which it held the duty at the last look, 0 if it did not; tenure
	// is the token with which it took the duty: it takes over what was left only then.
	held   uint64
	tenure uint64
	// calling tells that a call to the platform is under way, restUntil when the next may be
	// made, rest how long the last pause was.
	calling   bool
	restUntil time.Time
	rest      time.Duration
	work      work
}

// work is what a duty's holder does: *reporting or *ordering.
type work interface{ work() }

func (*reporting) work() {}
func (*ordering) work()  {}

// event is what came of a call: stepped or called.
type event interface{ event() }

// stepped is what the store answered.
type stepped struct {
	to *holding
	by duty.Event
}

// called is what the platform answered.
type called struct {
	to  *holding
	by  Signature
	err error
	// done notes the outcome.
	done func(err error)
}

func (stepped) event() {}
func (called) event()  {}

const (
	// tickEvery is the time between two looks at what is due.
	tickEvery = 100 * time.Millisecond
	// contendAfter is how long after its start a daemon first takes a duty: by then it knows
	// whether another one reads for its hall.
	contendAfter = 2 * time.Second
	// storeTimeout and platformTimeout bound calls.
	storeTimeout    = 700 * time.Millisecond
	platformTimeout = 1500 * time.Millisecond
	// restFloor and restCeiling bound the pause after a call that was not taken, which doubles.
	// A report has several tries until it is late.
	restFloor   = 500 * time.Millisecond
	restCeiling = 2 * time.Second
	// backlog bounds the answers that wait.
	backlog = 64
)

// New returns a leaseholder without duties.
func New() *Leaseholder {
	d := &Leaseholder{events: make(chan event, backlog), ledger: newLedger()}
	d.status.Store(&[]Status{})
	d.run = func(ctx context.Context) error { return d.loop(ctx) }
	return d
}

// Prepare sets the leaseholder up. It is called before Run and before anything is counted.
func (d *Leaseholder) Prepare() {
	d.ledger.own = usage.Counter{
		Process: usage.Process{ID: d.Self, Start: d.Start}, Length: d.Settings.Window, Retention: 2 * d.Settings.Late,
	}
	d.ledger.counts = slices.Contains(d.Settings.Names, duty.Usage)
	// It never begins anew: the leases are measured from it.
	d.began = time.Now()
}

// newHoldings returns the duties as a daemon begins with them that knows nothing of them yet.
func (d *Leaseholder) newHoldings() []*holding {
	var out []*holding
	for _, name := range d.Settings.Names {
		h := &holding{name: name, claim: duty.Elector{Self: d.Self, Start: d.Start, LeaseDuration: d.Settings.Lease}}
		switch name {
		case duty.Usage:
			h.work = &reporting{}
		case duty.Autoscaling:
			h.work = newOrdering()
		}
		out = append(out, h)
	}
	return out
}

// Run does the duties that fall to this daemon until ctx ends.
func (d *Leaseholder) Run(ctx context.Context) error { return d.run(ctx) }

func (d *Leaseholder) loop(ctx context.Context) error {
	// What was under way when this was restarted is answered to nobody: the rows say what stands.
	d.holdings = d.newHoldings()
	tick := clock.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case e := <-d.events:
			d.handle(e)
		case <-tick.C:
			d.tick(ctx, time.Now())
		case <-ctx.Done():
			return nil
		}
	}
}

// clock is a time that also counts while the VM is suspended.
func (d *Leaseholder) clock() time.Duration { return time.Since(d.began) + d.StoodStill.Now() }

func (d *Leaseholder) handle(e event) {
	switch e := e.(type) {
	case stepped:
		e.to.claim.Step(e.by, d.clock())
	case called:
		d.called(e)
	}
}

// called takes what the platform answered.
func (d *Leaseholder) called(e called) {
	e.to.calling = false
	if e.err == nil {
		e.to.rest = 0
	} else {
		d.Failures.Add(1)
		e.to.rest = min(restCeiling, max(restFloor, 2*e.to.rest))
		e.to.restUntil = time.Now().Add(e.to.rest)
		d.Log.Warn().Str("duty", string(e.to.name)).Uint64("token", e.by.Token).Err(e.err).Msg("duty: the platform has not taken a call")
	}
	switch {
	case fault.Is(e.err, Overtaken):
		e.to.claim.Step(duty.Superseded{}, d.clock())
	case fault.Is(e.err, Forbidden):
		e.to.claim.Step(duty.MaybeSuperseded{}, d.clock())
	}
	e.done(e.err)
}

// tick does what is due of each duty.
func (d *Leaseholder) tick(ctx context.Context, now time.Time) {
	for _, h := range d.holdings {
		order := h.claim.Step(duty.Tick{Contend: d.contends(now)}, d.clock())
		d.do(ctx, h, order)
		token, held := h.claim.Holds(d.clock())
		d.noteHolder(h, token, held)
		if !held {
			continue
		}
		switch w := h.work.(type) {
		case *reporting:
			d.report(ctx, h, w, now)
		case *ordering:
			d.order(ctx, h, w, now)
		}
	}
	d.publish()
}

// contends reports whether this daemon takes duties that nobody holds: those that read the
// store for their halls do, so that calls grow with halls and not with daemons. While the store
// is away for a hall all of its daemons try to read it: none of them contends then.
func (d *Leaseholder) contends(now time.Time) bool {
	if now.Sub(d.began) < contendAfter || !d.Knowledge.ReadsStore() {
		return false
	}
	v := d.Knowledge.View()
	return v.Ready() && v.ConfigAge(now) < d.Settings.Lease
}

// noteHolder logs that this daemon has begun or ceased to hold a duty.
func (d *Leaseholder) noteHolder(h *holding, token uint64, held bool) {
	if !held {
		token = 0
	}
	if token == h.held {
		return
	}
	h.held = token
	if !held {
		d.Log.Warn().Str("duty", string(h.name)).Msg("duty: not held any more")
		return
	}
	d.Log.Info().Str("duty", string(h.name)).Uint64("token", token).Msg("duty: held")
	if h.tenure == h.claim.Tenure() {
		return
	}
	h.tenure = h.claim.Tenure()
	switch w := h.work.(type) {
	case *reporting:
		d.takeBook(h, w)
	case *ordering:
		d.takeOrders(h, w)
	}
}

// do makes the call to the store that a claim wants.
func (d *Leaseholder) do(ctx context.Context, h *holding, o duty.Action) {
	if o == nil {
		return
	}
	d.Calls.Add(1)
	go func() {
		within, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var answer duty.Event
		switch o := o.(type) {
		case duty.ReadRow:
			answer = d.read(within, h.name)
		case duty.WriteRow:
			answer = d.write(within, h.name, o)
		}
		d.deliver(ctx, stepped{to: h, by: answer})
	}()
}

// deliver hands an event to the goroutine of the leaseholder.
func (d *Leaseholder) deliver(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// mayCall reports whether the platform may be called now, and notes that it is.
func (d *Leaseholder) mayCall(h *holding, now time.Time) bool {
	if h.calling || now.Before(h.restUntil) {
		return false
	}
	if d.Settings.Rate > 0 && now.Sub(d.calledAt) < time.Duration(float64(time.Second)/d.Settings.Rate) {
		return false
	}
	h.calling, d.calledAt = true, now
	return true
}

// call calls the platform. Whether this daemon holds the duty is asked right before.
func (d *Leaseholder) call(ctx context.Context, h *holding, send func(ctx context.Context, by Signature) error, done func(err error)) {
	token, held := h.claim.Holds(d.clock())
	if !held {
		h.calling = false
		return
	}
	by := Signature{Holder: d.Self, Token: token}
	go func() {
		within, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		d.deliver(ctx, called{to: h, by: by, err: send(within, by), done: done})
	}()
}
