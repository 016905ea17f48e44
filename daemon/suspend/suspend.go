// Package suspend tells how long the VM has stood still. While a VM is suspended its
// steady clock does not move, nor does anything that is measured by it: what was known a
// moment ago then looks a moment old, however much has changed.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns how long the VM has stood still in all. The difference of two readings is
// how long it did between them.
type Clock func() time.Duration

// Least is what counts as having stood still: readings of two clocks differ by less.
const Least = 50 * time.Millisecond

// Total is the Clock of the system: the clock that counts suspension, less the steady one.
// It is 0 on a system that lacks them.
func Total() time.Duration {
	var steady, all unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil {
		return 0
	}
	return time.Duration(all.Nano() - steady.Nano())
}

// Now reads a clock; without one the VM never stands still.
func (c Clock) Now() time.Duration {
	if c == nil {
		return 0
	}
	return c()
}
