package gossip

import "math"

// Work is how much daemons have under way at each backend server: a byte for each, in
// the order of their ids, so that it can go along with every question and answer.
type Work struct {
	_ struct{} `cbor:",toarray"`
	// Sum is that of the servers' rows: the work of another list cannot be told apart.
	Sum uint64
	// Packed is the work at each server, by PackWork.
	Packed []byte
}

// workSteps is how many steps of a byte there are for a doubling: a step is 4%, and the
// work of 65,000 small requests at one server still fits.
const workSteps = 16

// PackWork returns work, with a small request as 1, as a byte.
func PackWork(work float64) byte {
	return byte(min(math.MaxUint8, math.Round(workSteps*math.Log2(1+max(0, work)))))
}

// UnpackWork returns the work that a byte stands for.
func UnpackWork(b byte) float64 { return math.Exp2(float64(b)/workSteps) - 1 }
