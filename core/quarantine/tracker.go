package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// crashDelay is how long after its cancellation a request may still crash its server: the server
// runs it for a moment longer, and crashes some hundred milliseconds after it began to.
const crashDelay = 2 * time.Second

// answeredDelay is how long after its complete answer to a request a server may still crash under it:
// what it does for the request may go on for a moment.
const answeredDelay = 500 * time.Millisecond

// Instance identifies a server process as requests address it.
type Instance struct {
	// Server names the incarnation.
	Server string
	Addr   string
}

// Run is a request at a server.
type Run struct {
	instance Instance
	suspect  Suspect
	// connectedAt is when the request's connection was established, or zero if unknown.
	connectedAt time.Time
	cancel      func()
}

// Ending says how a request ended at a server.
type Ending int

// The ways in which a request ends.
const (
	// Aborted means that either end broke the request off, or that it was dropped.
	Aborted Ending = iota
	// Declined means that the server has not run the request.
	Declined
	// Answered means that the server answered completely.
	Answered
)

// Tracker records which requests this daemon has in flight at which servers, so that the suspects
// are known when a server crashes. It is safe for concurrent use. Get one from NewTracker.
type Tracker struct {
	mu sync.Mutex
	at map[Instance]*runs
	// swept is the time of the last sweep.
	swept time.Time
}

// runs holds the requests at one server.
type runs struct {
	open    map[*Run]bool
	aborted map[Fingerprint]endedRun
	// answered are the requests that were answered within answeredDelay.
	answered map[Fingerprint]endedRun
	// probing reports whether a probe of the server is in progress.
	probing bool
	// exitedAt is when the process was last found to have exited, or zero. A connection that was
	// established later leads to a process that has started since.
	exitedAt time.Time
}

// endedRun is a request that has ended at a server.
type endedRun struct {
	suspect Suspect
	at      time.Time
}

// isLater reports whether a request is at a process that has started after the exit.
func (rs *runs) isLater(run *Run) bool {
	return !rs.exitedAt.IsZero() && run.connectedAt.After(rs.exitedAt)
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{at: map[Instance]*runs{}} }

func newRuns() *runs {
	return &runs{open: map[*Run]bool{}, aborted: map[Fingerprint]endedRun{}, answered: map[Fingerprint]endedRun{}}
}

func (t *Tracker) runsAt(inst Instance) *runs {
	rs := t.at[inst]
	if rs == nil {
		rs = newRuns()
		t.at[inst] = rs
	}
	return rs
}

// Begin records a request that is sent to a server, when its connection was established (zero if
// unknown), and the function that cancels it there.
func (t *Tracker) Begin(inst Instance, s Suspect, cancel func(), connectedAt, now time.Time) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	run := &Run{instance: inst, suspect: s, connectedAt: connectedAt, cancel: cancel}
	t.runsAt(inst).open[run] = true
	return run
}

// End records that the request has ended at the server.
func (t *Tracker) End(run *Run, ending Ending, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := t.at[run.instance]
	if rs == nil || !rs.open[run] {
		// The server has crashed, and the request was already returned as a suspect.
		return
	}
	delete(rs.open, run)
	switch ending {
	case Aborted:
		rs.aborted[run.suspect.Content] = endedRun{suspect: run.suspect, at: now}
	case Answered:
		// The parts may belong to the request's own memory, which is larger.
		run.suspect.Parts = slices.Clone(run.suspect.Parts)
		rs.expire(now)
		rs.answered[run.suspect.Content] = endedRun{suspect: run.suspect, at: now}
	case Declined:
	}
}

// expire drops answers that are too long ago once there are many.
func (rs *runs) expire(now time.Time) {
	const many = 16
	if len(rs.answered) >= many {
		maps.DeleteFunc(rs.answered, func(_ Fingerprint, run endedRun) bool { return now.Sub(run.at) >= answeredDelay })
	}
}

