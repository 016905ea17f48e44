// Package logwriter writes log lines asynchronously, so that logging never blocks the caller.
package logwriter

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

// Writer writes lines from its own goroutine. Write never blocks: a line is dropped and
// counted if the backlog is full. Writer is safe for concurrent use, also during and after
// Close, when lines are dropped: a connection's goroutine may briefly outlive the daemon's
// shutdown.
//
// The log library's own asynchronous writer isn't used: it reads a line's buffer after
// returning it to its pool, which the race detector reports as soon as two goroutines log at
// once, and it panics on a line that is written after Close.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	// closing is closed by Close, ended when the backlog has been written.
	closing   chan struct{}
	ended     chan struct{}
	closeOnce sync.Once
}

// New returns a Writer that writes each line to out with one call and buffers at most backlog
// lines.
func New(out io.Writer, backlog int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, backlog), closing: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		w.run()
	}()
	return w
}

// Write implements io.Writer for one line. It never returns an error: dropped lines are
// counted instead.
func (w *Writer) Write(line []byte) (int, error) {
	if w.closed() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) closed() bool {
	select {
	case <-w.closing:
		return true
	default:
		return false
	}
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the backlog and stops the writer.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.ended
}

// run writes lines until the writer is closed, and then the backlog.
func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line. A line that cannot be written counts as dropped, since the error
// cannot be logged anywhere else.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
