//go:build policy

package policy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"

	"ladderridge.example/core/quality"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

// ladder are the models of the measurement, the cheapest first: price, and the
// share of requests that each answers well.
var ladder = []struct {
	ref   table.Ref
	price int64
	good  float64
}{
	{table.Ref{Model: "small", Version: "v1"}, 1, 0.70},
	{table.Ref{Model: "medium", Version: "v1"}, 5, 0.85},
	{table.Ref{Model: "large", Version: "v1"}, 20, 0.97},
}

const (
	choiceRequests = 20_000
	choiceTarget   = 0.90
	// ratedShare of the answers are rated, ratingLag requests later.
	ratedShare = 0.1
	ratingLag  = 200
	// signalFloor is the signal of its own quality from which an answer is kept.
	signalFloor = 0.5
)

// asked is one request: how hard it is, and so which models answer it well. Its
// kind says something of that.
type asked struct {
	kind string
	hard float64
}

// kinds are the kinds of request: their shares, and how hard they are.
var kinds = []struct {
	name      string
	share     float64
	low, high float64
}{
	{"guidance", 0.4, 0, 0.7},
	{"summary", 0.3, 0, 0.88},
	{"roster draft", 0.3, 0.6, 1},
}

func ask(rng *rand.Rand) asked {
	u := rng.Float64()
	for _, k := range kinds {
		if u < k.share {
			return asked{kind: k.name, hard: k.low + rng.Float64()*(k.high-k.low)}
		}
		u -= k.share
	}
	return asked{}
}

func (a asked) good(model int) bool { return a.hard < ladder[model].good }

// signal is what an engine says of its own answer: right most of the time.
func signal(rng *rand.Rand, good bool) float64 {
	if good {
		return distuv.Beta{Alpha: 8, Beta: 2, Src: rng}.Rand()
	}
	return distuv.Beta{Alpha: 2, Beta: 6, Src: rng}.Rand()
}

// choiceView allows one organisation all models, with cascades or without.
func choiceView(cascade bool) *route.View {
	t := table.Table{Organisations: []table.Organisation{{Name: "o"}}}
	v := &route.View{Hall: "a", ConfirmedAt: epoch, Engines: map[table.Ref][]*route.Server{}}
	for _, m := range ladder {
		t.Versions = append(t.Versions, table.Version{Ref: m.ref, Price: m.price, Quality: 0.9})
		a := table.Allow{Organisation: "o", Ref: m.ref, Weight: 1, Target: choiceTarget}
		if cascade && m.ref.Model != "large" {
			a.Cascade = signalFloor
		}
		t.Allows = append(t.Allows, a)
		v.Engines[m.ref] = []*route.Server{{ID: m.ref.Model, Hall: "a", State: &route.ServerState{}}}
	}
	v.Table = table.New(t)
	return v
}

func ladderIndex(ref table.Ref) int {
	for i, m := range ladder {
		if m.ref == ref {
			return i
		}
	}
	return -1
}

// rater gives ratings late and for some answers only.
type rater struct {
	rng     *rand.Rand
	doc     quality.Document
	pending []pendingRating
}

type pendingRating struct {
	due   int
	key   route.QualityKey
	score float64
}

func (r *rater) answered(n, model int, kind string, good bool) {
	if r.rng.Float64() < ratedShare {
		score := 0.1
		if good {
			score = 1
		}
		r.pending = append(r.pending, pendingRating{due: n + ratingLag, key: route.QualityKey{Organisation: "o", Kind: kind, Ref: ladder[model].ref}, score: score})
	}
	for len(r.pending) > 0 && r.pending[0].due <= n {
		r.doc = r.doc.WithRating(r.pending[0].key, r.pending[0].score)
		r.pending = r.pending[1:]
	}
}

// chooser answers a request and says with which model, and what it cost.
type chooser func(n int, a asked) (model int, cost int64)

func single(pick func() int) chooser {
	return func(int, asked) (int, int64) {
		m := pick()
		return m, ladder[m].price
	}
}

// decided lets the real decision choose, with the ratings so far.
func decided(rng *rand.Rand, cascade, byKind bool) chooser {
	v := choiceView(cascade)
	rate := &rater{rng: rng}
	return func(n int, a asked) (int, int64) {
		v.Quality = rate.doc.Estimates()
		kind := ""
		if byKind {
			kind = a.kind
		}
		r := route.Request{Kind: kind, ID: fmt.Sprint(n), Tenant: v.Table.Tenant("o"), Model: route.Auto, Seed: uint64(n), Cascade: cascade}
		sent := route.Decide(v, r, epoch).Outcome.(route.Send)
		m := ladderIndex(sent.Ref)
		cost := ladder[m].price
		rate.answered(n, m, kind, a.good(m))
		for sent.Cascade > 0 && signal(rng, a.good(m)) < sent.Cascade {
			r.Above = max(sent.Quality, 1e-9)
			better, ok := route.Decide(v, r, epoch).Outcome.(route.Send)
			if !ok {
				break
			}
			sent = better
			m = ladderIndex(sent.Ref)
			cost += ladder[m].price
			rate.answered(n, m, kind, a.good(m))
		}
		return m, cost
	}
}

// oracle knows which models answer a request well, and takes the cheapest.
func oracle(_ int, a asked) (int, int64) {
	for m := range ladder {
		if a.good(m) {
			return m, ladder[m].price
		}
	}
	return 0, ladder[0].price
}

func TestPolicyChoice(t *testing.T) {
	res := newResults("choice")
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		requests := make([]asked, choiceRequests)
		for i := range requests {
			requests[i] = ask(rng)
		}
		policies := []struct {
			name string
			f    chooser
		}{
			{"oracle of all answers", oracle},
			{"cascade, by kind", decided(rng, true, true)},
			{"cascade", decided(rng, true, false)},
			{"cheapest by rating, by kind", decided(rng, false, true)},
			{"cheapest by rating", decided(rng, false, false)},
			{"cheapest only", single(func() int { return 0 })},
			{"best only", single(func() int { return len(ladder) - 1 })},
			{"random by weight", single(func() int { return rng.IntN(len(ladder)) })},
		}
		base := 0.0
		for _, p := range policies {
			good, cost := 0, int64(0)
			for n, a := range requests {
				m, c := p.f(n, a)
				cost += c
				if a.good(m) {
					good++
				}
			}
			perRequest := float64(cost) / choiceRequests
			if p.name == policies[0].name {
				base = perRequest
			}
			res.add(p.name, "cost", seed, perRequest)
			res.add(p.name, "quality", seed, float64(good)/choiceRequests)
			res.add(p.name, "cost over oracle", seed, perRequest/base)
		}
	}
	res.report(t, map[string]string{"cost": "units/request", "quality": "of answers good", "cost over oracle": "times"})
}
