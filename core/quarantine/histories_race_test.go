//go:build race

package quarantine_test

// drawnHistories is how many histories TestCrashingPartIsConfinedAndItsNeighboursAreNot draws. With the race
// detector each takes six times as long, so the makefile draws the full number without it.
const drawnHistories = 100
