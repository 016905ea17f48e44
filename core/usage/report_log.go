package usage

import (
	"encoding/json"
	"time"
)

// Report is the usage in one window. It never changes once it is in a log: the platform treats
// different reports of one window as an error of the whole cluster.
type Report struct {
	Window Window  `json:"window"`
	Counts []Count `json:"counts"`
	// Accepted is set once the platform has accepted the report.
	Accepted bool `json:"taken"`
}

// ReportLog holds the reports of the latest windows, oldest first. It is stored before any of them is
// sent, so that the next holder of the duty sends identical reports. It is immutable.
type ReportLog struct {
	Reports []Report `json:"reports"`
}

// maxReports is the maximum number of reports in a log: those that may still be due, and a margin.
const maxReports = 8

// DecodeReportLog decodes a log.
func DecodeReportLog(state string) (ReportLog, error) {
	var l ReportLog
	if state == "" {
		return l, nil
	}
	if err := json.Unmarshal([]byte(state), &l); err != nil {
		return ReportLog{}, &Error{Op: "decode usage reports", Kind: Malformed, Err: err}
	}
	return l, nil
}

// Encode returns the encoded log.
func (l ReportLog) Encode() (string, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return "", &Error{Op: "encode usage reports", Kind: Malformed, Err: err}
	}
	return string(data), nil
}

// Last returns the latest window with a report; ok is false if there is none.
func (l ReportLog) Last() (w Window, ok bool) {
	if len(l.Reports) == 0 {
		return 0, false
	}
	return l.Reports[len(l.Reports)-1].Window, true
}

// With returns a copy of the log with one more report, which is of a later window.
func (l ReportLog) With(r Report) ReportLog {
	reports := append(append([]Report{}, l.Reports...), r)
	return ReportLog{Reports: reports[max(0, len(reports)-maxReports):]}
}

// WithAccepted returns a copy of the log with the report of a window marked as accepted.
func (l ReportLog) WithAccepted(w Window) ReportLog {
	reports := append([]Report{}, l.Reports...)
	for i := range reports {
		reports[i].Accepted = reports[i].Accepted || reports[i].Window == w
	}
	return ReportLog{Reports: reports}
}

// Due returns the oldest report that the platform has not accepted and would still accept.
func (l ReportLog) Due(now time.Time, length, late time.Duration) (r Report, ok bool) {
	for _, r := range l.Reports {
		if !r.Accepted && now.Sub(r.Window.End(length)) <= late {
			return r, true
		}
	}
	return Report{}, false
}

const (
	// settleDelay is how long after its end a window is reported at the earliest. By then all daemons
	// have sent their counts for it twice.
	settleDelay = 2500 * time.Millisecond
	// waitDivisor is the divisor of the time until a report is late. For the resulting time the holder
	// waits for daemons that have sent incomplete counts, which may have stopped. The rest of the time is
	// left for a new holder if this one fails.
	waitDivisor = 2
)

// Next returns the report of the next window if it is to be sent now. Windows follow one another
// without a gap, from the first one that the aggregate knows.
func (l ReportLog) Next(a *Aggregate, now time.Time, length, late time.Duration) (r Report, ok bool) {
	w, found := l.Last()
	if found {
		w++
	} else if w, found = a.First(); !found {
		return Report{}, false
	}
	// Windows that are too late for the platform are skipped.
	if earliest := At(now.Add(-late), length); w < earliest {
		w = earliest
	}
	after := now.Sub(w.End(length))
	if after < settleDelay || (after < late/waitDivisor && !a.Complete(w)) {
		return Report{}, false
	}
	return Report{Window: w, Counts: a.Sum(w)}, true
}
