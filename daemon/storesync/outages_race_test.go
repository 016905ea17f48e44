//go:build race

package storesync_test

// outagesPerBubble is how many random outages each bubble of
// TestStoreThatServesSomeIsFoundWhoeverTheyAre plays. With the race detector each takes six
// times as long, so the makefile runs the full number without it.
const outagesPerBubble = 3
