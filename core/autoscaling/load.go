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
func (w *CountWatch) Observe(count int, now time.Time) (steady bool) {
	if count != w.count || w.since.IsZero() {
		w.count, w.since = count, now
	}
	return now.Sub(w.since) >= steadyTime
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
func (p *PeakLoad) Observe(load float64, now time.Time) {
	if !p.known && load < 1 {
		return
	}
	if n := len(p.samples); n > 0 && now.Sub(p.samples[n-1].at) < sampleInterval {
		p.samples[n-1].load = max(p.samples[n-1].load, load)
	} else {
		p.samples = append(p.samples, sample{at: now, load: load})
	}
	for len(p.samples) > 0 && now.Sub(p.samples[0].at) > peakWindow {
		p.samples = p.samples[1:]
	}
	if !p.known {
		p.known, p.since = true, now
	}
}

// Peak returns the maximum load in flight in the peak window; ok is false if there has been no load yet.
func (p *PeakLoad) Peak() (load float64, ok bool) {
	for _, s := range p.samples {
		load = max(load, s.load)
	}
	return load, p.known
}

// Settled reports whether the load has been observed for the whole peak window.
func (p *PeakLoad) Settled(now time.Time) bool { return p.known && now.Sub(p.since) >= peakWindow }
