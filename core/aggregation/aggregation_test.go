package aggregation_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/aggregation"
)

func drawSums(t *rapid.T) aggregation.Sums {
	s := aggregation.Sums{Daemons: 1, MemberChecksum: rapid.Uint64().Draw(t, "set"), OldestGeneration: rapid.Uint64Range(1, 9).Draw(t, "oldest")}
	keys := rapid.SliceOfDistinct(rapid.Uint32Range(0, 6), func(k uint32) uint32 { return k }).Draw(t, "keys")
	slices.Sort(keys)
	for _, k := range keys {
		s.Demands = append(s.Demands, aggregation.Demand{Key: aggregation.Key(k), InFlight: rapid.Uint32Range(0, 9).Draw(t, "in flight")})
		s.Evidence = append(s.Evidence, aggregation.Evidence{Key: aggregation.Key(k), Answers: rapid.Uint64Range(0, 9).Draw(t, "answers")})
	}
	return s
}

// TestAddingIsIndependentOfTheTree adds the same sums in different orders.
func TestAddingIsIndependentOfTheTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawSums(t), drawSums(t), drawSums(t)
		left, right := a.Add(b).Add(c), c.Add(a.Add(b))
		if diff := cmp.Diff(left, right); diff != "" {
			t.Fatal(diff)
		}
		for k := range aggregation.Key(7) {
			want := a.Demand(k).InFlight + b.Demand(k).InFlight + c.Demand(k).InFlight
			if got := left.Demand(k).InFlight; got != want {
				t.Fatalf("key %d has %d in flight, want %d", k, got, want)
			}
		}
	})
}

func TestStaleChildrenAndHallsAreIgnored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tree := aggregation.NewTree()
	tree.SetChild("b", aggregation.Sums{Daemons: 3}, now)
	own := aggregation.Sums{Daemons: 1}
	if got := tree.Sum(own, []string{"b"}, now).Daemons; got != 4 {
		t.Errorf("%d daemons, want 4", got)
	}
	if got := tree.Sum(own, []string{"b"}, now.Add(aggregation.StaleAfter+time.Second)).Daemons; got != 1 {
		t.Errorf("with a silent child %d daemons, want 1", got)
	}
	other := aggregation.HallStatus{Name: "other", Round: 2, AgeMS: 1000}
	tree.SetHall(aggregation.HallTotal{Status: other, Sums: aggregation.Sums{Daemons: 5}}, now)
	tree.ComposeTotal(aggregation.HallTotal{Status: aggregation.HallStatus{Name: "own"}}, now)
	if totals, fresh := tree.Totals(now); !fresh || totals.FreshOthers != 1 || totals.Others.Daemons != 5 {
		t.Errorf("got %+v, fresh %v", totals, fresh)
	}
	other.Round, other.AgeMS = 1, 0
	tree.SetHall(aggregation.HallTotal{Status: other}, now.Add(time.Second))
	later := now.Add(aggregation.StaleAfter)
	tree.ComposeTotal(aggregation.HallTotal{Status: aggregation.HallStatus{Name: "own"}}, later)
	if totals, _ := tree.Totals(later); totals.FreshOthers != 0 {
		t.Error("an old round made a silent data hall fresh again")
	}
}
