// Package duties performs the duties that one daemon at a time performs for all daemons on the
// platform: it reports usage and orders backend servers. Package duty elects the daemon, and
// packages usage and autoscaling compute the reports and orders; this package makes the calls to
// the store and the platform and handles their answers.
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

// Kind classifies an error.
type Kind string

// The kinds of error.
const (
	// Unanswered is a call without a valid answer: it may still be carried out later.
	Unanswered Kind = "unanswered"
	// Declined is a call that was not carried out and may be repeated.
	Declined Kind = "declined"
	// Superseded is a call that was rejected because a later lease holder has already called.
	Superseded Kind = "overtaken"
	// Forbidden is an order that was rejected, either because a later lease holder has already
	// called or because no servers are available.
	Forbidden Kind = "forbidden"
	// Malformed is a row that does not decode.
	Malformed Kind = "malformed"
)

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Rows accesses the rows of the platform's store.
type Rows interface {
	// Read returns all rows of a topic.
	Read(ctx context.Context, topic gossip.Topic) (storesync.Page, error)
	// Swap sets a row if its version is still the expected one, and returns its new version.
	Swap(ctx context.Context, topic gossip.Topic, key string, data []byte, expected revision.Revision) (revision.Revision, error)
}

// Caller identifies the lease holder that makes a call.
type Caller struct {
	// Holder is the daemon that holds the duty, Token the fencing token of its lease.
	Holder string
	Token  uint64
}

// Platform is the platform's interface for lease holders.
type Platform interface {
	// Report reports the usage of a window.
	Report(ctx context.Context, by Caller, r usage.Report) error
	// Order requests a number of servers of a service.
	Order(ctx context.Context, by Caller, service string, o autoscaling.Order) error
}

// Settings are the operator's settings for duties.
type Settings struct {
	// Names lists the duties to perform.
	Names []duty.Name
	// Lease is how long a lease lasts after it was last renewed.
	Lease time.Duration
	// Window is the length of a usage window, ReportDeadline how long after its end its report is due at
	// the latest.
	Window         time.Duration
	ReportDeadline time.Duration
	// Rate limits the calls to the platform, in calls a second for all daemons together.
	Rate float64
}

// StoreSync provides the current view of the platform's store.
type StoreSync interface {
	View() *storesync.View
	// ReadsStore reports whether this daemon reads the store for the others of its data hall.
	ReadsStore() bool
}

// Leaseholder contends for the duties on behalf of one daemon, and performs those that it holds.
// Get one from New, set the exported fields, then Run.
type Leaseholder struct {
	Self      string
	Start     uint64
	Settings  Settings
	Rows      Rows
	Platform  Platform
	StoreSync StoreSync
	// SuspendClock returns how long the VM has been suspended in total; nil means never.
	SuspendClock suspend.Clock
	Log          log.Logger

	// Reports and Orders count the calls that the platform accepted, Failures those that it did
	// not accept, Calls the calls to the store.
	Reports  atomic.Int64
	Orders   atomic.Int64
	Failures atomic.Int64
	Calls    atomic.Int64

	usage     *usageState
	states    []*dutyState
	events    chan event
	startedAt time.Time
	// lastCallAt is when the platform was last called.
	lastCallAt time.Time
	status     atomic.Pointer[[]Status]
	run        func(ctx context.Context) error
}

// dutyState is the state of one duty in this daemon.
type dutyState struct {
	name    duty.Name
	elector duty.Elector
	// heldToken is the token under which this daemon held the duty at the last tick, 0 if it did
	// not hold it. tenure is the token with which it acquired the duty: it loads the state of
	// the previous holder only then.
	heldToken uint64
	tenure    uint64
	// calling reports whether a call to the platform is in progress. The next call may be made
	// at backoffUntil; backoff is the length of the last pause.
	calling      bool
	backoffUntil time.Time
	backoff      time.Duration
	task         task
}

// task is the work of a duty's holder: *reportTask or *orderTask.
type task interface{ task() }

