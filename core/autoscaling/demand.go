package autoscaling

import "time"

const (
	// peakWindow is the time over which the peak load is taken. It is longer than a wave of load and longer than it
	// takes to start servers again.
	peakWindow = 20 * time.Second
	// sampleInterval is the minimum time between two samples.
	sampleInterval = 500 * time.Millisecond
)

// steadyTime is how long the number of servers must not have changed before any are ordered while the load is not
// known.
const steadyTime = 2 * time.Second

// CountWatch observes the number of servers. It must be used by one goroutine at a time.
type CountWatch struct {
	count int
	since time.Time
}

// Observe records the current number of servers and reports whether it has not changed for some time.
func (s *CountWatch) Observe(count int, now time.Time) (steady bool) {
	if count != s.count || s.since.IsZero() {
		s.count, s.since = count, now
	}
	return now.Sub(s.since) >= steadyTime
}

// PeakLoad keeps the recent load in flight. It must be used by one goroutine at a time.
type PeakLoad struct {
	samples []sample
	known   bool
	// since is when there was load for the first time.
	since time.Time
}

type sample struct {
	at   time.Time
	load float64
}

// Observe records the current load in flight.
func (d *PeakLoad) Observe(load float64, now time.Time) {
	if !d.known && load < 1 {
		return
	}
	if n := len(d.samples); n > 0 && now.Sub(d.samples[n-1].at) < sampleInterval {
		d.samples[n-1].load = max(d.samples[n-1].load, load)
	} else {
		d.samples = append(d.samples, sample{at: now, load: load})
	}
	for len(d.samples) > 0 && now.Sub(d.samples[0].at) > peakWindow {
		d.samples = d.samples[1:]
	}
	if !d.known {
		d.known, d.since = true, now
	}
}

// Peak returns the maximum load in flight in the peak window; ok is false if there has been no load yet.
func (d *PeakLoad) Peak() (load float64, ok bool) {
	for _, s := range d.samples {
		load = max(load, s.load)
	}
	return load, d.known
}

// Settled reports whether the load has been observed for the whole peak window.
func (d *PeakLoad) Settled(now time.Time) bool { return d.known && now.Sub(d.since) >= peakWindow }
