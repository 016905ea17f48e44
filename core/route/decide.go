// Package route decides which model, version and backend server answers a
// request, and says why. A decision is a pure function of a View, a Request
// and a time: no clock, socket, goroutine or global random source.
package route

import (
	"slices"
	"time"

	"ladderridge.example/core/table"
)

// Auto in the model field lets the system choose among all allowed models.
const Auto = "auto"

// Request is what a decision needs to know of a chat request.
type Request struct {
	ID     string
	Tenant *table.Tenant
	// Model is a model's name, "model@version", or Auto.
	Model string
	// Kind is the caller's name for the kind of request, or empty.
	Kind string
	// Session is the caller's session, or empty.
	Session string
	// Pin is the version that the session keeps, or the zero Ref.
	Pin table.Ref
	// Prefix is a hash of the prompt's beginning, for cache affinity; 0 is none.
	Prefix uint64
	// Seed drives every random choice of this request.
	Seed uint64
	// Avoid are servers that this request has tried already.
	Avoid []string
	// Cascade lets a version be tried first that may not reach its target, but
	// says itself how good its answer is.
	Cascade bool
	// Above, if not zero, asks for a version of a higher quality than this:
	// the escalation of a cascade.
	Above float64
}

// Outcome is what a decision came to: Send, Wait or Refuse.
type Outcome interface{ outcome() }

// Send sends the request to a server.
type Send struct {
	Ref    table.Ref
	Price  int64
	Server *Server
	// Quality is the estimate on which the version was chosen.
	Quality float64
	// Cascade, if not zero, is the signal of its own quality from which the
	// version's answer is kept.
	Cascade float64
}

// Refuse turns the request down; nothing has run.
type Refuse struct {
	Code Code
	// RetryAfter says when to come back; 0 means that coming back won't help.
	RetryAfter time.Duration
	Text       string
}

// Wait lets the request wait for a place: every server of the version is full.
// It names the version, or the service.
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

// RetryCapacity is when to come back when no server is available: the time in
// which leaving servers are replaced in the list and ejected ones let back in.
const RetryCapacity = 2 * time.Second

// typicalSteps is how many steps most decisions have.
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

