package revision_test

import (
	"testing"

	"ladderridge.example/core/revision"
)

// A store that was restored from a copy assigns lower numbers again. Their revisions must still be
// later than those from before the restore.
func TestHigherEraIsLaterWhateverTheNumber(t *testing.T) {
	inOrder := []revision.Revision{{}, revision.New(0, 5), revision.New(1, 0), revision.New(1, 40), revision.New(2, 37), revision.New(2, 38), revision.New(9, 1)}
	for i, a := range inOrder {
		for j, b := range inOrder {
			if a.After(b) != (i > j) || a.Before(b) != (i < j) || (a.Compare(b) == 0) != (i == j) {
				t.Errorf("%v and %v are not in order", a, b)
			}
			if got := revision.Latest(a, b); got != inOrder[max(i, j)] {
				t.Errorf("of %v and %v the latest is %v", a, b, got)
			}
		}
	}
}
