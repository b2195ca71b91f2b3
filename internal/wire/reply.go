package wire

import (
	"encoding/binary"
	"math"

	"hatchproxy/internal/host"
	"hatchproxy/logic"
)

// Sizes of the binary format, in bytes.
const (
	replyHeaderSize = 12
	actionSize      = 24
)

// Reply encodes the actions of one batch. It is the Executor of the host.
type Reply struct {
	head        []byte // header and action records
	tail        []byte // texts and data that records refer to
	instance    host.InstanceID
	hasInstance bool // the reply has selected an instance
	actionCount uint32
}

// reset begins a new reply.
func (r *Reply) reset() {
	r.head = append(r.head[:0], make([]byte, replyHeaderSize)...)
	r.tail = r.tail[:0]
	r.hasInstance, r.actionCount = false, 0
}

// addAction adds the record of an action and returns the space for its fields.
func (r *Reply) addAction(code byte) []byte {
	var blank [actionSize]byte
	at := len(r.head)
	r.head = append(r.head, blank[:]...)
	r.head[at] = code
	r.actionCount++
	return r.head[at+1:]
}

// finish fills in the header and returns the encoded reply.
func (r *Reply) finish(batch uint32) []byte {
	put := binary.BigEndian
	put.PutUint32(r.head, uint32(len(r.head)+len(r.tail)))
	put.PutUint32(r.head[4:], r.actionCount)
	put.PutUint32(r.head[8:], batch)
	r.head = append(r.head, r.tail...)
	return r.head
}

// putMillis encodes a time as a float64 in milliseconds.
func putMillis(fields []byte, t logic.Micros) {
	binary.BigEndian.PutUint64(fields, math.Float64bits(float64(t)/1000))
}

// addTextAction adds an action whose only field is a text.
func (r *Reply) addTextAction(code byte, text string) {
	fields := r.addAction(code)
	binary.BigEndian.PutUint32(fields, uint32(len(r.tail)))
	binary.BigEndian.PutUint32(fields[4:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// SelectInstance selects the instance of the actions that follow.
func (r *Reply) SelectInstance(id host.InstanceID) {
	if r.hasInstance && r.instance == id {
		return
	}
	r.hasInstance, r.instance = true, id
	binary.BigEndian.PutUint32(r.addAction(65), uint32(id))
}

// Send dispatches an attachment to a server.
func (r *Reply) Send(id logic.AttachmentID, server logic.ServerID, timeout logic.Micros) {
	fields := r.addAction(71)
	binary.BigEndian.PutUint64(fields, uint64(id))
	putMillis(fields[8:], timeout)
	binary.BigEndian.PutUint32(fields[16:], uint32(server))
}

// PushBack tells the client that a retry is harmless, and when to retry.
func (r *Reply) PushBack(id logic.AttachmentID, retryAfter logic.Micros) {
	fields := r.addAction(74)
	binary.BigEndian.PutUint64(fields, uint64(id))
	putMillis(fields[8:], retryAfter)
}

// GiveUp tells the client that the attachment failed, and promises nothing.
func (r *Reply) GiveUp(id logic.AttachmentID) {
	binary.BigEndian.PutUint64(r.addAction(66), uint64(id))
}

// Move ends an established connection gracefully.
func (r *Reply) Move(id logic.AttachmentID) { binary.BigEndian.PutUint64(r.addAction(77), uint64(id)) }

// Subscribe subscribes to the changes of the server list.
func (r *Reply) Subscribe() { r.addAction(72)[0] = 1 }

// RequestList requests the full server list once.
func (r *Reply) RequestList() { r.addAction(68) }

// Probe sends a probe to a server, if the settings allow it.
func (r *Reply) Probe(server logic.ServerID) {
	binary.BigEndian.PutUint32(r.addAction(67), uint32(server))
}

// CancelDispatch stops waiting for a dispatch, if the settings allow it.
func (r *Reply) CancelDispatch(id logic.AttachmentID, dispatch byte) {
	fields := r.addAction(78)
	binary.BigEndian.PutUint64(fields, uint64(id))
	fields[8] = dispatch
}

// CloseIdle closes idle connections to a server.
func (r *Reply) CloseIdle(server logic.ServerID) {
	binary.BigEndian.PutUint32(r.addAction(73), uint32(server))
}

// Publish sends data to the target, another instance, or to all instances if all bits of the target are set.
func (r *Reply) Publish(target uint16, data []byte) {
	fields := r.addAction(70)
	binary.BigEndian.PutUint16(fields, target)
	binary.BigEndian.PutUint32(fields[2:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(fields[6:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// WakeAt requests a reminder event at a time. Its label stays empty: a reminder only wakes the instance.
func (r *Reply) WakeAt(at logic.Micros) { putMillis(r.addAction(69), at) }

// Log adds a line to the simulator's report.
func (r *Reply) Log(message string) { r.addTextAction(76, message) }

// fail replaces the reply by the failure of an instance.
func (r *Reply) fail(id host.InstanceID, message string) {
	r.reset()
	r.SelectInstance(id)
	r.addTextAction(75, message)
}
