// Package gossip defines the messages with which daemons share what they know of the platform's
// store: the rows of each topic and the age of that knowledge, and what each daemon has observed of
// a version in roll-out.
package gossip

import (
	"github.com/cespare/xxhash/v2"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/revision"
	"ladderridge.example/core/usage"
)

// Topic identifies a set of rows of the store.
type Topic string

// The topics.
const (
	// Operator contains the configuration and the orders for roll-outs.
	Operator Topic = "operator"
	// Servers contains a row for each backend server.
	Servers Topic = "servers"
	// Progress contains the state of roll-outs.
	Progress Topic = "progress"
	// Members contains what daemons announce to all others: a row for each daemon, with its
	// address and public key, and the requests in quarantine.
	Members Topic = "members"
	// Duties contains a row for each duty that one daemon does for all. It is not gossiped.
	Duties Topic = "duties"
	// Figures are not rows of the store, but counters that daemons add up, by name. A digest of
	// this topic in a request asks for the totals. Daemons that do not know the topic ignore it.
	Figures Topic = "figures"
	// Contents and Parts are not rows of the store, but crashes and answers of requests' contents and of
	// their parts, in a row without a key that holds a PartReport and a second one that holds the
	// ReportGroups. Daemons that do not know the topics ignore them.
	Contents Topic = "contents"
	Parts    Topic = "parts"
)

// Row is one row of the store.
type Row struct {
	_    struct{} `cbor:",toarray"`
	Key  string
	Data []byte
	// Version is the store's version when the row was written. Its number is 0 if the store lost
	// the row and the row is to be written to it again.
	Version revision.Revision
}

// TopicDigest is a digest of the sender's knowledge of a topic.
type TopicDigest struct {
	_     struct{} `cbor:",toarray"`
	Topic Topic
	// Version is the store's version when the rows were read.
	Version revision.Revision
	// Sum is a hash of the rows' keys and contents. The store's version increases with every
	// write to any topic, the sum changes only with a write to this one.
	Sum uint64
	// LostRows is the number of rows and removals that the sender knows and the store lost.
	LostRows uint64
}

// Request asks a daemon for its knowledge.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// Nonce is repeated in the response, so that the sender can recognise a response to a
	// request from before it was suspended.
	Nonce   uint64
	Digests []TopicDigest
	// Sessions are hashes of the sessions that an old version serves at the sender.
	Sessions []uint64
	// Load is the sender's own load at the servers.
	Load Load
	// Usage contains the records of organisations' requests that the sender has counted and the
	// recipient has not acknowledged.
	Usage []usage.Record
	// LimitSum is a hash of the server limits in force at the sender. Limits are those limits if
	// the recipient may not know them.
	LimitSum uint64
	Limits   []Limit
}

// Limit is the rate limit of a server for all daemons together, as received by one of them.
type Limit struct {
	_ struct{} `cbor:",toarray"`
	// ID and Born identify the server and its start.
	ID   string
	Born int64
	// Rate is in requests per second, 0 for the end of a limit.
	Rate float64
	// RequestedMS is the time since the request was sent whose answer announced the limit,
	// ReceivedMS the time since that answer was read, in milliseconds.
	RequestedMS uint64
	ReceivedMS  uint64
}

// Update is the sender's knowledge of a topic.
type Update struct {
	_       struct{} `cbor:",toarray"`
	Topic   Topic
	Version revision.Revision
	// AgeMS is the time since the store confirmed the rows, in milliseconds.
	AgeMS uint64
	// Sum is a hash of the keys and contents of the sender's current rows.
	Sum uint64
	// ReturnedMS is the time since the store became reachable again after an outage, in
	// milliseconds, or 0 if there was none. Rows that expired during the outage may return.
	ReturnedMS uint64
	// LostRows is the number of rows and removals that the sender knows and the store lost.
	LostRows uint64
	// Complete reports that Rows are all rows of the topic; Removed are then the keys that the
	// store has again because it was restored from a copy from before their removal. Otherwise
	// Rows and Removed are the changes since the rows with the sum Base.
	Complete bool
	Base     uint64
	Rows     []Row
	Removed  []string
}

