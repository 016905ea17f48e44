// Package route decides which model, version and backend server answers a
// request, and says why. A decision is a pure function of a View, a Request
// and a time: no clock, socket, goroutine or global random source.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
		return Refuse{Code: d.reason, RetryAfter: RetryCapacity, Text: "no server of " + d.req.Model + " can take work now"}
	}
}

// choose splits each model's new sessions among its versions, then takes the
// cheapest model that reaches its target, or else the best one.
func (d *decider) choose(eligible []table.Candidate) (table.Candidate, float64) {
	var chosen, best table.Candidate
	var chosenQuality, bestQuality float64
	found, models := false, 0
	for i := 0; i < len(eligible); {
		j := i + 1
		for j < len(eligible) && eligible[j].Version.Ref.Model == eligible[i].Version.Ref.Model {
			j++
		}
		c := d.split(d.goodEnough(eligible[i:j]))
		q := d.quality(c)
		models++
		s := step(StepEligible, c.Version.Ref)
		s.Value = q
		d.steps = append(d.steps, s)
		if (d.reaches(c, q) || d.explores(c, q)) && (!found || c.Version.Price < chosen.Version.Price) {
			chosen, chosenQuality, found = c, q, true
		}
		if i == 0 || q > bestQuality {
			best, bestQuality = c, q
		}
		i = j
	}
	if !found {
		d.steps = append(d.steps, step(StepBest, best.Version.Ref))
		return best, bestQuality
	}
	if models > 1 {
		s := step(StepCheapest, chosen.Version.Ref)
		s.Value = float64(chosen.Version.Price)
		d.steps = append(d.steps, s)
	}
	return chosen, chosenQuality
}

// goodEnough leaves out a model's steady versions that do not reach their
// target, if one does and the caller leaves the choice to the system. Versions
// in roll-out stay: their stage bounds their share.
func (d *decider) goodEnough(versions []table.Candidate) []table.Candidate {
	if d.req.Model != Auto || len(versions) == 1 {
		return versions
	}
	var good []table.Candidate
	steady := false
	for _, c := range versions {
		reaches := d.reaches(c, d.quality(c))
		if reaches || c.Status == table.RollingOut {
			good = append(good, c)
		}
		steady = steady || (reaches && c.Status == table.Steady)
	}
	if !steady {
		return versions
	}
	return good
}

// exploreShare is the part of the requests that may try a cheaper version of
// which too little is known.
const exploreShare = 0.03

// explores reports whether a request tries a version that does not reach its
// target by what is known, but might: else no ratings of it would ever come.
// Where nobody rates, nothing is tried.
func (d *decider) explores(c table.Candidate, quality float64) bool {
	if d.req.Model != Auto || len(d.view.Quality) == 0 || c.Status != table.Steady {
		return false
	}
	if quality >= c.Target || d.estimate(c).High < c.Target || d.point("explore") >= exploreShare {
		return false
	}
	s := step(StepExplore, c.Version.Ref)
	s.Value = d.estimate(c).High
	d.steps = append(d.steps, s)
	return true
}

// reaches reports whether a version's answer will do, or can be tried first.
func (d *decider) reaches(c table.Candidate, quality float64) bool {
	return quality >= c.Target || (d.req.Cascade && c.Cascade > 0)
}

// split picks one of a model's versions: those in roll-out take the share of
// their stage, the steady ones the rest by weight.
func (d *decider) split(versions []table.Candidate) table.Candidate {
	if len(versions) == 1 {
		return versions[0]
	}
	point := d.point(versions[0].Version.Ref.Model)
	total := 0
	for _, c := range versions {
		if c.Status == table.RollingOut {
			share := c.Version.Share()
			if point < share {
				return d.splitStep(c, share)
			}
			point -= share
			continue
		}
		total += c.Weight
	}
	return d.splitByWeight(versions, total)
}

func (d *decider) splitByWeight(versions []table.Candidate, total int) table.Candidate {
	if total == 0 {
		return d.splitStep(versions[0], 0)
	}
	// A second point, so that the stage's share does not skew the weights.
	point := d.point("weight " + versions[0].Version.Ref.Model)
	at := int(point * float64(total))
	for _, c := range versions {
		if c.Status == table.RollingOut {
			continue
		}
		if at < c.Weight {
			return d.splitStep(c, float64(c.Weight)/float64(total))
		}
		at -= c.Weight
	}
	return versions[len(versions)-1]
}

