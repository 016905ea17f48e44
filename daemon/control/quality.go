package control

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"

	"ladderridge.example/core/evidence"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
)

// qualityDocument is how the ratings of all versions stand. It is a fold over
// the ratings in their order, so that every data hall's reader makes the same
// document from the same ratings.
type qualityDocument struct {
	Rows []qualityRow `json:"rows"`
}

// qualityRow sums the ratings of one version by one organisation.
type qualityRow struct {
	Organisation string  `json:"organisation"`
	Model        string  `json:"model"`
	Version      string  `json:"version"`
	Count        float64 `json:"count"`
	Sum          float64 `json:"sum"`
	Squares      float64 `json:"squares"`
	// Against is the sum of the test that finds the version bad.
	Against float64 `json:"against"`
}

func (r qualityRow) ref() table.Ref { return table.Ref{Model: r.Model, Version: r.Version} }

func (r qualityRow) key() route.QualityKey {
	return route.QualityKey{Organisation: r.Organisation, Ref: r.ref()}
}

// badScore is the score below which a rated answer counts as bad.
const badScore = 0.4

// keep is the weight that older ratings keep with each new one: the latest
// five hundred or so count.
const keep = 0.998

// minRatings is how many ratings an estimate needs before it replaces the
// operator's figure.
const minRatings = 20

// zScore is the normal quantile of the one-sided 95% lower confidence bound.
const zScore = 1.645

// with returns the row after one more rating.
func (r qualityRow) with(score float64) qualityRow {
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
func (r qualityRow) test() evidence.Test {
	t := evidence.Ratings
	t.Sum = r.Against
	return t
}

// bound is the lower confidence bound of the mean score, if there are enough
// ratings.
func (r qualityRow) bound() (float64, bool) {
	if r.Count < minRatings {
		return 0, false
	}
	mean := r.Sum / r.Count
	variance := max(0, r.Squares/r.Count-mean*mean)
	return max(0, mean-zScore*math.Sqrt(variance/r.Count)), true
}

// decodeQuality reads a quality document.
func decodeQuality(data []byte) (qualityDocument, error) {
	var doc qualityDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return doc, &Error{Op: "take quality", Kind: BadDocument, Err: err}
	}
	return doc, nil
}

// estimates are the bounds of the rows that have enough ratings.
func (d qualityDocument) estimates() map[route.QualityKey]float64 {
	out := make(map[route.QualityKey]float64, len(d.Rows))
	for _, r := range d.Rows {
		if q, ok := r.bound(); ok {
			out[r.key()] = q
		}
	}
	return out
}

// badFor are the versions that single organisations' ratings find bad.
func (d qualityDocument) badFor() map[route.QualityKey]bool {
	out := map[route.QualityKey]bool{}
	for _, r := range d.Rows {
		if r.test().Alarmed() {
			out[r.key()] = true
		}
	}
	return out
}

// foldRatings takes ratings into a document.
func foldRatings(held []byte, ratings []platform.Rating) qualityDocument {
	var doc qualityDocument
	if len(held) > 0 {
		// A held document was read before it was accepted.
		_ = json.Unmarshal(held, &doc)
	}
	for _, rating := range ratings {
		want := qualityRow{Organisation: rating.Organisation, Model: rating.Model, Version: rating.Version}
		i, found := slices.BinarySearchFunc(doc.Rows, want, compareRows)
		if !found {
			doc.Rows = slices.Insert(doc.Rows, i, want)
		}
		doc.Rows[i] = doc.Rows[i].with(min(1, max(0, rating.Score)))
	}
	return doc
}

func compareRows(a, b qualityRow) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
}
