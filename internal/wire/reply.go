package wire

import (
	"encoding/binary"
	"math"

	"hatchproxy/internal/host"
	"hatchproxy/logic"
)

const (
	replyHeaderSize = 12
	actionSize      = 24
)

// Reply gathers the actions of one batch. It is the host's line.
type Reply struct {
	head        []byte // header and records
	tail        []byte
	instance    host.InstanceID
	hasInstance bool // a speaker has been named in this reply
	actionCount uint32
}

func (r *Reply) reset() {
	r.head = append(r.head[:0], make([]byte, replyHeaderSize)...)
	r.tail = r.tail[:0]
	r.hasInstance, r.actionCount = false, 0
}

// addAction adds one action and hands out the room for its fields.
func (r *Reply) addAction(code byte) []byte {
	var blank [actionSize]byte
	at := len(r.head)
	r.head = append(r.head, blank[:]...)
	r.head[at] = code
	r.actionCount++
	return r.head[at+1:]
}

func (r *Reply) finish(batch uint32) []byte {
	put := binary.BigEndian
	put.PutUint32(r.head, uint32(len(r.head)+len(r.tail)))
	put.PutUint32(r.head[4:], r.actionCount)
	put.PutUint32(r.head[8:], batch)
	r.head = append(r.head, r.tail...)
	return r.head
}

func putMillis(room []byte, t logic.Micros) {
	binary.BigEndian.PutUint64(room, math.Float64bits(float64(t)/1000))
}

func (r *Reply) addTextAction(code byte, words string) {
	room := r.addAction(code)
	binary.BigEndian.PutUint32(room, uint32(len(r.tail)))
	binary.BigEndian.PutUint32(room[4:], uint32(len(words)))
	r.tail = append(r.tail, words...)
}

// SelectInstance names the instance whose actions follow.
func (r *Reply) SelectInstance(id host.InstanceID) {
	if r.hasInstance && r.instance == id {
		return
	}
	r.hasInstance, r.instance = true, id
	binary.BigEndian.PutUint32(r.addAction(65), uint32(id))
}

// Send starts a dispatch.
func (r *Reply) Send(id logic.AttachmentID, server logic.ServerID, timeout logic.Micros) {
	room := r.addAction(71)
	binary.BigEndian.PutUint64(room, uint64(id))
	putMillis(room[8:], timeout)
	binary.BigEndian.PutUint32(room[16:], uint32(server))
}

// PushBack answers that trying again is harmless.
func (r *Reply) PushBack(id logic.AttachmentID, in logic.Micros) {
	room := r.addAction(74)
	binary.BigEndian.PutUint64(room, uint64(id))
	putMillis(room[8:], in)
}

// GiveUp answers with no promise.
func (r *Reply) GiveUp(id logic.AttachmentID) {
	binary.BigEndian.PutUint64(r.addAction(66), uint64(id))
}

// Move ends an open connection politely.
func (r *Reply) Move(id logic.AttachmentID) { binary.BigEndian.PutUint64(r.addAction(77), uint64(id)) }

// Subscribe asks to be told of changes to the list.
func (r *Reply) Subscribe() { r.addAction(72)[0] = 1 }

// RequestList asks for the whole list once.
func (r *Reply) RequestList() { r.addAction(68) }

// Probe tests a server, where the settings allow it.
func (r *Reply) Probe(server logic.ServerID) {
	binary.BigEndian.PutUint32(r.addAction(67), uint32(server))
}

// CancelDispatch ends the wait on one dispatch, where the settings allow it.
func (r *Reply) CancelDispatch(id logic.AttachmentID, dispatch byte) {
	room := r.addAction(78)
	binary.BigEndian.PutUint64(room, uint64(id))
	room[8] = dispatch
}

// CloseIdle closes idle connections to a server.
func (r *Reply) CloseIdle(server logic.ServerID) {
	binary.BigEndian.PutUint32(r.addAction(73), uint32(server))
}

// Publish sends bytes to one other instance, or to all where all bits of the target are set.
func (r *Reply) Publish(target uint16, data []byte) {
	room := r.addAction(70)
	binary.BigEndian.PutUint16(room, target)
	binary.BigEndian.PutUint32(room[2:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(room[6:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// WakeAt asks for a reminder. The label tells nothing: a reminder only wakes the instance.
func (r *Reply) WakeAt(at logic.Micros) { putMillis(r.addAction(69), at) }

// Log adds a line to the report.
func (r *Reply) Log(words string) { r.addTextAction(76, words) }

// fail ends the reply with the failure of the decisions and nothing else.
func (r *Reply) fail(id host.InstanceID, words string) {
	r.reset()
	r.SelectInstance(id)
	r.addTextAction(75, words)
}
