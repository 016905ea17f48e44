package table

import "fmt"

// Status is the stage of a version's life cycle. The order matters: if a version
// row and an allow row differ, the later status applies.
type Status int

// The statuses of a version.
const (
	// Steady versions take new sessions by weight.
	Steady Status = iota
	// RollingOut versions take the share of new sessions of their current stage.
	RollingOut
	// Retiring versions keep their sessions and take no new ones.
	Retiring
	// Withdrawn versions get no new requests at all.
	Withdrawn
)

var statusNames = [...]string{"steady", "rolling_out", "retiring", "withdrawn"}

// String returns the status as written in a table file.
func (s Status) String() string { return statusNames[s] }

// ParseStatus parses a status as written in a table file.
func ParseStatus(s string) (Status, error) {
	for i, name := range statusNames {
		if s == name {
			return Status(i), nil
		}
	}
	return 0, fmt.Errorf("status %q is unknown: write one of %v", s, statusNames)
}
