package autoscaling

import "time"

const (
	// peakFor is how long the peak of the work under way counts: longer than a wave of load
	// and the time to start servers again.
	peakFor = 20 * time.Second
	// sampleEvery is the least time between two samples.
	sampleEvery = 500 * time.Millisecond
)

// steadyFor is how long as many servers must have stood before any are ordered without work
// that tells how many are needed.
const steadyFor = 2 * time.Second

// Stand watches how many servers stand. It has one owner.
type Stand struct {
	count int
	since time.Time
}

// Note takes how many servers stand now, and reports whether as many have for a while.
func (s *Stand) Note(count int, now time.Time) (steady bool) {
	if count != s.count || s.since.IsZero() {
		s.count, s.since = count, now
	}
	return now.Sub(s.since) >= steadyFor
}

// Demand is the work that was under way lately. It has one owner.
type Demand struct {
	samples []sample
	known   bool
	// since is when there was work for the first time.
	since time.Time
}

type sample struct {
	at   time.Time
	work float64
}

// Note takes the work that is under way now.
func (d *Demand) Note(work float64, now time.Time) {
	if !d.known && work < 1 {
		return
	}
	if n := len(d.samples); n > 0 && now.Sub(d.samples[n-1].at) < sampleEvery {
		d.samples[n-1].work = max(d.samples[n-1].work, work)
	} else {
		d.samples = append(d.samples, sample{at: now, work: work})
	}
	for len(d.samples) > 0 && now.Sub(d.samples[0].at) > peakFor {
		d.samples = d.samples[1:]
	}
	if !d.known {
		d.known, d.since = true, now
	}
}

// Peak is the most work under way at once lately; ok is false if there was none yet.
func (d *Demand) Peak() (work float64, ok bool) {
	for _, s := range d.samples {
		work = max(work, s.work)
	}
	return work, d.known
}

// Settled reports whether work has been watched for as long as a peak counts.
func (d *Demand) Settled(now time.Time) bool { return d.known && now.Sub(d.since) >= peakFor }
