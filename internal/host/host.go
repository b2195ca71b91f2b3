// Package host runs one or more balancer instances. It keeps the attachments and timers of each instance, passes events to
// its balancer and carries out the balancer's decisions through an Executor. It makes no decisions itself.
package host

import (
	"container/heap"
	"fmt"

	"hatchproxy/logic"
)

// InstanceID identifies an instance towards the Executor.
type InstanceID uint32

// Executor carries out the actions of instances. SelectInstance names the instance that the following calls are for.
type Executor interface {
	SelectInstance(InstanceID)
	Send(logic.AttachmentID, logic.ServerID, logic.Micros) // dispatch it to a server, with a timeout
	PushBack(logic.AttachmentID, logic.Micros)             // tell the client that a retry is harmless, after this time if it is not 0
	GiveUp(logic.AttachmentID)                             // tell the client that it failed, without inviting a retry
	Move(logic.AttachmentID)                               // end the connection gracefully, so that the client connects anew
	Probe(logic.ServerID)                                  // send a server a probe
	Subscribe()                                            // subscribe to the server list
	WakeAt(at logic.Micros)                                // call Instance.RunDue at this time
	Log(message string)                                    // write the message to the log
}

// Host is a set of instances that share one Executor.
type Host struct {
	executor  Executor
	now       logic.Micros
	instances map[InstanceID]*Instance
}

// New returns a Host without instances.
func New(executor Executor) *Host {
	return &Host{executor: executor, instances: map[InstanceID]*Instance{}}
}

// Instance is the balancer of one proxy with the attachments that it is responsible for.
type Instance struct {
	*logic.Balancer
	executor    Executor
	id          InstanceID
	attachments map[logic.AttachmentID]*logic.Attachment
	waiting     waitQueue    // attachments for which a server is to be chosen later
	nextWake    logic.Micros // the next time at which RunDue has been asked for; 0 before the first
}

// SetTime sets the current time.
func (h *Host) SetTime(now logic.Micros) { h.now = now }

// Open adds an instance and returns it.
func (h *Host) Open(id InstanceID, b *logic.Balancer) *Instance {
	in := &Instance{Balancer: b, executor: h.executor, id: id, attachments: map[logic.AttachmentID]*logic.Attachment{}}
	h.instances[id] = in
	return in
}

// Remove drops an instance with all its attachments.
func (h *Host) Remove(id InstanceID) { delete(h.instances, id) }

// Instance returns an open instance, or an error if there is none with this id.
func (h *Host) Instance(id InstanceID) (*Instance, error) {
	if in := h.instances[id]; in != nil {
		return in, nil
	}
	return nil, fmt.Errorf("instance %d is not open", id)
}

// Arrived adds an attachment and has a server chosen for it.
func (in *Instance) Arrived(now logic.Micros, a *logic.Attachment) {
	in.attachments[a.ID] = a
	in.applyDecision(now, a, in.ChooseServer(now, a))
}

// ConnectionResumed adds an attachment whose connection was established before the instance was opened.
func (in *Instance) ConnectionResumed(now logic.Micros, a *logic.Attachment, server logic.ServerID) {
	in.attachments[a.ID] = a
	in.RecordResumed(now, a, server)
}

// ConnectionEstablished records that the connection of an attachment is established.
func (in *Instance) ConnectionEstablished(now logic.Micros, id logic.AttachmentID) {
	if a := in.attachments[id]; a != nil {
		in.RecordEstablished(now, a)
	}
}

// DispatchEnded records the outcome of a dispatch. final says that the attachment has its final answer; otherwise the
// balancer decides what to do next.
func (in *Instance) DispatchEnded(now logic.Micros, id logic.AttachmentID, outcome logic.Outcome, final bool) {
	a := in.attachments[id]
	if a == nil {
		return
	}
	decision := in.RecordOutcome(now, a, outcome, final)
	if final {
		delete(in.attachments, id)
		return
	}
	in.applyDecision(now, a, decision)
}

// LoadChanged records the load of a connection.
func (in *Instance) LoadChanged(now logic.Micros, id logic.AttachmentID, load float64) {
	if a := in.attachments[id]; a != nil {
		in.RecordLoad(now, a, load)
	}
}

// ClientLeft records that a client has left. An attachment with a dispatch in progress is kept until its outcome.
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

// applyDecision carries out a decision of the balancer on an attachment.
func (in *Instance) applyDecision(now logic.Micros, a *logic.Attachment, decision logic.Decision) {
	switch decision.Action {
	case logic.Send:
		in.selectedExecutor().Send(a.ID, decision.Server, decision.Duration)
	case logic.Hold:
		heap.Push(&in.waiting, waitEntry{now + decision.Duration, a.ID})
	case logic.PushBack:
		in.selectedExecutor().PushBack(a.ID, decision.Duration)
		delete(in.attachments, a.ID)
	case logic.GiveUp:
		in.selectedExecutor().GiveUp(a.ID)
		delete(in.attachments, a.ID)
	}
}

// selectedExecutor returns the executor, with this instance selected.
func (in *Instance) selectedExecutor() Executor {
	in.executor.SelectInstance(in.id)
	return in.executor
}

// RunDue has servers chosen for the attachments whose wait is over, runs the balancer's jobs that are due, and asks the
// executor to be called again when something else is due.
func (in *Instance) RunDue(now logic.Micros) {
	for len(in.waiting) > 0 && in.waiting[0].at <= now {
		due := heap.Pop(&in.waiting).(waitEntry)
		if a := in.attachments[due.id]; a != nil {
			in.applyDecision(now, a, in.ChooseServer(now, a))
		}
	}
	wait, jobs := in.Tick(now)
	for _, job := range jobs {
		in.runJob(job)
	}
	next := now + wait
	if len(in.waiting) > 0 {
		next = min(next, in.waiting[0].at)
	}
	if in.nextWake <= now || next < in.nextWake {
		in.nextWake = next
		in.selectedExecutor().WakeAt(next)
	}
}

// runJob carries out a job of the balancer.
func (in *Instance) runJob(job logic.Job) {
	executor := in.selectedExecutor()
	switch job.Kind {
	case logic.Subscribe:
		executor.Subscribe()
	case logic.Move:
		executor.Move(job.Attachment)
	case logic.Probe:
		executor.Probe(job.Server)
	case logic.Log:
		executor.Log(job.Message)
	}
}

// waitQueue is a heap of waiting attachments by time, and by id for the same time.
type waitQueue []waitEntry

// waitEntry is an attachment with the time until which it waits.
type waitEntry struct {
	at logic.Micros
	id logic.AttachmentID
}

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].id < q[j].id
}
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waitQueue) Push(x any)   { *q = append(*q, x.(waitEntry)) }
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}
