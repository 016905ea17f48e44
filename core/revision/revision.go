// Package revision orders the versions of a store that may be restored from a copy. After a
// restore the store assigns version numbers again that it assigned before, and its era (how often
// the store was restored from a copy) increases.
package revision

import (
	"cmp"
	"strconv"
)

// Revision is a version of a store, or of one of its rows. The zero value is before all others
// and stands for a row that does not exist. The era is 0 for a store that does not report one.
type Revision struct {
	_ struct{} `cbor:",toarray"`
	// Era is how often the store was restored from a copy.
	Era uint64
	// Number increases with every transaction within an era.
	Number uint64
}

// New returns the revision with a number in an era.
func New(era, number uint64) Revision { return Revision{Era: era, Number: number} }

// Compare orders revisions by era, and within an era by number.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether the revision is later than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether the revision is earlier than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// Latest returns the later of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// String returns the revision as ERA.NUMBER.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "." + strconv.FormatUint(r.Number, 10)
}