// decider is the working state of one decision.
type decider struct {
	view  *View
	req   Request
	now   time.Time
	steps []Step
	// reason is the most hopeful of the reasons for which candidates were
	// excluded: it tells the caller whether coming back helps.
	reason Code
	// eligibleBuf backs the list of eligible candidates without allocating.
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

// spillVersion is the cheapest other steady version that reaches its target
// and has room, for a request whose own version has none.
func (d *decider) spillVersion(eligible []table.Candidate, full table.Candidate) (table.Candidate, bool) {
	var best table.Candidate
	found := false
	for _, c := range eligible {
		switch {
		case c.Version.Ref == full.Version.Ref, c.Status != table.Steady, d.quality(c) < c.Target:
		case found && c.Version.Price >= best.Version.Price:
		case !anyRoom(d.view.Engines[c.Version.Ref], d.req.Avoid, d.now):
		default:
			best, found = c, true
		}
	}
	return best, found
}

// pinned serves a session's own version or refuses; it never moves a session.
func (d *decider) pinned() Outcome {
	s := step(StepPinned, d.req.Pin)
	s.Text = "session " + d.req.Session
	d.steps = append(d.steps, s)
	c, ok := d.req.Tenant.Candidate(d.req.Pin)
	if !ok || c.Status == table.Withdrawn {
		return Refuse{Code: SessionVersionGone, Text: "the version " + d.req.Pin.String() + " that this session keeps has been withdrawn: start a new session"}
	}
	if d.view.stale(c, d.now) {
		return Refuse{Code: StaleConfig, RetryAfter: RetryCapacity, Text: "this data hall's table is too old to serve " + d.req.Pin.String()}
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
			d.reason = moreHopeful(d.reason, code)
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
		// A steady version that has gone bad serves on when there is no other.
		d.steps = append(d.steps, Step{Kind: StepLastResort, Reason: VersionGuarded})
		return guarded
	}
	return out
}

// matches reports whether the caller's model field names ref.
func (d *decider) matches(ref table.Ref) bool {
	m := d.req.Model
	if m == Auto || m == ref.Model {
		return true
	}
	n := len(ref.Model)
	return len(m) == n+1+len(ref.Version) && m[:n] == ref.Model && m[n] == '@' && m[n+1:] == ref.Version
}

// exclude returns why a candidate may not take new work, or "".
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

// hopes are the reasons for exclusions, the most hopeful last.
var hopes = []Code{"", ModelNotAllowed, VersionWithdrawn, VersionGuarded, StaleConfig, NoCapacity}

func moreHopeful(a, b Code) Code {
	if slices.Index(hopes, b) > slices.Index(hopes, a) {
		return b
	}
	return a
}

// noCandidate turns the most hopeful exclusion into the refusal.
func (d *decider) noCandidate() Outcome {
	switch d.reason {
	case "", ModelNotAllowed:
		return Refuse{Code: ModelNotAllowed, Text: "this organisation may not use the model " + d.req.Model}
	case VersionWithdrawn:
		return Refuse{Code: VersionWithdrawn, Text: "every version of " + d.req.Model + " has been withdrawn or takes no new sessions"}
	case StaleConfig:
		return Refuse{Code: StaleConfig, RetryAfter: RetryCapacity, Text: "this data hall's table is too old to serve " + d.req.Model}
	default:
		return Refuse{Code: d.reason, RetryAfter: comeBack(d.servers(), d.now), Text: "no server of " + d.req.Model + " can take work now"}
	}
}

// servers are those of all candidates that the caller's model field names.
func (d *decider) servers() []*Server {
	var out []*Server
	for _, c := range d.req.Tenant.Candidates {
		if d.matches(c.Version.Ref) {
			out = append(out, d.view.Engines[c.Version.Ref]...)
		}
	}
	return out
}

// send picks the server for a chosen version.
func (d *decider) send(c table.Candidate, quality float64) Outcome {
	ref := c.Version.Ref
	server, kind := pick(d.view, d.view.Engines[ref], d.req.Avoid, d.req.Prefix, d.req.Seed, d.now)
	if kind == StepWait {
		d.steps = append(d.steps, step(kind, ref))
		return Wait{Ref: ref}
	}
	if server == nil {
		return Refuse{Code: NoCapacity, RetryAfter: comeBack(d.view.Engines[ref], d.now), Text: "no server of " + ref.String() + " can take work now"}
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
func DecideCall(v *View, tenant *table.Tenant, service, method, path string, seed uint64, avoid []string, now time.Time) (Decision, table.Call) {
	d := Decision{Steps: []Step{{Kind: StepTenant, Text: tenant.Organisation.Name, Value: float64(v.Generation.Number)}}}
	rule, ok := tenant.Call(service, method, path)
	if !ok {
		d.Outcome = Refuse{Code: CallNotAllowed, Text: "this organisation may not call " + method + " " + service + path}
		return d, rule
	}
	if v.doubtful(now) {
		d.Outcome = Refuse{Code: StaleConfig, RetryAfter: RetryCapacity, Text: "this daemon was paused and has to confirm its table first"}
		return d, rule
	}
	server, kind := pick(v, v.Services[service], avoid, 0, seed, now)
	if kind == StepWait {
		d.Steps = append(d.Steps, Step{Kind: kind})
		d.Outcome = Wait{Service: service}
		return d, rule
	}
	if server == nil {
		d.Outcome = Refuse{Code: NoCapacity, RetryAfter: comeBack(v.Services[service], now), Text: "no server of " + service + " can take work now"}
		return d, rule
	}
	d.Steps = append(d.Steps, Step{Kind: kind, Server: server.ID, Value: float64(server.Estimate())})
	d.Outcome = Send{Server: server}
	return d, rule
}
