package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/daemon/channel"
)

// This file handles servers that exit while requests are in flight there. A broken connection
// alone does not show that: the server may still be running. A new connection does; a running
// server accepts it and uses it for the next request.

// probeDelay is when a server is probed after a suspected request was aborted there: the
// request runs on for a moment, and its server exits some hundred milliseconds after starting it.
const probeDelay = 300 * time.Millisecond

func instanceOf(s *fleet.Server) quarantine.Instance {
	return quarantine.Instance{Server: s.Incarnation().String(), Addr: s.Addr}
}

// instance returns the instance of the attempt's server. Once the request has been sent, it may be
// at a later one than the listed one that was chosen.
func (j *job) instance(a *attempt) quarantine.Instance {
	if a.run != nil {
		return j.engine.runs.InstanceOf(a.run)
	}
	return instanceOf(a.server)
}

// suspect returns what identifies the request if the attempt's server crashes.
func (j *job) suspect(a *attempt) quarantine.Suspect {
	return quarantine.Suspect{Content: j.content, Group: quarantine.GroupOf(a.server.Version, a.model), Parts: j.parts}
}

// beginRun records that the request is about to reach the attempt's server.
func (j *job) beginRun(a *attempt) {
	a.run = j.engine.runs.Begin(instanceOf(a.server), j.suspect(a), a.cancel, a.path.OpenedAt, time.Now())
}

// endRun records that the request has left the server. The server is probed if the request was
// aborted there and servers have exited while running it before.
func (j *job) endRun(a *attempt) {
	if a.run == nil {
		return
	}
	how := quarantine.Aborted
	switch {
	case a.answered:
		how = quarantine.Answered
	case a.complete:
		how = quarantine.Declined
	}
	j.engine.runs.End(a.run, how, time.Now())
	if how == quarantine.Aborted && j.view.Suspected(j.suspect(a), time.Now()) {
		j.engine.probeLater(j.instance(a))
	}
}

// errUnknownEnd is the end of a response without framing whose server is not known to be running.
var errUnknownEnd = errors.New("connection ended, and the server is not known to be running")

// confirmEnd checks the end of a response. One without framing (no length, not chunked) ends in the same way
// when its server exits: it is complete only if the server is running afterwards.
func (j *job) confirmEnd(ctx context.Context, a *attempt) error {
	if a.reply.SelfDelimited {
		return nil
	}
	at := j.instance(a)
	switch j.engine.Channels.Check(ctx, at.Addr) {
	case channel.Running:
		return nil
	case channel.Exited:
		j.engine.serverExited(at)
	case channel.Unknown:
	}
	return errUnknownEnd
}

// recordComplete records a response that is known to be complete. An error proves nothing about the content:
// the server may send it before it runs the request.
func (j *job) recordComplete(a *attempt) {
	a.complete = true
	if a.reply.Status >= http.StatusMultipleChoices {
		return
	}
	a.answered = true
	j.engine.StoreSync.Answered(j.instance(a).Server, j.suspect(a))
}

// quarantined returns how long it takes until the request, or one with its parts, may pass as a trial. A trial is sent to one server.
func (j *job) quarantined(now time.Time) (left time.Duration, ok bool) {
	if j.trial && j.history.Ran == 0 {
		return 0, false
	}
	until, ok := j.view.Quarantined(j.content, now)
	if !ok {
		until, ok = j.view.Confined(j.parts, now)
	}
	return until.Sub(now), ok
}

// IdleConnectionEnded probes a server that has ended an idle connection shortly after an answer or an
// aborted request. It may be that of a probe that came before the server closed its listener.
func (e *Engine) IdleConnectionEnded(addr string) {
	for _, p := range e.runs.LeftAt(addr, time.Now()) {
		e.probe(p)
	}
}

// probe checks whether a server that closed a connection early is still running.
func (e *Engine) probe(p quarantine.Instance) { e.Channels.Probe(e.runs, p, e.serverExited) }

func (e *Engine) probeLater(p quarantine.Instance) { time.AfterFunc(probeDelay, func() { e.probe(p) }) }

// lateHead is how long a request that must not be sent twice waits on a kept connection for the head
// of its response until its server is probed. The connection may be dead, which shows only after some seconds; a new one
// tells at once whether other requests reach the server.
const lateHead = 300 * time.Millisecond

// probeIfLate has the attempt's server probed if the head of the response is late.
func (j *job) probeIfLate(a *attempt) {
	if a.path.Reused && !j.route.MayRepeat() {
		a.lateProbe = time.AfterFunc(lateHead, func() { j.engine.probe(j.instance(a)) })
	}
}

// stopProbe ends probeIfLate.
func (a *attempt) stopProbe() {
	if a.lateProbe != nil {
		a.lateProbe.Stop()
	}
}

// ServerRestarted aborts the requests in flight at a server that has restarted under the same id,
// but for those that are known to be at the new process. They are counted as present at the exit,
// unless the server was due to leave.
func (e *Engine) ServerRestarted(was, is *fleet.Server) {
	p := instanceOf(was)
	e.Channels.CloseIdle(p.Addr)
	e.runs.Restarted(p, instanceOf(is))
	e.runs.CancelAll(p)
	if suspects := e.runs.TakeSuspects(p, time.Now()); len(suspects) > 0 && was.Usable() {
		e.StoreSync.RecordServerExit(p.Server, suspects)
	}
}

// serverExited counts the requests that were in flight at a server that exited unexpectedly.
// Nothing is counted for a server that was due to leave or is no longer listed.
func (e *Engine) serverExited(p quarantine.Instance) {
	now := time.Now()
	suspects := e.runs.TakeSuspects(p, now)
	if len(suspects) == 0 || !e.StoreSync.View().Serves(p.Server) {
		return
	}
	e.StoreSync.RecordServerExit(p.Server, suspects)
	for _, s := range suspects {
		for _, other := range e.runs.AbortedAt(s.Content, now) {
			e.probeLater(other)
		}
	}
}
