package pace

import (
	"encoding/binary"
	"math"

	"ladderridge.example/core/gossip"
)

// Messages start with the checksum of the list of servers. A report has the steady part
// and the recent part of the figures, each as a bit for each server and the figures of
// the servers whose bits are set. A total has a byte for each server.
//
// With 79 daemons, a daemon has observed about half of the servers within the time
// constant of the steady part. A daemon's figures are therefore packed in a byte each: a
// report on 140 servers has at most 324 bytes. A hall's figures have two bytes.

// sumBytes is the size of the checksum.
const sumBytes = 8

// Steps of the encodings, for a doubling.
const (
	meanSteps     = 5.0
	hallMeanSteps = 42.0
	paceSteps     = 63.0
)

// countBits are the bits of a daemon's figure that hold the number of observations, as a
// power of two times minCount. The upper bits hold the mean.
const countBits = 3

// encoding is the encoding of a figure in a report.
type encoding struct {
	bytes  int
	pack   func(out []byte, f figure) []byte
	unpack func(data []byte) figure
}

var daemonEncoding = encoding{
	bytes: 1,
	pack: func(out []byte, f figure) []byte {
		count := math.Round(math.Log2(f.count / minCount))
		return append(out, packLog(f.mean(), meanSteps, maxLog)<<countBits|byte(max(0, min(1<<countBits-1, count))))
	},
	unpack: func(data []byte) figure {
		count := minCount * float64(int(1)<<(data[0]&(1<<countBits-1)))
		return figure{count * unpackLog(data[0]>>countBits, meanSteps, maxLog), count}
	},
}

// maxCount bounds the observations of one server that are accepted from a hall: about
// those of the whole list of servers within the time constant of the steady part.
const maxCount = 5000

var hallEncoding = encoding{
	bytes: 2,
	pack: func(out []byte, f figure) []byte {
		return append(out, packLog(f.mean(), hallMeanSteps, maxLog), gossip.PackLoad(f.count))
	},
	unpack: func(data []byte) figure {
		count := min(maxCount, gossip.UnpackLoad(data[1]))
		return figure{count * unpackLog(data[0], hallMeanSteps, maxLog), count}
	},
}

// packLog encodes a logarithm between -limit and limit; 0 is never used.
func packLog(log, steps, limit float64) byte {
	return byte(1 + math.Round(steps*(limit+max(-limit, min(limit, log)))))
}

// unpackLog decodes a logarithm; a byte that packLog never returns counts as 0.
func unpackLog(b byte, steps, limit float64) float64 {
	if b == 0 {
		return 0
	}
	return max(-limit, min(limit, float64(b-1)/steps-limit))
}

// packReport encodes figures, or returns nil if there are none.
func (e encoding) packReport(checksum uint64, f figures) []byte {
	out := binary.LittleEndian.AppendUint64(nil, checksum)
	empty := true
	for _, part := range [][]figure{f.steady, f.recent} {
		bits := len(out)
		out = append(out, make([]byte, bitBytes(len(part)))...)
		for i, g := range part {
			if g.count >= minCount {
				empty = false
				out[bits+i/8] |= 1 << (i % 8)
				out = e.pack(out, g)
			}
		}
	}
	if empty {
		return nil
	}
	return out
}

// unpackReport decodes figures into f, which has the size of the list of servers. It
// reports whether data, without the checksum, has the right length.
func (e encoding) unpackReport(data []byte, f figures) bool {
	for _, part := range [][]figure{f.steady, f.recent} {
		n := bitBytes(len(part))
		if len(data) < n {
			return false
		}
		bits := data[:n]
		data = data[n:]
		for i := range part {
			part[i] = figure{}
			if bits[i/8]&(1<<(i%8)) == 0 {
				continue
			}
			if len(data) < e.bytes {
				return false
			}
			part[i] = e.unpack(data)
			data = data[e.bytes:]
		}
	}
	return len(data) == 0
}

func bitBytes(n int) int { return (n + 7) / 8 }

// packPaces encodes the pace of each server.
func packPaces(checksum uint64, paces []float64) []byte {
	out := binary.LittleEndian.AppendUint64(nil, checksum)
	for _, p := range paces {
		b := byte(0)
		if p > 0 {
			b = packLog(math.Log2(p), paceSteps, maxPaceLog)
		}
		out = append(out, b)
	}
	return out
}

// unpackPaces decodes the pace of each server, 0 if it is unknown.
func unpackPaces(data []byte) []float64 {
	out := make([]float64, len(data))
	for i, b := range data {
		if b != 0 {
			out[i] = math.Exp2(unpackLog(b, paceSteps, maxPaceLog))
		}
	}
	return out
}
