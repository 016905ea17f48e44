package latency_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ladderridge.example/core/latency"
)

// actual returns a server's latency: it grows with the length of the prompt and with
// the load.
func actual(f latency.Features) time.Duration {
	return time.Duration(float64(20*time.Millisecond) * (1 + f.Unique) * (1 + f.Load))
}

func TestReferenceSeparatesSlownessFromLoadAndPromptLength(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var r latency.Reference
	if r.Relative(latency.Features{}, time.Second) != 0 {
		t.Error("a reference without answers returns a relative latency")
	}
	for range 300 {
		f := latency.Features{Unique: 8 * rng.Float64(), Load: float64(2 + rng.IntN(16))}
		r = r.With(f, time.Duration(float64(actual(f))*math.Exp(0.3*rng.NormFloat64())))
	}
	for _, f := range []latency.Features{{Unique: 0, Load: 4}, {Unique: 8, Load: 4}, {Unique: 0, Load: 16}, {Unique: 4, Load: 8}} {
		if relative := r.Relative(f, actual(f)); relative < 0.6 || relative > 1.6 {
			t.Errorf("%+v: the typical latency has a relative latency of %v", f, relative)
		}
		if relative := r.Relative(f, 8*actual(f)); relative < 5 || relative > 13 {
			t.Errorf("%+v: eight times the typical latency has a relative latency of %v", f, relative)
		}
	}
}

// A prompt that this daemon has not sent to a server is mostly cached there through
// other daemons. The reference learns how much that saves, so that a version on servers
// with few cached prompts is not mistaken for a slow one.
func TestReferenceSeparatesSharedFromUniqueParts(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	var r latency.Reference
	for range 300 {
		f := latency.Features{Unique: 8 * rng.Float64(), Uncached: 8 * float64(rng.IntN(2)), Load: 4}
		reads := f.Unique + f.Uncached/4
		r = r.With(f, time.Duration(float64(20*time.Millisecond)*(1+reads)))
	}
	known, unknown := r.Expected(latency.Features{Unique: 2, Load: 4}), r.Expected(latency.Features{Unique: 2, Uncached: 8, Load: 4})
	if unknown < 1.2*known || unknown > 2.5*known {
		t.Errorf("%.3f s with cached shared parts, %.3f s without", known, unknown)
	}
}

// Features that never differ, such as the load of servers that do not report it, do no
// harm.
func TestReferenceWithoutFeatures(t *testing.T) {
	var r latency.Reference
	for range 20 {
		r = r.With(latency.Features{}, 50*time.Millisecond)
	}
	if relative := r.Relative(latency.Features{}, 100*time.Millisecond); relative < 1.9 || relative > 2.1 {
		t.Errorf("twice the typical latency has a relative latency of %v", relative)
	}
}

// The latest answers count: when a service has become slower, that is its typical
// latency.
func TestReferenceFollowsLatestAnswers(t *testing.T) {
	var r latency.Reference
	for range 200 {
		r = r.With(latency.Features{}, 50*time.Millisecond)
	}
	for range 300 {
		r = r.With(latency.Features{}, 200*time.Millisecond)
	}
	if relative := r.Relative(latency.Features{}, 200*time.Millisecond); relative > 1.1 {
		t.Errorf("the typical latency has a relative latency of %v", relative)
	}
}

// Latencies under load do not predict those without load: a load far below the mean
// counts as one that is slightly below.
func TestReferenceDoesNotExtrapolateToLowLoads(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	var r latency.Reference
	for range 200 {
		load := 14 + 4*rng.Float64()
		r = r.With(latency.Features{Load: load}, time.Duration(load*load*float64(time.Millisecond)))
	}
	if relative := r.Relative(latency.Features{Load: 1}, 20*time.Millisecond); relative > 2 {
		t.Errorf("a tenth of the typical latency has a relative latency of %v at a load of 1", relative)
	}
}
