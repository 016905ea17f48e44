// Package quality estimates the quality of versions from ratings.
//
// A Document is a fold over the ratings in their order, so that the reader of each data hall
// computes the same document from the same ratings, and a restarted daemon can copy the document
// instead of reading all ratings again.
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
	// decay is the weight that earlier ratings keep with each new one, so that the last five
	// hundred or so count.
	decay = 0.998
	// minRatings is how many ratings an estimate needs before it replaces the operator's figure.
	minRatings = 20
	// zScore is the normal quantile of a one-sided 95% confidence bound.
	zScore = 1.645
	// badScore is the score below which a rated answer counts as bad.
	badScore = 0.4
)

// Document holds the summed ratings of all versions.
type Document struct {
	// Rows are sorted by organisation, kind, model and version.
	Rows []Row `json:"rows"`
}

// Row sums the ratings of a version by one organisation for one kind of request, or for all kinds
// if Kind is empty.
type Row struct {
	Organisation string  `json:"organisation"`
	Kind         string  `json:"kind,omitempty"`
	Model        string  `json:"model"`
	Version      string  `json:"version"`
	Count        float64 `json:"count"`
	Sum          float64 `json:"sum"`
	Squares      float64 `json:"squares"`
	// Against is the sum of the CUSUM test that rejects the version.
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
	r.Count = r.Count*decay + 1
	r.Sum = r.Sum*decay + score
	r.Squares = r.Squares*decay + score*score
	bad := uint64(0)
	if score < badScore {
		bad = 1
	}
	test := r.test().WithCounts(1, bad)
	r.Against = min(test.Sum, 2*test.Threshold)
	return r
}

// test returns the CUSUM test at its present sum. The sum is capped at twice the threshold, so
// that good ratings can bring it down again.
func (r Row) test() evidence.Test {
	t := evidence.Ratings
	t.Sum = r.Against
	return t
}

// estimate returns confidence bounds of the mean score, if there are enough ratings. The variance
// counts one more score of each extreme, so that a run of equal scores does not give an interval
// of zero width.
func (r Row) estimate() (route.Estimate, bool) {
	if r.Count < minRatings {
		return route.Estimate{}, false
	}
	mean := r.Sum / r.Count
	n := r.Count + 2
	smoothedMean := (r.Sum + 1) / n
	variance := max(0, (r.Squares+1)/n-smoothedMean*smoothedMean)
	margin := zScore * math.Sqrt(variance/n)
	return route.Estimate{Low: max(0, mean-margin), High: min(1, mean+margin)}, true
}

// WithRating returns the document after one more rating, which counts for its kind and for all
// kinds together.
func (d Document) WithRating(key route.QualityKey, score float64) Document {
	if key.Kind != "" {
		d = d.withRow(key, score)
		key.Kind = ""
	}
	return d.withRow(key, score)
}

func (d Document) withRow(key route.QualityKey, score float64) Document {
	row := Row{Organisation: key.Organisation, Kind: key.Kind, Model: key.Ref.Model, Version: key.Ref.Version}
	rows := slices.Clone(d.Rows)
	i, found := slices.BinarySearchFunc(rows, row, compareRows)
	if !found {
		rows = slices.Insert(rows, i, row)
	}
	rows[i] = rows[i].withScore(score)
	return Document{Rows: rows}
}

// Estimates returns the bounds of the rows that have enough ratings.
func (d Document) Estimates() map[route.QualityKey]route.Estimate {
	out := make(map[route.QualityKey]route.Estimate, len(d.Rows))
	for _, r := range d.Rows {
		if q, ok := r.estimate(); ok {
			out[r.key()] = q
		}
	}
	return out
}

// RejectedBy returns the versions that the ratings of single organisations reject.
func (d Document) RejectedBy() map[route.QualityKey]bool {
	out := map[route.QualityKey]bool{}
	for _, r := range d.Rows {
		if r.test().Alarmed() {
			out[r.key()] = true
		}
	}
	return out
}
