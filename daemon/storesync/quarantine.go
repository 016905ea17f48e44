package storesync

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/canary"
	"ladderridge.example/core/gossip"
	"ladderridge.example/core/quarantine"
)

// Requests that make servers exit (crash), as known to all daemons. The attempts of a caller
// reach any daemon, and each daemon sees few of the exits. Crashes are sent to the reader of
// the hall and from there to all daemons, like sessions, but three times because a message may
// be lost. In addition, a request in quarantine has a row in the store, so that daemons that
// start know of it, even if all start at once.

const (
	// quarantinePrefix followed by a fingerprint is the key of the row of a request in
	// quarantine.
	quarantinePrefix = "quarantine/"
	// crashSendCount is how many times a crash is sent to the same daemons, one tick apart.
	crashSendCount = 3
	// crashBacklog bounds the crashes that wait to be sent, maxCrashesPerMessage those of one
	// message, which then has some five kilobytes. Many crashes wait only if many servers exit
	// at once, and then no request has met more than one of them.
	crashBacklog         = 1024
	maxCrashesPerMessage = 256
)

// crashReport is a crash to be sent, and how many more times.
type crashReport struct {
	crash quarantine.Crash
	// otherHalls is set if other halls do not know the crash yet.
	otherHalls bool
	left       int
}

// crashResendWindow is how long a daemon sends a crash that it has seen itself again when its
// reader changes: the previous reader may have failed before it passed the crash on.
const crashResendWindow = 5 * time.Second

// quarantineRow is a request in quarantine whose row the store may not have.
type quarantineRow struct {
	// due is when this daemon writes the row.
	due time.Time
	// own is set if this daemon has seen a server exit under the request.
	own bool
}

// confinement is the row of a request in quarantine.
type confinement struct {
	_ struct{} `cbor:",toarray"`
	// UntilMS is when it ends, in Unix milliseconds. The clocks of machines differ by seconds
	// at most.
	UntilMS int64
}

// crashesObserved are servers that exited under requests of this daemon.
type crashesObserved struct{ crashes []quarantine.Crash }

func (crashesObserved) event() {}

// RecordServerExit counts the exit of a server against the requests in flight there, and
// notifies the other daemons.
func (sy *Syncer) RecordServerExit(server string, suspects []quarantine.Suspect) {
	all := suspects
	suspects = quarantine.Unanswered(all)
	e := crashesObserved{crashes: sy.registry.RecordServerExit(server, quarantine.Contents(suspects), time.Now())}
	sy.recordPartCrash(server, suspects, time.Now())
	if len(suspects) > 0 {
		sy.ServerExits.Add(1)
	} else {
		sy.ExitsAfterAnswer.Add(1)
	}
	sy.Log.Warn().Str("server", server).Int("requests", len(all)).Int("answered", len(all)-len(suspects)).Int("counted", len(e.crashes)).Strs("contents", loggedContents(all)).Strs("parts", loggedParts(all)).Msg("quarantine: server exited with requests in flight")
	if len(e.crashes) > 0 {
		sy.enqueue(e)
	}
}

// maxLoggedParts bounds the parts, and the contents, in a log line.
const maxLoggedParts = 32

// loggedParts returns the parts of the requests that were in flight at an exit, for its log line.
func loggedParts(suspects []quarantine.Suspect) []string {
	parts := quarantine.Parts(suspects)
	return quarantine.PartNames(parts[:min(len(parts), maxLoggedParts)])
}

// loggedContents returns the contents of the requests that were in flight at an exit, for its log line.
func loggedContents(suspects []quarantine.Suspect) []string {
	var out []string
	for _, f := range quarantine.Contents(suspects[:min(len(suspects), maxLoggedParts)]) {
		out = append(out, f.String())
	}
	return out
}

// Answered records a request that a server has answered completely.
func (sy *Syncer) Answered(s quarantine.Suspect) {
	now := time.Now()
	sy.registry.Answered(s.Content, now)
	sy.parts.Answered(s.Parts, now)
}

