// Package beat runs calls at their time, to some tenths of a millisecond. The runtime's own timers are late by up to a
// millisecond on an idle machine, since it sleeps in the kernel's poll, which counts whole ones: 5% of 20 ms. One thread
// sleeps in short steps instead, only while something is due.
package beat

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// step is the longest sleep: what is newly due before the next one is late by that much at most. Five thousand wakes a
// second cost some hundredths of a core.
const step = 200 * time.Microsecond

// Timer is a call that waits for its time.
type Timer struct {
	at    time.Time
	call  func()
	place int // in the heap; -1 if it is there no more
}

type row []*Timer

func (r row) Len() int           { return len(r) }
func (r row) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r row) Swap(i, j int)      { r[i], r[j] = r[j], r[i]; r[i].place, r[j].place = i, j }
func (r *row) Push(x any)        { t := x.(*Timer); t.place = len(*r); *r = append(*r, t) }
func (r *row) Pop() any {
	last := len(*r) - 1
	t := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	t.place = -1
	return t
}

var (
	mu      sync.Mutex
	waiting row
	awake   bool
)

// At runs a call at a time, in a goroutine of its own.
func At(at time.Time, call func()) *Timer {
	t := &Timer{at: at, call: call}
	mu.Lock()
	defer mu.Unlock()
	heap.Push(&waiting, t)
	if !awake {
		awake = true
		go run()
	}
	return t
}

// Stop has a call not run, if it has not begun.
func (t *Timer) Stop() {
	mu.Lock()
	defer mu.Unlock()
	if t.place >= 0 {
		heap.Remove(&waiting, t.place)
	}
}

// Until waits until a time, or until done is closed; false then.
func Until(at time.Time, done <-chan struct{}) bool {
	if time.Until(at) <= 0 {
		return true
	}
	here := make(chan struct{})
	t := At(at, func() { close(here) })
	select {
	case <-here:
		return true
	case <-done:
		t.Stop()
		return false
	}
}

func run() {
	runtime.LockOSThread()
	// A thread that ended with its goroutine would take the processes along that were started on it before: they are
	// killed with the thread that started them (Pdeathsig), as an agent was at the end of a run.
	defer runtime.UnlockOSThread()
	for {
		mu.Lock()
		now, ran := time.Now(), false
		for len(waiting) > 0 && !waiting[0].at.After(now) {
			go heap.Pop(&waiting).(*Timer).call()
			ran = true
		}
		if ran {
			// They stand in this thread's own queue, and would wait there until another one looks for work.
			mu.Unlock()
			runtime.Gosched()
			continue
		}
		if len(waiting) == 0 {
			awake = false
			mu.Unlock()
			return
		}
		wait := min(step, waiting[0].at.Sub(now))
		mu.Unlock()
		ts := syscall.NsecToTimespec(int64(wait))
		_ = syscall.Nanosleep(&ts, nil) // broken off early, it looks again
	}
}
