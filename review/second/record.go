package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start of the case in seconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// since returns the time since the start of the case in seconds.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) logAt(t time.Time, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", r.since(t), fmt.Sprintf(format, a...))
}

func (r *record) log(format string, a ...any) { r.logAt(time.Now(), format, a...) }
