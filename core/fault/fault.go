// Package fault provides the common structure of the errors of ladderridge's packages: the
// operation that failed, the kind of the error, which is an enumeration of the package, and the
// cause.
package fault

import (
	"errors"
	"fmt"
)

// Of is an error whose kind is the enumeration K of one package. Each package
// declares its own error type as an alias, `type Error = fault.Of[Kind]`.
type Of[K fmt.Stringer] struct {
	// Op is the operation that failed, such as "parse table".
	Op string
	// Kind is the kind of the error, which callers switch on.
	Kind K
	// Err is the cause, or nil.
	Err error
}

// Error implements the error interface.
func (e *Of[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + e.Kind.String()
	}
	return e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Of[K]) Unwrap() error { return e.Err }

// Is reports whether err wraps an Of[K] of the given kind.
func Is[K interface {
	fmt.Stringer
	comparable
}](err error, kind K) bool {
	var e *Of[K]
	return errors.As(err, &e) && e.Kind == kind
}
