// Package serverload sums the in-flight load of all daemons at each backend server.
//
// Protects servers against load that is spread over many daemons. With ninety daemons
// and 140 servers, a daemon sends to a given server once in ten seconds. It has no
// request of its own there, so that all daemons keep sending to the server that a
// popular prompt prefers, and none of them sees that the server is overloaded. Each
// daemon reports its own load to its hall's reader in the requests that it sends there
// anyway, and receives the sum in the responses. Readers exchange the sums of their
// halls. The figures are half a second old and lose weight with age, so that a daemon
// that is suspended or reports a false load cannot keep a server idle or overload it
// for long.
package serverload

import (
	"time"

	"ladderridge.example/core/gossip"
)

const (
	// minReportInterval is the minimum time between two reports of a daemon's load: the
	// time between two of its requests to the reader.
	minReportInterval = 450 * time.Millisecond
	// maxBytesPerSecond bounds the load reports that a daemon sends and, separately,
	// those that it receives. With more than 180 servers it reports less often. This is
	// a tenth of the 9 KB/s that a daemon may use for control traffic; a reader has the
	// same amount for each daemon of its hall.
	maxBytesPerSecond = 400
	// lifetimeIntervals is the lifetime of a report in report intervals, so that one
	// report may be lost.
	lifetimeIntervals = 3
)

// maxLoad bounds the load at a server that is accepted from one message, for a daemon,
// a hall or all of them, with a small request as 1: about the load at which the largest
// server is full.
const maxLoad = 1000

// Tracker holds the load reports that one daemon has received. It has one owner.
type Tracker struct {
	// ids are the servers' ids in order, checksum is the checksum of their rows.
	ids      []string
	checksum uint64
	// daemons holds the reports of daemons that use this one as their reader, halls
	// those of other halls.
	daemons map[string]report
	halls   map[string]report
	// ownReported is this daemon's own load in its last report.
	ownReported []float64
	// total is the load of all daemons as computed at totalAt.
	total   gossip.Load
	totalAt time.Time
}

// report is a load for each server, in the order of the servers, as of a time.
type report struct {
	load []float64
	at   time.Time
}

// NewTracker returns a tracker without servers.
func NewTracker() *Tracker { return &Tracker{daemons: map[string]report{}, halls: map[string]report{}} }

// SetServers sets the servers' ids, in order, and the checksum of their rows. Reports
// for another list of servers are dropped.
func (t *Tracker) SetServers(checksum uint64, ids []string) {
	t.ids, t.checksum, t.ownReported, t.totalAt = ids, checksum, nil, time.Time{}
	clear(t.daemons)
	clear(t.halls)
}

// Checksum returns the checksum of the servers' rows.
func (t *Tracker) Checksum() uint64 { return t.checksum }

// ReportInterval returns the time between two load reports of a daemon.
func (t *Tracker) ReportInterval() time.Duration {
	return max(minReportInterval, time.Duration(len(t.ids))*time.Second/maxBytesPerSecond)
}

// ReportLifetime returns how long a report is used.
func (t *Tracker) ReportLifetime() time.Duration { return lifetimeIntervals * t.ReportInterval() }

// OwnReport returns this daemon's own load as a report to its reader.
func (t *Tracker) OwnReport(own map[string]float64) gossip.Load {
	t.ownReported = t.inOrder(own)
	return t.pack(t.ownReported)
}

// SetDaemonLoad records the load that a daemon of this hall has reported.
func (t *Tracker) SetDaemonLoad(id string, m gossip.Load, now time.Time) {
	t.record(t.daemons, id, m, now)
}

// SetHallLoad records the load that the reader of another hall has reported for its
// hall.
func (t *Tracker) SetHallLoad(hall string, m gossip.Load, now time.Time) {
	t.record(t.halls, hall, m, now)
}

// HallTotal returns the load of this daemon's hall, including its own, as a report to
// other halls.
func (t *Tracker) HallTotal(own map[string]float64, now time.Time) gossip.Load {
	return t.pack(t.hallLoad(own, now))
}

// Total returns the load of all daemons, as the response to a daemon of this hall. It
// is computed at most twice in a report interval: a hundred daemons request it, and
// each computation adds up a hundred reports.
func (t *Tracker) Total(own func() map[string]float64, now time.Time) gossip.Load {
	if t.totalAt.IsZero() || now.Sub(t.totalAt) >= t.ReportInterval()/2 {
		t.total, t.totalAt = t.pack(t.totalLoad(own(), now)), now
	}
	return t.total
}

// Others returns the load of all other daemons for each server, by the reports that
// this daemon has received.
func (t *Tracker) Others(now time.Time) map[string]float64 {
	return t.byServer(t.totalLoad(nil, now))
}

// OthersFromResponse returns the load of all other daemons by the response to the last
// report; ok is false if the response is for another list of servers.
func (t *Tracker) OthersFromResponse(m gossip.Load) (others map[string]float64, ok bool) {
	load, ok := t.unpack(m)
	if !ok || len(t.ownReported) != len(load) {
		return nil, false
	}
	for i := range load {
		load[i] -= t.ownReported[i]
	}
	return t.byServer(load), true
}

func (t *Tracker) record(reports map[string]report, id string, m gossip.Load, now time.Time) {
	if load, ok := t.unpack(m); ok {
		reports[id] = report{load: load, at: now}
	}
}

func (t *Tracker) hallLoad(own map[string]float64, now time.Time) []float64 {
	sum := t.inOrder(own)
	t.add(sum, t.daemons, now)
	return sum
}

func (t *Tracker) totalLoad(own map[string]float64, now time.Time) []float64 {
	sum := t.hallLoad(own, now)
	t.add(sum, t.halls, now)
	return sum
}

// add adds the reports within their lifetime to sum, and deletes the others.
func (t *Tracker) add(sum []float64, reports map[string]report, now time.Time) {
	for id, r := range reports {
		if now.Sub(r.at) > t.ReportLifetime() {
			delete(reports, id)
			continue
		}
		for i, load := range r.load {
			sum[i] += load
		}
	}
}

// inOrder returns the load in the order of the servers.
func (t *Tracker) inOrder(load map[string]float64) []float64 {
	out := make([]float64, len(t.ids))
	for i, id := range t.ids {
		out[i] = load[id]
	}
	return out
}

// byServer returns the load by server id, without servers that have none.
func (t *Tracker) byServer(load []float64) map[string]float64 {
	out := make(map[string]float64, len(load))
	for i, id := range t.ids {
		if load[i] > 0 {
			out[id] = load[i]
		}
	}
	return out
}

func (t *Tracker) pack(load []float64) gossip.Load {
	out := gossip.Load{Sum: t.checksum, Packed: make([]byte, len(load))}
	for i, w := range load {
		out.Packed[i] = gossip.PackLoad(w)
	}
	return out
}

// unpack returns the load in a message, unless the message is for another list of
// servers.
func (t *Tracker) unpack(m gossip.Load) ([]float64, bool) {
	if m.Sum != t.checksum || len(m.Packed) != len(t.ids) {
		return nil, false
	}
	load := make([]float64, len(m.Packed))
	for i, packed := range m.Packed {
		load[i] = min(maxLoad, gossip.UnpackLoad(packed))
	}
	return load, true
}
