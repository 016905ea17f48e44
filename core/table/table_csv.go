package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxFileSize is the maximum size of a table file, in bytes.
const MaxFileSize = 8 << 20

// The columns of a table file, in the order in which Encode writes them.
const (
	colKind = iota
	colOrganisation
	colModel
	colVersion
	colStatus
	colWeight
	colTarget
	colPrice
	colQuality
	colMaxAge
	colStages
	colStage
	colCopies
	colStepAfter
	colStepAnswers
	colCascade
	colRequests
	colTokens
	colConcurrency
	colPriority
	colKeys
	colService
	colMethod
	colPath
	colRepeat
	columnCount
)

var columnNames = []string{
	"kind", "organisation", "model", "version", "status", "weight", "target", "price", "quality",
	"max_age", "stages", "stage", "copies", "step_after", "step_answers", "cascade", "requests_per_s", "tokens_per_s", "concurrency", "priority",
	"key_sha256", "service", "method", "path", "repeat",
}

// The kinds of row, in the order in which Encode writes them.
const (
	kindOrganisation = "organisation"
	kindVersion      = "version"
	kindAllow        = "allow"
	kindCall         = "call"
)

const (
	repeatYes  = "yes"
	repeatOnce = "once"
)

// CellError describes one invalid cell of a table file.
type CellError struct {
	// Row is the row number as a spreadsheet shows it: the header is row 1.
	Row int
	// Column is the column's name.
	Column string
	// Text says what is wrong and how to correct it.
	Text string
}

// Error implements the error interface.
func (e *CellError) Error() string {
	return fmt.Sprintf("row %d, column %s: %s", e.Row, e.Column, e.Text)
}

// Parse parses a table file (CSV with a header row). If there are invalid cells,
// the error lists all of them and no table is returned.
func Parse(data []byte) (*Table, error) {
	if len(data) > MaxFileSize {
		return nil, &Error{Op: "parse table", Kind: Malformed, Err: fmt.Errorf("%d bytes, at most %d", len(data), MaxFileSize)}
	}
	r := csv.NewReader(bytes.NewReader(data))
	r.FieldsPerRecord = -1
	records, err := r.ReadAll()
	if err != nil {
		return nil, &Error{Op: "parse table", Kind: Malformed, Err: err}
	}
	if len(records) == 0 {
		return nil, &Error{Op: "parse table", Kind: Malformed, Err: errors.New("the file is empty: start it with a header row")}
	}
	p := &parser{}
	p.header(records[0])
	if len(p.errs) == 0 {
		for i, record := range records[1:] {
			p.row(i+2, record)
		}
		p.checkReferences()
	}
	if len(p.errs) > 0 {
		return nil, &Error{Op: "parse table", Kind: Invalid, Err: errors.Join(p.errs...)}
	}
	return New(p.table), nil
}

// rowRef is the row number of a parsed allow or call row and its organisation.
type rowRef struct {
	row  int
	name string
}

type parser struct {
	table   Table
	columns [columnCount]int
	errs    []error
	allows  []rowRef
	calls   []rowRef
	current []string
	rowNo   int
	seen    map[string]int
}

// addError adds an error for one cell.
func (p *parser) addError(row, column int, format string, args ...any) {
	p.errs = append(p.errs, &CellError{Row: row, Column: columnNames[column], Text: fmt.Sprintf(format, args...)})
}

func (p *parser) header(names []string) {
	for i := range p.columns {
		p.columns[i] = -1
	}
	for i, name := range names {
		name = strings.TrimSpace(name)
		column := slices.Index(columnNames, name)
		switch {
		case column < 0:
			p.errs = append(p.errs, &CellError{Row: 1, Column: name, Text: "unknown column: the columns are " + strings.Join(columnNames, ", ")})
		case p.columns[column] >= 0:
			p.addError(1, column, "duplicate column: remove one")
		default:
			p.columns[column] = i
		}
	}
	if p.columns[colKind] < 0 {
		p.addError(1, colKind, "the column is missing")
	}
}

func (p *parser) row(n int, record []string) {
	p.rowNo, p.current = n, record
	if strings.TrimSpace(strings.Join(record, "")) == "" {
		return
	}
	switch kind := p.text(colKind); kind {
	case kindOrganisation:
		p.organisation()
	case kindVersion:
		p.version()
	case kindAllow:
		p.allow()
	case kindCall:
		p.call()
	default:
		p.addError(n, colKind, "%q is unknown: write organisation, version, allow or call", kind)
	}
}

// checkUnique adds an error if an earlier row has the same key.
func (p *parser) checkUnique(key string) {
	if p.seen == nil {
		p.seen = map[string]int{}
	}
	if first, ok := p.seen[key]; ok {
		p.addError(p.rowNo, colKind, "duplicate of row %d: remove one", first)
		return
	}
	p.seen[key] = p.rowNo
}

func (p *parser) organisation() {
	org := Organisation{
		Name: p.name(colOrganisation),
		Limits: Limits{
			RequestsPerSecond: p.number(colRequests, 1e9),
			TokensPerSecond:   p.number(colTokens, 1e12),
			Concurrency:       int(p.integer(colConcurrency, 1e9)),
		},
		Priority: int(p.integer(colPriority, 100)),
	}
	if org.Name == AllOrganisations {
		p.addError(p.rowNo, colOrganisation, "an organisation cannot be called %q", AllOrganisations)
	}
	for hash := range strings.FieldsSeq(p.text(colKeys)) {
		if len(hash) != 64 || strings.Trim(hash, "0123456789abcdef") != "" {
			p.addError(p.rowNo, colKeys, "%q is not a SHA-256 sum in lower-case hex: make one with `ladderridge keys hash`", hash)
			continue
		}
		p.checkUnique("key " + hash)
		org.KeyHashes = append(org.KeyHashes, hash)
	}
	p.checkUnique(kindOrganisation + " " + org.Name)
	p.table.Organisations = append(p.table.Organisations, org)
}

