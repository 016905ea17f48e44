package duties

import (
	"context"
	"time"

	"ladderridge.example/core/duty"
	"ladderridge.example/core/usage"
)

// reportTask is the task of the daemon that holds the duty to report usage.
type reportTask struct {
	reports usage.ReportLog
}

// loadReportLog loads the report log that the previous holder stored.
func (d *Leaseholder) loadReportLog(ds *dutyState, w *reportTask) {
	reports, err := usage.DecodeReportLog(ds.elector.State())
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: the stored report log does not decode: starting with an empty one")
	}
	w.reports = reports
}

// report composes the report of the next window, and sends a due report once the store holds it.
func (d *Leaseholder) report(ctx context.Context, ds *dutyState, w *reportTask, now time.Time) {
	d.compose(ds, w, now)
	r, ok := w.reports.Due(now, d.Settings.Window, d.Settings.ReportDeadline)
	if !ok || !ds.elector.StateStored() || !d.beginCall(ds, now) {
		return
	}
	d.callPlatform(ctx, ds, func(ctx context.Context, by Caller) error { return d.Platform.Report(ctx, by, r) }, func(err error) {
		if err != nil {
			return
		}
		d.Reports.Add(1)
		w.reports = w.reports.WithAccepted(r.Window)
		d.Log.Info().Uint64("window", uint64(r.Window)).Int("organisations", len(r.Counts)).Dur("after", time.Since(r.Window.End(d.Settings.Window))).Msg("duty: usage reported")
	})
}

// compose adds the report of the next window to the report log and has the log stored.
func (d *Leaseholder) compose(ds *dutyState, w *reportTask, now time.Time) {
	d.usage.mu.Lock()
	d.usage.mergeOwn(now)
	r, ok := w.reports.Next(d.usage.aggregate, now, d.Settings.Window, d.Settings.ReportDeadline)
	d.usage.mu.Unlock()
	if !ok {
		return
	}
	reports := w.reports.With(r)
	state, err := reports.Encode()
	if err != nil {
		d.Log.Error().Err(err).Msg("duty: cannot encode the report log")
		return
	}
	w.reports = reports
	ds.elector.SetState(state)
}

// holderOfUsage returns the lease holder of the duty to report usage, as far as this daemon knows.
func (d *Leaseholder) holderOfUsage() string {
	for _, s := range d.Status() {
		if s.Duty == duty.Usage {
			return s.Holder
		}
	}
	return ""
}
