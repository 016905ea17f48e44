package estimate

import "math"

const (
	// sizeTerms is the number of coefficients of the size: the constant, the unique tokens,
	// the uncached tokens and the square of their sum.
	sizeTerms = 4
	// loadTerm is the index of the load's exponent among the parameters.
	loadTerm   = sizeTerms
	parameters = sizeTerms + 1
)

const (
	// maxError bounds the error of one answer, as the logarithm of the ratio of its time to
	// the expected one: a factor of 4.5.
	maxError = 1.5
	// maxStep bounds the change of the logarithm of a coefficient by one answer: a factor
	// of 1.6. maxLoadStep is the bound for the exponent of the load.
	maxStep     = 0.5
	maxLoadStep = 0.2
	// maxStreak is after how many errors in a row that exceed maxError on the same side the
	// times have changed as a whole, or the first answer was absurd. The fit then takes the
	// scale of the newest answer.
	maxStreak = 4
	// minShare is the least share of each term of a run of the usual size. A term without
	// a share has no gradient and would not grow again.
	minShare = 0.001
	// noise is the variance of the logarithm of a single time.
	noise = 0.25
	// scaleVariance, shapeVariance and loadVariance are the variances of the common scale
	// of the coefficients, of each coefficient and of the load's exponent before the first
	// answer. With each answer they grow by scaleDrift, shapeDrift and loadDrift, up to
	// maxVariance: the faster they grow, the sooner earlier answers are forgotten. Some 20
	// answers correct most of a change of the scale. The shape changes seldom.
	scaleVariance = 1
	shapeVariance = 1
	loadVariance  = 0.25
	scaleDrift    = 0.004
	shapeDrift    = 0.0002
	loadDrift     = 0.0002
	maxVariance   = 4
	// initialExponent is the exponent of the load before the first answer.
	initialExponent = 0.5
	maxExponent     = 3
	// usualLoad is the load at which the factor of the load is 1. Any usual value makes the
	// scale and the exponent nearly independent.
	usualLoad = 8
	// maxLoad bounds the load of a server.
	maxLoad = 10000
	// loadForgetting is the share by which the range of loads seen shrinks towards the load
	// of each answer.
	loadForgetting = 0.005
	// loadMargin is how far above the highest load seen the time still grows, as a natural
	// logarithm: a factor of 2. There is no margin below the lowest load: times under load
	// do not predict those without load.
	loadMargin = 0.7
)

// usual are the terms of a run of usual size; initial are their shares before the first
// answer.
var (
	usual   = [sizeTerms]float64{1, 2000, 2000, 4000 * 4000}
	initial = [sizeTerms]float64{0.5, 0.25, 0.2, 0.05}
)

// fit is a model of a time as a sum of terms of the size, times a power of the load.
//
// It is a recursive least-squares fit of the logarithm of the time to the logarithms of the
// coefficients, linearised at the last values, with a random walk of the parameters for
// forgetting. Logarithms keep each coefficient positive without a constraint, weigh short and
// long times by their relative errors, and bound the effect of one answer to a factor. With a
// random walk the variances grow linearly, not exponentially, while answers of some kind are
// missing.
type fit struct {
	n            int
	coefficients [sizeTerms]float64
	exponent     float64
	covariance   [parameters][parameters]float64
	// low and high are the range of the logarithms of the loads seen.
	low, high float64
	// streak counts the last residuals that exceed maxError; it is negative if the times were
	// shorter than expected.
	streak int
}

// logLoad returns the logarithm of a load relative to the usual one. A load that is negative
// or not a number counts as the usual one.
func logLoad(load float64) float64 {
	if !(load >= 0) {
		return 0
	}
	return math.Log((1 + min(load, maxLoad)) / (1 + usualLoad))
}

// seenLoad returns a load bounded by the range of the loads seen.
func (f *fit) seenLoad(load float64) float64 { return min(max(load, f.low), f.high+loadMargin) }

// predict returns the expected time in seconds and the variance of its logarithm by the
// uncertainty of the parameters, as a multiple of the variance of a single time.
func (f *fit) predict(terms [sizeTerms]float64, load float64) (seconds, uncertainty float64) {
	size, gradient := f.gradient(terms, load)
	direction := f.times(&gradient)
	for i, g := range gradient {
		uncertainty += g * direction[i]
	}
	return size * math.Exp(f.exponent*load), max(0, uncertainty) / noise
}

