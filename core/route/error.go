package route

import (
	"fmt"

	"ladderridge.example/core/fault"
)

// Code is the reason of a refusal, as callers see it.
type Code string

// The codes of refusals.
const (
	ModelNotAllowed    Code = "model_not_allowed"
	VersionWithdrawn   Code = "version_withdrawn"
	SessionVersionGone Code = "session_version_gone"
	StaleConfig        Code = "stale_config"
	NoCapacity         Code = "no_capacity"
	CallNotAllowed     Code = "call_not_allowed"
	ServerLeaving      Code = "server_leaving"
	VersionGuarded     Code = "version_guarded"
)

// String is the code as callers see it.
func (c Code) String() string { return string(c) }

// Error is the error type of this package; its kind is the refusal's code.
type Error = fault.Of[Code]

func refused(op string, code Code, format string, args ...any) error {
	return &Error{Op: op, Kind: code, Err: fmt.Errorf(format, args...)}
}
