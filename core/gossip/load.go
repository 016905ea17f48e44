package gossip

import "math"

// Load is the in-flight load of daemons at each backend server, as one byte per server in the
// order of their ids. It is small enough to be part of every request and response.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Sum identifies the list of servers: the hash of the rows of topic Servers. The bytes
	// cannot be assigned to the servers of another list.
	Sum uint64
	// Packed is the load at each server, encoded by PackLoad.
	Packed []byte
}

// stepsPerDoubling is the number of steps per doubling of the load. A step is 4%, and the largest
// value is the load of about 65,000 small requests at one server.
const stepsPerDoubling = 16

// PackLoad encodes a load as a byte, in units of one small request.
func PackLoad(load float64) byte {
	return byte(min(math.MaxUint8, math.Round(stepsPerDoubling*math.Log2(1+max(0, load)))))
}

// UnpackLoad returns the load that a byte encodes.
func UnpackLoad(b byte) float64 { return math.Exp2(float64(b)/stepsPerDoubling) - 1 }
