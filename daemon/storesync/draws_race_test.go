//go:build race

package storesync_test

// drawsEach is how many draws of who is served each bubble makes; with the race detector
// each takes six times as long, so that the make file plays all of them without it.
const drawsEach = 3
