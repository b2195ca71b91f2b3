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

// room is how many lines wait to be written at most: some seconds of a busy proxy's log.
const room = 4096

// Writer writes to another writer on a goroutine of its own. Its methods may be called from anywhere.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Uint64 // ever
	told    uint64        // of them in the log; the goroutine's own
	closing sync.Once
	over    chan struct{} // closed by Close
	written chan struct{} // closed once all is written after that
}

// NewWriter starts one.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, room), over: make(chan struct{}), written: make(chan struct{})}
	go w.serve()
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
	w.closing.Do(func() { close(w.over) })
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-w.written:
	case <-timer.C:
	}
}

func (w *Writer) serve() {
	defer close(w.written)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-w.over:
			for {
				select {
				case line := <-w.lines:
					w.put(line)
				default:
					return
				}
			}
		}
	}
}

// put writes a line. A failure is not told: there is nowhere to tell it.
func (w *Writer) put(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.told {
		_, _ = fmt.Fprintf(w.to, "time=%s level=WARN msg=\"log lines were dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped-w.told)
		w.told = dropped
	}
	_, _ = w.to.Write(line)
}
