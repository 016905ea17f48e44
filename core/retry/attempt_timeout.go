package retry

import "time"

// Parameters of the time-outs for servers that do not answer. A late answer alone does not
// prove a failure: a server with long prompts in its queue may send nothing for seconds. A
// server whose VM is gone is detected by its connection instead.
const (
	// timeoutFactor is the attempt time-out as a multiple of the expected latency.
	timeoutFactor = 8
	// overloadDivisor divides the objective: with an expected latency above
	// objective/overloadDivisor the servers are overloaded, and a retry is no faster and adds
	// load.
	overloadDivisor = 3
	// maxTimeLeftFraction is the largest fraction of the time left that one attempt may use.
	maxTimeLeftFraction = 0.6
	// idleFactor is the idle time-out of a stream as a multiple of its route's pause
	// objective.
	idleFactor = 3
)

// ExpectedLatency is the estimated time to the first part of an answer.
type ExpectedLatency struct {
	// Now is the current estimate, 0 if it is unknown. It decays while no answers arrive.
	Now time.Duration
	// Recent is the latency of the last answers, 0 if it is unknown. It does not decay.
	Recent time.Duration
}

// AttemptTimeout returns how long to wait for the first part of an answer before another server is
// tried, given the latency objective of the route and the time left until the deadline. 0
// means no time-out before the deadline.
//
// It returns 0 where the time left does not suffice for another server: a request with little
// time would otherwise be cancelled at one server after the other.
func AttemptTimeout(e ExpectedLatency, objective, left time.Duration) time.Duration {
	if e.Now > objective/overloadDivisor {
		return 0
	}
	timeout := min(max(timeoutFactor*e.Now, objective), time.Duration(maxTimeLeftFraction*float64(left)))
	if needed := max(e.Now, e.Recent); timeout < needed || left-timeout < needed {
		return 0
	}
	return timeout
}

// StreamIdleTimeout returns how long the server of a stream may send nothing between two events,
// given the longest pause that the route's objective allows.
func StreamIdleTimeout(pause time.Duration) time.Duration { return idleFactor * pause }
