package storesync

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/quarantine"
)

// Requests under which servers end, as all daemons know them. A caller's attempts reach any
// daemon, and each sees few of the servers that end: crashes go to the hall's reader and
// from there to all, as sessions do, three times, since a message may be lost. A request
// that is in quarantine has a row in the store besides, so that daemons that start, be it
// all at once, know of it.

const (
	// quarantinePrefix and a fingerprint is the key of the row of a request in quarantine.
	quarantinePrefix = "quarantine/"
	// crashSendCount is how often a crash is told to the same daemons, a tick apart.
	crashSendCount = 3
	// crashBacklog bounds the crashes that wait to be told, crashesAtOnce those of one
	// message: a message then has some five kilobytes. Many wait only where many servers
	// end at once, and then no request has met more than one of them.
	crashBacklog         = 1024
	maxCrashesPerMessage = 256
)

// crashReport is a crash that is to be told, and how often still.
type crashReport struct {
	crash quarantine.Crash
	// otherHalls tells that other halls do not know it yet.
	otherHalls bool
	left       int
}

// crashResendWindow is how long after it a daemon tells a crash again that it has seen itself, once
// somebody else reads for it: the one before may have gone with the news.
const crashResendWindow = 5 * time.Second

// quarantineRow is a request in quarantine whose row the store may not have.
type quarantineRow struct {
	// due is when this daemon writes the row.
	due time.Time
	// own tells that it has seen a server end under the request.
	own bool
}

// confinement is the row of a request in quarantine.
type confinement struct {
	_ struct{} `cbor:",toarray"`
	// UntilMS is when it ends, by the time of day, in Unix milliseconds: machines differ
	// on it by seconds at most.
	UntilMS int64
}

// crashesObserved are servers that ended under requests of this daemon.
type crashesObserved struct{ crashes []quarantine.Crash }

func (crashesObserved) event() {}

// RecordServerExit counts a server that has ended against what was under way there, and tells
// the other daemons.
func (k *Syncer) RecordServerExit(server string, contents []quarantine.Fingerprint) {
	e := crashesObserved{crashes: k.registry.RecordServerExit(server, contents, time.Now())}
	k.ServerExits.Add(1)
	k.Log.Warn().Str("server", server).Int("requests", len(contents)).Int("counted", len(e.crashes)).Msg("quarantine: a server ended while requests were under way there")
	if len(e.crashes) > 0 {
		k.enqueue(e)
	}
}

// Answered notes a content that a server has answered whole.
func (k *Syncer) Answered(content quarantine.Fingerprint) { k.registry.Answered(content, time.Now()) }

// handleCrashes takes servers that ended under requests of this daemon.
func (k *Syncer) handleCrashes(e crashesObserved, now time.Time) {
	for _, c := range e.crashes {
		k.queueCrash(crashReport{crash: c, otherHalls: true, left: crashSendCount})
		k.trackQuarantine(c.Content, now, quarantineRow{due: now, own: true})
	}
	k.ownCrashes = append(k.ownCrashes, e.crashes...)
}

// resendCrashes has the crashes told again that this daemon saw a moment ago, if somebody
// else reads for it now.
func (k *Syncer) resendCrashes(now time.Time) {
	k.ownCrashes = slices.DeleteFunc(k.ownCrashes, func(c quarantine.Crash) bool { return now.Sub(c.At) > crashResendWindow })
	reader, _ := k.readers.reader()
	if k.reading.Load() {
		reader = k.Self
	}
	if reader.ID == k.crashReader {
		return
	}
	k.crashReader = reader.ID
	for _, c := range k.ownCrashes {
		k.queueCrash(crashReport{crash: c, otherHalls: true, left: crashSendCount})
	}
}

// mergeCrashes takes servers that ended elsewhere. What is new here is told on by a reader:
// to its hall, and to other halls if it comes from its own.
func (k *Syncer) mergeCrashes(from string, crashes []gossip.Crash, now time.Time) {
	m, known := (*k.members.Load())[from]
	for _, told := range crashes {
		c := quarantine.Crash{Content: quarantine.Fingerprint(told.Content), Server: told.Server, At: now.Add(-time.Duration(told.AgeMS) * time.Millisecond)}
		if !k.registry.RecordCrash(c) {
			continue
		}
		if k.reading.Load() {
			k.queueCrash(crashReport{crash: c, otherHalls: known && m.Hall == k.Self.Hall, left: crashSendCount})
		}
		k.trackQuarantine(c.Content, now, quarantineRow{due: now.Add(k.writeDelay(canary.RolledBack))})
	}
}

