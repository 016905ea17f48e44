package bill_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/bill"
)

// TestEveryBillCountsOnce writes bills to a platform that loses answers, fails, and has some of the
// bills already.
func TestEveryBillCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pending := bill.NewPending()
		now := time.Unix(1_800_000_000, 0)
		platform := map[string]int{}
		added := 0
		write := func(lost, failed bool) {
			batch := pending.Batch(now, false)
			if len(batch) == 0 {
				return
			}
			if failed {
				pending.BatchFailed(0, now)
				return
			}
			var found []string
			for _, b := range batch {
				if platform[b.Key] > 0 {
					found = append(found, b.Key)
				}
			}
			if len(found) == 0 {
				for _, b := range batch {
					platform[b.Key]++
				}
			}
			if lost {
				pending.BatchFailed(0, now)
				return
			}
			pending.Settle(found, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				for range rapid.IntRange(1, 150).Draw(t, "n") {
					pending.Add(bill.Bill{Key: fmt.Sprint(added)}, now)
					added++
				}
			},
			"elsewhere": func(t *rapid.T) {
				if added > 0 {
					key := fmt.Sprint(rapid.IntRange(0, added-1).Draw(t, "key"))
					platform[key] = max(platform[key], 1)
				}
			},
			"write": func(t *rapid.T) { write(rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "failed")) },
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
		})
		for range 1000 {
			now = now.Add(6 * time.Second)
			write(false, false)
		}
		if pending.Len() > 0 || len(platform) != added {
			t.Fatalf("of %d bills %d are written and %d pending", added, len(platform), pending.Len())
		}
		for key, n := range platform {
			if n != 1 {
				t.Fatalf("bill %s counts %d times", key, n)
			}
		}
	})
}
