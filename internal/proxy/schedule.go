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
	sequence int // orders calls for the same time, and identifies the call
	call     func()
}

// callHeap holds the scheduled calls, the earliest first. It implements heap.Interface.
type callHeap struct {
	calls        []scheduledCall
	lastSequence int
}

func (h *callHeap) Len() int { return len(h.calls) }
func (h *callHeap) Less(i, j int) bool {
	a, b := h.calls[i], h.calls[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}
func (h *callHeap) Swap(i, j int) { h.calls[i], h.calls[j] = h.calls[j], h.calls[i] }
func (h *callHeap) Push(x any)    { h.calls = append(h.calls, x.(scheduledCall)) }
func (h *callHeap) Pop() any {
	last := len(h.calls) - 1
	x := h.calls[last]
	h.calls[last] = scheduledCall{}
	h.calls = h.calls[:last]
	return x
}

// scheduleAfter makes the event loop run a call after a span.
func (p *Proxy) scheduleAfter(wait logic.Micros, call func()) { p.scheduleAt(p.now()+wait, call) }

// scheduleAt makes the event loop run a call at a given time. A call cannot be cancelled: it must check by itself
// whether it still applies.
func (p *Proxy) scheduleAt(at logic.Micros, call func()) {
	p.scheduledCalls.lastSequence++
	heap.Push(&p.scheduledCalls, scheduledCall{at, p.scheduledCalls.lastSequence, call})
	if p.scheduledCalls.calls[0].sequence == p.scheduledCalls.lastSequence {
		p.resetTimer()
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
		heap.Pop(&p.scheduledCalls).(scheduledCall).call()
	}
	p.resetTimer()
}
