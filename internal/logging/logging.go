// Package logging writes log lines asynchronously, so that a reader of the log that has stopped reading does not block an
// event loop. Lines for which the queue has no room are dropped and counted.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the size of the queue, enough for some seconds of a busy proxy's log.
const maxQueuedLines = 4096

// Writer writes to another writer on a goroutine of its own. Its methods may be called from any goroutine.
type Writer struct {
	out             io.Writer
	lines           chan []byte
	dropped         atomic.Uint64 // total
	reportedDropped uint64        // of these, how many the log reports; used by the writing goroutine only
	closeOnce       sync.Once
	closed          chan struct{} // closed by Close
	flushed         chan struct{} // closed once all queued lines are written after Close
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits until the queued lines are written, but no longer than timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.closed) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.flushed:
	case <-timer.C:
	}
}

// run writes the queued lines until Close is called and the queue is empty.
func (w *Writer) run() {
	defer close(w.flushed)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closed:
			for {
				select {
				case line := <-w.lines:
					w.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes a line, after a line that reports newly dropped lines. Failures are ignored, as there is no other place to
// report them.
func (w *Writer) writeLine(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.reportedDropped {
		_, _ = fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines were dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped-w.reportedDropped)
		w.reportedDropped = dropped
	}
	_, _ = w.out.Write(line)
}
