package front

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/attempt"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/route"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/channel"
)

// confinement finds requests under which backend servers end. What daemons find adds up in
// the tally: without it one request would end three servers for each daemon that it comes
// to.
type confinement struct {
	ledger *quarantine.Registry
	runs   *quarantine.Tracker
}

func newConfinement() *confinement {
	return &confinement{ledger: quarantine.NewRegistry(), runs: quarantine.NewTracker()}
}

// crashKey is the key of a request's crash count in the tally.
func crashKey(f quarantine.Fingerprint) aggregation.Key {
	return aggregation.KeyOf("crash/" + f.String())
}

// Crashes are the crash counts of requests that this daemon has found, for the tally.
func (f *Front) Crashes() []aggregation.Evidence {
	var out []aggregation.Evidence
	for _, c := range f.confinement.ledger.RecentCrashes(time.Now()) {
		out = append(out, aggregation.Evidence{Key: crashKey(c.Content), Answers: uint64(c.Crashes), Bad: uint64(c.Crashes)})
	}
	slices.SortFunc(out, func(a, b aggregation.Evidence) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func placeOf(s *route.Server) quarantine.Instance {
	return quarantine.Instance{Server: s.ID, Addr: s.Addr}
}

// identify works out what the request asks.
func (j *job) identify() {
	c := quarantine.Content{Method: j.r.Method, Target: j.r.URL.RequestURI(), Organisation: j.tenant.Organisation.Name, Body: j.body}
	j.content = c.Fingerprint()
}

// confined refuses a request under which servers have ended.
func (j *job) confined() *refusal {
	now := time.Now()
	until, in := j.front.confinement.ledger.Quarantined(j.content, now)
	left := until.Sub(now)
	if !in {
		if j.front.Control.Snapshot().Seen(crashKey(j.content)).Bad < quarantine.CrashThreshold {
			return nil
		}
		left = quarantine.Duration
	}
	return refuse(http.StatusServiceUnavailable, Quarantined, "backend servers have ended under this request: it gets no more of them for now").withRetry(left)
}

// watch follows an attempt: what is under way at a server that ends is held against it.
func (j *job) watch(x *backend.Exchange) {
	place, gate, ended := placeOf(x.Server), x.Gate, x.Ended
	var visit *quarantine.Run
	x.Gate = func() error {
		if err := gate(); err != nil {
			return err
		}
		// Nothing is broken off: this platform does not tell a server's start.
		visit = j.front.confinement.runs.Begin(place, j.content, func() {}, time.Now())
		return nil
	}
	x.Ended = func() {
		ended()
		if visit == nil {
			return
		}
		how := quarantine.Aborted
		if x.Attempt.Outcome() == attempt.Done {
			how = quarantine.Completed
			j.front.confinement.ledger.Answered(j.content, time.Now())
		}
		j.front.confinement.runs.End(visit, how, time.Now())
	}
}

// suspect has a server looked at that broke an attempt off, or counts one that is gone.
func (f *Front) suspect(s *route.Server, err error) {
	switch {
	case channel.ConnectionRefused(err):
		f.serverEnded(placeOf(s))
	case fault.Is(err, backend.Broken):
		f.look(placeOf(s))
	}
}

// look finds out whether a server that broke off is there.
func (f *Front) look(p quarantine.Instance) {
	f.Backend.Channels.Look(f.confinement.runs, p, f.serverEnded)
}

// serverEnded holds a server that has ended against what was under way there.
func (f *Front) serverEnded(p quarantine.Instance) {
	now := time.Now()
	contents := f.confinement.runs.TakeSuspects(p, now)
	if len(contents) == 0 {
		return
	}
	f.confinement.ledger.RecordServerExit(p.Server, contents, now)
	f.Log.Warn().Str("server", p.Server).Int("requests", len(contents)).Msg("quarantine: a server ended while requests were under way there")
}
