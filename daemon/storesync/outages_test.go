//go:build !race

package storesync_test

// outagesPerBubble is how many random outages each bubble of
// TestStoreThatServesSomeIsFoundWhoeverTheyAre plays: 1,000 in all.
const outagesPerBubble = 50
