// Package estimate predicts the time to the first part and to the end of a run by its size
// and by the load and pace of its server, with a spread, from earlier runs of the same
// service and model. An unknown time counts as in time.
package estimate

import (
	"math"
	"time"
)

const (
	// minAnswers is how many answers an estimate needs.
	minAnswers = 10
	// maxTime bounds observed and predicted times. Longer observations are ignored.
	maxTime = time.Hour
	// maxTokens bounds each part of a size. Prompts of current models are shorter.
	maxTokens = 1e6
	// minTokens is the fewest output tokens that say something about the time per token:
	// one token is the first part itself.
	minTokens = 2
	// minPace and maxPace bound the pace of a server, as in the exchanged figures.
	minPace = 0.25
	maxPace = 4
	// lengthWeight is the weight of the newest answer in the mean ratio of the actual to
	// the expected output.
	lengthWeight = 0.03
	// correlation is that of the time to the first part with the time after it: a slow
	// server delays both, but the length of the output only the latter. With 0.3 the 0.9
	// quantile covers too few of the ends.
	correlation = 0.6
)

// Size is the size of a run in tokens.
type Size struct {
	// Unique is the part of the prompt that no other request shares.
	Unique float64
	// Uncached is the shared part of the prompt that the server may have to process.
	Uncached float64
	// Output is the expected number of output tokens.
	Output float64
}

func (s Size) valid() bool { return s.Unique >= 0 && s.Uncached >= 0 }

// terms returns the terms of the time to the first part.
func (s Size) terms() [sizeTerms]float64 {
	unique, uncached := min(s.Unique, maxTokens), min(s.Uncached, maxTokens)
	return [sizeTerms]float64{1, unique, uncached, (unique + uncached) * (unique + uncached)}
}

// outputTerms returns the terms of the time after the first part, which has no constant.
func outputTerms(tokens float64) [sizeTerms]float64 {
	return [sizeTerms]float64{1: min(tokens, maxTokens)}
}

// Conditions describe the server of a run.
type Conditions struct {
	// Load is how many requests the server has.
	Load float64
	// Pace is the server's time per token relative to others: 1 is usual, 0 is unknown.
	Pace float64
}

// pace returns the pace within its bounds; 1 if it is unknown or not a number.
func (c Conditions) pace() float64 {
	if !(c.Pace > 0) {
		return 1
	}
	return min(max(c.Pace, minPace), maxPace)
}

// Model predicts the times of the runs of one service and model. Its zero value is a model
// without data. It is immutable.
type Model struct {
	first       fit
	firstSpread spread
	// token is the time per output token.
	token fit
	// length is the mean logarithm of the ratio of the actual to the expected output.
	length float64
	// lengths is the number of answers in length.
	lengths int
	// endSpread is that of the time after the first part. It includes the error of the
	// expected output.
	endSpread spread
}

// WithFirst returns the model updated by the time to the first part of a run. Impossible
// values change nothing.
func (m Model) WithFirst(s Size, c Conditions, took time.Duration) Model {
	if !s.valid() || !plausible(took) {
		return m
	}
	terms, load, seconds := s.terms(), logLoad(c.Load), took.Seconds()/c.pace()
	if m.first.n > 0 {
		expected, uncertainty := m.first.predict(terms, load)
		m.firstSpread.update(math.Log(seconds/expected), uncertainty)
	}
	m.first.update(terms, load, seconds)
	return m
}

// WithEnd returns the model updated by the time between the first part and the end of a
// complete run, and the number of its output tokens. Impossible values change nothing.
func (m Model) WithEnd(s Size, c Conditions, afterFirst time.Duration, tokens float64) Model {
	if !(tokens >= minTokens) || tokens > maxTokens || !plausible(afterFirst) {
		return m
	}
	load, seconds := logLoad(c.Load), afterFirst.Seconds()/c.pace()
	if s.Output > 0 && m.token.n > 0 {
		output := min(s.Output, maxTokens)
		expected, uncertainty := m.token.predict(outputTerms(output*math.Exp(m.length)), load)
		m.endSpread.update(math.Log(seconds/expected), uncertainty)
		m.lengths++
		deviation := clip(math.Log(tokens/output)-m.length, maxError)
		m.length += max(lengthWeight, 1/float64(m.lengths+minAnswers)) * deviation
		m.length = clip(m.length, maxError)
	}
	m.token.update(outputTerms(tokens), load, seconds)
	return m
}

// First returns the time from sending a run to the first part of its answer.
func (m Model) First(s Size, c Conditions) Time { return m.firstTime(s, c) }

func (m *Model) firstTime(s Size, c Conditions) Time {
	if m.first.n < minAnswers || !s.valid() {
		return Time{}
	}
	seconds, uncertainty := m.first.predict(s.terms(), m.first.seenLoad(logLoad(c.Load)))
	return Time{Median: duration(seconds * c.pace()), Spread: m.firstSpread.sigma(uncertainty)}
}

// End returns the time from sending a run to its end. It is unknown if the time to the
// first part, the time per token or the expected output is unknown.
func (m Model) End(s Size, c Conditions) Time {
	first := m.firstTime(s, c)
	if first.Median <= 0 || m.token.n < minAnswers || !(s.Output > 0) {
		return Time{}
	}
	terms := outputTerms(s.Output * math.Exp(m.length))
	seconds, uncertainty := m.token.predict(terms, m.token.seenLoad(logLoad(c.Load)))
	after := Time{Median: duration(seconds * c.pace()), Spread: m.endSpread.sigma(uncertainty)}
	return first.plus(after)
}

// plausible reports whether a time can be that of a run.
func plausible(took time.Duration) bool { return took > 0 && took <= maxTime }

// duration converts seconds to a positive duration of at most maxTime.
func duration(seconds float64) time.Duration {
	return max(1, time.Duration(min(seconds, maxTime.Seconds())*float64(time.Second)))
}

// clip bounds a value to plus or minus a limit.
func clip(value, limit float64) float64 { return min(max(value, -limit), limit) }