// gradient returns the sum of the terms of the size, and the gradient of the logarithm of the
// expected time: the shares of the terms, and the load.
func (f *fit) gradient(terms [sizeTerms]float64, load float64) (size float64, gradient [parameters]float64) {
	for i, x := range terms {
		gradient[i] = f.coefficients[i] * x
		size += gradient[i]
	}
	for i := range terms {
		gradient[i] /= size
	}
	gradient[loadTerm] = load
	return size, gradient
}

// times returns the product of the covariance and a vector.
func (f *fit) times(vector *[parameters]float64) (product [parameters]float64) {
	for i := range f.covariance {
		for k, v := range vector {
			product[i] += f.covariance[i][k] * v
		}
	}
	return product
}

// update includes an answer that took a number of seconds at the usual pace.
func (f *fit) update(terms [sizeTerms]float64, load, seconds float64) {
	if f.n == 0 {
		f.start(terms, load, seconds)
	}
	f.n++
	f.low = min(load, f.low+loadForgetting*(load-f.low))
	f.high = max(load, f.high+loadForgetting*(load-f.high))
	f.drift()

	size, gradient := f.gradient(terms, load)
	residual := math.Log(seconds/size) - f.exponent*load
	if f.shifted(residual) {
		f.rescale(math.Exp(residual))
		residual = 0
	}
	residual = clip(residual, maxError)
	direction, variance := f.times(&gradient), noise
	for i, g := range gradient {
		variance += g * direction[i]
	}
	for i := range f.coefficients {
		f.coefficients[i] *= math.Exp(clip(direction[i]/variance*residual, maxStep))
	}
	f.exponent += clip(direction[loadTerm]/variance*residual, maxLoadStep)
	f.exponent = min(max(f.exponent, 0), maxExponent)
	f.limitShares()
	for i := range f.covariance {
		for k := range f.covariance[i] {
			f.covariance[i][k] -= direction[i] * direction[k] / variance
		}
	}
}

// start sets the parameters to their initial values, at the scale of the first answer.
func (f *fit) start(terms [sizeTerms]float64, load, seconds float64) {
	f.exponent, f.low, f.high = initialExponent, load, load
	size := 0.0
	for i := range f.coefficients {
		f.coefficients[i] = initial[i] / usual[i]
		size += f.coefficients[i] * terms[i]
		f.covariance[i][i] = shapeVariance
	}
	f.covariance[loadTerm][loadTerm] = loadVariance
	f.rescale(seconds / size / math.Exp(f.exponent*load))
}

// shifted counts the residuals in a row that exceed the bound on the same side, and reports
// whether there are enough of them.
func (f *fit) shifted(residual float64) bool {
	switch {
	case residual > maxError:
		f.streak = max(f.streak, 0) + 1
	case residual < -maxError:
		f.streak = min(f.streak, 0) - 1
	default:
		f.streak = 0
	}
	if f.streak > -maxStreak && f.streak < maxStreak {
		return false
	}
	f.streak = 0
	return true
}

// rescale multiplies all coefficients by a factor and makes their common scale uncertain.
func (f *fit) rescale(factor float64) {
	for i := range f.coefficients {
		f.coefficients[i] *= factor
	}
	f.addScale(scaleVariance)
}

// addScale adds a variance of the common scale of the coefficients.
func (f *fit) addScale(variance float64) {
	for i := range f.coefficients {
		for k := range f.coefficients {
			f.covariance[i][k] += variance
		}
	}
}

// drift increases the variances by the random walk of the parameters, within their bound.
func (f *fit) drift() {
	f.addScale(scaleDrift)
	for i := range f.coefficients {
		f.covariance[i][i] += shapeDrift
	}
	f.covariance[loadTerm][loadTerm] += loadDrift
	for i := range f.covariance {
		if f.covariance[i][i] <= maxVariance {
			continue
		}
		// Scaling the row and the column keeps the matrix positive definite.
		factor := math.Sqrt(maxVariance / f.covariance[i][i])
		for k := range f.covariance {
			f.covariance[i][k] *= factor
			f.covariance[k][i] *= factor
		}
	}
}

// limitShares keeps each term's share of a run of usual size above minShare.
func (f *fit) limitShares() {
	size := 0.0
	for i, c := range f.coefficients {
		size += c * usual[i]
	}
	for i, c := range f.coefficients {
		f.coefficients[i] = max(c, minShare*size/usual[i])
	}
}
