package proxy

import (
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/latency"
	"ladderridge.example/daemon/storesync"
)

// observe tells what an answer says about the version that gave it. A broken
// connection says something about a machine or the way to it, not about what
// runs there, and is not told.
func (j *job) observe(a *attempt, failed bool) {
	f := j.fact(a)
	f.Failed, f.FirstRatio = failed, a.first
	j.engine.StoreSync.Observe(f)
}

// observeBegun tells of the first part of a stream when it comes: its end may be many seconds
// away, while other callers meet the same version.
func (j *job) observeBegun(a *attempt) {
	f := j.fact(a)
	f.FirstRatio, f.Stage = a.first, storesync.Started
	j.engine.StoreSync.Observe(f)
}

// observeOver tells of the rest of a stream.
func (j *job) observeOver(a *attempt, between float64) {
	f := j.fact(a)
	f.BetweenRatio, f.Stage = between, storesync.Remainder
	j.engine.StoreSync.Observe(f)
}

// observeEnded tells of an answer that was not awaited longer: the slowest ones
// would not count otherwise.
func (j *job) observeEnded(a *attempt) {
	least := j.engine.settled.of(j.like(a)).Relative(a.features(), time.Since(a.sent))
	f := j.fact(a)
	f.FirstRatio, f.Stage = least, storesync.Abandoned
	j.engine.StoreSync.Observe(f)
}

// fact says whose answer an attempt's is.
func (j *job) fact(a *attempt) storesync.Observation {
	return storesync.Observation{Service: j.service, Version: a.server.Version, Route: j.route.Name, Server: a.server.Incarnation().String()}
}

// like names what times of an attempt are compared with: those of the same model,
// whatever the route, or else of the same route.
func (j *job) like(a *attempt) string {
	if a.model != "" {
		return j.service + "/" + a.model
	}
	return j.route.Name
}

// features are what an attempt's time depends on.
func (a *attempt) features() latency.Features {
	return latency.Features{Unique: pieces(a.prompt.UniqueTokens()), Uncached: a.shared, Load: float64(a.server.State.Requests())}
}

// pieces is how many pieces a server reads some tokens in.
func pieces(tokens int) float64 { return float64(max(0, tokens)) / fleet.BlockTokens }

// pieceWork is how much of a server's work a piece of the prompt is for the present
// model: 1 for the smallest one of a ladder, and as many times more for another as it
// takes longer.
func (j *job) pieceWork() float64 {
	if len(j.route.Cascade) == 0 || j.step.Index == 0 {
		return 1
	}
	return factor(j.engine.settled.of(j.service+"/"+j.model()), j.engine.settled.of(j.service+"/"+j.route.Cascade[0]))
}

// compare returns how long something took in terms of what the settled version
// takes, 0 if that is not known, and learns from what that version took.
func (j *job) compare(a *attempt, kind string, took time.Duration) float64 {
	f := a.features()
	relative := j.engine.settled.of(kind).Relative(f, took)
	if !j.view.InRollout(j.service, a.server.Version) {
		j.engine.settled.learn(kind, func(r latency.Reference) latency.Reference { return r.With(f, took) })
	}
	return relative
}
