package front

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/attempt"
	"ladderridge.example/core/fault"
	"ladderridge.example/core/quarantine"
	"ladderridge.example/core/route"
	"ladderridge.example/daemon/backend"
	"ladderridge.example/daemon/channel"
	"ladderridge.example/daemon/wire"
)

// quarantineState detects requests that crash backend servers. The crash counts
// of all daemons are aggregated; otherwise one request could crash as many servers
// as the crash threshold allows (three) at each daemon that it is sent to. The
// crashes of parts of requests are counted by each daemon for itself.
type quarantineState struct {
	registry *quarantine.Registry
	parts    *quarantine.PartRegistry
	tracker  *quarantine.Tracker
}

func newQuarantineState() *quarantineState {
	return &quarantineState{registry: quarantine.NewRegistry(), parts: quarantine.NewPartRegistry(), tracker: quarantine.NewTracker()}
}

// crashKey is the key of a request's crash count in the aggregation.
func crashKey(f quarantine.Fingerprint) aggregation.Key {
	return aggregation.KeyOf("crash/" + f.String())
}

// Crashes returns the crash counts of requests that this daemon has observed, for
// the aggregation.
func (f *Front) Crashes() []aggregation.Evidence {
	var out []aggregation.Evidence
	for _, c := range f.quarantineState.registry.RecentCrashes(time.Now()) {
		out = append(out, aggregation.Evidence{Key: crashKey(c.Content), Answers: uint64(c.Crashes), Bad: uint64(c.Crashes)})
	}
	slices.SortFunc(out, func(a, b aggregation.Evidence) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 32

func instanceOf(s *route.Server) quarantine.Instance {
	return quarantine.Instance{Server: s.ID, Addr: s.Addr}
}

// computeFingerprint sets the fingerprint of the request's content.
func (j *job) computeFingerprint() {
	c := quarantine.Content{Method: j.r.Method, Target: j.r.URL.RequestURI(), Organisation: j.tenant.Organisation.Name, Body: j.body}
	j.fingerprint = c.Fingerprint()
}

// setParts sets the parts of a chat request that other requests may share: all
// messages but the last, such as a system prompt or a document.
func (j *job) setParts(req wire.ChatRequest) {
	for _, m := range req.Messages[:max(0, len(req.Messages)-1)] {
		j.parts = append(j.parts, quarantine.PartOf(req.Model, m.Role+"\x00"+string(m.Content)))
	}
	j.trial = j.front.quarantineState.parts.TakeTrial(j.parts, time.Now())
}

// suspect returns what identifies the request if its server crashes.
func (j *job) suspect() quarantine.Suspect {
	return quarantine.Suspect{Content: j.fingerprint, Parts: j.parts}
}

// checkParts refuses a request with parts that crash servers. A trial is sent to
// one server.
func (j *job) checkParts(now time.Time) *refusal {
	if j.trial && !j.history.MayHaveRun() {
		return nil
	}
	retryAt, ok := j.front.quarantineState.parts.Confined(j.parts, now)
	if !ok {
		return nil
	}
	return refuse(http.StatusServiceUnavailable, Quarantined, "backend servers have ended under requests with a part of this one: they get no more of them for now").withRetryAfter(retryAt.Sub(now))
}

// checkQuarantine refuses a request that is quarantined here, or whose crashes
// over all daemons have reached the threshold.
func (j *job) checkQuarantine() *refusal {
	now := time.Now()
	if out := j.checkParts(now); out != nil {
		return out
	}
	end, quarantined := j.front.quarantineState.registry.Quarantined(j.fingerprint, now)
	left := end.Sub(now)
	if !quarantined {
		if j.front.Control.Snapshot().Evidence(crashKey(j.fingerprint)).Bad < quarantine.CrashThreshold {
			return nil
		}
		left = quarantine.Duration
	}
	return refuse(http.StatusServiceUnavailable, Quarantined, "backend servers have ended under this request: it gets no more of them for now").withRetryAfter(left)
}

// trackAttempt registers an attempt with the tracker, so that it becomes a suspect
// if its server exits while it is in progress.
func (j *job) trackAttempt(x *backend.Exchange) {
	instance, gate, ended := instanceOf(x.Server), x.BeforeSend, x.OnRelease
	var run *quarantine.Run
	x.BeforeSend = func() error {
		if err := gate(); err != nil {
			return err
		}
		// The function that aborts the run does nothing, as this platform does not report
		// when a server started.
		run = j.front.quarantineState.tracker.Begin(instance, j.suspect(), func() {}, time.Time{}, time.Now())
		return nil
	}
	x.OnRelease = func() {
		ended()
		if run == nil {
			return
		}
		ending := quarantine.Aborted
		if x.Attempt.Outcome() == attempt.Done {
			ending = quarantine.Answered
			now := time.Now()
			j.front.quarantineState.registry.Answered(j.fingerprint, now)
			if !j.failed {
				j.front.quarantineState.parts.Answered(j.parts, now)
			}
		}
		j.front.quarantineState.tracker.End(run, ending, time.Now())
	}
}

// checkServer probes a server that interrupted an attempt, and records the exit of
// one that refuses connections.
func (f *Front) checkServer(s *route.Server, err error) {
	switch {
	case channel.ConnectionRefused(err):
		f.serverExited(instanceOf(s))
	case fault.Is(err, backend.Interrupted):
		f.probe(instanceOf(s))
	}
}

// probe checks whether a server that interrupted an answer is still running.
func (f *Front) probe(p quarantine.Instance) {
	f.Backend.Pool.Probe(f.quarantineState.tracker, p, f.serverExited, nil)
}

// serverExited records a crash for each request that was in progress at a server
// that exited.
func (f *Front) serverExited(p quarantine.Instance) {
	now := time.Now()
	suspects := quarantine.Unanswered(f.quarantineState.tracker.TakeSuspects(p, now))
	if len(suspects) == 0 {
		return
	}
	f.quarantineState.registry.RecordServerExit(p.Server, quarantine.Contents(suspects), now)
	parts := quarantine.Parts(suspects)
	f.quarantineState.parts.RecordCrash(quarantine.PartCrash{Parts: parts, Server: xxhash.Sum64String(p.Server), At: now}, now)
	f.Log.Warn().Str("server", p.Server).Int("requests", len(suspects)).Strs("parts", quarantine.PartNames(parts[:min(len(parts), maxLoggedParts)])).Msg("quarantine: server exited with requests in flight")
}