// Restarted records that a server has restarted as another instance. Requests that are known to be
// at the new process are in flight there from now on.
func (t *Tracker) Restarted(was, is Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := t.runsAt(was)
	for run := range rs.open {
		if rs.isLater(run) {
			delete(rs.open, run)
			run.instance = is
			t.runsAt(is).open[run] = true
		}
	}
}

// InstanceOf returns the instance at which a request is or was in flight.
func (t *Tracker) InstanceOf(run *Run) Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return run.instance
}

// CancelAll cancels the requests in flight at a server that no longer exists.
func (t *Tracker) CancelAll(inst Instance) {
	var cancels []func()
	t.mu.Lock()
	if rs := t.at[inst]; rs != nil {
		for run := range rs.open {
			cancels = append(cancels, run.cancel)
		}
	}
	t.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// TakeSuspects returns the requests that were in flight at a server that has exited, or were
// aborted or answered there shortly before. Each is returned once.
func (t *Tracker) TakeSuspects(inst Instance, now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := t.runsAt(inst)
	found := map[Fingerprint]Suspect{}
	for f, run := range rs.answered {
		if now.Sub(run.at) < answeredDelay {
			s := run.suspect
			s.Answered = true
			found[f] = s
		}
	}
	for run := range rs.open {
		found[run.suspect.Content] = run.suspect
	}
	for f, run := range rs.aborted {
		if now.Sub(run.at) < crashDelay {
			found[f] = run.suspect
		}
	}
	// Requests still in flight there break off too, and must not be returned again.
	t.at[inst] = newRuns()
	t.at[inst].probing, t.at[inst].exitedAt = rs.probing, now
	return slices.Collect(maps.Values(found))
}

// AbortedAt returns the servers at which a request was aborted a moment ago.
func (t *Tracker) AbortedAt(f Fingerprint, now time.Time) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Instance
	for inst, rs := range t.at {
		if run, ok := rs.aborted[f]; ok && now.Sub(run.at) < crashDelay {
			out = append(out, inst)
		}
	}
	return out
}

// LeftAt returns the servers at an address at which a request has ended a moment ago, with an answer or aborted.
func (t *Tracker) LeftAt(addr string, now time.Time) []Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Instance
	for inst, rs := range t.at {
		if inst.Addr != addr {
			continue
		}
		if endedSince(rs.answered, now.Add(-answeredDelay)) || endedSince(rs.aborted, now.Add(-answeredDelay)) {
			out = append(out, inst)
		}
	}
	return out
}

// endedSince reports whether one of the requests has ended after a time.
func endedSince(ended map[Fingerprint]endedRun, since time.Time) bool {
	for _, run := range ended {
		if run.at.After(since) {
			return true
		}
	}
	return false
}

// BeginProbe reports whether the caller is to probe a server: there is one probe of a server at a
// time.
func (t *Tracker) BeginProbe(inst Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	rs := t.runsAt(inst)
	if rs.probing {
		return false
	}
	rs.probing = true
	return true
}

// EndProbe ends the probe that BeginProbe allowed.
func (t *Tracker) EndProbe(inst Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runsAt(inst).probing = false
}

const (
	// sweepInterval is the time between two sweeps.
	sweepInterval = 10 * time.Second
	// exitRetention is how long an exit is remembered: longer than a server takes to restart.
	exitRetention = time.Minute
)

// sweep drops what is expired. The caller holds t.mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for _, rs := range t.at {
		maps.DeleteFunc(rs.aborted, func(_ Fingerprint, run endedRun) bool { return now.Sub(run.at) >= crashDelay })
		maps.DeleteFunc(rs.answered, func(_ Fingerprint, run endedRun) bool { return now.Sub(run.at) >= answeredDelay })
	}
	maps.DeleteFunc(t.at, func(_ Instance, rs *runs) bool {
		return len(rs.open)+len(rs.aborted)+len(rs.answered) == 0 && !rs.probing && now.Sub(rs.exitedAt) >= exitRetention
	})
}
