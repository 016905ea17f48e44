package gossip

import "math"

// Work is the in-flight load of daemons at each backend server, as one byte per server in the
// order of their ids. It is small enough to be part of every request and response.
type Work struct {
	_ struct{} `cbor:",toarray"`
	// Sum identifies the list of servers: the hash of the rows of topic Servers. The bytes
	// cannot be assigned to the servers of another list.
	Sum uint64
	// Packed is the load at each server, encoded by PackWork.
	Packed []byte
}

// stepsPerDoubling is the number of steps per doubling of the load. A step is 4%, and the largest
// value is the load of about 65,000 small requests at one server.
const stepsPerDoubling = 16

// PackWork encodes a load as a byte, in units of one small request.
func PackWork(load float64) byte {
	return byte(min(math.MaxUint8, math.Round(stepsPerDoubling*math.Log2(1+max(0, load)))))
}

// UnpackWork returns the load that a byte encodes.
func UnpackWork(b byte) float64 { return math.Exp2(float64(b)/stepsPerDoubling) - 1 }
