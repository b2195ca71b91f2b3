package proxy

import (
	"container/heap"
	"time"

	"hatchproxy/logic"
)

const (
	millisecond = logic.Millisecond
	second      = logic.Second
)

// scheduledCall is a call that waits for its time.
type scheduledCall struct {
	at       logic.Micros
	sequence int // settles ties, and where it stands in the heap
	call     func()
}

type callHeap struct {
	calls        []scheduledCall
	lastSequence int
}

func (d *callHeap) Len() int { return len(d.calls) }
func (d *callHeap) Less(i, j int) bool {
	a, b := d.calls[i], d.calls[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}
func (d *callHeap) Swap(i, j int) { d.calls[i], d.calls[j] = d.calls[j], d.calls[i] }
func (d *callHeap) Push(x any)    { d.calls = append(d.calls, x.(scheduledCall)) }
func (d *callHeap) Pop() any {
	last := len(d.calls) - 1
	x := d.calls[last]
	d.calls[last] = scheduledCall{}
	d.calls = d.calls[:last]
	return x
}

func (p *Proxy) scheduleAfter(wait logic.Micros, call func()) { p.scheduleAt(p.now()+wait, call) }

// scheduleAt has the loop run a call at a time. A call that has lost its sense by then must find that out.
func (p *Proxy) scheduleAt(at logic.Micros, call func()) {
	p.scheduledCalls.lastSequence++
	heap.Push(&p.scheduledCalls, scheduledCall{at, p.scheduledCalls.lastSequence, call})
	if p.scheduledCalls.calls[0].sequence == p.scheduledCalls.lastSequence {
		p.resetTimer()
	}
}

// resetTimer sets the one timer to the earliest due time.
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

func (p *Proxy) runDueCalls() {
	for now := p.now(); len(p.scheduledCalls.calls) > 0 && p.scheduledCalls.calls[0].at <= now; {
		heap.Pop(&p.scheduledCalls).(scheduledCall).call()
	}
	p.resetTimer()
}
