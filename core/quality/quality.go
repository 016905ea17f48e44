// Package quality folds ratings into estimates of how good versions are.
//
// A Document is a fold over the ratings in their order, so that every data
// hall's reader makes the same document from the same ratings, and a daemon
// that starts anew takes it over whole.
package quality

import (
	"cmp"
	"math"
	"slices"

	"ladderridge.example/core/evidence"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

const (
	// keep is the weight that older ratings keep with each new one: the latest
	// five hundred or so count.
	keep = 0.998
	// minRatings is how many ratings an estimate needs before it replaces the
	// operator's figure.
	minRatings = 20
	// zScore is the normal quantile of a one-sided 95% confidence bound.
	zScore = 1.645
	// badScore is the score below which a rated answer counts as bad.
	badScore = 0.4
)

// Document is how the ratings of all versions stand.
type Document struct {
	// Rows are sorted by organisation, kind, model and version.
	Rows []Row `json:"rows"`
}

// Row sums the ratings of one version by one organisation, for one kind of
// request, or for all of them where the kind is empty.
type Row struct {
	Organisation string  `json:"organisation"`
	Kind         string  `json:"kind,omitempty"`
	Model        string  `json:"model"`
	Version      string  `json:"version"`
	Count        float64 `json:"count"`
	Sum          float64 `json:"sum"`
	Squares      float64 `json:"squares"`
	// Against is the sum of the test that finds the version bad.
	Against float64 `json:"against"`
}

func (r Row) key() route.QualityKey {
	return route.QualityKey{Organisation: r.Organisation, Kind: r.Kind, Ref: table.Ref{Model: r.Model, Version: r.Version}}
}

func compareRows(a, b Row) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}

// withScore returns the row after one more rating.
func (r Row) withScore(score float64) Row {
	score = min(1, max(0, score))
	r.Count = r.Count*keep + 1
	r.Sum = r.Sum*keep + score
	r.Squares = r.Squares*keep + score*score
	bad := uint64(0)
	if score < badScore {
		bad = 1
	}
	test := r.test().WithCounts(1, bad)
	r.Against = min(test.Sum, 2*test.Threshold)
	return r
}

// test is the test of the ratings so far. Good ratings bring its sum down
// again, from at most twice the threshold.
func (r Row) test() evidence.Test {
	t := evidence.Ratings
	t.Sum = r.Against
	return t
}

// estimate bounds the mean score, if there are enough ratings. The variance is
// that of the scores and one more of each extreme, so that a run of equal ones
// is not taken for certainty.
func (r Row) estimate() (route.Estimate, bool) {
	if r.Count < minRatings {
		return route.Estimate{}, false
	}
	mean := r.Sum / r.Count
	n := r.Count + 2
	smooth := (r.Sum + 1) / n
	variance := max(0, (r.Squares+1)/n-smooth*smooth)
	margin := zScore * math.Sqrt(variance/n)
	return route.Estimate{Low: max(0, mean-margin), High: min(1, mean+margin)}, true
}

// WithRating returns the document after one more rating, which counts for its
// kind and for all kinds together.
func (d Document) WithRating(key route.QualityKey, score float64) Document {
	if key.Kind != "" {
		d = d.withRow(key, score)
		key.Kind = ""
	}
	return d.withRow(key, score)
}

func (d Document) withRow(key route.QualityKey, score float64) Document {
	want := Row{Organisation: key.Organisation, Kind: key.Kind, Model: key.Ref.Model, Version: key.Ref.Version}
	rows := slices.Clone(d.Rows)
	i, found := slices.BinarySearchFunc(rows, want, compareRows)
	if !found {
		rows = slices.Insert(rows, i, want)
	}
	rows[i] = rows[i].withScore(score)
	return Document{Rows: rows}
}

// Estimates are the bounds of the rows that have enough ratings.
func (d Document) Estimates() map[route.QualityKey]route.Estimate {
	out := make(map[route.QualityKey]route.Estimate, len(d.Rows))
	for _, r := range d.Rows {
		if q, ok := r.estimate(); ok {
			out[r.key()] = q
		}
	}
	return out
}

// RejectedBy are the versions that single organisations' ratings find bad.
func (d Document) RejectedBy() map[route.QualityKey]bool {
	out := map[route.QualityKey]bool{}
	for _, r := range d.Rows {
		if r.test().Alarmed() {
			out[r.key()] = true
		}
	}
	return out
}
