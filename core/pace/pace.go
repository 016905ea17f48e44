// Package pace computes how long work takes at each model server relative to the other
// servers of its service, by the observations of all daemons.
//
// With 79 daemons and 90 servers, a daemon sees an answer of a given server every 15 s,
// too rarely to tell a slow server from a long answer. Each daemon reports its
// observations to its hall's reader, which adds them up and returns the pace of all
// servers. Observations decay with their age at the daemon that has made them. A report
// holds all of them and replaces the previous one, so that a lost report or a new reader
// loses no observation.
package pace

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// lifetime is how long a report or a total is used: three times the interval between
	// two reports, so that two of them may be lost. Reports of most servers are made less
	// often, by maxBytesPerSecond, so that fewer of them may be lost.
	lifetime = 1500 * time.Millisecond
	// totalInterval is the minimum time between two computations of the total: half of
	// the interval between two reports.
	totalInterval = 225 * time.Millisecond
	// maxBytesPerSecond bounds the reports of a daemon. A daemon that observes all of
	// 140 servers reports once a second.
	maxBytesPerSecond = 300
)

// Server identifies a server in the list.
type Server struct {
	// Name is the name of the incarnation.
	Name    string
	Service string
}

// Observation is how long an answer took.
type Observation struct {
	// Server is the index in the list of servers.
	Server int
	// Ratio is the answer's time relative to what such an answer takes elsewhere; 1 is
	// usual.
	Ratio float64
}

// Tracker holds the observations of one daemon and the reports that it has received. It
// has one owner.
type Tracker struct {
	names []string
	// services has the index of each server's service.
	services []int
	checksum uint64

	own []ownFigures
	// daemons holds the reports of daemons that use this one as their reader, halls
	// those of other halls.
	daemons map[string]report
	halls   map[string]report
	// reportBytes is the size of the report that was made at reportedAt.
	reportBytes int
	reportedAt  time.Time
	// computed is the total that was computed at computedAt for other daemons.
	computed   []byte
	computedAt time.Time
	// total has the paces that were received at totalAt.
	total   []float64
	totalAt time.Time

	malformed int
}

// ownFigures are the observations of a server by this daemon.
type ownFigures struct {
	steady, recent decaying
	// reportedAt is the time of the latest figure of the server itself.
	reportedAt time.Time
}

// report has figures as of a time.
type report struct {
	figures
	at time.Time
}

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker { return &Tracker{daemons: map[string]report{}, halls: map[string]report{}} }

// SetServers sets the list of servers, in the same order at all daemons. If the list
// differs from the last one, all reports are dropped, and the own observations of
// incarnations that are not listed any more.
func (t *Tracker) SetServers(servers []Server) {
	checksum := checksumOf(servers)
	if checksum == t.checksum && len(servers) == len(t.names) {
		return
	}
	kept := map[string]ownFigures{}
	for i, name := range t.names {
		kept[name] = t.own[i]
	}
	t.checksum, t.names, t.services, t.own = checksum, nil, nil, make([]ownFigures, len(servers))
	indices := map[string]int{}
	for i, s := range servers {
		if _, ok := indices[s.Service]; !ok {
			indices[s.Service] = len(indices)
		}
		t.names, t.services = append(t.names, s.Name), append(t.services, indices[s.Service])
		t.own[i] = kept[s.Name]
	}
	clear(t.daemons)
	clear(t.halls)
	t.computed, t.total = nil, nil
	t.reportedAt, t.computedAt, t.totalAt = time.Time{}, time.Time{}, time.Time{}
}

func checksumOf(servers []Server) uint64 {
	h := xxhash.New()
	for _, s := range servers {
		// A digest returns no errors. Zero bytes separate the names.
		_, _ = h.WriteString(s.Name + "\x00" + s.Service + "\x00")
	}
	return h.Sum64()
}

// Observe records the time of a complete, successful answer. Observations of unknown
// servers and ratios that are not positive are ignored.
func (t *Tracker) Observe(o Observation, now time.Time) {
	log, ok := t.logRatio(o)
	if !ok {
		return
	}
	f := &t.own[o.Server]
	f.steady.add(figure{log, 1}, now, steadyTime)
	if now.Sub(f.reportedAt) >= recentTime {
		f.recent.add(figure{log, 1}, now, recentTime)
	}
}

// ObserveReported records a figure that a server has reported of itself, on the same
// scale. It replaces this daemon's own observations in the recent part.
func (t *Tracker) ObserveReported(o Observation, now time.Time) {
	log, ok := t.logRatio(o)
	if !ok {
		return
	}
	f := &t.own[o.Server]
	if now.Sub(f.reportedAt) >= recentTime {
		f.recent = decaying{}
	}
	f.recent.add(figure{log * reportedWeight, reportedWeight}, now, recentTime)
	f.reportedAt = now
}

