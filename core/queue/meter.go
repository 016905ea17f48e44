package queue

import (
	"math"
	"time"
)

// meter measures a pool: how fast it finishes requests, how long each takes,
// and how many of each class arrive.
type meter struct {
	from     time.Time
	done     int
	arrivals [classes]int
	// rate and arriving are a second; mean and deviation are seconds.
	rate      float64
	arriving  [classes]float64
	mean      float64
	deviation float64
}

func (m *meter) arrived(c Class, now time.Time) {
	m.turn(now)
	m.arrivals[c]++
}

func (m *meter) finished(took time.Duration, now time.Time) {
	m.turn(now)
	m.done++
	seconds := took.Seconds()
	if m.mean == 0 {
		m.mean = seconds
	}
	m.deviation = blend(m.deviation, math.Abs(seconds-m.mean))
	m.mean = blend(m.mean, seconds)
}

// blend moves a measured figure towards its latest value.
func blend(past, latest float64) float64 { return memory*past + (1-memory)*latest }

// turn ends a stretch of measuring once it is long enough.
func (m *meter) turn(now time.Time) {
	if m.from.IsZero() {
		m.from = now
	}
	span := now.Sub(m.from)
	if span < measureEvery {
		return
	}
	m.rate = first(m.rate, float64(m.done)/span.Seconds())
	for c := range m.arriving {
		m.arriving[c] = blend(m.arriving[c], float64(m.arrivals[c])/span.Seconds())
	}
	m.from, m.done, m.arrivals = now, 0, [classes]int{}
}

// first blends, but starts at the first value.
func first(past, latest float64) float64 {
	if past == 0 {
		return latest
	}
	return blend(past, latest)
}

// wait is how long it takes to serve n requests of a class and those before
// it: they get what the higher classes, as they arrive, leave of the rate.
func (m *meter) wait(n int, c Class) time.Duration {
	rate := max(m.rate, floorRate)
	left := rate
	for higher := c + 1; higher < classes; higher++ {
		left -= m.arriving[higher]
	}
	left = max(left, rate*leastPart)
	return time.Duration(float64(n) / left * float64(time.Second))
}

// service is how long most requests take once they are served.
func (m *meter) service() time.Duration {
	return time.Duration((m.mean + m.deviation) * float64(time.Second))
}
