package wire

import (
	"encoding/binary"
	"math"

	"hatchproxy/internal/host"
	"hatchproxy/logic"
)

const (
	replyHeader = 12
	actionSize  = 24
)

// Reply gathers the actions of one batch. It is the host's line.
type Reply struct {
	head    []byte // header and records
	tail    []byte
	speaker host.InstanceID
	spoken  bool // a speaker has been named in this reply
	count   uint32
}

func (r *Reply) reset() {
	r.head = append(r.head[:0], make([]byte, replyHeader)...)
	r.tail = r.tail[:0]
	r.spoken, r.count = false, 0
}

// record adds one action and hands out the room for its fields.
func (r *Reply) record(code byte) []byte {
	var blank [actionSize]byte
	at := len(r.head)
	r.head = append(r.head, blank[:]...)
	r.head[at] = code
	r.count++
	return r.head[at+1:]
}

func (r *Reply) finish(batch uint32) []byte {
	put := binary.BigEndian
	put.PutUint32(r.head, uint32(len(r.head)+len(r.tail)))
	put.PutUint32(r.head[4:], r.count)
	put.PutUint32(r.head[8:], batch)
	r.head = append(r.head, r.tail...)
	return r.head
}

func putMillis(room []byte, t logic.Micros) {
	binary.BigEndian.PutUint64(room, math.Float64bits(float64(t)/1000))
}

func (r *Reply) text(code byte, words string) {
	room := r.record(code)
	binary.BigEndian.PutUint32(room, uint32(len(r.tail)))
	binary.BigEndian.PutUint32(room[4:], uint32(len(words)))
	r.tail = append(r.tail, words...)
}

// Speak names the instance whose actions follow.
func (r *Reply) Speak(id host.InstanceID) {
	if r.spoken && r.speaker == id {
		return
	}
	r.spoken, r.speaker = true, id
	binary.BigEndian.PutUint32(r.record(65), uint32(id))
}

// Send starts a dispatch.
func (r *Reply) Send(id logic.AttachmentID, server logic.ServerID, timeout logic.Micros) {
	room := r.record(71)
	binary.BigEndian.PutUint64(room, uint64(id))
	putMillis(room[8:], timeout)
	binary.BigEndian.PutUint32(room[16:], uint32(server))
}

// PushBack answers that trying again is harmless.
func (r *Reply) PushBack(id logic.AttachmentID, in logic.Micros) {
	room := r.record(74)
	binary.BigEndian.PutUint64(room, uint64(id))
	putMillis(room[8:], in)
}

// GiveUp answers with no promise.
func (r *Reply) GiveUp(id logic.AttachmentID) { binary.BigEndian.PutUint64(r.record(66), uint64(id)) }

// Move ends an open connection politely.
func (r *Reply) Move(id logic.AttachmentID) { binary.BigEndian.PutUint64(r.record(77), uint64(id)) }

// Subscribe asks to be told of changes to the list.
func (r *Reply) Subscribe() { r.record(72)[0] = 1 }

// AskList asks for the whole list once.
func (r *Reply) AskList() { r.record(68) }

// Probe tests a server, where the settings allow it.
func (r *Reply) Probe(server logic.ServerID) {
	binary.BigEndian.PutUint32(r.record(67), uint32(server))
}

// Retract ends the wait on one dispatch, where the settings allow it.
func (r *Reply) Retract(id logic.AttachmentID, dispatch byte) {
	room := r.record(78)
	binary.BigEndian.PutUint64(room, uint64(id))
	room[8] = dispatch
}

// ShutIdle closes idle connections to a server.
func (r *Reply) ShutIdle(server logic.ServerID) {
	binary.BigEndian.PutUint32(r.record(73), uint32(server))
}

// Publish sends bytes to one other instance, or to all where all bits of the target are set.
func (r *Reply) Publish(target uint16, data []byte) {
	room := r.record(70)
	binary.BigEndian.PutUint16(room, target)
	binary.BigEndian.PutUint32(room[2:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(room[6:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// Remind asks for a reminder. The label tells nothing: a reminder only wakes the instance.
func (r *Reply) Remind(at logic.Micros) { putMillis(r.record(69), at) }

// Log adds a line to the report.
func (r *Reply) Log(words string) { r.text(76, words) }

// broken ends the reply with the failure of the decisions and nothing else.
func (r *Reply) broken(id host.InstanceID, words string) {
	r.reset()
	r.Speak(id)
	r.text(75, words)
}
