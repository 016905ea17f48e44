package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/admission"
	"ladderridge.example/core/cascade"
	"ladderridge.example/core/estimate"
	"ladderridge.example/core/fleet"
	"ladderridge.example/core/price"
)

// Decisions for services whose model servers have few slots. There a run of a larger model takes
// a large part of a server, and requests wait for slots, not for a batch.

// hasFewSlots reports whether the servers of the request's service have few slots.
func (j *job) hasFewSlots() bool {
	if j.engine.Congestion == nil || len(j.route.Cascade) == 0 {
		return false
	}
	slots := j.view.Map.Service(j.service).Slots
	return slots > 0 && slots <= j.engine.FewSlots
}

// modelRun returns the run of a model for the request, as it is weighed by price. The rank is that
// of the route: an organisation's own rank says how urgent its requests are, not what the time of
// a server is worth.
func (j *job) modelRun(promptTokens int) price.Run {
	return price.Run{Tokens: float64(promptTokens), Output: float64(j.request.ExpectedOutput), Rank: j.route.Rank}
}

// admitRequest refuses a request at once if its service is so congested that the request is
// better sent later.
func (j *job) admitRequest(now time.Time) Outcome {
	if !j.hasFewSlots() {
		return nil
	}
	left := j.request.Arrived.Add(j.route.LatencyObjective).Sub(now)
	times, size := j.engine.runTimes.get(j.referenceKeyOf(j.model())), j.runSize(j.request.uniqueTokens(), 0)
	r := admission.Request{
		Organisation: j.report.Organisation, Rank: j.route.Rank, Cost: j.modelRun(j.request.promptTokens()).Cost(),
		InTime: times.First(size, estimate.Conditions{}).Within(left), Possible: j.probabilityOfEnd(times, size, estimate.Conditions{}),
		Returned: j.returned(),
	}
	if d, ok := j.engine.Congestion.Admit(j.service, r, j.draw(), now).(admission.Refuse); ok {
		reason := Congested
		if d.Reason == admission.TooLate {
			reason = TooLate
		}
		return Refused{Reason: reason, RetryAfter: d.RetryAfter}
	}
	return nil
}

// returnedFraction is the fraction of its route's time limit below which the time left of a
// request shows that its caller has tried before.
const returnedFraction = 0.95

// returned reports whether the caller has probably tried before: it has less time left than the
// route allows. Attempts of one caller reach different daemons, which do not know of each other.
func (j *job) returned() bool {
	return j.request.Timeout > 0 && float64(j.request.Timeout) < returnedFraction*float64(j.route.Timeout)
}

// draw returns a number in [0, 1) that depends only on the request's id.
func (j *job) draw() float64 {
	const bits = 53
	return float64(xxhash.Sum64String(j.request.ID)>>(64-bits)) / (1 << bits)
}

// priceOfLargerRun returns the load for the decision on escalation at a service with few slots. A
// run that is not expected to end before the deadline is no answer in time.
func (j *job) priceOfLargerRun(a *attempt, l cascade.Load, now time.Time) cascade.Load {
	larger := j.engine.runTimes.get(j.referenceKeyOf(j.route.Cascade[j.step.Next().Index]))
	size := j.runSize(a.prompt.UniqueTokens(), a.shared)
	c := estimate.Conditions{Load: a.server.State.TotalLoad()}
	if left := j.request.Arrived.Add(j.route.LatencyObjective).Sub(now); left > 0 {
		l.InTime = min(l.InTime, larger.First(size, c).Within(left)) * j.probabilityOfEnd(larger, size, c)
	}
	l.Priced = true
	l.Price = j.engine.Congestion.Price(j.service, j.modelRun(a.prompt.UniqueTokens()), now)
	return l
}

// runSize returns the size of a run; uncached is the length of the part of the prompt that other
// requests share and that this daemon has not sent to the server, in blocks.
func (j *job) runSize(unique int, uncached float64) estimate.Size {
	return estimate.Size{Unique: float64(unique), Uncached: uncached * fleet.BlockTokens, Output: float64(j.request.ExpectedOutput)}
}

// probabilityOfEnd returns the probability that a run that starts now ends before the deadline.
func (j *job) probabilityOfEnd(m estimate.Model, s estimate.Size, c estimate.Conditions) float64 {
	if j.deadline.IsZero() {
		return 1
	}
	return m.End(s, c).Within(j.remaining())
}

