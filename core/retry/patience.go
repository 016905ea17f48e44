package retry

import "time"

// The patience with a server that does not answer. Silence alone is no proof of a
// failure: a server with long prompts before it is silent for seconds. A server whose
// machine is gone is found by the connection instead.
const (
	// patienceFactor is how many times the usual an answer may take before another
	// server is asked.
	patienceFactor = 8
	// busyPart is the part of the objective, as a divisor, above which the usual time of
	// an answer says that servers are busy: another one is no quicker, and has one more.
	busyPart = 3
	// patienceLeft is the most of the time left that is waited, as a part of it.
	patienceLeft = 0.6
	// silenceFactor is how many times the longest pause that keeps a stream in time its
	// server may be silent.
	silenceFactor = 3
)

// Expected is what is known of the time that an answer takes to its first part.
type Expected struct {
	// Now is what it may be expected to take at present, 0 if that is not known: it falls
	// while no answer comes.
	Now time.Duration
	// Lately is what answers took when they last came, 0 if that is not known.
	Lately time.Duration
}

// Patience is how long a server may take to the first part of an answer before another one
// is asked, by the route's objective and the time left; 0 is as long as there is time.
//
// Nobody is given up where another server would have no time left for what answers take: a
// request with little time would otherwise be cut at one server after the other.
func Patience(e Expected, objective, left time.Duration) time.Duration {
	if e.Now > objective/busyPart {
		return 0
	}
	wait := min(max(patienceFactor*e.Now, objective), time.Duration(patienceLeft*float64(left)))
	if least := max(e.Now, e.Lately); wait < least || left-wait < least {
		return 0
	}
	return wait
}

// Silence is how long the server of a stream may be silent between two events, by the
// longest pause that keeps it in time.
func Silence(pause time.Duration) time.Duration { return silenceFactor * pause }
