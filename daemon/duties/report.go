package duties

import (
	"context"
	"time"

	"ladderridge.example/core/duty"
	"ladderridge.example/core/usage"
)

// reporting is the work of the holder of the duty to report usage.
type reporting struct {
	book usage.ReportLog
}

// takeBook takes the book that the holder before has left.
func (d *Leaseholder) takeBook(h *holding, w *reporting) {
	book, err := usage.DecodeReportLog(h.claim.State())
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: the book of reports does not decode: a new one is begun")
	}
	w.book = book
}

// report composes the report of the next window, and sends those that the store keeps.
func (d *Leaseholder) report(ctx context.Context, h *holding, w *reporting, now time.Time) {
	d.compose(h, w, now)
	r, ok := w.book.Due(now, d.Settings.Window, d.Settings.Late)
	if !ok || !h.claim.StateStored() || !d.mayCall(h, now) {
		return
	}
	d.call(ctx, h, func(ctx context.Context, by Signature) error { return d.Platform.Report(ctx, by, r) }, func(err error) {
		if err != nil {
			return
		}
		d.Reports.Add(1)
		w.book = w.book.WithAccepted(r.Window)
		d.Log.Info().Uint64("window", uint64(r.Window)).Int("organisations", len(r.Counts)).Dur("after", time.Since(r.Window.End(d.Settings.Window))).Msg("duty: usage reported")
	})
}

// compose puts the report of the next window into the book, which the store keeps from then
// on.
func (d *Leaseholder) compose(h *holding, w *reporting, now time.Time) {
	d.ledger.mu.Lock()
	d.ledger.turn(now)
	r, ok := w.book.Next(d.ledger.pool, now, d.Settings.Window, d.Settings.Late)
	d.ledger.mu.Unlock()
	if !ok {
		return
	}
	book := w.book.With(r)
	state, err := book.Encode()
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: the book of reports cannot be encoded")
		return
	}
	w.book = book
	h.claim.SetState(state)
}

// holderOfUsage is who holds the duty to report usage, as far as is known here.
func (d *Leaseholder) holderOfUsage() string {
	for _, s := range d.Status() {
		if s.Duty == duty.Usage {
			return s.Holder
		}
	}
	return ""
}
