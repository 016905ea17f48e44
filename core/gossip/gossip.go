// Package gossip is what daemons tell each other about what the platform's
// store holds: rows by topic, how old the knowledge of them is, and what each
// daemon has seen of a version that is being rolled out.
package gossip

import (
	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/usage"
)

// Topic names a set of rows of the store.
type Topic string

// The topics.
const (
	// Operator has the configuration and the orders for roll-outs.
	Operator Topic = "operator"
	// Servers has an entry for each backend server.
	Servers Topic = "servers"
	// Progress has the state of roll-outs.
	Progress Topic = "progress"
	// Members has what daemons tell all others: an entry for each, with its address and
	// public key, and the requests in quarantine.
	Members Topic = "members"
	// Duties has a row for each duty that one daemon does for all. It is not told on.
	Duties Topic = "duties"
)

// Row is one row of the store.
type Row struct {
	_    struct{} `cbor:",toarray"`
	Key  string
	Data []byte
	// Version is that of the store when the row was written; its number is 0 if the store has
	// lost the row and is to have it again.
	Version revision.Revision
}

// Have is what an asker knows of a topic.
type Have struct {
	_     struct{} `cbor:",toarray"`
	Topic Topic
	// Version is that of the store when the rows were read.
	Version revision.Revision
	// Sum is a hash of the rows' keys and contents. The store's version rises
	// with every write to any topic; the sum changes only with one to this.
	Sum uint64
	// Held is how many rows the asker holds that the store has lost.
	Held uint64
}

// Ask asks a daemon what it knows.
type Ask struct {
	_ struct{} `cbor:",toarray"`
	// Nonce is repeated in the answer, so that one from before a pause of the
	// asker is told apart.
	Nonce uint64
	Have  []Have
	// Sessions are hashes of sessions that an old version serves at the asker.
	Sessions []uint64
	// Work is the asker's own at the servers.
	Work Work
	// Usage is what the asker has counted of organisations' requests and the answerer has not
	// acknowledged.
	Usage []usage.Record
	// LimitSum is a hash of the limits of servers that stand at the asker, Limits what it has
	// heard of them if the answerer may not know it.
	LimitSum uint64
	Limits   []Limit
}

// Limit is the rate that a server takes from all daemons together, as one of them has heard.
type Limit struct {
	_ struct{} `cbor:",toarray"`
	// ID and Born tell the server's start.
	ID   string
	Born int64
	// Rate is in requests a second; 0 is the end of a limit.
	Rate float64
	// AskedMS and HeardMS are how long ago the request was sent whose answer says so, and the
	// answer was read, in milliseconds.
	AskedMS uint64
	HeardMS uint64
}

// Known is what the answerer knows of a topic.
type Known struct {
	_       struct{} `cbor:",toarray"`
	Topic   Topic
	Version revision.Revision
	// AgeMS is how long ago the store confirmed it, in milliseconds.
	AgeMS uint64
	// Sum is a hash of the rows' keys and contents, as they are now.
	Sum uint64
	// ReturnedMS is how long ago the store answered again after it was away, or
	// 0 if it was not: entries that lapsed meanwhile may come back.
	ReturnedMS uint64
	// Held is how many rows the answerer holds that the store has lost.
	Held uint64
	// Whole tells that Rows are all rows of the topic. Otherwise Rows and
	// Removed are what has changed since the rows whose sum is Base.
	Whole   bool
	Base    uint64
	Rows    []Row
	Removed []string
}

// Sum returns the hash of a topic's rows, whatever their order.
func Sum(rows []Row) uint64 {
	var sum uint64
	for _, row := range rows {
		sum += row.Sum()
	}
	return sum
}

// Sum is the row's part of a topic's hash, which is the sum of them: a change of one row
// changes it by the difference. Versions are left out: daemons that have read the same rows
// before and after a return of the store from a copy know the same.
func (r Row) Sum() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Data)
	return d.Sum64()
}

// Tell answers Ask, or tells news.
type Tell struct {
	_ struct{} `cbor:",toarray"`
	// Nonce is that of the question; 0 is news that nobody has asked for, which
	// may be held up on its way and so confirms nothing.
	Nonce uint64
	Known []Known
	// Withdrawn are versions in roll-out that were found bad: SERVICE@VERSION.
	Withdrawn []string
	// Sessions are hashes of sessions that an old version serves.
	Sessions []uint64
	// Cut tells that the teller tries the store itself and is not answered: what it
	// knows it has from others.
	Cut bool
	// Found tells that the store has just answered the teller while its hall had
	// heard nothing for a while: asking it is worth while.
	Found bool
	// Work is that of all daemons at the servers in an answer, and otherwise that of the
	// teller's hall.
	Work Work
	// Crashes are servers that ended while requests were under way there.
	Crashes []Crash
	// Usage is what daemons of the teller's hall have counted of organisations' requests.
	Usage []usage.Record
	// LimitSum is a hash of the limits of servers that stand at the teller, Limits what it has
	// heard of them.
	LimitSum uint64
	Limits   []Limit
}

// Crash is a server that ended while a request was under way there.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Content is the request's fingerprint, Server a hash of the server's id.
	Content uint64
	Server  uint64
	// AgeMS is how long ago that was noticed, in milliseconds.
	AgeMS uint64
}

// Count is what one daemon has seen of a version's answers on one route since
// the order of the roll-out.
type Count struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
	Route   string
	// Server is set for a version in roll-out while few of its servers are used.
	Server  string
	Answers uint64
	Failed  uint64
	// First and Between count by relative times, as canary.Paces does.
	First   canary.LatencyHistogram
	Between canary.LatencyHistogram
}

// Evidence is all that a daemon, or a whole data hall, has seen of roll-outs. It
// replaces what the same daemon or hall said before.
type Evidence struct {
	_ struct{} `cbor:",toarray"`
	// Hall is set if this is the sum of a data hall.
	Hall     string
	Start    uint64
	Sequence uint64
	Counts   []Count
	// OldInFlight are requests under way on a version that gets no more, by
	// service; a service that still uses its old version is not there.
	OldInFlight map[string]int
	// Withdrawn are versions that this daemon no longer uses: SERVICE@VERSION.
	Withdrawn []string
}
