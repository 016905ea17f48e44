package latency

import (
	"math"
	"time"
)

// Features are what is known of a request beforehand, and of its server, that
// its time depends on.
type Features struct {
	// Own is how much of the prompt no other request shares, in any unit that is
	// kept to: the server has to read it.
	Own float64
	// Shared is how much of the rest this daemon has not sent to the server: it may
	// have to be read, or another daemon's request has had it read.
	Shared float64
	// Load is how many requests the server has; 0 is unknown.
	Load float64
}

// terms is how many figures an expected time is made of: one of its own and one
// for each feature.
const terms = 4

// loadTerm is where the load stands among the terms.
const loadTerm = 3

// vector has the features as they enter: a factor more of each makes the time a
// factor longer.
func (f Features) vector() [terms]float64 {
	return [terms]float64{1, math.Log1p(f.Own), math.Log1p(f.Shared), math.Log1p(f.Load)}
}

const (
	// referenceWeight is how much an answer's weight falls with each one that comes
	// after it: some hundred answers count.
	referenceWeight = 0.99
	// referenceKnown is how much weight of answers makes a reference known.
	referenceKnown = 8
	// ridge is how many answers it takes for a feature to be believed to matter.
	ridge = 1
	// mostBelow is how far below the usual load a load counts, as a logarithm: 2.7
	// times less.
	mostBelow = 1
	// shortest is the shortest time that counts: below it clocks and scheduling
	// matter more than the work.
	shortest = time.Millisecond
)

// Reference is what answers take by their features (least squares of the
// logarithm of times, with older answers weighing less). Others are compared with
// it. The zero value knows nothing. It is a value.
type Reference struct {
	// products are the sums of products of the features with each other, times those
	// of the features with the logarithm of the time. The first product is the weight
	// of the answers.
	products [terms][terms]float64
	times    [terms]float64
}

// With returns the reference with another answer.
func (r Reference) With(f Features, took time.Duration) Reference {
	x, y := f.vector(), logTime(took)
	for i := range terms {
		for k := range terms {
			r.products[i][k] = r.products[i][k]*referenceWeight + x[i]*x[k]
		}
		r.times[i] = r.times[i]*referenceWeight + x[i]*y
	}
	return r
}

func logTime(took time.Duration) float64 { return math.Log(max(took, shortest).Seconds()) }

// Relative is how long an answer took in terms of what the like takes, or 0 if
// that is not known yet.
func (r Reference) Relative(f Features, took time.Duration) float64 {
	if !r.known() {
		return 0
	}
	return math.Exp(logTime(took) - r.logExpected(f))
}

func (r Reference) known() bool { return r.products[0][0] >= referenceKnown }

// Expected is what the like takes, in seconds, or 0 if that is not known yet.
func (r Reference) Expected(f Features) float64 {
	if !r.known() {
		return 0
	}
	return math.Exp(r.logExpected(f))
}

func (r Reference) logExpected(f Features) float64 {
	expected, factors := 0.0, r.factors()
	for i, x := range r.within(f.vector()) {
		expected += factors[i] * x
	}
	return expected
}

// within returns the features with a load that is not far below those that the
// reference has seen: what servers take while they are busy does not tell what they
// take while they are not.
func (r Reference) within(x [terms]float64) [terms]float64 {
	x[loadTerm] = max(x[loadTerm], r.products[0][loadTerm]/r.products[0][0]-mostBelow)
	return x
}

// factors solves the normal equations by elimination. The diagonal is never zero
// thanks to the ridge.
func (r Reference) factors() [terms]float64 {
	a, b := r.products, r.times
	for i := 1; i < terms; i++ {
		a[i][i] += ridge
	}
	for i := range terms {
		for row := i + 1; row < terms; row++ {
			by := a[row][i] / a[i][i]
			for k := i; k < terms; k++ {
				a[row][k] -= by * a[i][k]
			}
			b[row] -= by * b[i]
		}
	}
	var out [terms]float64
	for i := terms - 1; i >= 0; i-- {
		sum := b[i]
		for k := i + 1; k < terms; k++ {
			sum -= a[i][k] * out[k]
		}
		out[i] = sum / a[i][i]
	}
	return out
}
