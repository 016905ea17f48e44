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

// guardFor is how long a guarded version gets no new sessions before it is
// tried again, with half of the evidence against it kept.
const guardFor = time.Minute

// watched is the evidence on one version.
type watched struct {
	answers uint64
	bad     uint64
	local   evidence.Test
	pooled  evidence.Test
	// seen are the pooled counts that the pooled test has taken in.
	seen  aggregation.Evidence
	until time.Time
	why   string
}

// guard watches how versions answer. It is owned by the control goroutine.
type guard struct {
	versions map[table.Ref]*watched
	// badFor are the versions that single organisations' ratings find bad.
	badFor map[route.QualityKey]bool
}

func newGuard() *guard {
	return &guard{versions: map[table.Ref]*watched{}, badFor: map[route.QualityKey]bool{}}
}

// alarm is why all daemons together find a version bad, or "".
func (g *guard) alarm(ref table.Ref) string {
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

// of returns the evidence on a version; asked for one, the guard watches it by
// the counts of all daemons, also if this one never sees an answer of it.
func (g *guard) of(ref table.Ref) *watched {
	w := g.versions[ref]
	if w == nil {
		w = &watched{local: evidence.Default, pooled: evidence.Pooled}
		g.versions[ref] = w
	}
	return w
}

// answered counts an answer that this daemon saw, and reports whether the
// version is guarded from now on.
func (g *guard) answered(ref table.Ref, bad bool, now time.Time) bool {
	w := g.of(ref)
	w.answers++
	n := uint64(0)
	if bad {
		w.bad++
		n = 1
	}
	w.local = w.local.WithCounts(1, n)
	return w.judge(now)
}

// pool takes in what all daemons saw, and reports whether anything changed.
func (g *guard) pool(counts func(aggregation.Key) aggregation.Evidence, now time.Time) bool {
	changed := false
	for ref, w := range g.versions {
		total := counts(aggregation.KeyOfRef(ref))
		if total.Answers > w.seen.Answers && total.Bad >= w.seen.Bad {
			w.pooled = w.pooled.WithCounts(total.Answers-w.seen.Answers, total.Bad-w.seen.Bad)
		}
		w.seen = total
		if w.judge(now) || w.expire(now) {
			changed = true
		}
	}
	return changed
}

// judge guards a version when a test alarms.
func (w *watched) judge(now time.Time) bool {
	if w.why != "" {
		return false
	}
	switch {
	case w.pooled.Alarmed():
		w.why = "all daemons together find it bad"
	case w.local.Alarmed():
		w.why = "this daemon finds it bad"
	default:
		return false
	}
	w.until = now.Add(guardFor)
	return true
}

// expire lets a guarded version be tried again.
func (w *watched) expire(now time.Time) bool {
	if w.why == "" || now.Before(w.until) {
		return false
	}
	w.why = ""
	w.local.Sum = min(w.local.Sum, w.local.Threshold/2)
	w.pooled.Sum = min(w.pooled.Sum, w.pooled.Threshold/2)
	return true
}

// guarded returns the versions that get no new sessions, and why.
func (g *guard) guarded() map[table.Ref]string {
	out := map[table.Ref]string{}
	for ref, w := range g.versions {
		if w.why != "" {
			out[ref] = w.why
		}
	}
	return out
}

// own are this daemon's counts, for the tally.
func (g *guard) own() []aggregation.Evidence {
	out := make([]aggregation.Evidence, 0, len(g.versions))
	for ref, w := range g.versions {
		out = append(out, aggregation.Evidence{Key: aggregation.KeyOfRef(ref), Answers: w.answers, Bad: w.bad})
	}
	slices.SortFunc(out, func(a, b aggregation.Evidence) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
