package control

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ladderridge.example/core/aggregation"
	"ladderridge.example/core/evidence"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

// guardPeriod is how long a rejected version gets no new sessions. After that it
// is tried again, and at most half of the rejection threshold is kept as evidence
// against it.
const guardPeriod = time.Minute

// versionState is the evidence on one version. A version with a reason is
// rejected, at least up to the time until.
type versionState struct {
	answers uint64
	bad     uint64
	local   evidence.Test
	pooled  evidence.Test
	// pooledCounts are the counts of all daemons that pooled already includes.
	pooledCounts aggregation.Evidence
	until        time.Time
	reason       string
}

// guard rejects versions with too many bad answers. It is owned by the control
// goroutine.
type guard struct {
	versions map[table.Ref]*versionState
	// badFor are the versions that the ratings of single organisations reject.
	badFor map[route.QualityKey]bool
}

func newGuard() *guard {
	return &guard{versions: map[table.Ref]*versionState{}, badFor: map[route.QualityKey]bool{}}
}

// alarmReason returns why the counts of all daemons or the ratings reject a
// version, or "".
func (g *guard) alarmReason(ref table.Ref) string {
	if w := g.versions[ref]; w != nil && w.pooled.Alarmed() {
		return "all daemons together find it bad"
	}
	organisations := 0
	for key := range g.badFor {
		if key.Ref == ref {
			organisations++
		}
	}
	if organisations > 0 {
		return fmt.Sprintf("the ratings of %d organisations find it bad", organisations)
	}
	return ""
}

// stateOf returns the evidence on a version. It creates the entry if there is none,
// so that the guard follows the counts of all daemons for the version even if this
// daemon never gets an answer from it.
func (g *guard) stateOf(ref table.Ref) *versionState {
	w := g.versions[ref]
	if w == nil {
		w = &versionState{local: evidence.Default, pooled: evidence.Pooled}
		g.versions[ref] = w
	}
	return w
}

// recordAnswer counts an answer to this daemon, and reports whether the version is
// rejected because of it.
func (g *guard) recordAnswer(ref table.Ref, bad bool, now time.Time) bool {
	w := g.stateOf(ref)
	w.answers++
	n := uint64(0)
	if bad {
		w.bad++
		n = 1
	}
	w.local = w.local.WithCounts(1, n)
	return w.evaluate(now)
}

// addPooled adds the new counts of all daemons to the pooled tests, and reports
// whether a version was rejected or is no longer rejected.
func (g *guard) addPooled(counts func(aggregation.Key) aggregation.Evidence, now time.Time) bool {
	changed := false
	for ref, w := range g.versions {
		total := counts(aggregation.KeyOfRef(ref))
		if total.Answers > w.pooledCounts.Answers && total.Bad >= w.pooledCounts.Bad {
			w.pooled = w.pooled.WithCounts(total.Answers-w.pooledCounts.Answers, total.Bad-w.pooledCounts.Bad)
		}
		w.pooledCounts = total
		if w.evaluate(now) || w.expire(now) {
			changed = true
		}
	}
	return changed
}

// evaluate rejects the version when a test raises an alarm, and reports whether it
// did.
func (w *versionState) evaluate(now time.Time) bool {
	if w.reason != "" {
		return false
	}
	switch {
	case w.pooled.Alarmed():
		w.reason = "all daemons together find it bad"
	case w.local.Alarmed():
		w.reason = "this daemon finds it bad"
	default:
		return false
	}
	w.until = now.Add(guardPeriod)
	return true
}

// expire ends the rejection of a version after guardPeriod, and reports whether it
// did.
func (w *versionState) expire(now time.Time) bool {
	if w.reason == "" || now.Before(w.until) {
		return false
	}
	w.reason = ""
	w.local.Sum = min(w.local.Sum, w.local.Threshold/2)
	w.pooled.Sum = min(w.pooled.Sum, w.pooled.Threshold/2)
	return true
}

// guarded returns the versions that get no new sessions, with the reason.
func (g *guard) guarded() map[table.Ref]string {
	out := map[table.Ref]string{}
	for ref, w := range g.versions {
		if w.reason != "" {
			out[ref] = w.reason
		}
	}
	return out
}

// ownCounts returns the counts of this daemon, for the aggregation tree.
func (g *guard) ownCounts() []aggregation.Evidence {
	out := make([]aggregation.Evidence, 0, len(g.versions))
	for ref, w := range g.versions {
		out = append(out, aggregation.Evidence{Key: aggregation.KeyOfRef(ref), Answers: w.answers, Bad: w.bad})
	}
	slices.SortFunc(out, func(a, b aggregation.Evidence) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
