package notice

import (
	"strconv"
	"strings"
)

const (
	// usualTime is the figure of a server that works as fast as usual.
	usualTime = 100
	// maxFigure bounds the figures of a server's load, so that sums do not overflow.
	maxFigure = 1 << 30
)

// ParseLoad parses the load that a server announces: the number of running requests, of queued requests and
// of slots, and how long work takes there now, in percent of the usual time, separated by commas. It returns
// the sum of the requests, and the time relative to the usual one, 0 if it is not given. Fields after the
// fourth are ignored.
func ParseLoad(value string) (requests int, pace float64, ok bool) {
	fields := strings.Split(value, ",")
	if len(fields) < 2 {
		return 0, 0, false
	}
	var figures [4]int
	for i, field := range fields[:min(len(figures), len(fields))] {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 || n > maxFigure {
			return 0, 0, false
		}
		figures[i] = n
	}
	return figures[0] + figures[1], float64(figures[3]) / usualTime, true
}
