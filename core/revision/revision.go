// Package revision orders the versions of a store that may return from a copy of itself: its
// versions then go back and are given out again, and its era rises.
package revision

import (
	"cmp"
	"strconv"
)

// Revision is a version of a store, or of one of its rows. The zero value is before all others,
// and that of a row which is not there. Those of a store that tells no era have era 0.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Era counts the store's returns from a copy.
	Era uint64
	// Number rises with every transaction within an era.
	Number uint64
}

// New returns the revision of a number in an era.
func New(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// Compare orders revisions: by era, and within one by number.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether the revision is later than another one.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether the revision is earlier than another one.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// Latest returns the later one of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// String writes the era and the number.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "." + strconv.FormatUint(r.Number, 10)
}
