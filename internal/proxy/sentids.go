package proxy

import (
	"hatchproxy/internal/succession"
	"hatchproxy/logic"
)

const (
	// maxSentIDs bounds the ids that are remembered. Those that were sent first are forgotten first.
	maxSentIDs = 16 << 10
	// replacementSpan is longer than two processes run beside each other.
	replacementSpan = 10 * second
	// maxIDsPerPacket is how many ids a packet has at most, with some 40 bytes each.
	maxIDsPerPacket = 500
)

// sentIDs are the ids of requests that may run once only and were sent to a server, and of all that another process has sent, until their
// clients' time is over. A request that comes with one of them is not a new one: it could run a second time, or while the first one runs.
type sentIDs struct {
	entries      map[uint64]sentEntry
	order        []orderedID // in the order in which the ids were first sent; those of earlier entries may be among them
	lastSequence uint64
	forgotten    int // ids that had to be forgotten early since the last call of takeForgotten
}

// sentEntry is what is remembered of an id.
type sentEntry struct {
	until    logic.Micros
	sequence uint64 // identifies the entry
}

// orderedID is an id with the sequence number of its entry.
type orderedID struct{ id, sequence uint64 }

// add remembers an id until the given time at least.
func (s *sentIDs) add(id uint64, until logic.Micros) {
	if s.entries == nil {
		s.entries = map[uint64]sentEntry{}
	}
	if entry, known := s.entries[id]; known {
		entry.until = max(entry.until, until)
		s.entries[id] = entry
		return
	}
	for len(s.entries) >= maxSentIDs {
		if oldest := s.order[0]; s.holds(oldest) {
			s.forgotten++
			delete(s.entries, oldest.id)
		}
		s.order = s.order[1:]
	}
	s.lastSequence++
	s.entries[id] = sentEntry{until, s.lastSequence}
	s.order = append(s.order, orderedID{id, s.lastSequence})
}

// holds reports whether the entry of an id is still the one that was made with the sequence number.
func (s *sentIDs) holds(o orderedID) bool { return s.entries[o.id].sequence == o.sequence }

// remove forgets an id whose request provably never ran.
func (s *sentIDs) remove(id uint64) { delete(s.entries, id) }

// contains reports whether an id was sent and may still run, or have run for a client whose time is not over.
func (s *sentIDs) contains(now logic.Micros, id uint64) bool { return now < s.entries[id].until }

// expire forgets the ids whose time is over.
func (s *sentIDs) expire(now logic.Micros) {
	kept := s.order[:0]
	for _, o := range s.order {
		switch {
		case !s.holds(o):
		case now < s.entries[o.id].until:
			kept = append(kept, o)
		default:
			delete(s.entries, o.id)
		}
	}
	s.order = kept
}

// remaining returns the ids that are remembered, and for how long.
func (s *sentIDs) remaining(now logic.Micros) (ids []sentID) {
	for _, o := range s.order {
		if s.holds(o) && s.contains(now, o.id) {
			ids = append(ids, sentID{o.id, s.entries[o.id].until - now})
		}
	}
	return ids
}

// takeForgotten returns how many ids had to be forgotten early since the last call.
func (s *sentIDs) takeForgotten() int {
	n := s.forgotten
	s.forgotten = 0
	return n
}

// sentID tells the process on the other side of a replacement of an id.
type sentID struct {
	ID         uint64
	LeftMicros logic.Micros // for how long it is to be remembered
}

// rememberSent remembers the id of a request that may run once only, and tells the other processes of any. It is for twice the class's
// hard limit at most: the server may run the request until the deadline that it was told, and the client, which counts from when it
// sent the line, may come again until its own time is over. An established connection is remembered anew when it ends.
func (p *Proxy) rememberSent(c *client) {
	if c.parser.ResumeServer != "" {
		return // it may be sent to its server again
	}
	until := max(p.now(), c.attachment.HardLimit) + max(p.classes[c.class].hardLimit, second)
	if c.request.RunsOnce() {
		p.sentIDs.add(c.parser.ID, until)
	}
	p.passOnIDs([]sentID{{c.parser.ID, until - p.now()}})
}

// passOnIDs tells the processes that this one replaces and is replaced by of ids.
func (p *Proxy) passOnIDs(ids []sentID) {
	if h := p.handover; h != nil {
		p.sendIDs(h.predecessor, ids)
		p.sendIDs(h.successor, ids)
	}
}

// sendIDs tells another process of ids, if it is connected.
func (p *Proxy) sendIDs(to *succession.Conn, ids []sentID) {
	for ; to != nil && len(ids) > 0; ids = ids[min(maxIDsPerPacket, len(ids)):] {
		if !p.inform(to, packet{SentIDs: ids[:min(maxIDsPerPacket, len(ids))]}) {
			return
		}
	}
}

// sendAllIDs tells a successor of the ids that are remembered, and of those whose connections are open.
func (p *Proxy) sendAllIDs(to *succession.Conn) {
	ids := p.sentIDs.remaining(p.now())
	for id := range p.openIDs {
		ids = append(ids, sentID{id, replacementSpan})
	}
	p.sendIDs(to, ids)
}

// idsReceived remembers the ids that another process has sent to servers, and passes them on to the process on the other side.
func (p *Proxy) idsReceived(ids []sentID, from *succession.Conn) {
	now, h := p.now(), p.handover
	for _, id := range ids {
		p.sentIDs.add(id.ID, now+min(id.LeftMicros, replacementSpan))
	}
	if from == h.predecessor {
		p.sendIDs(h.successor, ids)
	} else {
		p.sendIDs(h.predecessor, ids)
	}
}
