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

// models lists the models of the simulation, the cheapest first, with their price and
// the share of requests that each answers well.
var models = []struct {
	ref       table.Ref
	price     int64
	goodShare float64
}{
	{table.Ref{Model: "small", Version: "v1"}, 1, 0.70},
	{table.Ref{Model: "medium", Version: "v1"}, 5, 0.85},
	{table.Ref{Model: "large", Version: "v1"}, 20, 0.97},
}

const (
	choiceRequests = 20_000
	choiceTarget   = 0.90
	// ratedShare is the share of answers that are rated. A rating arrives ratingDelay requests later.
	ratedShare  = 0.1
	ratingDelay = 200
	// confidenceThreshold is the confidence from which an answer is kept; below it
	// the cascade repeats the request on a larger model.
	confidenceThreshold = 0.5
)

// request is a simulated request. Its difficulty decides which models answer it well,
// and its kind correlates with the difficulty.
type request struct {
	kind       string
	difficulty float64
}

// requestKinds lists the kinds of request, with their shares and ranges of difficulty.
var requestKinds = []struct {
	name                         string
	share                        float64
	minDifficulty, maxDifficulty float64
}{
	{"guidance", 0.4, 0, 0.7},
	{"summary", 0.3, 0, 0.88},
	{"roster draft", 0.3, 0.6, 1},
}

func newRequest(rng *rand.Rand) request {
	u := rng.Float64()
	for _, k := range requestKinds {
		if u < k.share {
			return request{kind: k.name, difficulty: k.minDifficulty + rng.Float64()*(k.maxDifficulty-k.minDifficulty)}
		}
		u -= k.share
	}
	return request{}
}

func (a request) good(model int) bool { return a.difficulty < models[model].goodShare }

// confidence draws the confidence that a model reports for its own answer. It is
// usually high for a good answer and low for a bad one.
func confidence(rng *rand.Rand, good bool) float64 {
	if good {
		return distuv.Beta{Alpha: 8, Beta: 2, Src: rng}.Rand()
	}
	return distuv.Beta{Alpha: 2, Beta: 6, Src: rng}.Rand()
}

// choiceView returns a view in which one organisation may use all models, with the model cascade or without.
func choiceView(cascade bool) *route.View {
	t := table.Table{Organisations: []table.Organisation{{Name: "o"}}}
	v := &route.View{Hall: "a", ConfirmedAt: epoch, Engines: map[table.Ref][]*route.Server{}}
	for _, m := range models {
		t.Versions = append(t.Versions, table.Version{Ref: m.ref, Price: m.price, Quality: 0.9})
		a := table.Allow{Organisation: "o", Ref: m.ref, Weight: 1, Target: choiceTarget}
		if cascade && m.ref.Model != "large" {
			a.Cascade = confidenceThreshold
		}
		t.Allows = append(t.Allows, a)
		v.Engines[m.ref] = []*route.Server{{ID: m.ref.Model, Hall: "a", State: &route.ServerState{}}}
	}
	v.Table = table.New(t)
	return v
}

func modelIndex(ref table.Ref) int {
	for i, m := range models {
		if m.ref == ref {
			return i
		}
	}
	return -1
}

// rater rates a part of the answers, with a delay.
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

func (r *rater) observeAnswer(n, model int, kind string, good bool) {
	if r.rng.Float64() < ratedShare {
		score := 0.1
		if good {
			score = 1
		}
		r.pending = append(r.pending, pendingRating{due: n + ratingDelay, key: route.QualityKey{Organisation: "o", Kind: kind, Ref: models[model].ref}, score: score})
	}
	for len(r.pending) > 0 && r.pending[0].due <= n {
		r.doc = r.doc.WithRating(r.pending[0].key, r.pending[0].score)
		r.pending = r.pending[1:]
	}
}

// chooser chooses models for a request. It returns the model that gave the final
// answer and the cost of all attempts.
type chooser func(n int, a request) (model int, cost int64)

func withoutRouting(pick func() int) chooser {
	return func(int, request) (int, int64) {
		m := pick()
		return m, models[m].price
	}
}

// byRouter chooses by route.Decide, with the ratings received so far.
func byRouter(rng *rand.Rand, cascade, byKind bool) chooser {
	v := choiceView(cascade)
	rate := &rater{rng: rng}
	return func(n int, a request) (int, int64) {
		v.Quality = rate.doc.Estimates()
		kind := ""
		if byKind {
			kind = a.kind
		}
		r := route.Request{Kind: kind, ID: fmt.Sprint(n), Tenant: v.Table.Tenant("o"), Model: route.Auto, Seed: uint64(n), Cascade: cascade}
		sent := route.Decide(v, r, epoch).Outcome.(route.Send)
		m := modelIndex(sent.Ref)
		cost := models[m].price
		rate.observeAnswer(n, m, kind, a.good(m))
		for sent.Cascade > 0 && confidence(rng, a.good(m)) < sent.Cascade {
			r.Above = max(sent.Quality, 1e-9)
			better, ok := route.Decide(v, r, epoch).Outcome.(route.Send)
			if !ok {
				break
			}
			sent = better
			m = modelIndex(sent.Ref)
			cost += models[m].price
			rate.observeAnswer(n, m, kind, a.good(m))
		}
		return m, cost
	}
}

// oracle knows which models answer a request well and chooses the cheapest of them.
func oracle(_ int, a request) (int, int64) {
	for m := range models {
		if a.good(m) {
			return m, models[m].price
		}
	}
	return 0, models[0].price
}

func TestPolicyChoice(t *testing.T) {
	res := newResults("choice")
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(uint64(seed), 1))
		requests := make([]request, choiceRequests)
		for i := range requests {
			requests[i] = newRequest(rng)
		}
		policies := []struct {
			name string
			f    chooser
		}{
			{"oracle of all answers", oracle},
			{"cascade, by kind", byRouter(rng, true, true)},
			{"cascade", byRouter(rng, true, false)},
			{"cheapest by rating, by kind", byRouter(rng, false, true)},
			{"cheapest by rating", byRouter(rng, false, false)},
			{"cheapest only", withoutRouting(func() int { return 0 })},
			{"best only", withoutRouting(func() int { return len(models) - 1 })},
			{"random by weight", withoutRouting(func() int { return rng.IntN(len(models)) })},
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
