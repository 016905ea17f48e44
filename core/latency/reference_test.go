package latency_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/latency"
)

// took is what a server takes: longer by what it reads and by its load.
func took(f latency.Features) time.Duration {
	return time.Duration(float64(20*time.Millisecond) * (1 + f.Own) * (1 + f.Load))
}

func TestReferenceTellsSlownessFromLoadAndWork(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var r latency.Reference
	if r.Relative(latency.Features{}, time.Second) != 0 {
		t.Error("without answers something is known")
	}
	for range 300 {
		f := latency.Features{Own: 8 * rng.Float64(), Load: float64(2 + rng.IntN(16))}
		r = r.With(f, time.Duration(float64(took(f))*math.Exp(0.3*rng.NormFloat64())))
	}
	for _, f := range []latency.Features{{Own: 0, Load: 4}, {Own: 8, Load: 4}, {Own: 0, Load: 16}, {Own: 4, Load: 8}} {
		if relative := r.Relative(f, took(f)); relative < 0.6 || relative > 1.6 {
			t.Errorf("%+v: a usual time counts as %v", f, relative)
		}
		if relative := r.Relative(f, 8*took(f)); relative < 5 || relative > 13 {
			t.Errorf("%+v: eight times the usual counts as %v", f, relative)
		}
	}
}

// A prompt that this daemon has not sent to a server has mostly been read there for
// another one: the reference learns what that is worth, so that a version on servers
// that have read little is not taken for a slow one.
func TestReferenceTellsSharedPartsFromOwn(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var r latency.Reference
	for range 300 {
		f := latency.Features{Own: 8 * rng.Float64(), Shared: 8 * float64(rng.IntN(2)), Load: 4}
		reads := f.Own + f.Shared/4
		r = r.With(f, time.Duration(float64(20*time.Millisecond)*(1+reads)))
	}
	known, unknown := r.Expected(latency.Features{Own: 2, Load: 4}), r.Expected(latency.Features{Own: 2, Shared: 8, Load: 4})
	if unknown < 1.2*known || unknown > 2.5*known {
		t.Errorf("%.3f s if its shared parts were sent there, %.3f s if not", known, unknown)
	}
}

// Features that never differ, as where servers do not tell their load, do no harm.
func TestReferenceWithoutFeatures(t *testing.T) {
	var r latency.Reference
	for range 20 {
		r = r.With(latency.Features{}, 50*time.Millisecond)
	}
	if relative := r.Relative(latency.Features{}, 100*time.Millisecond); relative < 1.9 || relative > 2.1 {
		t.Errorf("twice the usual counts as %v", relative)
	}
}

// The latest answers count: a service that has become slower is the usual.
func TestReferenceFollows(t *testing.T) {
	var r latency.Reference
	for range 200 {
		r = r.With(latency.Features{}, 50*time.Millisecond)
	}
	for range 300 {
		r = r.With(latency.Features{}, 200*time.Millisecond)
	}
	if relative := r.Relative(latency.Features{}, 200*time.Millisecond); relative > 1.1 {
		t.Errorf("the usual counts as %v", relative)
	}
}

// What servers take while they are busy does not tell what they take while they are
// not: a load far below the usual counts as one that is a little below.
func TestReferenceDoesNotTellOfLoadsItHasNotSeen(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	var r latency.Reference
	for range 200 {
		load := 14 + 4*rng.Float64()
		r = r.With(latency.Features{Load: load}, time.Duration(load*load*float64(time.Millisecond)))
	}
	if relative := r.Relative(latency.Features{Load: 1}, 20*time.Millisecond); relative > 2 {
		t.Errorf("a time that is a tenth of the usual counts as %v at a load of 1", relative)
	}
}