func (p *parser) version() {
	v := Version{
		Ref:     Ref{Model: p.name(colModel), Version: p.name(colVersion)},
		Status:  p.status(),
		Price:   p.integer(colPrice, 1e12),
		Quality: p.number(colQuality, 1),
		MaxAge:  p.duration(colMaxAge),
		Stage:   int(p.integer(colStage, 100)),
		Copies:  int(p.integer(colCopies, 10_000)),

		StepAfter:   p.duration(colStepAfter),
		StepAnswers: int(p.integer(colStepAnswers, 1e9)),
	}
	for field := range strings.FieldsSeq(p.text(colStages)) {
		share, err := strconv.ParseFloat(field, 64)
		if err != nil || !(share >= 0 && share <= 100) {
			p.addError(p.rowNo, colStages, "%q is not a percentage: write shares such as `1 5 25 100`", field)
			continue
		}
		v.Stages = append(v.Stages, share)
	}
	if v.Status == RollingOut && len(v.Stages) == 0 {
		p.addError(p.rowNo, colStages, "a version that is rolling out needs stages, such as `1 5 25 100`")
	}
	if v.Stage > 0 && v.Stage >= len(v.Stages) {
		p.addError(p.rowNo, colStage, "there is no stage %d: there are %d, counted from 0", v.Stage, len(v.Stages))
	}
	p.checkUnique(kindVersion + " " + v.Ref.String())
	p.table.Versions = append(p.table.Versions, v)
}

func (p *parser) allow() {
	a := Allow{
		Organisation: p.name(colOrganisation),
		Ref:          Ref{Model: p.name(colModel), Version: p.name(colVersion)},
		Status:       p.status(),
		Weight:       int(p.integer(colWeight, 1e6)),
		Target:       p.number(colTarget, 1),
		Cascade:      p.number(colCascade, 1),
	}
	p.checkUnique(kindAllow + " " + a.Organisation + " " + a.Ref.String())
	p.allows = append(p.allows, rowRef{row: p.rowNo, name: a.Organisation})
	p.table.Allows = append(p.table.Allows, a)
}

func (p *parser) call() {
	c := CallRule{
		Organisation: p.name(colOrganisation),
		Service:      p.name(colService),
		Method:       p.text(colMethod),
		Path:         p.text(colPath),
	}
	if c.Method == "" {
		c.Method = "*"
	}
	if !strings.HasPrefix(c.Path, "/") {
		p.addError(p.rowNo, colPath, "%q does not start with a slash", c.Path)
	}
	switch repeat := p.text(colRepeat); repeat {
	case repeatYes:
	case repeatOnce:
		c.Once = true
	default:
		p.addError(p.rowNo, colRepeat, "%q is unknown: write yes, or once for calls that may not be repeated", repeat)
	}
	p.checkUnique(strings.Join([]string{kindCall, c.Organisation, c.Service, c.Method, c.Path}, " "))
	p.calls = append(p.calls, rowRef{row: p.rowNo, name: c.Organisation})
	p.table.CallRules = append(p.table.CallRules, c)
}

// checkReferences adds an error for each reference to an organisation or version
// that has no row.
func (p *parser) checkReferences() {
	orgs := map[string]bool{}
	for _, o := range p.table.Organisations {
		orgs[o.Name] = true
	}
	versions := map[Ref]bool{}
	for _, v := range p.table.Versions {
		versions[v.Ref] = true
	}
	for i, a := range p.table.Allows {
		if !orgs[a.Organisation] {
			p.addError(p.allows[i].row, colOrganisation, "%q has no organisation row: add one", a.Organisation)
		}
		if !versions[a.Ref] {
			p.addError(p.allows[i].row, colVersion, "%s has no version row: add one", a.Ref)
		}
	}
	for i, c := range p.table.CallRules {
		if c.Organisation != AllOrganisations && !orgs[c.Organisation] {
			p.addError(p.calls[i].row, colOrganisation, "%q has no organisation row: add one, or write * for all", c.Organisation)
		}
	}
}

func (p *parser) text(column int) string {
	i := p.columns[column]
	if i < 0 || i >= len(p.current) {
		return ""
	}
	return strings.TrimSpace(p.current[i])
}

func (p *parser) name(column int) string {
	s := p.text(column)
	if s == "" {
		p.addError(p.rowNo, column, "the cell is empty: a %s row needs it", p.text(colKind))
	}
	if strings.ContainsAny(s, "@/\x00 \t\r\n") || len(s) > 100 {
		p.addError(p.rowNo, column, "%q is not a name: use up to 100 characters without space, @ or /", s)
	}
	return s
}

func (p *parser) status() Status {
	s := p.text(colStatus)
	if s == "" {
		return Steady
	}
	status, err := ParseStatus(s)
	if err != nil {
		p.addError(p.rowNo, colStatus, "%v", err)
	}
	return status
}

func (p *parser) number(column int, high float64) float64 {
	s := p.text(column)
	if s == "" {
		return 0
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > high {
		p.addError(p.rowNo, column, "%q is not a number from 0 to %g", s, high)
		return 0
	}
	return x
}

func (p *parser) integer(column int, high int64) int64 {
	s := p.text(column)
	if s == "" {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 || n > high {
		p.addError(p.rowNo, column, "%q is not a whole number from 0 to %d", s, high)
		return 0
	}
	return n
}

func (p *parser) duration(column int) time.Duration {
	s := p.text(column)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		p.addError(p.rowNo, column, "%q is not a duration such as 15s or 10m", s)
		return 0
	}
	return d
}
