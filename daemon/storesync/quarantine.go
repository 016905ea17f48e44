package storesync

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/quarantine"
)

const (
	// quarantinePrefix followed by a fingerprint is the key of the row of a request in
	// quarantine.
	quarantinePrefix = "quarantine/"
)

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

// RecordServerExit counts the exit of a server against the requests that were there, and notifies the other
// daemons. An exit that this daemon knew to be planned is no evidence against them.
func (sy *Syncer) RecordServerExit(server string, suspects []quarantine.Suspect) {
	now, counted := time.Now(), 0
	planned := sy.planned.servers.Includes(quarantine.ServerHash(server), now)
	if !planned {
		counted = sy.countExit(server, suspects, now)
	}
	answered := 0
	for _, s := range suspects {
		if s.Answered {
			answered++
		}
	}
	switch {
	case planned:
		sy.PlannedExits.Add(1)
	case answered < len(suspects):
		sy.ServerExits.Add(1)
	default:
		sy.ExitsAfterAnswer.Add(1)
	}
	sy.Log.Warn().Str("server", server).Int("requests", len(suspects)).Int("answered", answered).Int("counted", counted).Bool("planned", planned).Strs("contents", loggedContents(suspects)).Strs("parts", loggedParts(suspects)).Msg("quarantine: server exited with requests in flight")
}

// countExit counts an exit against the requests that were there, and returns how many contents it is new for.
func (sy *Syncer) countExit(server string, suspects []quarantine.Suspect, now time.Time) (counted int) {
	for _, cs := range []*confinementSync{sy.contents, sy.parts} {
		for _, c := range cs.registry.RecordServerExit(quarantine.ServerHash(server), suspects, cs.keys, now) {
			if cs == sy.contents {
				counted += len(c.Parts)
			}
			sy.enqueue(crashObserved{cs, c})
		}
	}
	return counted
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
func (sy *Syncer) Answered(server string, s quarantine.Suspect) {
	for _, cs := range []*confinementSync{sy.contents, sy.parts} {
		cs.registry.Answered(cs.keys(s), s.Group, quarantine.ServerHash(server), time.Now())
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
	p, err := strconv.ParseUint(digits, 16, 64)
	var c confinement
	if err == nil {
		err = cbor.Unmarshal(row.Data, &c)
	}
	if err != nil {
		sy.malformed(gossip.Members, row, err)
		return
	}
	cs := sy.contents
	if len(digits) == partKeyDigits {
		cs = sy.parts
	}
	if cs.registry.Confine(quarantine.Part(p), time.UnixMilli(c.UntilMS), now) {
		sy.trackConfinements(cs, now)
	}
}
