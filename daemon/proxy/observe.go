package proxy

import (
	"time"

	"ladderridge.example/core/fleet"
	"ladderridge.example/core/latency"
	"ladderridge.example/daemon/storesync"
)

// observeResponse reports what a response shows about its version. Broken connections are not
// reported: they show something about the machine or the network, not about the version.
func (j *job) observeResponse(a *attempt, failed bool) {
	f := j.newObservation(a)
	f.Failed, f.FirstRatio = failed, a.firstRatio
	j.engine.StoreSync.Observe(f)
}

// observeFirstPart reports the first part of a stream when it arrives: the stream may end many
// seconds later, while other callers already get the same version.
func (j *job) observeFirstPart(a *attempt) {
	f := j.newObservation(a)
	f.FirstRatio, f.Stage = a.firstRatio, storesync.Started
	j.engine.StoreSync.Observe(f)
}

// observeRemainder reports the rest of a stream.
func (j *job) observeRemainder(a *attempt, between float64) {
	f := j.newObservation(a)
	f.BetweenRatio, f.Stage = between, storesync.Remainder
	j.engine.StoreSync.Observe(f)
}

// observeRefuted reports a stream that was no answer as a failure of its version.
func (j *job) observeRefuted(r *streamResponse) {
	f := j.newObservation(r.attempt)
	f.Failed = true
	if r.timing.events > 0 {
		f.Stage = storesync.Remainder
	}
	j.engine.StoreSync.Observe(f)
}

// observeAbandoned reports a response that was no longer awaited: without it the slowest
// responses would not count.
func (j *job) observeAbandoned(a *attempt) {
	if a.relayed() {
		return
	}
	waited := time.Since(a.sent)
	j.observeAbandonedWait(waited, time.Now())
	f, store := j.newObservation(a), j.engine.StoreSync
	f.Stage = storesync.Abandoned
	observe := func(least float64) {
		f.FirstRatio = least
		store.Observe(f)
	}
	observe(j.engine.comparison.compare(j.referenceKey(a), false, unratedAnswer{features: a.features(), took: a.serverTime(waited), rated: observe}))
}

// newObservation returns an observation with the origin of an attempt's response.
func (j *job) newObservation(a *attempt) storesync.Observation {
	return storesync.Observation{Service: j.service, Version: a.server.Version, Route: j.route.Name, Server: a.server.Incarnation().String()}
}

// referenceKey returns the key of the reference times for an attempt: the model, whatever the
// route, or else the route.
func (j *job) referenceKey(a *attempt) string { return j.referenceKeyOf(a.model) }

// referenceKeyOf returns the key of the reference times for a model, or for the route if there is
// none.
func (j *job) referenceKeyOf(model string) string {
	if model != "" {
		return j.service + "/" + model
	}
	return j.route.Name
}

// features returns what an attempt's duration depends on.
func (a *attempt) features() latency.Features {
	return latency.Features{Unique: blocks(a.prompt.UniqueTokens()), Uncached: a.shared, Load: float64(a.server.State.Requests())}
}

// blocks converts a number of tokens to prompt blocks.
func blocks(tokens int) float64 { return float64(max(0, tokens)) / fleet.BlockTokens }

// computeBlockCost returns the load that a block of the prompt adds to a server for the current
// model: 1 for the smallest model of a cascade, and for a larger one the ratio of its duration
// to the smallest one's.
func (j *job) computeBlockCost() float64 {
	if len(j.route.Cascade) == 0 || j.step.Index == 0 {
		return 1
	}
	return durationRatio(j.engine.references.get(j.service+"/"+j.model()), j.engine.references.get(j.service+"/"+j.route.Cascade[0]))
}

// learnReference updates the reference times of the attempt's model if the version is not in roll-out.
func (j *job) learnReference(a *attempt, took time.Duration) {
	if !j.view.InRollout(j.service, a.server.Version) {
		j.engine.references.update(j.referenceKey(a), func(r latency.Reference) latency.Reference { return r.With(a.features(), took) })
	}
}

// serverTime returns the part of the time since an attempt was made that its server accounts for: not
// that in which the connection was made, nor a round trip of the network. A new version is sent few
// requests, which need new connections, and more of them into other halls than the old version's.
func (a *attempt) serverTime(took time.Duration) time.Duration {
	if !a.begun.IsZero() {
		took -= a.begun.Sub(a.sent) + a.path.RoundTrip
	}
	return max(0, took)
}

// compareFirst compares the time to the first part of an answer with that of versions that are not in
// roll-out. The ratio is 0 if that is not known yet.
func (j *job) compareFirst(a *attempt, took time.Duration) float64 {
	later, store := j.newObservation(a), j.engine.StoreSync
	later.Stage = storesync.Remainder
	return j.compare(a, j.referenceKey(a), a.serverTime(took), func(ratio float64) {
		later.FirstRatio = ratio
		store.Observe(later)
	})
}

// compareBetween is compareFirst for the interval between the events of a stream.
func (j *job) compareBetween(a *attempt, took time.Duration) float64 {
	later, store := j.newObservation(a), j.engine.StoreSync
	later.Stage = storesync.Remainder
	return j.compare(a, j.referenceKey(a)+"/between", took, func(ratio float64) {
		later.BetweenRatio = ratio
		store.Observe(later)
	})
}

func (j *job) compare(a *attempt, key string, took time.Duration, later func(ratio float64)) float64 {
	return j.engine.comparison.compare(key, !j.view.InRollout(j.service, a.server.Version), unratedAnswer{features: a.features(), took: took, rated: later})
}
