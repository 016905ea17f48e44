// Package suspend measures how long the VM has been suspended. The monotonic clock stops while a
// VM is suspended, so ages measured by it are too small afterwards: outdated state looks recent.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the total time for which the VM has been suspended. The difference of two
// readings is the time for which it was suspended between them.
type Clock func() time.Duration

// MinSuspension is the shortest time that counts as a suspension. Without a suspension the two clocks
// of Total are read a shorter time apart.
const MinSuspension = 50 * time.Millisecond

// TotalSuspended is the system's Clock: CLOCK_BOOTTIME, which counts suspensions, minus
// CLOCK_MONOTONIC, which does not. It is 0 on a system without these clocks.
func TotalSuspended() time.Duration {
	var steady, all unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil {
		return 0
	}
	return time.Duration(all.Nano() - steady.Nano())
}

// Now reads the clock. A nil Clock always returns 0.
func (c Clock) Now() time.Duration {
	if c == nil {
		return 0
	}
	return c()
}
