package storesync

import (
	"slices"
	"time"

	"ladderridge.example/core/gossip"
)

// Figures are counters that the daemons of all data halls add up, such as the demand for a
// service. The syncer's goroutine calls the methods. An implementation publishes what other
// goroutines read as immutable snapshots.
type Figures interface {
	// Report returns the figures of this daemon, or nil if there are none.
	Report(now time.Time) []byte
	// SetDaemon records the report of a daemon of this hall.
	SetDaemon(id string, data []byte, now time.Time)
	// HallReport returns the sum of this hall for the readers of other halls, or nil.
	HallReport(now time.Time) []byte
	// SetHall records the sum of another hall.
	SetHall(hall string, data []byte, now time.Time)
	// Total returns the sum of all halls for the daemons of this one, or nil.
	Total(now time.Time) []byte
	// SetTotal records the sum of all halls.
	SetTotal(data []byte, now time.Time)
}

// figuresInterval is the minimum time between two reports of a daemon: the time between two of
// its requests to the reader.
const figuresInterval = queryInterval

// figuresUpdate returns a message with the figures that get returns, in an update of their own
// topic. Daemons without that topic ignore it.
func (sy *Syncer) figuresUpdate(get func(Figures) []byte) []gossip.Update {
	var rows []gossip.Row
	for name, f := range sy.Figures {
		if data := get(f); data != nil {
			rows = append(rows, gossip.Row{Key: name, Data: data})
		}
	}
	if len(rows) == 0 {
		return nil
	}
	return []gossip.Update{{Topic: gossip.Figures, Rows: rows}}
}

// reportFigures sends the figures of this daemon to the reader of its hall, and returns the digests
// of a request that also asks for the totals. It does neither soon after the last report: the
// totals of a new reader, which has no report of this daemon, lack its figures.
func (sy *Syncer) reportFigures(reader Member, digests []gossip.TopicDigest, now time.Time) []gossip.TopicDigest {
	if len(sy.Figures) == 0 || now.Sub(sy.figuresReportedAt) < figuresInterval {
		return digests
	}
	sy.figuresReportedAt = now
	if updates := sy.figuresUpdate(func(f Figures) []byte { return f.Report(now) }); updates != nil {
		sy.Peers.Send(reader.ID, reader.Addr, gossip.Response{Updates: updates})
	}
	return append(slices.Clip(digests), gossip.TopicDigest{Topic: gossip.Figures})
}

// requestsFigures reports whether the sender of a request uses figures.
func requestsFigures(digests []gossip.TopicDigest) bool {
	for _, d := range digests {
		if d.Topic == gossip.Figures {
			return true
		}
	}
	return false
}

// handleFigures handles the figures in a message: the totals in a response, otherwise the report
// of a daemon or of another hall.
func (sy *Syncer) handleFigures(from string, nonce uint64, update gossip.Update, now time.Time) {
	member, ok := (*sy.members.Load())[from]
	if !ok {
		return
	}
	for _, row := range update.Rows {
		f := sy.Figures[row.Key]
		switch {
		case f == nil:
		case nonce != 0:
			f.SetTotal(row.Data, now)
		case member.Hall == sy.Self.Hall:
			f.SetDaemon(from, row.Data, now)
		default:
			f.SetHall(member.Hall, row.Data, now)
		}
	}
}

// sendFigures sends the sums of this hall from a reader to other halls, and applies the totals
// to the reader itself.
func (sy *Syncer) sendFigures(now time.Time) {
	if len(sy.Figures) == 0 || !sy.reading.Load() || now.Sub(sy.figuresSentAt) < figuresInterval {
		return
	}
	sy.figuresSentAt = now
	for _, f := range sy.Figures {
		if own := f.Report(now); own != nil {
			f.SetDaemon(sy.Self.ID, own, now)
		}
	}
	if updates := sy.figuresUpdate(func(f Figures) []byte { return f.HallReport(now) }); updates != nil {
		sy.broadcast(gossip.Response{Updates: updates})
	}
	for _, f := range sy.Figures {
		if total := f.Total(now); total != nil {
			f.SetTotal(total, now)
		}
	}
}
