//go:build !race

package quarantine_test

// drawnHistories is how many histories TestCrashingPartIsConfinedAndItsNeighboursAreNot draws.
const drawnHistories = 1000
