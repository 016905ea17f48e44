package evidence_test

import (
	"math/rand/v2"
	"testing"

	"ladderridge.example/core/evidence"
)

// answersUntilAlarm returns after how many answers, of which a share is bad, the test raises an
// alarm, at most limit.
func answersUntilAlarm(rng *rand.Rand, share float64, limit int) int {
	test := evidence.Default
	for n := range limit {
		bad := uint64(0)
		if rng.Float64() < share {
			bad = 1
		}
		if test = test.WithCounts(1, bad); test.Alarmed() {
			return n + 1
		}
	}
	return limit
}

func TestAlarmOnBadVersionOnly(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		if n := answersUntilAlarm(rng, 0.5, 1000); n > 40 {
			t.Errorf("with half of its answers bad, the version was found after %d", n)
		}
		if n := answersUntilAlarm(rng, 0.10, 2000); n > 600 {
			t.Errorf("with a tenth of its answers bad, the version was found after %d", n)
		}
		if n := answersUntilAlarm(rng, 0.01, 50_000); n < 50_000 {
			t.Errorf("a good version was found bad after %d answers", n)
		}
	}
}
