package proxy

import (
	"container/heap"
	"time"

	"hatchproxy/logic"
)

// Shorthands for spans in microseconds.
const (
	millisecond = logic.Millisecond
	second      = logic.Second
)

// scheduledCall is a function that the event loop calls at a given time.
type scheduledCall struct {
	at       logic.Micros
	sequence int // orders calls for the same time
	index    int // in the heap; notScheduled if the call is not, or no longer, scheduled
	call     func()
}

// notScheduled is the index of a call that has been made or cancelled.
const notScheduled = -1

// callHeap holds the scheduled calls, the earliest first. It implements heap.Interface.
type callHeap struct {
	calls        []*scheduledCall
	lastSequence int
}

// Len returns the number of scheduled calls.
func (h *callHeap) Len() int { return len(h.calls) }

// Less orders calls by their time.
func (h *callHeap) Less(i, j int) bool {
	a, b := h.calls[i], h.calls[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

// Swap swaps two calls.
func (h *callHeap) Swap(i, j int) {
	h.calls[i], h.calls[j] = h.calls[j], h.calls[i]
	h.calls[i].index, h.calls[j].index = i, j
}

// Push adds a call at the end.
func (h *callHeap) Push(x any) {
	s := x.(*scheduledCall)
	s.index = len(h.calls)
	h.calls = append(h.calls, s)
}

// Pop removes the call at the end.
func (h *callHeap) Pop() any {
	last := len(h.calls) - 1
	s := h.calls[last]
	s.index = notScheduled
	h.calls[last] = nil
	h.calls = h.calls[:last]
	return s
}

// scheduleAfter makes the event loop run a call after a span.
func (p *Proxy) scheduleAfter(wait logic.Micros, call func()) *scheduledCall {
	return p.scheduleAt(p.now()+wait, call)
}

// scheduleAt makes the event loop run a call at a given time, unless it is cancelled before. A call that is not cancelled
// keeps alive what it refers to.
func (p *Proxy) scheduleAt(at logic.Micros, call func()) *scheduledCall {
	p.scheduledCalls.lastSequence++
	s := &scheduledCall{at: at, sequence: p.scheduledCalls.lastSequence, call: call}
	heap.Push(&p.scheduledCalls, s)
	if s.index == 0 {
		p.resetTimer()
	}
	return s
}

// cancelCall removes a scheduled call. It does nothing if s is nil, or if the call has been made or cancelled. The wake-up timer
// may then find nothing to do.
func (p *Proxy) cancelCall(s *scheduledCall) {
	if s != nil && s.index != notScheduled {
		heap.Remove(&p.scheduledCalls, s.index)
		s.call = nil
	}
}

// resetTimer sets the wake-up timer, of which there is one, to the time of the earliest scheduled call.
func (p *Proxy) resetTimer() {
	if p.loop == nil || len(p.scheduledCalls.calls) == 0 {
		return
	}
	wait := time.Duration(max(0, p.scheduledCalls.calls[0].at-p.now())) * time.Microsecond
	if p.wakeTimer == nil {
		p.wakeTimer = time.AfterFunc(wait, func() { p.post(p.runDueCalls) })
		return
	}
	p.wakeTimer.Reset(wait)
}

// runDueCalls runs the calls whose time has come.
func (p *Proxy) runDueCalls() {
	for now := p.now(); len(p.scheduledCalls.calls) > 0 && p.scheduledCalls.calls[0].at <= now; {
		heap.Pop(&p.scheduledCalls).(*scheduledCall).call()
	}
	p.resetTimer()
}
