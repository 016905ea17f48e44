// Package table holds the table that operators edit: which organisation may use
// which model and version, with weights, limits, prices and quality targets, and
// which calls of plain services may not be repeated.
//
// A Table is immutable. An edit makes a new Table; the number and digest of a
// stored table are its Generation.
package table

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// AllOrganisations stands for all organisations in the organisation column.
const AllOrganisations = "*"

// Ref identifies one version of one model.
type Ref struct {
	Model   string
	Version string
}

// String returns the reference as callers write it, "model@version".
func (r Ref) String() string { return r.Model + "@" + r.Version }

// Organisation is one customer with its keys and limits.
type Organisation struct {
	Name string
	// KeyHashes are the hex SHA-256 sums of the bearer keys.
	KeyHashes []string
	Limits    Limits
	// Priority orders organisations when requests are shed: those of the lowest
	// priority go first.
	Priority int
}

// Limits bounds the usage of one organisation in all data halls together. Zero
// means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// Version is the row of one version of a model, for all organisations.
type Version struct {
	Ref    Ref
	Status Status
	// Price is the price of a generated token, in millionths of the currency unit.
	Price int64
	// Quality is the operator's estimate in [0,1], used until there are ratings.
	Quality float64
	// MaxAge is the maximum time since a daemon last confirmed its table at which
	// it still serves this version. Zero means the daemon's default for the status.
	MaxAge time.Duration
	// Stages are the shares of new sessions in a roll-out, in percent.
	Stages []float64
	// Stage is the current index in Stages.
	Stage int
	// Copies is the number of engines in each data hall that should have it
	// loaded; 0 leaves that to operators.
	Copies int
	// StepAfter is the minimum duration of a stage before the daemons advance to
	// the next one; 0 leaves that to operators.
	StepAfter time.Duration
	// StepAnswers is the minimum number of answers in a stage before the next.
	StepAnswers int
}

// Share is the fraction of new sessions that a version in roll-out gets.
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
	// Target is the required quality of answers, in [0,1].
	Target float64
	// Cascade, if not zero, allows the version to be tried first although it
	// misses the target. It is the confidence threshold: if the engine reports a
	// lower quality for its answer, a better version answers instead.
	Cascade float64
}

// CallRule is a rule for calls of a plain service. Of several rules that match, the
// one with the longest path prefix applies.
type CallRule struct {
	Organisation string
	Service      string
	// Method is an HTTP method, or "*" for any.
	Method string
	// Path is a prefix of the path after the service's name.
	Path string
	// Once is set for calls that must run at most once and are never repeated.
	Once bool
}

// Generation identifies one stored table. Numbers only increase, and each number
// has one digest.
type Generation struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// Candidate is a version that an organisation may use, merged from the version
// row and the allow row.
type Candidate struct {
	Version Version
	// Status is the later of the statuses of the two rows.
	Status  Status
	Weight  int
	Target  float64
	Cascade float64
}

// Tenant is an organisation with the versions that it may use and the rules for
// its calls.
type Tenant struct {
	Organisation Organisation
	// Candidates are sorted by model, then by version.
	Candidates []Candidate
	// CallRules are sorted by descending path length.
	CallRules []CallRule
}

// Table holds all rows and an index by organisation. Build one with New or Parse.
type Table struct {
	Organisations []Organisation
	Versions      []Version
	Allows        []Allow
	CallRules     []CallRule

	tenants map[string]*Tenant
	byKey   map[string]*Tenant
}

// New returns a table with the rows of t, indexed. The rows must not be changed
// afterwards.
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
	t.indexCallRules()
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

func (t *Table) indexCallRules() {
	for _, c := range t.CallRules {
		for name, tenant := range t.tenants {
			if c.Organisation == AllOrganisations || c.Organisation == name {
				tenant.CallRules = append(tenant.CallRules, c)
			}
		}
	}
	for _, tenant := range t.tenants {
		slices.SortStableFunc(tenant.CallRules, func(a, b CallRule) int { return len(b.Path) - len(a.Path) })
	}
}

// Tenant returns the organisation of that name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// TenantByKey returns the organisation that owns a bearer key, or nil.
func (t *Table) TenantByKey(key string) *Tenant { return t.byKey[HashKey(key)] }

// HashKey returns the hex SHA-256 sum of a bearer key, as the table stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Candidate returns the tenant's candidate for one version, or false if the
// tenant may not use it.
func (t *Tenant) Candidate(ref Ref) (Candidate, bool) {
	i, ok := slices.BinarySearchFunc(t.Candidates, ref, func(c Candidate, r Ref) int {
		return compareRefs(c.Version.Ref, r)
	})
	if !ok {
		return Candidate{}, false
	}
	return t.Candidates[i], true
}

// CallRule returns the rule that applies to a call, or false if the tenant may not
// make it.
func (t *Tenant) CallRule(service, method, path string) (CallRule, bool) {
	for _, c := range t.CallRules {
		if c.Service == service && (c.Method == "*" || c.Method == method) && strings.HasPrefix(path, c.Path) {
			return c, true
		}
	}
	return CallRule{}, false
}

// WithVersion returns a table in which v replaces the version row of the same Ref.
func (t *Table) WithVersion(v Version) *Table {
	versions := slices.Clone(t.Versions)
	for i := range versions {
		if versions[i].Ref == v.Ref {
			versions[i] = v
		}
	}
	return New(Table{Organisations: t.Organisations, Versions: versions, Allows: t.Allows, CallRules: t.CallRules})
}

// Version returns the version row of ref, or false if there is none.
func (t *Table) Version(ref Ref) (Version, bool) {
	for _, v := range t.Versions {
		if v.Ref == ref {
			return v, true
		}
	}
	return Version{}, false
}

// Digest returns the hex SHA-256 sum of the table's canonical encoding.
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
