package usage

import (
	"encoding/json"
	"time"
)

// Report is what is told of a window. Once it stands in a book it never changes: the
// platform counts two that differ against all.
type Report struct {
	Window Window  `json:"window"`
	Counts []Count `json:"counts"`
	// Taken tells that the platform has taken it.
	Taken bool `json:"taken"`
}

// Book is the reports of the latest windows, oldest first. It is kept in the store before
// any of them is sent, so that the next holder sends the same ones. It is never changed.
type Book struct {
	Reports []Report `json:"reports"`
}

// mostReports bounds the reports of a book: those that may still be due, and some more.
const mostReports = 8

// ReadBook reads a book.
func ReadBook(state string) (Book, error) {
	var b Book
	if state == "" {
		return b, nil
	}
	if err := json.Unmarshal([]byte(state), &b); err != nil {
		return Book{}, &Error{Op: "read book", Kind: Malformed, Err: err}
	}
	return b, nil
}

// Encode writes a book.
func (b Book) Encode() (string, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return "", &Error{Op: "write book", Kind: Malformed, Err: err}
	}
	return string(data), nil
}

// Last is the latest window with a report; ok is false if there is none.
func (b Book) Last() (w Window, ok bool) {
	if len(b.Reports) == 0 {
		return 0, false
	}
	return b.Reports[len(b.Reports)-1].Window, true
}

// With returns the book with another report, of a later window.
func (b Book) With(r Report) Book {
	reports := append(append([]Report{}, b.Reports...), r)
	return Book{Reports: reports[max(0, len(reports)-mostReports):]}
}

// WithTaken returns the book with the report of a window taken.
func (b Book) WithTaken(w Window) Book {
	reports := append([]Report{}, b.Reports...)
	for i := range reports {
		reports[i].Taken = reports[i].Taken || reports[i].Window == w
	}
	return Book{Reports: reports}
}

// Due returns the oldest report that the platform has not taken and would still take.
func (b Book) Due(now time.Time, length, late time.Duration) (r Report, ok bool) {
	for _, r := range b.Reports {
		if !r.Taken && now.Sub(r.Window.End(length)) <= late {
			return r, true
		}
	}
	return Report{}, false
}

const (
	// settleTime is how long after its end a window is reported at the earliest: all
	// daemons have told of it twice by then.
	settleTime = 2500 * time.Millisecond
	// patiencePart is the part of the time until a report is late, as a divisor, for which
	// daemons that do not tell the rest of a window are waited for: they may have ended. What
	// is left is for a new holder, should this one end.
	patiencePart = 2
)

// Next decides whether the next window is to be reported now, and by which counts. Windows
// follow one another without a gap, from the first one that the pool knows of.
func (b Book) Next(p *Pool, now time.Time, length, late time.Duration) (r Report, ok bool) {
	w, found := b.Last()
	if found {
		w++
	} else if w, found = p.First(); !found {
		return Report{}, false
	}
	// What is too late for the platform is passed over.
	if earliest := At(now.Add(-late), length); w < earliest {
		w = earliest
	}
	after := now.Sub(w.End(length))
	if after < settleTime || (after < late/patiencePart && !p.Whole(w)) {
		return Report{}, false
	}
	return Report{Window: w, Counts: p.Sum(w)}, true
}
