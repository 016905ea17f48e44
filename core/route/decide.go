// Package route decides which model, version and backend server answers a
// request, and records why. A decision is a pure function of a View, a Request
// and a time: it uses no clock, socket, goroutine or global random source.
package route

import (
	"slices"
	"time"

	"ladderridge.example/core/table"
)

// Auto in the model field lets the system choose among all allowed models.
const Auto = "auto"

// Request holds the properties of a chat request that a decision depends on.
type Request struct {
	ID     string
	Tenant *table.Tenant
	// Model is a model's name, "model@version", or Auto.
	Model string
	// Kind is the caller's label for the kind of request, or empty.
	Kind string
	// Session is the identifier of the caller's session, or empty.
	Session string
	// Pin is the version that the session is pinned to, or the zero Ref.
	Pin table.Ref
	// Prefix is a hash of the start of the prompt, for cache affinity; 0 is none.
	Prefix uint64
	// Seed seeds every random choice for this request.
	Seed uint64
	// Avoid lists the servers that this request was already sent to.
	Avoid []string
	// Cascade allows a version below its quality target to be tried first if
	// the engine reports the quality of its own answer.
	Cascade bool
	// Above, if not zero, excludes versions whose quality is not higher than
	// this: a cascade that escalates sets it.
	Above float64
}

// Outcome is the result of a decision: Send, Wait or Refuse.
type Outcome interface{ outcome() }

// Send sends the request to a server.
type Send struct {
	Ref    table.Ref
	Price  int64
	Server *Server
	// Quality is the estimate by which the version was chosen.
	Quality float64
	// Cascade, if not zero, is the confidence threshold: the answer is kept if
	// the engine reports at least this quality for it.
	Cascade float64
}

// Refuse rejects the request, which was not sent to any server.
type Refuse struct {
	Code Code
	// RetryAfter is the delay before a retry; 0 means that a retry won't help.
	RetryAfter time.Duration
	Text       string
}

// Wait queues the request until a server has a free slot: every server of the
// version, or of the service for a call, is full.
type Wait struct {
	Ref     table.Ref
	Service string
}

func (Send) outcome()   {}
func (Wait) outcome()   {}
func (Refuse) outcome() {}

// Decision is an outcome with the steps that led to it.
type Decision struct {
	Outcome Outcome
	Steps   []Step
}

// DefaultRetryAfter is the Retry-After of refusals for which no server gave a time.
// Within it, leaving servers are replaced in the list and ejected ones readmitted.
const DefaultRetryAfter = 2 * time.Second

// typicalSteps is the capacity for steps that most decisions need.
const typicalSteps = 12

// Decide chooses the version and the server for a request.
func Decide(v *View, r Request, now time.Time) Decision {
	d := decider{view: v, req: r, now: now, steps: make([]Step, 0, typicalSteps)}
	out := d.decide()
	if refuse, ok := out.(Refuse); ok {
		d.steps = append(d.steps, Step{Kind: StepRefused, Reason: refuse.Code, Text: refuse.Text})
	}
	return Decision{Outcome: out, Steps: d.steps}
}

// decider holds the state of one decision while it is made.
type decider struct {
	view  *View
	req   Request
	now   time.Time
	steps []Step
	// reason is the code of the excluded candidate for which a retry is most
	// likely to succeed; it becomes the code of the refusal.
	reason Code
	// eligibleBuf backs the list of eligible candidates to avoid an allocation.
	eligibleBuf [8]table.Candidate
}

func (d *decider) decide() Outcome {
	d.steps = append(d.steps, Step{Kind: StepTenant, Text: d.req.Tenant.Organisation.Name, Value: float64(d.view.Generation.Number)})
	if d.req.Pin != (table.Ref{}) {
		return d.pinned()
	}
	eligible := d.eligible()
	if len(eligible) == 0 {
		return d.noCandidate()
	}
	chosen, quality := d.choose(eligible)
	out := d.send(chosen, quality)
	if _, full := out.(Wait); full {
		if c, ok := d.spillVersion(eligible, chosen); ok {
			return d.send(c, d.quality(c))
		}
	}
	return out
}

