package storesync

import (
	"strconv"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/usage"
)

// UsageExchange has what daemons exchange of usage. Each sends its own to its hall's reader with
// the questions that it asks anyway; the readers tell each other, and the one that reports, so
// that any of them can take over.
type UsageExchange interface {
	// Unacknowledged returns what a reader is to be sent along with the question of a number.
	Unacknowledged(reader string, nonce uint64, now time.Time) []usage.Record
	// Acknowledged notes that the question was answered.
	Acknowledged(nonce uint64)
	// Merge takes in what another daemon has sent.
	Merge(records []usage.Record)
	// Updates returns what other readers are to be sent, and who reports, or "".
	Updates(now time.Time) (records []usage.Record, holder string)
}

// usageInterval is the time between two messages of a reader about usage.
const usageInterval = time.Second

// unacknowledgedUsage is what the hall's reader is to be told of this daemon's usage. A reader that has
// begun anew knows nothing, and is told all.
func (k *Syncer) unacknowledgedUsage(reader Member, nonce uint64, now time.Time) []usage.Record {
	if k.Usage == nil {
		return nil
	}
	return k.Usage.Unacknowledged(reader.ID+"@"+strconv.FormatUint(reader.Start, 10), nonce, now)
}

// mergeUsage takes what another daemon tells of usage.
func (k *Syncer) mergeUsage(records []usage.Record) {
	if k.Usage != nil {
		k.Usage.Merge(records)
	}
}

// sendUsage has a reader tell the other ones, and the daemon that reports, what it knows.
func (k *Syncer) sendUsage(now time.Time) {
	if k.Usage == nil || !k.reading.Load() || now.Sub(k.usageSentAt) < usageInterval {
		return
	}
	k.usageSentAt = now
	records, holder := k.Usage.Updates(now)
	if len(records) == 0 {
		return
	}
	k.broadcastWith((*k.members.Load())[holder], gossip.Response{Usage: records})
}