// queueCrash has a crash told, if that still fits.
func (k *Syncer) queueCrash(n crashReport) {
	if len(k.pendingCrashes) < crashBacklog {
		k.pendingCrashes = append(k.pendingCrashes, n)
	}
}

// sendCrashes tells the crashes that wait: a reader its hall and other halls, another daemon
// its reader.
func (k *Syncer) sendCrashes(now time.Time) {
	k.resendCrashes(now)
	if len(k.pendingCrashes) == 0 {
		return
	}
	reader, ok := k.readers.reader()
	if !k.reading.Load() && !ok {
		return
	}
	var all, otherHalls []gossip.Crash
	var waiting []crashReport
	for i, n := range k.pendingCrashes {
		if i >= maxCrashesPerMessage {
			waiting = append(waiting, n)
			continue
		}
		c := gossip.Crash{Content: uint64(n.crash.Content), Server: n.crash.Server, AgeMS: uint64(max(0, now.Sub(n.crash.At).Milliseconds()))}
		all = append(all, c)
		if n.otherHalls {
			otherHalls = append(otherHalls, c)
		}
		if n.left--; n.left > 0 {
			waiting = append(waiting, n)
		}
	}
	k.pendingCrashes = waiting
	if !k.reading.Load() {
		k.Peers.Send(reader.ID, reader.Addr, gossip.Response{Crashes: all})
		return
	}
	if to := k.hallSubscribers(now); len(to) > 0 {
		k.Peers.SendAll(to, gossip.Response{Crashes: all})
	}
	if len(otherHalls) > 0 {
		k.broadcast(gossip.Response{Crashes: otherHalls})
	}
}

// trackQuarantine logs a request that has come into quarantine, and has it written to the
// store from a time on.
func (k *Syncer) trackQuarantine(f quarantine.Fingerprint, now time.Time, c quarantineRow) {
	until, in := k.registry.Quarantined(f, now)
	if !in {
		return
	}
	if _, noted := k.quarantineRows[f]; !noted {
		k.Log.Warn().Stringer("content", f).Dur("for", until.Sub(now)).Msg("quarantine: servers ended under a request: it gets no more of them")
		k.quarantineRows[f] = c
	}
}

// writeQuarantines writes the rows of requests in quarantine that the store does not have.
// Who has seen the crash does so at once, and readers in turn if it does not come: with the
// store away hundreds of daemons would all try.
func (k *Syncer) writeQuarantines(ctx context.Context, now time.Time) {
	for f, c := range k.quarantineRows {
		until, in := k.registry.Quarantined(f, now)
		if !in {
			delete(k.quarantineRows, f)
			continue
		}
		key := quarantinePrefix + f.String()
		_, lost := k.topics[gossip.Members].held[key]
		if row, ok := k.topics[gossip.Members].rows[key]; ok && !lost && k.quarantineActive(row, now) || now.Before(c.due) || !c.own && !k.reading.Load() {
			continue
		}
		// Another try if it does not come from the store.
		k.quarantineRows[f] = quarantineRow{due: now.Add(nonReaderWriteDelay), own: c.own}
		data, err := cbor.Marshal(confinement{UntilMS: until.UnixMilli()})
		if err != nil {
			k.Log.Error().Err(err).Msg("quarantine: a row cannot be encoded")
			continue
		}
		go k.putQuarantine(ctx, key, data)
	}
}

// putQuarantine writes a row. It does not matter who does, nor what was there.
func (k *Syncer) putQuarantine(ctx context.Context, key string, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	k.Calls.Add(1)
	if err := k.Store.Put(ctx, gossip.Members, key, data); err != nil {
		k.Log.Warn().Str("key", key).Err(err).Msg("quarantine: the row may not have been written: it is written again if it does not come")
	}
}

// quarantineActive reports whether the quarantine of a row is not over.
func (k *Syncer) quarantineActive(row gossip.Row, now time.Time) bool {
	var c confinement
	return cbor.Unmarshal(row.Data, &c) == nil && c.UntilMS > now.UnixMilli()
}

// readQuarantine takes the row of a request in quarantine.
func (k *Syncer) readQuarantine(row gossip.Row, now time.Time) {
	f, err := strconv.ParseUint(strings.TrimPrefix(row.Key, quarantinePrefix), 16, 64)
	var c confinement
	if err == nil {
		err = cbor.Unmarshal(row.Data, &c)
	}
	if err != nil {
		k.malformed(gossip.Members, row, err)
		return
	}
	content := quarantine.Fingerprint(f)
	if k.registry.Quarantine(content, time.UnixMilli(c.UntilMS), now) {
		k.trackQuarantine(content, now, quarantineRow{due: now.Add(nonReaderWriteDelay)})
	}
}