func (*reportTask) task() {}
func (*orderTask) task()  {}

// event is the result of a call: storeReply or platformReply.
type event interface{ event() }

// storeReply is the result of a call to the store.
type storeReply struct {
	to     *dutyState
	result duty.Event
}

// platformReply is the result of a call to the platform.
type platformReply struct {
	to  *dutyState
	by  Caller
	err error
	// done records the outcome.
	done func(err error)
}

func (storeReply) event()    {}
func (platformReply) event() {}

const (
	// tickInterval is the time between two checks of what is due.
	tickInterval = 100 * time.Millisecond
	// contendDelay is how long after its start a daemon first contends for a duty: by then it
	// knows whether another daemon reads the store for its data hall.
	contendDelay = 2 * time.Second
	// storeTimeout and platformTimeout limit the duration of a call.
	storeTimeout    = 700 * time.Millisecond
	platformTimeout = 1500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles with each
	// failure. They leave a report several attempts before its deadline.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 2 * time.Second
	// backlog is the number of results that can wait for the leaseholder's goroutine.
	backlog = 64
)

// New returns a leaseholder that holds no duty.
func New() *Leaseholder {
	d := &Leaseholder{events: make(chan event, backlog), usage: newUsageState()}
	d.status.Store(&[]Status{})
	d.run = func(ctx context.Context) error { return d.loop(ctx) }
	return d
}

// Prepare initialises the leaseholder from its exported fields. Call it before Run and before any
// request is counted.
func (d *Leaseholder) Prepare() {
	d.usage.own = usage.Counter{
		Process: usage.Process{ID: d.Self, Start: d.Start}, Length: d.Settings.Window, Retention: 2 * d.Settings.ReportDeadline,
	}
	d.usage.enabled = slices.Contains(d.Settings.Names, duty.Usage)
	// This stays the same when the supervisor restarts Run: lease times are measured from it.
	d.startedAt = time.Now()
}

// newStates returns the initial state of each duty, with nothing known of its row.
func (d *Leaseholder) newStates() []*dutyState {
	var out []*dutyState
	for _, name := range d.Settings.Names {
		ds := &dutyState{name: name, elector: duty.Elector{Self: d.Self, Start: d.Start, LeaseDuration: d.Settings.Lease}}
		switch name {
		case duty.Usage:
			ds.task = &reportTask{}
		case duty.Autoscaling:
			ds.task = newOrderTask()
		}
		out = append(out, ds)
	}
	return out
}

// Run contends for the duties and performs those that this daemon holds, until ctx ends.
func (d *Leaseholder) Run(ctx context.Context) error { return d.run(ctx) }

