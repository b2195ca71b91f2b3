// Package beat runs calls at their time, to some tenths of a millisecond. The runtime's own timers are late by up to a
// millisecond on an idle machine, since it sleeps in the kernel's poll, which counts whole ones: 5% of 20 ms. One thread
// sleeps in short steps instead, only while something is due.
package precisetimer

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// maxSleep is the longest sleep: what is newly due before the next one is late by that much at most. Five thousand wakes a
// second cost some hundredths of a core.
const maxSleep = 200 * time.Microsecond

// Timer is a call that waits for its time.
type Timer struct {
	at        time.Time
	callback  func()
	heapIndex int // in the heap; -1 if it is there no more
}

type timerHeap []*Timer

func (r timerHeap) Len() int           { return len(r) }
func (r timerHeap) Less(i, j int) bool { return r[i].at.Before(r[j].at) }
func (r timerHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i]; r[i].heapIndex, r[j].heapIndex = i, j }
func (r *timerHeap) Push(x any)        { t := x.(*Timer); t.heapIndex = len(*r); *r = append(*r, t) }
func (r *timerHeap) Pop() any {
	last := len(*r) - 1
	t := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	t.heapIndex = -1
	return t
}

var (
	mu      sync.Mutex
	pending timerHeap
	running bool
)

// RunAt runs a call at a time, in a goroutine of its own.
func RunAt(at time.Time, call func()) *Timer {
	t := &Timer{at: at, callback: call}
	mu.Lock()
	defer mu.Unlock()
	heap.Push(&pending, t)
	if !running {
		running = true
		go runPending()
	}
	return t
}

// Stop has a call not run, if it has not begun.
func (t *Timer) Stop() {
	mu.Lock()
	defer mu.Unlock()
	if t.heapIndex >= 0 {
		heap.Remove(&pending, t.heapIndex)
	}
}

// WaitUntil waits until a time, or until done is closed; false then.
func WaitUntil(at time.Time, done <-chan struct{}) bool {
	if time.Until(at) <= 0 {
		return true
	}
	here := make(chan struct{})
	t := RunAt(at, func() { close(here) })
	select {
	case <-here:
		return true
	case <-done:
		t.Stop()
		return false
	}
}

func runPending() {
	runtime.LockOSThread()
	// A thread that ended with its goroutine would take the processes along that were started on it before: they are
	// killed with the thread that started them (Pdeathsig), as an agent was at the end of a run.
	defer runtime.UnlockOSThread()
	for {
		mu.Lock()
		now, ran := time.Now(), false
		for len(pending) > 0 && !pending[0].at.After(now) {
			go heap.Pop(&pending).(*Timer).callback()
			ran = true
		}
		if ran {
			// They stand in this thread's own queue, and would wait there until another one looks for work.
			mu.Unlock()
			runtime.Gosched()
			continue
		}
		if len(pending) == 0 {
			running = false
			mu.Unlock()
			return
		}
		wait := min(maxSleep, pending[0].at.Sub(now))
		mu.Unlock()
		ts := syscall.NsecToTimespec(int64(wait))
		_ = syscall.Nanosleep(&ts, nil) // broken off early, it looks again
	}
}
