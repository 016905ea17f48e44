//go:build !race

package storesync_test

// drawsEach is how many draws of who is served each bubble makes: 1,000 in all.
const drawsEach = 50