func (d *decider) splitStep(c table.Candidate, share float64) table.Candidate {
	s := step(StepSplit, c.Version.Ref)
	s.Value = share
	d.steps = append(d.steps, s)
	return c
}

// point is where in [0,1) the session, or else the request, falls.
func (d *decider) point(salt string) float64 {
	name := d.req.Session
	if name == "" {
		name = d.req.ID
	}
	var h xxhash.Digest
	h.ResetWithSeed(xxhash.Sum64String(salt))
	_, _ = h.WriteString(name)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// quality is the lower bound of how good a version's answers are.
func (d *decider) quality(c table.Candidate) float64 { return d.estimate(c).Low }

func (d *decider) estimate(c table.Candidate) Estimate {
	return d.view.quality(d.req.Tenant.Organisation.Name, d.req.Kind, c)
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
		return Refuse{Code: NoCapacity, RetryAfter: RetryCapacity, Text: "no server of " + ref.String() + " can take work now"}
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
		d.Outcome = Refuse{Code: NoCapacity, RetryAfter: RetryCapacity, Text: "no server of " + service + " can take work now"}
		return d, rule
	}
	d.Steps = append(d.Steps, Step{Kind: kind, Server: server.ID, Value: float64(server.Estimate())})
	d.Outcome = Send{Server: server}
	return d, rule
}

// affinitySlack is how far above the mean load a server may be and still be
// chosen for its prefix cache.
const affinitySlack = 1.25

// pick chooses among the servers that have room, in the own data hall if one
// there has. If none has, it returns no server and StepWait, and if none is
// there at all StepRefused.
func pick(v *View, servers []*Server, avoid []string, prefix, seed uint64, now time.Time) (*Server, StepKind) {
	var buf [64]*Server
	own, other := buf[:0], []*Server(nil)
	kind := StepRefused
	for _, s := range servers {
		switch {
		case !s.Available(now) || slices.Contains(avoid, s.ID):
		case s.full():
			kind = StepWait
		case s.Hall == v.Hall:
			own = append(own, s)
		default:
			other = append(other, s)
		}
	}
	if len(own) > 0 {
		return pickOne(own, prefix, seed)
	}
	if len(other) > 0 {
		s, _ := pickOne(other, prefix, seed)
		return s, StepSpill
	}
	return nil, kind
}

// anyRoom reports whether one of the servers can take a request now.
func anyRoom(servers []*Server, avoid []string, now time.Time) bool {
	for _, s := range servers {
		if s.Available(now) && !s.full() && !slices.Contains(avoid, s.ID) {
			return true
		}
	}
	return false
}

// Room is how many requests servers can take now, at most limit.
func Room(servers []*Server, limit int, now time.Time) int {
	room := 0
	for _, s := range servers {
		switch {
		case !s.Available(now) || s.full():
		case s.Capacity == 0:
			return limit
		default:
			room += s.Capacity - s.Estimate()
		}
	}
	return min(room, limit)
}

func pickOne(servers []*Server, prefix, seed uint64) (*Server, StepKind) {
	if len(servers) == 1 {
		return servers[0], StepServer
	}
	if prefix != 0 {
		home := rendezvous(servers, prefix)
		if float64(home.Estimate()) <= affinitySlack*mean(servers)+1 {
			return home, StepAffinity
		}
	}
	rng := rand.New(rand.NewPCG(seed, prefix))
	i := rng.IntN(len(servers))
	j := rng.IntN(len(servers) - 1)
	if j >= i {
		j++
	}
	if servers[j].Estimate() < servers[i].Estimate() {
		i = j
	}
	return servers[i], StepServer
}

// rendezvous returns the server that the prefix hashes highest with.
func rendezvous(servers []*Server, prefix uint64) *Server {
	var best *Server
	var high uint64
	for _, s := range servers {
		var h xxhash.Digest
		h.ResetWithSeed(prefix)
		_, _ = h.WriteString(s.ID)
		if sum := h.Sum64(); best == nil || sum > high {
			best, high = s, sum
		}
	}
	return best
}

func mean(servers []*Server) float64 {
	total := 0
	for _, s := range servers {
		total += s.Estimate()
	}
	return float64(total) / float64(len(servers))
}