// Sum returns the hash of a topic's rows. It does not depend on their order.
func Sum(rows []Row) uint64 {
	var sum uint64
	for _, row := range rows {
		sum += row.Sum()
	}
	return sum
}

// Sum returns the hash of the row. The hash of a topic is the sum over its rows, so that it can
// be updated by the difference when a row changes. Versions are not part of it: daemons that have
// read the same rows before and after the store was restored from a copy have equal sums.
func (r Row) Sum() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Data)
	return d.Sum64()
}

// Response is the response to Request, or an unsolicited update.
type Response struct {
	_ struct{} `cbor:",toarray"`
	// Nonce is that of the request, 0 for an unsolicited update. Such an update may have been
	// delayed, so it does not confirm that the rows are current.
	Nonce   uint64
	Updates []Update
	// Withdrawn are faulty versions in roll-out, as SERVICE@VERSION.
	Withdrawn []string
	// Sessions are hashes of the sessions that an old version serves.
	Sessions []uint64
	// StoreUnreachable reports that the store does not answer the sender: its knowledge comes
	// from other daemons.
	StoreUnreachable bool
	// StoreRecovered reports that the store has just answered the sender after the sender's data
	// hall had no contact with it for some time: the recipient should try the store as well.
	StoreRecovered bool
	// Load is the load of all daemons at the servers in a response, and that of the sender's
	// data hall in an unsolicited update.
	Load Load
	// Crashes are the servers that ended with requests in flight, for daemons that do not know the topic
	// Contents.
	Crashes []Crash
	// Usage contains the records of organisations' requests that daemons of the sender's data
	// hall have counted.
	Usage []usage.Record
	// LimitSum is a hash of the server limits in force at the sender, Limits are those limits.
	LimitSum uint64
	Limits   []Limit
}

// Crash reports that a server ended with a request in flight.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// Content is the request's fingerprint, Server a hash of the server's id.
	Content uint64
	Server  uint64
	// AgeMS is the time since the crash was detected, in milliseconds.
	AgeMS uint64
}

// PartReport has crashes of servers with the parts of the requests that were in flight there, and
// complete answers to requests with parts that were in flight at crashes.
type PartReport struct {
	_       struct{} `cbor:",toarray"`
	Crashes []PartCrash
	Answers []PartAnswer
}

// ReportGroups has the groups of the servers of a PartReport, one for each crash and each answer.
type ReportGroups struct {
	_       struct{} `cbor:",toarray"`
	Crashes []uint64
	Answers []uint64
}

// PartCrash reports that a server ended with requests in flight that have some parts.
type PartCrash struct {
	_ struct{} `cbor:",toarray"`
	// Server is a hash of the server's id.
	Server uint64
	// AgeMS is the time since the crash was detected, in milliseconds.
	AgeMS uint64
	Parts []uint64
}

// PartAnswer reports a complete answer to a request with a part.
type PartAnswer struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	// AgeMS is the time since the answer, in milliseconds.
	AgeMS uint64
}

// Count holds the counts of one daemon for a version's answers on one route since the roll-out
// was ordered.
type Count struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
	Route   string
	// Server is set for a version in roll-out while only a few of its servers are in use.
	Server  string
	Answers uint64
	Failed  uint64
	// First and Between are histograms of relative times: of the first part of an answer, and
	// between the events of a stream.
	First   canary.LatencyHistogram
	Between canary.LatencyHistogram
}

// Evidence contains all that a daemon or a data hall has observed of roll-outs. It replaces the
// earlier evidence of the same daemon or hall.
type Evidence struct {
	_ struct{} `cbor:",toarray"`
	// Hall is set if this is the sum of a data hall.
	Hall     string
	Start    uint64
	Sequence uint64
	Counts   []Count
	// OldInFlight counts the requests in flight on a version that gets no new ones, by service.
	// A service that still uses its old version is not included.
	OldInFlight map[string]int
	// Withdrawn are versions that this daemon no longer uses, as SERVICE@VERSION.
	Withdrawn []string
}
