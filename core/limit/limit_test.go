package limit_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/limit"
)

// TestBucketAdmitsTheRate sends more than the rate for ten seconds.
func TestBucketAdmitsTheRate(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var b limit.Bucket
	admitted := 0
	for range 10_000 {
		var ok bool
		var wait time.Duration
		if b, wait, ok = b.Take(now, 20, 1); ok {
			admitted++
		} else if wait <= 0 || wait > 50*time.Millisecond {
			t.Fatalf("refused with %v to wait", wait)
		}
		now = now.Add(time.Millisecond)
	}
	if admitted < 200 || admitted > 221 {
		t.Errorf("admitted %d in 10 s at 20 a second", admitted)
	}
}

// Restarts of daemons must not grant bursts: with full new buckets, ten daemons with a tenth of a
// limit each that restarted every second admitted twice the limit.
func TestRestartGrantsNoBurst(t *testing.T) {
	const rate, daemons, seconds = 20.0, 10, 10
	admitted := 0
	for range daemons {
		var b limit.Bucket
		for ms := range seconds * 1000 {
			if ms%1000 == 0 {
				b = limit.Bucket{}
			}
			var ok bool
			if b, _, ok = b.Take(time.Unix(1_800_000_000, int64(ms)*int64(time.Millisecond)), rate, 1); ok {
				admitted++
			}
		}
	}
	// Each start grants a tenth of a second of the daemon's share.
	if most := 1.1 * daemons * seconds * rate; float64(admitted) > most {
		t.Errorf("%d admitted in %d s with %v starts, the limit allows %v", admitted, seconds, daemons*seconds, daemons*seconds*rate)
	}
}

// A daemon without requests in flight at the last count of demand must get a part of the surplus:
// it refused all but one request of an organisation that used a tenth of its limit.
func TestDaemonWithoutDemandGetsPartOfSurplus(t *testing.T) {
	in := limit.ShareInput{Limit: 100, Halls: 2, Fresh: true, Hall: limit.HallDemand{Demand: 6, Daemons: 2}, Others: limit.HallDemand{Demand: 4, Daemons: 1}, FreshOthers: 1}
	for own, want := range map[float64]float64{0: 30, 6: 36} {
		in.Own = own
		if got := limit.Share(in); got < want-1e-9 {
			t.Errorf("with a demand of %v of 10 it may use %.1f of 100, want %v", own, got, want)
		}
	}
}

// TestSharesNeverExceedTheLimit draws random demands. The shares of all daemons together stay
// within the limit, both when all data halls know each other's totals and when they are
// partitioned from each other.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limitRate = 1000.0
		halls := rapid.IntRange(1, 4).Draw(t, "halls")
		demands := make([][]float64, halls)
		hall := make([]limit.HallDemand, halls)
		for h := range halls {
			for range rapid.IntRange(1, 10).Draw(t, "daemons") {
				d := rapid.Float64Range(0, 500).Draw(t, "demand")
				demands[h] = append(demands[h], d)
				hall[h].Demand += d
			}
			hall[h].Daemons = len(demands[h])
		}
		partitioned := rapid.Bool().Draw(t, "cut")
		total := 0.0
		for h := range halls {
			in := limit.ShareInput{Limit: limitRate, Halls: halls, Fresh: true, Hall: hall[h]}
			for o := range halls {
				if o != h && !partitioned {
					in.Others.Demand += hall[o].Demand
					in.Others.Daemons += hall[o].Daemons
					in.FreshOthers++
				}
			}
			for _, d := range demands[h] {
				in.Own = d
				share := limit.Share(in)
				if share < 0 || math.IsNaN(share) {
					t.Fatalf("a share of %v", share)
				}
				total += share
			}
		}
		if total > limitRate*1.0001 {
			t.Fatalf("the shares add up to %v of %v", total, limitRate)
		}
	})
}
