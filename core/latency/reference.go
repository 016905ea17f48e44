package latency

import (
	"math"
	"time"
)

// Features are the properties of a request and its server that are known beforehand and
// affect the latency.
type Features struct {
	// Unique is the length of the prompt's part that no other request shares, in any
	// unit that is used consistently: the server has to process it.
	Unique float64
	// Uncached is the length of the shared part that this daemon has not sent to the
	// server. The server may have to process it, or have it cached from another
	// daemon's request.
	Uncached float64
	// Load is how many requests the server has; 0 is unknown.
	Load float64
}

// terms is the number of coefficients of the model: the intercept and one for each
// feature.
const terms = 4

// loadTerm is the index of the load among the terms.
const loadTerm = 3

// vector returns the terms of the log-linear model: an increase of a feature by a
// factor increases the latency by a factor.
func (f Features) vector() [terms]float64 {
	return [terms]float64{1, math.Log1p(f.Unique), math.Log1p(f.Uncached), math.Log1p(f.Load)}
}

const (
	// decay is the factor by which an answer's weight falls with each later one: about
	// a hundred answers count.
	decay = 0.99
	// minWeight is the total weight of answers that a reference needs.
	minWeight = 8
	// ridge is the regularisation of the features' coefficients, in answers.
	ridge = 1
	// maxBelowMean bounds how far below the mean load a load counts, as a natural
	// logarithm: a factor of 2.7.
	maxBelowMean = 1
	// minLatency is the shortest latency that counts: below it clocks and scheduling
	// matter more than the request.
	minLatency = time.Millisecond
)

// Reference predicts the latency of answers from their features, by least squares of
// the logarithm of the latency with exponentially decaying weights. Others are compared
// with it. Its zero value is a reference without answers. It is immutable.
type Reference struct {
	// products are the weighted sums of the products of the terms with each other,
	// times those of the terms with the logarithm of the latency. The first product is
	// the total weight of the answers.
	products [terms][terms]float64
	times    [terms]float64
}

// With returns the reference updated by another answer.
func (r Reference) With(f Features, took time.Duration) Reference {
	x, y := f.vector(), logLatency(took)
	for i := range terms {
		for k := range terms {
			r.products[i][k] = r.products[i][k]*decay + x[i]*x[k]
		}
		r.times[i] = r.times[i]*decay + x[i]*y
	}
	return r
}

func logLatency(took time.Duration) float64 { return math.Log(max(took, minLatency).Seconds()) }

// Relative returns the ratio of an answer's latency to the prediction, or 0 if the
// prediction is not known yet.
func (r Reference) Relative(f Features, took time.Duration) float64 {
	if !r.Known() {
		return 0
	}
	return math.Exp(logLatency(took) - r.logExpected(f))
}

// Known reports whether enough answers have been seen for predictions.
func (r Reference) Known() bool { return r.products[0][0] >= minWeight }

// Expected returns the predicted latency in seconds, or 0 if it is not known yet.
func (r Reference) Expected(f Features) float64 {
	if !r.Known() {
		return 0
	}
	return math.Exp(r.logExpected(f))
}

func (r Reference) logExpected(f Features) float64 {
	expected, coefficients := 0.0, r.coefficients()
	for i, x := range r.clamped(f.vector()) {
		expected += coefficients[i] * x
	}
	return expected
}

// clamped returns the terms with a load that is not far below the loads that the
// reference has seen: latencies under load do not predict those without load.
func (r Reference) clamped(x [terms]float64) [terms]float64 {
	x[loadTerm] = max(x[loadTerm], r.products[0][loadTerm]/r.products[0][0]-maxBelowMean)
	return x
}

// coefficients solves the normal equations by elimination. The ridge keeps the diagonal
// from being zero.
func (r Reference) coefficients() [terms]float64 {
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