func (d *Leaseholder) loop(ctx context.Context) error {
	// After a restart the results of earlier calls are lost; the rows are read again instead.
	d.states = d.newStates()
	tick := clock.NewTicker(tickInterval)
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

// clock returns the time since the start, including the time for which the VM was suspended.
func (d *Leaseholder) clock() time.Duration { return time.Since(d.startedAt) + d.SuspendClock.Now() }

func (d *Leaseholder) handle(e event) {
	switch e := e.(type) {
	case storeReply:
		e.to.elector.Step(e.result, d.clock())
	case platformReply:
		d.handlePlatformReply(e)
	}
}

// handlePlatformReply handles the result of a call to the platform.
func (d *Leaseholder) handlePlatformReply(e platformReply) {
	e.to.calling = false
	if e.err == nil {
		e.to.backoff = 0
	} else {
		d.Failures.Add(1)
		e.to.backoff = min(maxBackoff, max(minBackoff, 2*e.to.backoff))
		e.to.backoffUntil = time.Now().Add(e.to.backoff)
		d.Log.Warn().Str("duty", string(e.to.name)).Uint64("token", e.by.Token).Err(e.err).Msg("duty: call to the platform failed")
	}
	switch {
	case fault.Is(e.err, Superseded):
		e.to.elector.Step(duty.Superseded{}, d.clock())
	case fault.Is(e.err, Forbidden):
		e.to.elector.Step(duty.MaybeSuperseded{}, d.clock())
	}
	e.done(e.err)
}

// tick advances the election of each duty and performs the duties that this daemon holds.
func (d *Leaseholder) tick(ctx context.Context, now time.Time) {
	for _, ds := range d.states {
		action := ds.elector.Step(duty.Tick{Contend: d.contends(now)}, d.clock())
		d.callStore(ctx, ds, action)
		token, held := ds.elector.Holds(d.clock())
		d.updateHeld(ds, token, held)
		if !held {
			continue
		}
		switch w := ds.task.(type) {
		case *reportTask:
			d.report(ctx, ds, w, now)
		case *orderTask:
			d.order(ctx, ds, w, now)
		}
	}
	d.publish()
}

// contends reports whether this daemon contends for duties that nobody holds. Only the daemons
// that read the store for their data hall do, so that the number of calls grows with the halls and
// not with the daemons. While the store is unreachable from a hall, all of its daemons try to read
// it; none of them contends then.
func (d *Leaseholder) contends(now time.Time) bool {
	if now.Sub(d.startedAt) < contendDelay || !d.StoreSync.ReadsStore() {
		return false
	}
	v := d.StoreSync.View()
	return v.Ready() && v.ConfigAge(now) < d.Settings.Lease
}

// updateHeld records and logs that this daemon has acquired or lost a duty. When it has acquired
// one, it loads the state that the previous holder stored.
func (d *Leaseholder) updateHeld(ds *dutyState, token uint64, held bool) {
	if !held {
		token = 0
	}
	if token == ds.heldToken {
		return
	}
	ds.heldToken = token
	if !held {
		d.Log.Warn().Str("duty", string(ds.name)).Msg("duty: lost")
		return
	}
	d.Log.Info().Str("duty", string(ds.name)).Uint64("token", token).Msg("duty: acquired")
	if ds.tenure == ds.elector.Tenure() {
		return
	}
	ds.tenure = ds.elector.Tenure()
	switch w := ds.task.(type) {
	case *reportTask:
		d.loadReportLog(ds, w)
	case *orderTask:
		d.loadOrders(ds, w)
	}
}

// callStore makes the store call that an elector asks for.
func (d *Leaseholder) callStore(ctx context.Context, ds *dutyState, o duty.Action) {
	if o == nil {
		return
	}
	d.Calls.Add(1)
	go func() {
		within, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var reply duty.Event
		switch o := o.(type) {
		case duty.ReadRow:
			reply = d.read(within, ds.name)
		case duty.WriteRow:
			reply = d.write(within, ds.name, o)
		}
		d.deliver(ctx, storeReply{to: ds, result: reply})
	}()
}

// deliver passes an event to the goroutine of the leaseholder.
func (d *Leaseholder) deliver(ctx context.Context, e event) {
	select {
	case d.events <- e:
	case <-ctx.Done():
	}
}

// beginCall reports whether the platform may be called now for a duty. If so, it records that a
// call is in progress.
func (d *Leaseholder) beginCall(ds *dutyState, now time.Time) bool {
	if ds.calling || now.Before(ds.backoffUntil) {
		return false
	}
	if d.Settings.Rate > 0 && now.Sub(d.lastCallAt) < time.Duration(float64(time.Second)/d.Settings.Rate) {
		return false
	}
	ds.calling, d.lastCallAt = true, now
	return true
}

// callPlatform calls the platform in the background. It checks right before the call that this
// daemon still holds the duty.
func (d *Leaseholder) callPlatform(ctx context.Context, ds *dutyState, send func(ctx context.Context, by Caller) error, done func(err error)) {
	token, held := ds.elector.Holds(d.clock())
	if !held {
		ds.calling = false
		return
	}
	by := Caller{Holder: d.Self, Token: token}
	go func() {
		within, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		d.deliver(ctx, platformReply{to: ds, by: by, err: send(within, by), done: done})
	}()
}
