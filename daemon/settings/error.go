package settings

import (
	"fmt"

	"ladderridge.example/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// Unreadable means that the file cannot be read or is not valid INI.
	Unreadable Kind = "unreadable settings"
	// Invalid means that the file has invalid settings; the wrapped error lists all of them.
	Invalid Kind = "invalid settings"
)

// String implements fmt.Stringer.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// KeyError describes one invalid setting.
type KeyError struct {
	File    string
	Section string
	Key     string
	// Text says what is wrong and how to correct it.
	Text string
}

// Error implements the error interface.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: section [%s]: %s", e.File, e.Section, e.Text)
	}
	return fmt.Sprintf("%s: section [%s], key %s: %s", e.File, e.Section, e.Key, e.Text)
}