// handleCrashes handles servers that exited under requests of this daemon.
func (sy *Syncer) handleCrashes(e crashesObserved, now time.Time) {
	for _, c := range e.crashes {
		sy.reportedExits[c.Server] = c.At
		sy.queueCrash(crashReport{crash: c, otherHalls: true, left: crashSendCount})
		sy.trackQuarantine(c.Content, now, quarantineRow{due: now, own: true})
	}
	sy.ownCrashes = append(sy.ownCrashes, e.crashes...)
}

// resendCrashes sends the recent crashes that this daemon has seen again if its reader has
// changed.
func (sy *Syncer) resendCrashes(now time.Time) {
	sy.ownCrashes = slices.DeleteFunc(sy.ownCrashes, func(c quarantine.Crash) bool { return now.Sub(c.At) > crashResendWindow })
	reader, _ := sy.readers.reader()
	if sy.reading.Load() {
		reader = sy.Self
	}
	if reader.ID == sy.crashReader {
		return
	}
	sy.crashReader = reader.ID
	for _, c := range sy.ownCrashes {
		sy.queueCrash(crashReport{crash: c, otherHalls: true, left: crashSendCount})
	}
}

// mergeCrashes merges crashes seen by other daemons. A reader passes new ones on to its hall,
// and to other halls if they come from its own hall.
func (sy *Syncer) mergeCrashes(from string, crashes []gossip.Crash, now time.Time) {
	m, known := (*sy.members.Load())[from]
	for _, received := range crashes {
		c := quarantine.Crash{Content: quarantine.Fingerprint(received.Content), Server: received.Server, At: now.Add(-time.Duration(received.AgeMS) * time.Millisecond)}
		sy.reportExit(c.Server, c.At, now)
		if !sy.registry.RecordCrash(c) {
			continue
		}
		if sy.reading.Load() {
			sy.queueCrash(crashReport{crash: c, otherHalls: known && m.Hall == sy.Self.Hall, left: crashSendCount})
		}
		sy.trackQuarantine(c.Content, now, quarantineRow{due: now.Add(sy.writeDelay(canary.RolledBack))})
	}
}

// recentExit is how old an exit may be for other daemons to take the server for down: it restarts
// within seconds.
const recentExit = 2 * time.Second

// reportExit reports the exit of a server that another daemon has found, once.
func (sy *Syncer) reportExit(server uint64, at, now time.Time) {
	maps.DeleteFunc(sy.reportedExits, func(_ uint64, at time.Time) bool { return now.Sub(at) > crashResendWindow })
	_, known := sy.reportedExits[server]
	if known || sy.OnServerExit == nil || now.Sub(at) > recentExit {
		return
	}
	sy.reportedExits[server] = at
	if addr, ok := sy.View().addressOf(server); ok {
		sy.OnServerExit(addr)
	}
}

// queueCrash queues a crash for sending if the backlog is not full.
func (sy *Syncer) queueCrash(n crashReport) {
	if len(sy.pendingCrashes) < crashBacklog {
		sy.pendingCrashes = append(sy.pendingCrashes, n)
	}
}

