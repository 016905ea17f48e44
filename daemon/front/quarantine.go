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
	"ladderridge.example/core/table"
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
	parts    *quarantine.Registry
	tracker  *quarantine.Tracker
}

func newQuarantineState() *quarantineState {
	return &quarantineState{registry: quarantine.NewContentRegistry(), parts: quarantine.NewPartRegistry(), tracker: quarantine.NewTracker()}
}

// crashKey is the key of a request's crash count in the aggregation.
func crashKey(f quarantine.Fingerprint) aggregation.Key {
	return aggregation.KeyOf("crash/" + f.String())
}

// Crashes returns the crash counts of requests that this daemon has observed, for
// the aggregation.
func (f *Front) Crashes() []aggregation.Evidence {
	var out []aggregation.Evidence
	f.quarantineState.registry.Refresh(time.Now())
	f.quarantineState.parts.Refresh(time.Now())
	for _, c := range f.quarantineState.registry.RecentCrashes(time.Now()) {
		out = append(out, aggregation.Evidence{Key: crashKey(quarantine.Fingerprint(c.Part)), Answers: uint64(c.Crashes), Bad: uint64(c.Crashes)})
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
	j.contentTrial = j.front.quarantineState.registry.TakeTrial([]quarantine.Part{j.fingerprint.Part()}, time.Now())
}

// setParts sets the parts of a chat request that other requests may share: all
// messages but the last, such as a system prompt or a document.
func (j *job) setParts(req wire.ChatRequest) {
	for _, m := range req.Messages[:max(0, len(req.Messages)-1)] {
		j.parts = append(j.parts, quarantine.PartOf(req.Model, m.Role+"\x00"+string(m.Content)))
	}
	j.trial = j.front.quarantineState.parts.TakeTrial(j.parts, time.Now())
}

// suspect returns what identifies the request if a server of a version crashes.
func (j *job) suspect(ref table.Ref) quarantine.Suspect {
	return quarantine.Suspect{Content: j.fingerprint, Group: quarantine.GroupOf(ref.String(), ""), Parts: j.parts}
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

// sharedQuarantineDelay is how long a content that this daemon has answered is
// refused after its own last crash, if the crashes over all daemons have reached the
// threshold.
const sharedQuarantineDelay = 30 * time.Second

// checkQuarantine refuses a request that is quarantined here, or whose crashes
// over all daemons have reached the threshold. The totals do not tell whether the
// content was answered in between: one that this daemon has answered since its last
// crash is sent on, and any other one that it has answered is tried after a time.
func (j *job) checkQuarantine() *refusal {
	now := time.Now()
	if out := j.checkParts(now); out != nil {
		return out
	}
	if j.contentTrial && !j.history.MayHaveRun() {
		return nil
	}
	registry, content := j.front.quarantineState.registry, []quarantine.Part{j.fingerprint.Part()}
	end, quarantined := registry.Confined(content, now)
	if !quarantined {
		if j.front.Control.Snapshot().Evidence(crashKey(j.fingerprint)).Bad < quarantine.CrashThreshold {
			return nil
		}
		end = now.Add(quarantine.Duration)
		if last, known := registry.LastCrash(j.fingerprint.Part(), now); known {
			end = last.Add(sharedQuarantineDelay)
		}
		if !end.After(now) {
			return nil
		}
	}
	return refuse(http.StatusServiceUnavailable, Quarantined, "backend servers have ended under this request: it gets no more of them for now").withRetryAfter(end.Sub(now))
}

// trackAttempt registers an attempt at a server of a version with the tracker, so
// that it becomes a suspect if its server exits while it is in progress or shortly
// after its answer.
func (j *job) trackAttempt(x *backend.Exchange, ref table.Ref) {
	instance, gate, ended := instanceOf(x.Server), x.BeforeSend, x.OnRelease
	state, suspect := j.front.quarantineState, j.suspect(ref)
	var run *quarantine.Run
	x.BeforeSend = func() error {
		if err := gate(); err != nil {
			return err
		}
		// The function that aborts the run does nothing, as this platform does not report
		// when a server started.
		run = state.tracker.Begin(instance, suspect, func() {}, time.Time{}, time.Now())
		return nil
	}
	x.OnRelease = func() {
		ended()
		if run == nil {
			return
		}
		ending, now := quarantine.Aborted, time.Now()
		if x.Attempt.Outcome() == attempt.Done {
			ending = quarantine.Declined
			if !j.failed {
				ending = quarantine.Answered
				server := quarantine.ServerHash(instance.Server)
				state.registry.Answered(quarantine.ContentKeys(suspect), suspect.Group, server, now)
				state.parts.Answered(j.parts, suspect.Group, server, now)
			}
		}
		state.tracker.End(run, ending, now)
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

// idleConnectionEnded probes a server that has ended an idle connection shortly
// after an answer or an aborted request.
func (f *Front) idleConnectionEnded(addr string) {
	for _, p := range f.quarantineState.tracker.LeftAt(addr, time.Now()) {
		f.probe(p)
	}
}

// probe checks whether a server that interrupted an answer is still running.
func (f *Front) probe(p quarantine.Instance) {
	f.Backend.Pool.Probe(f.quarantineState.tracker, p, f.serverExited)
}

// serverExited records a crash for each request that was in progress at a server
// that exited.
func (f *Front) serverExited(p quarantine.Instance) {
	now := time.Now()
	suspects := f.quarantineState.tracker.TakeSuspects(p, now)
	if len(suspects) == 0 {
		return
	}
	server := quarantine.ServerHash(p.Server)
	f.quarantineState.registry.RecordServerExit(server, suspects, quarantine.ContentKeys, now)
	f.quarantineState.parts.RecordServerExit(server, suspects, quarantine.PartKeys, now)
	parts := quarantine.Parts(suspects)
	f.Log.Warn().Str("server", p.Server).Int("requests", len(suspects)).Strs("parts", quarantine.PartNames(parts[:min(len(parts), maxLoggedParts)])).Msg("quarantine: server exited with requests in flight")
}