func (t *Tracker) logRatio(o Observation) (log float64, ok bool) {
	if o.Server < 0 || o.Server >= len(t.own) || !(o.Ratio > 0) || math.IsInf(o.Ratio, 1) {
		return 0, false
	}
	return max(-maxLog, min(maxLog, math.Log2(o.Ratio))), true
}

// Report returns the observations of this daemon, or nil if there are none or if the
// last report was made too recently for its size.
func (t *Tracker) Report(now time.Time) []byte {
	if now.Sub(t.reportedAt) < time.Duration(t.reportBytes)*time.Second/maxBytesPerSecond {
		return nil
	}
	out := daemonEncoding.packReport(t.checksum, t.ownFigures(now))
	t.reportedAt, t.reportBytes = now, len(out)
	return out
}

func (t *Tracker) ownFigures(now time.Time) figures {
	out := newFigures(len(t.own))
	for i, f := range t.own {
		out.steady[i], out.recent[i] = f.steady.current(now, steadyTime), f.recent.current(now, recentTime)
	}
	return out
}

// SetDaemon records the report of a daemon of this hall.
func (t *Tracker) SetDaemon(id string, data []byte, now time.Time) {
	t.record(t.daemons, id, daemonEncoding, data, now)
}

// SetHall records the sum of another hall.
func (t *Tracker) SetHall(hall string, data []byte, now time.Time) {
	t.record(t.halls, hall, hallEncoding, data, now)
}

func (t *Tracker) record(reports map[string]report, id string, e encoding, data []byte, now time.Time) {
	data, ok := t.sameServers(data)
	if !ok {
		return
	}
	r, ok := reports[id]
	if !ok {
		r.figures = newFigures(len(t.names))
	}
	if !e.unpackReport(data, r.figures) {
		// The previous report may have been overwritten in part.
		delete(reports, id)
		t.malformed++
		return
	}
	r.at = now
	reports[id] = r
}

// sameServers returns a message without its checksum, unless it is for another list of
// servers.
func (t *Tracker) sameServers(data []byte) ([]byte, bool) {
	if len(data) < sumBytes {
		t.malformed++
		return nil, false
	}
	return data[sumBytes:], binary.LittleEndian.Uint64(data) == t.checksum
}

// HallReport returns the sum of this hall for the readers of other halls, or nil.
func (t *Tracker) HallReport(now time.Time) []byte {
	sum := newFigures(len(t.names))
	addReports(sum, t.daemons, now)
	return hallEncoding.packReport(t.checksum, sum)
}

// Total returns the paces by the reports of all halls, or nil if there are none. They are
// computed at most twice in a report interval, because each daemon of the hall requests
// them.
func (t *Tracker) Total(now time.Time) []byte {
	if !t.computedAt.IsZero() && now.Sub(t.computedAt) < totalInterval {
		return t.computed
	}
	t.computed, t.computedAt = nil, now
	sum := newFigures(len(t.names))
	addReports(sum, t.daemons, now)
	addReports(sum, t.halls, now)
	if len(t.daemons)+len(t.halls) > 0 {
		t.computed = packPaces(t.checksum, sum.paces(t.services, minCount))
	}
	return t.computed
}

// addReports adds the reports within their lifetime to sum, and deletes the others.
func addReports(sum figures, reports map[string]report, now time.Time) {
	for id, r := range reports {
		if now.Sub(r.at) > lifetime {
			delete(reports, id)
			continue
		}
		sum.add(r.figures, now.Sub(r.at))
	}
}

// SetTotal records the paces of all servers. It reports whether they are for the current
// list of servers.
func (t *Tracker) SetTotal(data []byte, now time.Time) bool {
	data, ok := t.sameServers(data)
	if !ok {
		return false
	}
	if len(data) != len(t.names) {
		t.malformed++
		return false
	}
	t.total, t.totalAt = unpackPaces(data), now
	return true
}

// HasTotal reports whether a total was received recently.
func (t *Tracker) HasTotal(now time.Time) bool {
	return t.total != nil && now.Sub(t.totalAt) <= lifetime
}

// Paces returns the pace of each server, or 0 if it is unknown. Without a total, only the
// servers that this daemon has observed often enough are known: the response times that
// a daemon averages over a longer time are better than a few recent observations.
func (t *Tracker) Paces(now time.Time) []float64 {
	if t.HasTotal(now) {
		return t.total
	}
	return t.ownFigures(now).paces(t.services, steadyPrior)
}

// Pace returns the pace of a server, between 1/4 and 4, or 1 if it is unknown.
func (t *Tracker) Pace(server int, now time.Time) float64 {
	if server < 0 || server >= len(t.names) {
		return 1
	}
	if p := t.Paces(now)[server]; p > 0 {
		return p
	}
	return 1
}

// Malformed returns how many messages could not be decoded.
func (t *Tracker) Malformed() int { return t.malformed }
