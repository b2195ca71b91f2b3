// Package logging writes log lines beside whoever logs. A reader of the log that has stopped reading must not hold an event
// loop up: lines that find no room are dropped and counted.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines wait to be written at most: some seconds of a busy proxy's log.
const maxQueuedLines = 4096

// Writer writes to another writer on a goroutine of its own. Its methods may be called from anywhere.
type Writer struct {
	out             io.Writer
	lines           chan []byte
	dropped         atomic.Uint64 // ever
	reportedDropped uint64        // of them in the log; the goroutine's own
	closeOnce       sync.Once
	closed          chan struct{} // closed by Close
	flushed         chan struct{} // closed once all is written after that
}

// NewWriter starts one.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{out: to, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that found no room.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close waits for what was taken to be written, but no longer than the given time.
func (w *Writer) Close(within time.Duration) {
	w.closeOnce.Do(func() { close(w.closed) })
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-w.flushed:
	case <-timer.C:
	}
}

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

// writeLine writes a line. A failure is not told: there is nowhere to tell it.
func (w *Writer) writeLine(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.reportedDropped {
		_, _ = fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines were dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped-w.reportedDropped)
		w.reportedDropped = dropped
	}
	_, _ = w.out.Write(line)
}
