// Package table holds what operators edit: which organisation may use which
// model and version, with weights, limits, prices and quality targets, and
// which calls of plain services may not be repeated.
//
// A Table is immutable. An edit makes a new Table; the number and digest of a
// stored one travel with it as its Generation.
package table

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Everyone in the organisation column stands for every organisation.
const Everyone = "*"

// Ref names one version of one model.
type Ref struct {
	Model   string
	Version string
}

// String is the reference as callers write it, "model@version".
func (r Ref) String() string { return r.Model + "@" + r.Version }

// Organisation is one customer with its keys and limits.
type Organisation struct {
	Name string
	// KeyHashes are the hex SHA-256 sums of the bearer keys.
	KeyHashes []string
	Limits    Limits
	// Priority orders organisations when requests must be shed: higher stays.
	Priority int
}

// Limits bounds what one organisation may use in all halls together. Zero
// means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// Version is one version of a model, for all organisations.
type Version struct {
	Ref    Ref
	Status Status
	// Price is in micro-units of money for each generated token.
	Price int64
	// Quality is the operator's estimate in [0,1], used until ratings come.
	Quality float64
	// MaxAge is how old the knowledge of a daemon may be for it to serve this
	// version. Zero takes the daemon's default for the status.
	MaxAge time.Duration
	// Stages are the shares, in percent, of a roll-out's steps.
	Stages []float64
	// Stage is the current index in Stages.
	Stage int
	// Copies is how many engines of each data hall are to have it loaded; 0
	// leaves that to operators.
	Copies int
	// StepAfter is how long a stage lasts at least before the daemons go on to
	// the next one; 0 leaves the steps to operators.
	StepAfter time.Duration
	// StepAnswers is how many answers a stage needs at least.
	StepAnswers int
}

// Share is the part in [0,1] of new sessions that a version in roll-out takes.
func (v Version) Share() float64 {
	if v.Status != RollingOut || len(v.Stages) == 0 {
		return 0
	}
	return v.Stages[min(v.Stage, len(v.Stages)-1)] / 100
}

// Allow lets one organisation use one version.
type Allow struct {
	Organisation string
	Ref          Ref
	Status       Status
	// Weight is the relative share of new sessions among steady versions.
	Weight int
	// Target is the quality in [0,1] that answers must reach.
	Target float64
	// Cascade, if not zero, lets the version be tried first although it does
	// not reach the target: its answer is kept if the engine's own signal of
	// its quality is at least this, or else a better version answers.
	Cascade float64
}

// Call is a rule for the calls of a plain service. The longest path prefix
// that matches is in force.
type Call struct {
	Organisation string
	Service      string
	// Method is an HTTP method, or "*" for any.
	Method string
	// Path is a prefix of the path behind the service's name.
	Path string
	// Once marks calls that run at most once and are never repeated.
	Once bool
}

// Generation names one stored table: forward only, one digest a number.
type Generation struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// Candidate is a version an organisation may use, both rows merged.
type Candidate struct {
	Version Version
	// Status is the later one of the two rows' statuses.
	Status  Status
	Weight  int
	Target  float64
	Cascade float64
}

// Tenant is everything a decision needs to know of one organisation.
type Tenant struct {
	Organisation Organisation
	// Candidates are sorted by model, then by version.
	Candidates []Candidate
	// Calls are sorted by descending path length.
	Calls []Call
}

// Table is one whole table. Build one with New or Parse.
type Table struct {
	Organisations []Organisation
	Versions      []Version
	Allows        []Allow
	Calls         []Call

	tenants map[string]*Tenant
	byKey   map[string]*Tenant
}

// New builds the index of a table whose exported fields are set. The rows must
// not be changed afterwards.
func New(t Table) *Table {
	t.tenants = make(map[string]*Tenant, len(t.Organisations))
	t.byKey = make(map[string]*Tenant, len(t.Organisations))
	for _, org := range t.Organisations {
		tenant := &Tenant{Organisation: org}
		t.tenants[org.Name] = tenant
		for _, hash := range org.KeyHashes {
			t.byKey[hash] = tenant
		}
	}
	t.indexAllows()
	t.indexCalls()
	return &t
}

func (t *Table) indexAllows() {
	versions := make(map[Ref]Version, len(t.Versions))
	for _, v := range t.Versions {
		versions[v.Ref] = v
	}
	for _, a := range t.Allows {
		v := versions[a.Ref]
		c := Candidate{Version: v, Status: max(v.Status, a.Status), Weight: a.Weight, Target: a.Target, Cascade: a.Cascade}
		if tenant := t.tenants[a.Organisation]; tenant != nil {
			tenant.Candidates = append(tenant.Candidates, c)
		}
	}
	for _, tenant := range t.tenants {
		slices.SortFunc(tenant.Candidates, func(a, b Candidate) int {
			return compareRefs(a.Version.Ref, b.Version.Ref)
		})
	}
}

func (t *Table) indexCalls() {
	for _, c := range t.Calls {
		for name, tenant := range t.tenants {
			if c.Organisation == Everyone || c.Organisation == name {
				tenant.Calls = append(tenant.Calls, c)
			}
		}
	}
	for _, tenant := range t.tenants {
		slices.SortStableFunc(tenant.Calls, func(a, b Call) int { return len(b.Path) - len(a.Path) })
	}
}

// Tenant returns the organisation of that name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// TenantByKey returns the organisation that owns a bearer key, or nil.
func (t *Table) TenantByKey(key string) *Tenant { return t.byKey[HashKey(key)] }

// HashKey is the hex SHA-256 sum of a bearer key, as the table stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Candidate returns what the tenant may do with one version.
func (t *Tenant) Candidate(ref Ref) (Candidate, bool) {
	i, ok := slices.BinarySearchFunc(t.Candidates, ref, func(c Candidate, r Ref) int {
		return compareRefs(c.Version.Ref, r)
	})
	if !ok {
		return Candidate{}, false
	}
	return t.Candidates[i], true
}

// Call returns the rule for a call, or false if the tenant may not make it.
func (t *Tenant) Call(service, method, path string) (Call, bool) {
	for _, c := range t.Calls {
		if c.Service == service && (c.Method == "*" || c.Method == method) && strings.HasPrefix(path, c.Path) {
			return c, true
		}
	}
	return Call{}, false
}

// WithVersion returns a table in which v replaces the version of its name.
func (t *Table) WithVersion(v Version) *Table {
	versions := slices.Clone(t.Versions)
	for i := range versions {
		if versions[i].Ref == v.Ref {
			versions[i] = v
		}
	}
	return New(Table{Organisations: t.Organisations, Versions: versions, Allows: t.Allows, Calls: t.Calls})
}

// Version returns the version row of that name.
func (t *Table) Version(ref Ref) (Version, bool) {
	for _, v := range t.Versions {
		if v.Ref == ref {
			return v, true
		}
	}
	return Version{}, false
}

// Digest is the hex SHA-256 sum of the table's canonical file.
func (t *Table) Digest() string {
	sum := sha256.Sum256(t.Encode())
	return hex.EncodeToString(sum[:])
}

func compareRefs(a, b Ref) int {
	if c := strings.Compare(a.Model, b.Model); c != 0 {
		return c
	}
	return strings.Compare(a.Version, b.Version)
}
