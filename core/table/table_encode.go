package table

import (
	"bytes"
	"encoding/csv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Encode returns the canonical encoding of the table: a CSV file with every
// column and the rows sorted.
func (t *Table) Encode() []byte {
	var buf bytes.Buffer
	w := csv.NewWriter(&buf)
	rows := t.rows()
	records := make([][]string, 0, len(rows)+1)
	records = append(records, columnNames)
	for _, r := range rows {
		records = append(records, r.cells[:])
	}
	// Writing to a bytes.Buffer cannot fail.
	_ = w.WriteAll(records)
	return buf.Bytes()
}

// row is one row of the canonical file with the key that identifies it.
type row struct {
	key   string
	cells [columnCount]string
}

// rows returns every row, sorted by kind and key.
func (t *Table) rows() []row {
	var rows []row
	for _, o := range t.Organisations {
		rows = append(rows, organisationRow(o))
	}
	for _, v := range t.Versions {
		rows = append(rows, versionRow(v))
	}
	for _, a := range t.Allows {
		rows = append(rows, allowRow(a))
	}
	for _, c := range t.CallRules {
		rows = append(rows, callRow(c))
	}
	order := []string{kindOrganisation, kindVersion, kindAllow, kindCall}
	slices.SortFunc(rows, func(a, b row) int {
		ka, kb := slices.Index(order, a.cells[colKind]), slices.Index(order, b.cells[colKind])
		if ka != kb {
			return ka - kb
		}
		return strings.Compare(a.key, b.key)
	})
	return rows
}

func organisationRow(o Organisation) row {
	r := row{key: kindOrganisation + " " + o.Name}
	r.cells[colKind] = kindOrganisation
	r.cells[colOrganisation] = o.Name
	r.cells[colRequests] = formatNumber(o.Limits.RequestsPerSecond)
	r.cells[colTokens] = formatNumber(o.Limits.TokensPerSecond)
	r.cells[colConcurrency] = formatInteger(int64(o.Limits.Concurrency))
	r.cells[colPriority] = formatInteger(int64(o.Priority))
	r.cells[colKeys] = strings.Join(o.KeyHashes, " ")
	return r
}

func versionRow(v Version) row {
	r := row{key: kindVersion + " " + v.Ref.String()}
	r.cells[colKind] = kindVersion
	r.cells[colModel] = v.Ref.Model
	r.cells[colVersion] = v.Ref.Version
	r.cells[colStatus] = v.Status.String()
	r.cells[colPrice] = formatInteger(v.Price)
	r.cells[colQuality] = formatNumber(v.Quality)
	r.cells[colMaxAge] = formatDuration(v.MaxAge)
	r.cells[colCopies] = formatInteger(int64(v.Copies))
	r.cells[colStepAfter] = formatDuration(v.StepAfter)
	r.cells[colStepAnswers] = formatInteger(int64(v.StepAnswers))
	stages := make([]string, 0, len(v.Stages))
	for _, s := range v.Stages {
		stages = append(stages, strconv.FormatFloat(s, 'g', -1, 64))
	}
	r.cells[colStages] = strings.Join(stages, " ")
	r.cells[colStage] = formatInteger(int64(v.Stage))
	return r
}

func allowRow(a Allow) row {
	r := row{key: kindAllow + " " + a.Organisation + " " + a.Ref.String()}
	r.cells[colKind] = kindAllow
	r.cells[colOrganisation] = a.Organisation
	r.cells[colModel] = a.Ref.Model
	r.cells[colVersion] = a.Ref.Version
	r.cells[colStatus] = a.Status.String()
	r.cells[colWeight] = formatInteger(int64(a.Weight))
	r.cells[colTarget] = formatNumber(a.Target)
	r.cells[colCascade] = formatNumber(a.Cascade)
	return r
}

func callRow(c CallRule) row {
	r := row{key: strings.Join([]string{kindCall, c.Organisation, c.Service, c.Method, c.Path}, " ")}
	r.cells[colKind] = kindCall
	r.cells[colOrganisation] = c.Organisation
	r.cells[colService] = c.Service
	r.cells[colMethod] = c.Method
	r.cells[colPath] = c.Path
	r.cells[colRepeat] = repeatYes
	if c.Once {
		r.cells[colRepeat] = repeatOnce
	}
	return r
}

func formatNumber(x float64) string {
	if x == 0 {
		return ""
	}
	return strconv.FormatFloat(x, 'g', -1, 64)
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

func formatInteger(n int64) string {
	if n == 0 {
		return ""
	}
	return strconv.FormatInt(n, 10)
}
