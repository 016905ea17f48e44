// Package serverload sums what all daemons have under way at each backend server.
//
// The load that it answers is one that is spread over many daemons: of ninety before 140
// servers each meets a given server once in ten seconds and has no request of its own
// there, so that all of them go on sending to the one that a popular prompt prefers, and
// none sees that it is crowded. Each daemon tells its hall's reader its own work with the
// questions that it asks anyway, and is told the sum with the answers; readers tell each
// other the sums of their halls. What is told is half a second old and loses weight with
// its age, so that a daemon that pauses or lies about itself cannot empty or overrun a
// server for long.
package serverload

import (
	"time"

	"ladderridge.example/core/gossip"
)

const (
	// tellEvery is the least time between two messages of a daemon about its work: that
	// between two questions to its reader.
	tellEvery = 450 * time.Millisecond
	// mostBytes bounds what a daemon tells and is told of work, in bytes a second each: with
	// more servers than 180 it is told less often. Of the 9 KB/s that a daemon may use for
	// control that is a tenth; a reader has it for each daemon of its hall.
	mostBytes = 400
	// countsFor is how many times the time between two messages what was told counts, so
	// that one of them may be lost.
	countsFor = 3
)

// mostWork bounds the work at a server that one message is believed to tell of, whether of
// a daemon, a hall or all, with a small request as 1: about what fills the largest server.
const mostWork = 1000

// Board is what one daemon has been told. It has one owner.
type Board struct {
	// ids are the servers' in order, sum that of their rows.
	ids []string
	sum uint64
	// daemons is the work of daemons that ask this one, halls that of other halls.
	daemons map[string]told
	halls   map[string]told
	// asked is this daemon's own work when it last asked.
	asked []float64
	// latest is the work of all daemons as it was last added up, at latestAt.
	latest   gossip.Load
	latestAt time.Time
}

// told is work at the servers, in their order, as of a time.
type told struct {
	work []float64
	at   time.Time
}

// NewBoard returns a board without servers.
func NewBoard() *Board { return &Board{daemons: map[string]told{}, halls: map[string]told{}} }

// List takes the servers' ids, in order, and the sum of their rows. What was told of
// another list is forgotten.
func (b *Board) List(sum uint64, ids []string) {
	b.ids, b.sum, b.asked, b.latestAt = ids, sum, nil, time.Time{}
	clear(b.daemons)
	clear(b.halls)
}

// Sum is that of the servers' rows.
func (b *Board) Sum() uint64 { return b.sum }

// Every is the time between two messages of a daemon about its work.
func (b *Board) Every() time.Duration {
	return max(tellEvery, time.Duration(len(b.ids))*time.Second/mostBytes)
}

// Counts is how long what was told counts.
func (b *Board) Counts() time.Duration { return countsFor * b.Every() }

// Ask returns this daemon's own work, by server, for a question to its reader.
func (b *Board) Ask(own map[string]float64) gossip.Load {
	b.asked = b.inOrder(own)
	return b.pack(b.asked)
}

// HearDaemon notes what a daemon of this hall has told of itself with a question.
func (b *Board) HearDaemon(id string, m gossip.Load, now time.Time) { b.hear(b.daemons, id, m, now) }

// HearHall notes what the reader of another hall has told of it.
func (b *Board) HearHall(hall string, m gossip.Load, now time.Time) { b.hear(b.halls, hall, m, now) }

// Hall is the work of this daemon's hall, for other halls, with its own work.
func (b *Board) Hall(own map[string]float64, now time.Time) gossip.Load {
	return b.pack(b.hall(own, now))
}

// All is the work of all daemons, for an answer to one of this hall. It is added up at
// most twice between two messages: a hundred daemons ask, and each would cost a sum over a
// hundred.
func (b *Board) All(own func() map[string]float64, now time.Time) gossip.Load {
	if b.latestAt.IsZero() || now.Sub(b.latestAt) >= b.Every()/2 {
		b.latest, b.latestAt = b.pack(b.all(own(), now)), now
	}
	return b.latest
}

// Others is the work of all other daemons, by server, as this one has been told.
func (b *Board) Others(now time.Time) map[string]float64 {
	return b.byServer(b.all(nil, now))
}

// OthersOf is the work of all other daemons by what an answer to the last question says;
// ok is false if it is about another list of servers.
func (b *Board) OthersOf(m gossip.Load) (others map[string]float64, ok bool) {
	work, ok := b.unpack(m)
	if !ok || len(b.asked) != len(work) {
		return nil, false
	}
	for i := range work {
		work[i] -= b.asked[i]
	}
	return b.byServer(work), true
}

func (b *Board) hear(from map[string]told, id string, m gossip.Load, now time.Time) {
	if work, ok := b.unpack(m); ok {
		from[id] = told{work: work, at: now}
	}
}

func (b *Board) hall(own map[string]float64, now time.Time) []float64 {
	sum := b.inOrder(own)
	b.add(sum, b.daemons, now)
	return sum
}

func (b *Board) all(own map[string]float64, now time.Time) []float64 {
	sum := b.hall(own, now)
	b.add(sum, b.halls, now)
	return sum
}

// add adds what was told and still counts, and forgets the rest.
func (b *Board) add(sum []float64, from map[string]told, now time.Time) {
	for id, t := range from {
		if now.Sub(t.at) > b.Counts() {
			delete(from, id)
			continue
		}
		for i, work := range t.work {
			sum[i] += work
		}
	}
}

// inOrder is work in the order of the servers.
func (b *Board) inOrder(work map[string]float64) []float64 {
	out := make([]float64, len(b.ids))
	for i, id := range b.ids {
		out[i] = work[id]
	}
	return out
}

// byServer is work by server, without servers that have none.
func (b *Board) byServer(work []float64) map[string]float64 {
	out := make(map[string]float64, len(work))
	for i, id := range b.ids {
		if work[i] > 0 {
			out[id] = work[i]
		}
	}
	return out
}

func (b *Board) pack(work []float64) gossip.Load {
	out := gossip.Load{Sum: b.sum, Packed: make([]byte, len(work))}
	for i, w := range work {
		out.Packed[i] = gossip.PackLoad(w)
	}
	return out
}

// unpack returns the work of a message, unless it is of another list of servers.
func (b *Board) unpack(m gossip.Load) ([]float64, bool) {
	if m.Sum != b.sum || len(m.Packed) != len(b.ids) {
		return nil, false
	}
	work := make([]float64, len(m.Packed))
	for i, packed := range m.Packed {
		work[i] = min(mostWork, gossip.UnpackLoad(packed))
	}
	return work, true
}
