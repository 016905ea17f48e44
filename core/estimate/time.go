package estimate

import (
	"math"
	"time"
)

const (
	// minSigma and maxSigma bound the standard deviation of the logarithm of a time.
	minSigma = 0.05
	maxSigma = 1.5
	// maxQuantile bounds the quantiles, as the logarithm of a time has no largest value.
	maxQuantile = 0.999
	// tail is the share of the times above the quantile that the spread is calibrated to,
	// and tailScore that quantile in standard deviations.
	tail      = 0.1
	tailScore = 1.2816
	// initialVariance is the variance before there are answers: 0.5 is a factor of 1.6 up
	// or down. It counts as many answers as an estimate needs.
	initialVariance = 0.25
	// varianceWeight is the weight of the newest answer in the variance.
	varianceWeight = 0.03
	// calibrationStep is the change of the logarithm of the calibration by one time above
	// the quantile. Steps of 0.05 correct a factor of 1.5 within some tens of answers.
	calibrationStep = 0.05
	// maxCalibration bounds the logarithm of the calibration: a factor of 2.
	maxCalibration = 0.7
)

// Time is a log-normally distributed time. Its zero value is an unknown time.
type Time struct {
	Median time.Duration
	// Spread is the standard deviation of the logarithm of the time.
	Spread float64
}

// Within returns the probability that the time is at most the time left; 1 if the time is
// unknown.
func (t Time) Within(left time.Duration) float64 {
	switch {
	case t.Median <= 0:
		return 1
	case left <= 0:
		return 0
	}
	return 0.5 * math.Erfc(-math.Log(float64(left)/float64(t.Median))/(t.sigma()*math.Sqrt2))
}

// Quantile returns the time that a share q of the times does not exceed; 0 if the time is
// unknown.
func (t Time) Quantile(q float64) time.Duration {
	if t.Median <= 0 {
		return 0
	}
	if math.IsNaN(q) {
		return t.Median
	}
	q = min(max(q, 1-maxQuantile), maxQuantile)
	score := math.Sqrt2 * math.Erfinv(2*q-1)
	return duration(t.Median.Seconds() * math.Exp(score*t.sigma()))
}

// sigma returns the spread within its bounds.
func (t Time) sigma() float64 {
	if math.IsNaN(t.Spread) {
		return maxSigma
	}
	return min(max(t.Spread, minSigma), maxSigma)
}

// plus returns the sum of two known times, which is log-normal by approximation.
func (t Time) plus(u Time) Time {
	median := t.Median + u.Median
	share := float64(t.Median) / float64(median)
	a, b := share*t.Spread, (1-share)*u.Spread
	return Time{Median: min(median, maxTime), Spread: math.Sqrt(a*a + b*b + 2*correlation*a*b)}
}

// spread estimates the standard deviation of the errors of a fit. Errors are not exactly
// log-normal: servers that are slow for a part of the time make the upper tail heavier. The
// calibration therefore corrects the deviation until a tenth of the times is above the 0.9
// quantile.
type spread struct {
	n           int
	excess      float64 // variance less initialVariance, so that the zero value is usable
	calibration float64
}

// update includes the logarithm of the ratio of the actual to the expected time, with the
// uncertainty of the expectation.
func (s *spread) update(ratio, uncertainty float64) {
	above := 0.0
	if ratio > tailScore*s.sigma(uncertainty) {
		above = 1
	}
	s.calibration = clip(s.calibration+calibrationStep*(above-tail), maxCalibration)
	s.n++
	ratio = clip(ratio, maxError)
	square := ratio * ratio / (1 + uncertainty)
	weight := max(varianceWeight, 1/float64(s.n+minAnswers))
	s.excess += weight * (square - initialVariance - s.excess)
}

// sigma returns the standard deviation for a prediction of an uncertainty.
func (s *spread) sigma(uncertainty float64) float64 {
	variance := max(0, s.excess+initialVariance) * (1 + uncertainty)
	return min(max(math.Sqrt(variance)*math.Exp(s.calibration), minSigma), maxSigma)
}
