package queue

import (
	"math"
	"time"
)

// meter measures the throughput and service time of a pool of servers, and the arrival rate of
// each class.
type meter struct {
	start    time.Time
	done     int
	arrivals [classCount]int
	// rate and arrivalRate are in requests per second, mean and deviation (of the service time) in
	// seconds.
	rate        float64
	arrivalRate [classCount]float64
	mean        float64
	deviation   float64
}

func (m *meter) arrived(c Class, now time.Time) {
	m.update(now)
	m.arrivals[c]++
}

func (m *meter) finished(took time.Duration, now time.Time) {
	m.update(now)
	m.done++
	seconds := took.Seconds()
	if m.mean == 0 {
		m.mean = seconds
	}
	m.deviation = movingAverage(m.deviation, math.Abs(seconds-m.mean))
	m.mean = movingAverage(m.mean, seconds)
}

// movingAverage returns the exponential moving average after another value.
func movingAverage(past, latest float64) float64 { return pastWeight*past + (1-pastWeight)*latest }

// update computes the rates and begins a new interval once the current one is long enough.
func (m *meter) update(now time.Time) {
	if m.start.IsZero() {
		m.start = now
	}
	span := now.Sub(m.start)
	if span < measureInterval {
		return
	}
	m.rate = movingAverageFromFirst(m.rate, float64(m.done)/span.Seconds())
	for c := range m.arrivalRate {
		m.arrivalRate[c] = movingAverage(m.arrivalRate[c], float64(m.arrivals[c])/span.Seconds())
	}
	m.start, m.done, m.arrivals = now, 0, [classCount]int{}
}

// movingAverageFromFirst is like movingAverage but starts with the first value.
func movingAverageFromFirst(past, latest float64) float64 {
	if past == 0 {
		return latest
	}
	return movingAverage(past, latest)
}

// queueTime returns the estimated time until the pool has finished n queued requests, the last one
// of class c. Arrivals of higher classes are served first and reduce the rate.
func (m *meter) queueTime(n int, c Class) time.Duration {
	rate := max(m.rate, minRate)
	left := rate
	for higher := c + 1; higher < classCount; higher++ {
		left -= m.arrivalRate[higher]
	}
	left = max(left, rate*minFraction)
	return time.Duration(float64(n) / left * float64(time.Second))
}

// serviceTime returns the service time that most requests do not exceed.
func (m *meter) serviceTime() time.Duration {
	return time.Duration((m.mean + m.deviation) * float64(time.Second))
}
