package table

import "fmt"

// Status is how far along its life a version is. The order matters: when a
// version row and an allow row disagree, the later one is in force.
type Status int

// The statuses of a version.
const (
	// Steady versions take sessions by weight.
	Steady Status = iota
	// RollingOut versions take the share of their current stage.
	RollingOut
	// Retiring versions keep their sessions and take no new ones.
	Retiring
	// Withdrawn versions get no new work at all.
	Withdrawn
)

var statusNames = [...]string{"steady", "rolling_out", "retiring", "withdrawn"}

// String is the status as the table file spells it.
func (s Status) String() string { return statusNames[s] }

// ParseStatus reads a status as the table file spells it.
func ParseStatus(s string) (Status, error) {
	for i, name := range statusNames {
		if s == name {
			return Status(i), nil
		}
	}
	return 0, fmt.Errorf("status %q is unknown: write one of %v", s, statusNames)
}
