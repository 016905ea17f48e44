package proxy

import (
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/quarantine"
)

// What is done about requests under which servers end. A connection that breaks off says
// little: the server may live. Whether it has ended is found by a new connection, which a
// server that lives answers and which then serves the next request.

// lookAfter is when a server is looked at where a suspected request was cut: it runs on for
// a moment there, and its server ends some hundred milliseconds after it began.
const lookAfter = 300 * time.Millisecond

func placeOf(s *fleet.Server) quarantine.Instance {
	return quarantine.Instance{Server: s.Incarnation().String(), Addr: s.Addr}
}

// arrive notes that the request is about to reach the attempt's server.
func (j *job) arrive(a *attempt) {
	a.visit = j.engine.runs.Begin(placeOf(a.server), j.content, a.cancel, time.Now())
}

// depart notes that it has left the server. Where it was cut and servers have ended under
// it, this one is looked at.
func (j *job) depart(a *attempt) {
	if a.visit == nil {
		return
	}
	how := quarantine.Aborted
	if a.done {
		how = quarantine.Completed
	}
	j.engine.runs.End(a.visit, how, time.Now())
	if how == quarantine.Aborted && j.view.Suspected(j.content) {
		j.engine.lookLater(placeOf(a.server))
	}
}

// answeredWhole notes that a server has answered the request whole. An answer without a
// frame is no proof: the end of its server looks like its own.
func (j *job) answeredWhole(a *attempt) {
	a.done = true
	if a.reply.SelfDelimited {
		j.engine.StoreSync.Answered(j.content)
	}
}

// quarantined returns how much longer the request gets no server.
func (j *job) quarantined(now time.Time) (left time.Duration, ok bool) {
	until, ok := j.view.Quarantined(j.content, now)
	return until.Sub(now), ok
}

// look finds out whether a server that broke off is there.
func (e *Engine) look(p quarantine.Instance) { e.Channels.Probe(e.runs, p, e.serverEnded) }

func (e *Engine) lookLater(p quarantine.Instance) { time.AfterFunc(lookAfter, func() { e.look(p) }) }

// ServerRestarted ends what is under way at a server that has begun again under its id: it knows
// nothing of that. Of one that was not to leave it counts as what was there when it ended.
func (e *Engine) ServerRestarted(was *fleet.Server) {
	p := placeOf(was)
	e.Channels.CloseIdle(p.Addr)
	e.runs.CancelAll(p)
	if contents := e.runs.TakeSuspects(p, time.Now()); len(contents) > 0 && was.Usable() {
		e.StoreSync.RecordServerExit(p.Server, contents)
	}
}

// serverEnded tells what was under way at a server that has ended without notice. What a
// server leaves behind that was to go, or is no longer listed, tells nothing.
func (e *Engine) serverEnded(p quarantine.Instance) {
	now := time.Now()
	contents := e.runs.TakeSuspects(p, now)
	if len(contents) == 0 || !e.StoreSync.View().Serves(p.Server) {
		return
	}
	e.StoreSync.RecordServerExit(p.Server, contents)
	for _, f := range contents {
		for _, other := range e.runs.AbortedAt(f, now) {
			e.lookLater(other)
		}
	}
}
