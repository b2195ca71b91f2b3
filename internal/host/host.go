// Package host keeps many instances of the decisions: their attachments in hand, their timers and the calls
// between them and a line. It decides nothing.
package host

import (
	"container/heap"
	"fmt"

	"hatchproxy/logic"
)

// InstanceID is the number of an instance on the line.
type InstanceID uint32

// Executor carries what the selected instance wants done.
type Executor interface {
	SelectInstance(InstanceID)
	Send(logic.AttachmentID, logic.ServerID, logic.Micros)
	PushBack(logic.AttachmentID, logic.Micros)
	GiveUp(logic.AttachmentID)
	Move(logic.AttachmentID)
	Probe(logic.ServerID)
	Subscribe()
	WakeAt(at logic.Micros)
	Log(words string)
}

// Host is the set of instances behind one line.
type Host struct {
	executor  Executor
	now       logic.Micros
	instances map[InstanceID]*Instance
}

// New makes a host without instances.
func New(line Executor) *Host {
	return &Host{executor: line, instances: map[InstanceID]*Instance{}}
}

// Instance is one proxy's decisions with the attachments it has in hand.
type Instance struct {
	*logic.Balancer
	executor    Executor
	id          InstanceID
	attachments map[logic.AttachmentID]*logic.Attachment
	waiting     waitQueue
	nextWake    logic.Micros // the earliest one that is still to come; 0 if none
}

// SetTime sets the clock for the calls that follow.
func (h *Host) SetTime(now logic.Micros) { h.now = now }

// Open starts an instance.
func (h *Host) Open(id InstanceID, b *logic.Balancer) *Instance {
	in := &Instance{Balancer: b, executor: h.executor, id: id, attachments: map[logic.AttachmentID]*logic.Attachment{}}
	h.instances[id] = in
	return in
}

// Remove drops an instance with all that it held.
func (h *Host) Remove(id InstanceID) { delete(h.instances, id) }

// Instance finds a running instance.
func (h *Host) Instance(id InstanceID) (*Instance, error) {
	if in := h.instances[id]; in != nil {
		return in, nil
	}
	return nil, fmt.Errorf("instance %d is not open", id)
}

// Arrived takes an attachment in hand and asks where to send it.
func (in *Instance) Arrived(now logic.Micros, a *logic.Attachment) {
	in.attachments[a.ID] = a
	in.applyDecision(now, a, in.ChooseServer(now, a))
}

// ConnectionResumed takes a connection in hand that stood before the instance did.
func (in *Instance) ConnectionResumed(now logic.Micros, a *logic.Attachment, server logic.ServerID) {
	in.attachments[a.ID] = a
	in.RecordRestored(now, a, server)
}

// ConnectionEstablished passes on that a connection stands.
func (in *Instance) ConnectionEstablished(now logic.Micros, id logic.AttachmentID) {
	if a := in.attachments[id]; a != nil {
		in.RecordEstablished(now, a)
	}
}

// DispatchEnded passes on how a dispatch ended; over says that the attachment has its final answer.
func (in *Instance) DispatchEnded(now logic.Micros, id logic.AttachmentID, o logic.Outcome, over bool) {
	a := in.attachments[id]
	if a == nil {
		return
	}
	ans := in.RecordOutcome(now, a, o, over)
	if over {
		delete(in.attachments, id)
		return
	}
	in.applyDecision(now, a, ans)
}

// LoadChanged passes on a connection's load.
func (in *Instance) LoadChanged(now logic.Micros, id logic.AttachmentID, level float64) {
	if a := in.attachments[id]; a != nil {
		in.RecordLoad(now, a, level)
	}
}

// ClientLeft passes on that a client is gone; a dispatch still out keeps its attachment until its outcome.
func (in *Instance) ClientLeft(now logic.Micros, id logic.AttachmentID) {
	a := in.attachments[id]
	if a == nil {
		return
	}
	in.RecordClientLeft(now, a)
	if !a.IsPending() {
		delete(in.attachments, id)
	}
}

func (in *Instance) applyDecision(now logic.Micros, a *logic.Attachment, ans logic.Decision) {
	switch ans.Action {
	case logic.Send:
		in.output().Send(a.ID, ans.Server, ans.Duration)
	case logic.Hold:
		heap.Push(&in.waiting, waitEntry{now + ans.Duration, a.ID})
	case logic.PushBack:
		in.output().PushBack(a.ID, ans.Duration)
		delete(in.attachments, a.ID)
	case logic.GiveUp:
		in.output().GiveUp(a.ID)
		delete(in.attachments, a.ID)
	}
}

func (in *Instance) output() Executor {
	in.executor.SelectInstance(in.id)
	return in.executor
}

// RunDue asks again for the attachments whose time has come, runs the errands that are due and sees to it
// that a reminder comes in time.
func (in *Instance) RunDue(now logic.Micros) {
	for len(in.waiting) > 0 && in.waiting[0].at <= now {
		held := heap.Pop(&in.waiting).(waitEntry)
		if a := in.attachments[held.id]; a != nil {
			in.applyDecision(now, a, in.ChooseServer(now, a))
		}
	}
	wait, errands := in.Tick(now)
	for _, e := range errands {
		in.runJob(e)
	}
	next := now + wait
	if len(in.waiting) > 0 {
		next = min(next, in.waiting[0].at)
	}
	if in.nextWake <= now || next < in.nextWake {
		in.nextWake = next
		in.output().WakeAt(next)
	}
}

func (in *Instance) runJob(e logic.Job) {
	line := in.output()
	switch e.Kind {
	case logic.Subscribe:
		line.Subscribe()
	case logic.Move:
		line.Move(e.Attachment)
	case logic.Probe:
		line.Probe(e.Server)
	case logic.Log:
		line.Log(e.Message)
	}
}

// waitQueue holds the attachments that wait, soonest first; the id settles ties.
type waitQueue []waitEntry

type waitEntry struct {
	at logic.Micros
	id logic.AttachmentID
}

func (d waitQueue) Len() int { return len(d) }
func (d waitQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].id < d[j].id
}
func (d waitQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *waitQueue) Push(x any)   { *d = append(*d, x.(waitEntry)) }
func (d *waitQueue) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}