// spillVersion returns the cheapest other steady version that reaches its
// quality target and has a free slot, for a request whose version is full.
func (d *decider) spillVersion(eligible []table.Candidate, full table.Candidate) (table.Candidate, bool) {
	var best table.Candidate
	found := false
	for _, c := range eligible {
		switch {
		case c.Version.Ref == full.Version.Ref, c.Status != table.Steady, d.quality(c) < c.Target:
		case found && c.Version.Price >= best.Version.Price:
		case !anyFree(d.view.Engines[c.Version.Ref], d.req.Avoid, d.now):
		default:
			best, found = c, true
		}
	}
	return best, found
}

// pinned sends to the version that the session is pinned to, or refuses; it
// never moves a session to another version.
func (d *decider) pinned() Outcome {
	s := step(StepPinned, d.req.Pin)
	s.Text = "session " + d.req.Session
	d.steps = append(d.steps, s)
	c, ok := d.req.Tenant.Candidate(d.req.Pin)
	if !ok || c.Status == table.Withdrawn {
		return Refuse{Code: SessionVersionGone, Text: "the version " + d.req.Pin.String() + " that this session keeps has been withdrawn: start a new session"}
	}
	if d.view.stale(c, d.now) {
		return Refuse{Code: StaleConfig, RetryAfter: DefaultRetryAfter, Text: "this data hall's table is too old to serve " + d.req.Pin.String()}
	}
	return d.send(c, d.quality(c))
}

// eligible returns the candidates that may take a new session.
func (d *decider) eligible() []table.Candidate {
	out := d.eligibleBuf[:0]
	var guarded []table.Candidate
	for _, c := range d.req.Tenant.Candidates {
		if !d.matches(c.Version.Ref) {
			continue
		}
		if code := d.exclude(c); code != "" {
			d.reason = moreRetryable(d.reason, code)
			if code == VersionGuarded && c.Status == table.Steady {
				guarded = append(guarded, c)
			}
			s := step(StepExcluded, c.Version.Ref)
			s.Reason = code
			d.steps = append(d.steps, s)
			continue
		}
		out = append(out, c)
	}
	if len(out) == 0 && len(guarded) > 0 {
		// A guarded steady version is still used when there is no other.
		d.steps = append(d.steps, Step{Kind: StepLastResort, Reason: VersionGuarded})
		return guarded
	}
	return out
}

// matches reports whether the request's model field selects ref.
func (d *decider) matches(ref table.Ref) bool {
	m := d.req.Model
	if m == Auto || m == ref.Model {
		return true
	}
	n := len(ref.Model)
	return len(m) == n+1+len(ref.Version) && m[:n] == ref.Model && m[n] == '@' && m[n+1:] == ref.Version
}

// exclude returns why a candidate may not take new sessions, or "".
func (d *decider) exclude(c table.Candidate) Code {
	switch {
	case c.Status >= table.Retiring:
		return VersionWithdrawn
	case d.view.stale(c, d.now):
		return StaleConfig
	case !d.anyServer(c.Version.Ref):
		return NoCapacity
	case d.view.guarded(d.req.Tenant.Organisation.Name, d.req.Kind, c.Version.Ref):
		return VersionGuarded
	case d.req.Above > 0 && d.quality(c) <= d.req.Above:
		return ModelNotAllowed
	}
	return ""
}

func (d *decider) anyServer(ref table.Ref) bool {
	for _, s := range d.view.Engines[ref] {
		if s.Available(d.now) && !slices.Contains(d.req.Avoid, s.ID) {
			return true
		}
	}
	return false
}