// conditions returns the load and pace of the attempt's server.
func (a *attempt) conditions() estimate.Conditions {
	pace, _ := a.server.State.Pace(time.Now())
	return estimate.Conditions{Load: a.server.State.TotalLoad(), Pace: pace}
}

// observeRunStart records the time to the first part of a run at a service with few slots.
func (j *job) observeRunStart(a *attempt, took time.Duration) {
	if j.hasFewSlots() {
		size, c := j.runSize(a.prompt.UniqueTokens(), a.shared), a.conditions()
		j.engine.runTimes.update(j.referenceKey(a), func(m estimate.Model) estimate.Model { return m.WithFirst(size, c, took) })
	}
}

// observeRunEnd records the time between the first and the last event of a complete stream at a
// service with few slots. The rest of a stream that was interrupted elsewhere is not a whole run. The
// output in tokens is not known; the estimate is by the expected one.
func (j *job) observeRunEnd(a *attempt, took time.Duration) {
	if a.lastEvent < 0 && j.hasFewSlots() {
		size, c := j.runSize(a.prompt.UniqueTokens(), a.shared), a.conditions()
		j.engine.runTimes.update(j.referenceKey(a), func(m estimate.Model) estimate.Model { return m.WithEnd(size, c, took, size.Output) })
	}
}

// observeWait records how long the first part of the smallest model's answer took, as a share of
// the objective: the congestion of a service with few slots.
func (j *job) observeWait(took time.Duration, now time.Time) {
	if j.countsForLevel() {
		j.engine.Congestion.ObserveWait(j.service, j.shareOfObjective(took), now)
	}
}

// observeAbandonedWait records how long the smallest model's answer had taken when it was abandoned
// before its first part.
func (j *job) observeAbandonedWait(took time.Duration, now time.Time) {
	if j.countsForLevel() {
		j.engine.Congestion.ObserveAbandoned(j.service, j.shareOfObjective(took), now)
	}
}

// countsForLevel reports whether the wait for the current attempt's first part counts as congestion.
func (j *job) countsForLevel() bool {
	return j.step.Index == 0 && j.route.LatencyObjective > 0 && j.hasFewSlots()
}

// shareOfObjective returns a time as a share of the route's latency objective.
func (j *job) shareOfObjective(took time.Duration) float64 {
	return took.Seconds() / j.route.LatencyObjective.Seconds()
}

// observePace records the interval between the events of a complete stream, relative to the one
// elsewhere; 0 is unknown. The time to the first part does not count: it is mostly that of other
// requests at the server, and daemons that know it from each other would all leave a busy server
// at once.
func (j *job) observePace(a *attempt, ratio float64, now time.Time) {
	if ratio > 0 && j.engine.Pace != nil && j.hasFewSlots() {
		j.engine.Pace.Observe(a.server, ratio, now)
	}
}

// observeReportedPace records the pace that a server has reported.
func (j *job) observeReportedPace(a *attempt, now time.Time) {
	if a.head.Pace > 0 && j.engine.Pace != nil && j.hasFewSlots() {
		j.engine.Pace.ObserveReported(a.server, a.head.Pace, now)
	}
}

// endQuantile is the probability with which a run has to end before the deadline at the servers
// that are preferred for it.
const endQuantile = 0.8

// maxPace returns the highest pace of a server at which the run is expected to end before the
// deadline, or 0 if any will do.
func (j *job) maxPace() float64 {
	if j.deadline.IsZero() || !j.hasFewSlots() {
		return 0
	}
	end := j.engine.runTimes.get(j.referenceKeyOf(j.model())).End(j.runSize(j.prompt.UniqueTokens(), 0), estimate.Conditions{}).Quantile(endQuantile)
	if end <= 0 {
		return 0
	}
	return max(0, float64(j.remaining())) / float64(end)
}

// observeUse records the work of an attempt for its organisation.
func (j *job) observeUse(a *attempt) {
	if j.report.Organisation != "" && j.hasFewSlots() {
		j.engine.Congestion.ObserveUse(j.service, j.report.Organisation, j.blockCost*j.modelRun(a.prompt.UniqueTokens()).Work(), a.sent)
	}
}
