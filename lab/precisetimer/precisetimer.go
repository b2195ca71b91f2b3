// Package precisetimer runs functions at given times, to within some tenths of a millisecond. The timers of the Go runtime
// are up to a millisecond late on an idle machine, because the runtime sleeps in the kernel's poll, whose timeout is in whole
// milliseconds; that would be 5% of a measured time of 20 ms. This package sleeps in short steps on a thread of its own
// instead, while any timer is pending.
package precisetimer

import (
	"container/heap"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// maxSleep is the longest sleep between two looks at the pending timers, and so the most by which a timer is late that is set
// during a sleep and due before its end. The 5000 wake-ups a second cost some hundredths of a core.
const maxSleep = 200 * time.Microsecond

// Timer is a function that is to be called at a given time.
type Timer struct {
	at        time.Time
	callback  func()
	heapIndex int // index in pending; -1 once it has been removed
}

// timerHeap is a container/heap of timers, the earliest first.
type timerHeap []*Timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *timerHeap) Push(x any)        { t := x.(*Timer); t.heapIndex = len(*h); *h = append(*h, t) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = -1
	return t
}

var (
	mu      sync.Mutex // guards pending and running
	pending timerHeap
	running bool // whether a goroutine is in runPending
)

// RunAt calls callback at the given time, in a goroutine of its own. A time in the past is due at once.
func RunAt(at time.Time, callback func()) *Timer {
	t := &Timer{at: at, callback: callback}
	mu.Lock()
	defer mu.Unlock()
	heap.Push(&pending, t)
	if !running {
		running = true
		go runPending()
	}
	return t
}

// Stop prevents the callback from being called, if the timer has not fired yet.
func (t *Timer) Stop() {
	mu.Lock()
	defer mu.Unlock()
	if t.heapIndex >= 0 {
		heap.Remove(&pending, t.heapIndex)
	}
}

// WaitUntil blocks until the given time and returns true. It returns false if done is closed earlier.
func WaitUntil(at time.Time, done <-chan struct{}) bool {
	if time.Until(at) <= 0 {
		return true
	}
	reached := make(chan struct{})
	t := RunAt(at, func() { close(reached) })
	select {
	case <-reached:
		return true
	case <-done:
		t.Stop()
		return false
	}
}

// runPending calls the callbacks of timers as they become due, and returns when no timer is pending.
func runPending() {
	runtime.LockOSThread()
	// Without the unlock, the thread would end with this goroutine. Processes that were started on the thread earlier would
	// be killed then, since they are started with Pdeathsig; an agent was killed like that at the end of a run.
	defer runtime.UnlockOSThread()
	for {
		mu.Lock()
		now, ran := time.Now(), false
		for len(pending) > 0 && !pending[0].at.After(now) {
			go heap.Pop(&pending).(*Timer).callback()
			ran = true
		}
		if ran {
			// The new goroutines are in the run queue of this thread and would stay there during its sleep, until another
			// thread looks for work.
			mu.Unlock()
			runtime.Gosched()
			continue
		}
		if len(pending) == 0 {
			running = false
			mu.Unlock()
			return
		}
		sleep := min(maxSleep, pending[0].at.Sub(now))
		mu.Unlock()
		timespec := syscall.NsecToTimespec(int64(sleep))
		_ = syscall.Nanosleep(&timespec, nil) // an interrupted sleep only means another look at the heap
	}
}
