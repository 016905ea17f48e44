package retry

import "time"

// Limits of the retry-after time of a request that was refused because all slots of the
// servers were in use.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// SuggestedDelay returns the retry-after time of a request that was refused because all slots of
// the servers were in use, from the typical duration of a request. The first slot becomes free
// after that duration divided by the number of slots, but other callers compete for it.
func SuggestedDelay(typical time.Duration) time.Duration {
	return max(minRetryAfter, min(maxRetryAfter, typical))
}
