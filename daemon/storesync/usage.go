package storesync

import (
	"strconv"
	"time"

	"ladderridge.example/core/gossip"
	"ladderridge.example/core/usage"
)

// UsageExchange is the usage data that daemons exchange. Each daemon sends its own to the
// reader of its hall with its regular requests. The readers send it to each other and to the
// daemon that reports to the platform, so that any of them can take over.
type UsageExchange interface {
	// Unacknowledged returns the records to send to a reader with the request of the given
	// number.
	Unacknowledged(reader string, nonce uint64, now time.Time) []usage.Record
	// Acknowledged records that the request was answered.
	Acknowledged(nonce uint64)
	// Merge merges the records of another daemon.
	Merge(records []usage.Record)
	// Updates returns the records to send to other readers, and the daemon that reports, or "".
	Updates(now time.Time) (records []usage.Record, holder string)
}

// usageInterval is the time between two usage messages of a reader.
const usageInterval = time.Second

// unacknowledgedUsage returns the usage to send to the reader of the hall. A reader that has
// restarted has no records and receives all.
func (sy *Syncer) unacknowledgedUsage(reader Member, nonce uint64, now time.Time) []usage.Record {
	if sy.Usage == nil {
		return nil
	}
	return sy.Usage.Unacknowledged(reader.ID+"@"+strconv.FormatUint(reader.Start, 10), nonce, now)
}

// mergeUsage merges the usage of another daemon.
func (sy *Syncer) mergeUsage(records []usage.Record) {
	if sy.Usage != nil {
		sy.Usage.Merge(records)
	}
}

// sendUsage sends the usage from a reader to the other readers and to the daemon that reports.
func (sy *Syncer) sendUsage(now time.Time) {
	if sy.Usage == nil || !sy.reading.Load() || now.Sub(sy.usageSentAt) < usageInterval {
		return
	}
	sy.usageSentAt = now
	records, holder := sy.Usage.Updates(now)
	if len(records) == 0 {
		return
	}
	sy.broadcastWith((*sy.members.Load())[holder], gossip.Response{Usage: records})
}