// sendCrashes sends the queued crashes: a reader to its hall and to other halls, another daemon
// to its reader.
func (sy *Syncer) sendCrashes(now time.Time) {
	sy.resendCrashes(now)
	if len(sy.pendingCrashes) == 0 {
		return
	}
	reader, ok := sy.readers.reader()
	if !sy.reading.Load() && !ok {
		return
	}
	var all, otherHalls []gossip.Crash
	var waiting []crashReport
	for i, n := range sy.pendingCrashes {
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
	sy.pendingCrashes = waiting
	if !sy.reading.Load() {
		sy.Peers.Send(reader.ID, reader.Addr, gossip.Response{Crashes: all})
		return
	}
	if to := sy.hallSubscribers(now); len(to) > 0 {
		sy.Peers.SendAll(to, gossip.Response{Crashes: all})
	}
	if len(otherHalls) > 0 {
		sy.broadcast(gossip.Response{Crashes: otherHalls})
	}
}

// trackQuarantine logs a request that has entered quarantine, and schedules the write of its
// row.
func (sy *Syncer) trackQuarantine(f quarantine.Fingerprint, now time.Time, c quarantineRow) {
	until, in := sy.registry.Quarantined(f, now)
	if !in {
		return
	}
	if _, noted := sy.quarantineRows[f]; !noted {
		sy.Log.Warn().Stringer("content", f).Dur("for", until.Sub(now)).Msg("quarantine: request quarantined because servers exited under it")
		sy.quarantineRows[f] = c
	}
}

// writeQuarantines writes the rows of requests in quarantine that the store does not have. The
// daemon that has seen the crash writes at once, and readers take turns if the row does not
// arrive: if the store is unavailable, hundreds of daemons would otherwise all try.
func (sy *Syncer) writeQuarantines(ctx context.Context, now time.Time) {
	for f, c := range sy.quarantineRows {
		until, in := sy.registry.Quarantined(f, now)
		if !in {
			delete(sy.quarantineRows, f)
			continue
		}
		key := quarantinePrefix + f.String()
		if sy.rowActive(key, now) || now.Before(c.due) || !c.own && !sy.reading.Load() {
			continue
		}
		// Retry if the row does not arrive from the store.
		sy.quarantineRows[f] = quarantineRow{due: now.Add(nonReaderWriteDelay), own: c.own}
		sy.writeConfinement(ctx, key, until)
	}
}

// rowActive reports whether the store has a row of a quarantine that has not ended.
func (sy *Syncer) rowActive(key string, now time.Time) bool {
	_, lost := sy.topics[gossip.Members].held[key]
	row, ok := sy.topics[gossip.Members].rows[key]
	return ok && !lost && sy.quarantineActive(row, now)
}

// writeConfinement writes the row of a quarantine in the background.
func (sy *Syncer) writeConfinement(ctx context.Context, key string, until time.Time) {
	data, err := cbor.Marshal(confinement{UntilMS: until.UnixMilli()})
	if err != nil {
		sy.Log.Error().Err(err).Msg("quarantine: cannot encode a row")
		return
	}
	go sy.putQuarantine(ctx, key, data)
}

// putQuarantine writes a row, whichever daemon has written it before and with whatever content.
func (sy *Syncer) putQuarantine(ctx context.Context, key string, data []byte) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sy.Calls.Add(1)
	if err := sy.Store.Put(ctx, gossip.Members, key, data); err != nil {
		sy.Log.Warn().Str("key", key).Err(err).Msg("quarantine: write of a row failed or its outcome is unknown; it is retried unless the row arrives")
	}
}

// quarantineActive reports whether the quarantine of a row has not ended.
func (sy *Syncer) quarantineActive(row gossip.Row, now time.Time) bool {
	var c confinement
	return cbor.Unmarshal(row.Data, &c) == nil && c.UntilMS > now.UnixMilli()
}

// readQuarantine reads the row of a request in quarantine.
func (sy *Syncer) readQuarantine(row gossip.Row, now time.Time) {
	digits := strings.TrimPrefix(row.Key, quarantinePrefix)
	f, err := strconv.ParseUint(digits, 16, 64)
	var c confinement
	if err == nil {
		err = cbor.Unmarshal(row.Data, &c)
	}
	if err == nil && len(digits) == partKeyDigits {
		err = sy.readPart(digits, time.UnixMilli(c.UntilMS), now)
	}
	if err != nil {
		sy.malformed(gossip.Members, row, err)
		return
	}
	if len(digits) == partKeyDigits {
		return
	}
	content := quarantine.Fingerprint(f)
	if sy.registry.Quarantine(content, time.UnixMilli(c.UntilMS), now) {
		sy.trackQuarantine(content, now, quarantineRow{due: now.Add(nonReaderWriteDelay)})
	}
}
