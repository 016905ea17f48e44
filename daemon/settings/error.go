package settings

import (
	"fmt"

	"ladderridge.example/core/fault"
)

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Unreadable is a file that cannot be read or is not INI.
	Unreadable Kind = "unreadable settings"
	// Invalid is a file with wrong settings; the cause lists all of them.
	Invalid Kind = "invalid settings"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// KeyError is one wrong setting.
type KeyError struct {
	File    string
	Section string
	Key     string
	// Text says what was wrong and what would be right.
	Text string
}

// Error implements the error interface.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: section [%s]: %s", e.File, e.Section, e.Text)
	}
	return fmt.Sprintf("%s: section [%s], key %s: %s", e.File, e.Section, e.Key, e.Text)
}