// retryOrder lists the codes of exclusions by how likely a retry is to succeed,
// the most likely last.
var retryOrder = []Code{"", ModelNotAllowed, VersionWithdrawn, VersionGuarded, StaleConfig, NoCapacity}

func moreRetryable(a, b Code) Code {
	if slices.Index(retryOrder, b) > slices.Index(retryOrder, a) {
		return b
	}
	return a
}

// noCandidate returns the refusal for the exclusion that is most likely to be
// temporary.
func (d *decider) noCandidate() Outcome {
	switch d.reason {
	case "", ModelNotAllowed:
		return Refuse{Code: ModelNotAllowed, Text: "this organisation may not use the model " + d.req.Model}
	case VersionWithdrawn:
		return Refuse{Code: VersionWithdrawn, Text: "every version of " + d.req.Model + " has been withdrawn or takes no new sessions"}
	case StaleConfig:
		return Refuse{Code: StaleConfig, RetryAfter: DefaultRetryAfter, Text: "this data hall's table is too old to serve " + d.req.Model}
	default:
		return Refuse{Code: d.reason, RetryAfter: retryAfter(d.servers(), d.now), Text: "no server of " + d.req.Model + " can take work now"}
	}
}

// servers returns the servers of all candidates that the request's model field
// selects.
func (d *decider) servers() []*Server {
	var out []*Server
	for _, c := range d.req.Tenant.Candidates {
		if d.matches(c.Version.Ref) {
			out = append(out, d.view.Engines[c.Version.Ref]...)
		}
	}
	return out
}

// send picks a server that has the chosen version loaded.
func (d *decider) send(c table.Candidate, quality float64) Outcome {
	ref := c.Version.Ref
	server, kind := pick(d.view, d.view.Engines[ref], d.req.Avoid, d.req.Prefix, d.req.Seed, d.now)
	if kind == StepWait {
		d.steps = append(d.steps, step(kind, ref))
		return Wait{Ref: ref}
	}
	if server == nil {
		return Refuse{Code: NoCapacity, RetryAfter: retryAfter(d.view.Engines[ref], d.now), Text: "no server of " + ref.String() + " can take work now"}
	}
	s := step(kind, ref)
	s.Server = server.ID
	s.Value = float64(server.Estimate())
	d.steps = append(d.steps, s)
	out := Send{Ref: ref, Price: c.Version.Price, Server: server, Quality: quality}
	if d.req.Cascade && quality < c.Target {
		out.Cascade = c.Cascade
	}
	return out
}

// DecideCall chooses the server for a call of a plain service.
func DecideCall(v *View, tenant *table.Tenant, service, method, path string, seed uint64, avoid []string, now time.Time) (Decision, table.CallRule) {
	d := Decision{Steps: []Step{{Kind: StepTenant, Text: tenant.Organisation.Name, Value: float64(v.Generation.Number)}}}
	rule, ok := tenant.CallRule(service, method, path)
	if !ok {
		d.Outcome = Refuse{Code: CallNotAllowed, Text: "this organisation may not call " + method + " " + service + path}
		return d, rule
	}
	if v.unconfirmed(now) {
		d.Outcome = Refuse{Code: StaleConfig, RetryAfter: DefaultRetryAfter, Text: "this daemon was paused and has to confirm its table first"}
		return d, rule
	}
	server, kind := pick(v, v.Services[service], avoid, 0, seed, now)
	if kind == StepWait {
		d.Steps = append(d.Steps, Step{Kind: kind})
		d.Outcome = Wait{Service: service}
		return d, rule
	}
	if server == nil {
		d.Outcome = Refuse{Code: NoCapacity, RetryAfter: retryAfter(v.Services[service], now), Text: "no server of " + service + " can take work now"}
		return d, rule
	}
	d.Steps = append(d.Steps, Step{Kind: kind, Server: server.ID, Value: float64(server.Estimate())})
	d.Outcome = Send{Server: server}
	return d, rule
}
