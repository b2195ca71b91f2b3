package proxy

import (
	"os"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// transfers are the connections on their way to a successor process. Their descriptors are kept until the successor has
// confirmed that it holds them, since the kernel drops descriptors for which a process has no room.
type transfers struct {
	lastNumber  uint64
	unconfirmed map[uint64]*transfer // by the number of the packet
}

// transfer is a connection on its way to a successor process.
type transfer struct {
	message     packet
	descriptors []int // the client's and, of an established connection, the server's
	takingBack  bool  // the successor did not get it, and this process is about to serve it again
}

const (
	// maxUnconfirmed bounds the connections on their way, so that descriptors do not pile up between the two processes.
	maxUnconfirmed = 32
	// handOverInterval is the time between two rounds of handing connections over.
	handOverInterval = 10 * millisecond
)

// handOverAll hands over the connections that can be handed over now and repeats this every handOverInterval. It ends when no
// connection is left or the mode has changed. If the successor is gone, the clients are moved within moveSpan.
func (p *Proxy) handOverAll(generation int, moveSpan logic.Micros) {
	if p.modeGeneration != generation || p.movedGeneration == generation {
		return
	}
	if !p.hasSuccessor() {
		p.startMoving(generation, moveSpan)
		return
	}
	room := maxUnconfirmed - p.unconfirmedTransfers()
	for _, c := range p.establishedClients() {
		if p.hasSuccessor() && room > 0 && p.handOverEstablished(c) {
			room--
		}
	}
	for e := p.awaitingRequest.Front(); e != nil && p.hasSuccessor() && room > 0; {
		c := e.Value.(*client)
		e = e.Next()
		if p.handOverIncompleteRequest(c) {
			room--
		}
	}
	if len(p.clients) == 0 && p.awaitingRequest.Len() == 0 && p.lingering.Len() == 0 && p.unconfirmedTransfers() == 0 {
		p.quit()
		return
	}
	p.scheduleAfter(handOverInterval, func() { p.handOverAll(generation, moveSpan) })
}

// handOverEstablished hands an established connection over to the successor and reports whether it did. It does so only
// between two lines and with no unsent output, so that no bytes are lost or reordered.
func (p *Proxy) handOverEstablished(c *client) bool {
	a := c.attempt
	if c.conn == nil || a.conn == nil || !a.parser.AtLineStart() || c.conn.OutboundBuffered() > 0 || a.conn.OutboundBuffered() > 0 {
		return false
	}
	message := packet{Established: &establishedConn{c.parser.ID, c.parser.Key, c.parser.Group, c.class, a.server.uid, c.reports.Load, c.reports.EstablishedAt, c.unansweredAt}}
	if !p.transfer(message, c.conn, a.conn) {
		return false
	}
	p.endEstablished(c, bySuccessor)
	p.instance.ClientLeft(p.now(), c.id)
	p.closeLocally(c.conn)
	p.closeLocally(a.conn)
	return true
}

// handOverIncompleteRequest hands a client that has not sent its whole first line over to the successor and reports whether it
// did.
func (p *Proxy) handOverIncompleteRequest(c *client) bool {
	if c.conn.OutboundBuffered() > 0 {
		return false
	}
	if !p.transfer(packet{IncompleteRequest: &incompleteRequest{c.parser.PartialLine(), c.connectedAt}}, c.conn) {
		return false
	}
	p.leaveQueue(c)
	p.releaseClient(c)
	p.closeLocally(c.conn)
	return true
}

// transfer sends duplicates of the connections' descriptors to the successor with a message, and reports whether it did. The
// duplicates are kept until the successor confirms that it has them. A successor of an older version never confirms.
func (p *Proxy) transfer(message packet, conns ...gnet.Conn) bool {
	h := p.handover
	t := &transfer{}
	for _, conn := range conns {
		fd, err := conn.Dup()
		if err != nil {
			t.closeDescriptors()
			return false
		}
		t.descriptors = append(t.descriptors, fd)
	}
	h.transfers.lastNumber++
	message.Number = h.transfers.lastNumber
	t.message = message
	if !p.sendPacket(h.successor, message, t.descriptors...) {
		t.closeDescriptors()
		h.successorReady = false // its disconnection will be noticed, and the other clients are moved
		return false
	}
	if !h.successorConfirms {
		t.closeDescriptors()
		return true
	}
	if h.transfers.unconfirmed == nil {
		h.transfers.unconfirmed = map[uint64]*transfer{}
	}
	h.transfers.unconfirmed[message.Number] = t
	p.openSockets += len(t.descriptors)
	return true
}

// closeDescriptors closes the descriptors that are kept.
func (t *transfer) closeDescriptors() {
	for _, fd := range t.descriptors {
		_ = syscall.Close(fd)
	}
}

// unconfirmedTransfers returns how many connections are on their way to the successor.
func (p *Proxy) unconfirmedTransfers() int {
	if p.handover == nil {
		return 0
	}
	return len(p.handover.transfers.unconfirmed)
}

// transferConfirmed closes what is kept of a connection that the successor holds.
func (p *Proxy) transferConfirmed(number uint64) {
	if t := p.handover.transfers.unconfirmed[number]; t != nil && !t.takingBack {
		p.forgetTransfer(number)
		t.closeDescriptors()
	}
}

// forgetTransfer removes a transfer. Its descriptors no longer count.
func (p *Proxy) forgetTransfer(number uint64) {
	unconfirmed := p.handover.transfers.unconfirmed
	p.openSockets -= len(unconfirmed[number].descriptors)
	delete(unconfirmed, number)
}

// takeBack makes this process serve a connection again that the successor did not get, as if it had been handed over by it.
func (p *Proxy) takeBack(number uint64) {
	t := p.handover.transfers.unconfirmed[number]
	if t == nil || t.takingBack {
		return
	}
	t.takingBack = true
	go func() {
		release := p.reserveTakeover()
		if release == nil {
			return // the process has ended, and with it the connection
		}
		p.post(func() {
			if p.handover.transfers.unconfirmed[number] != t {
				release() // abandoned meanwhile
				return
			}
			p.forgetTransfer(number)
			files := make([]*os.File, len(t.descriptors))
			for i, fd := range t.descriptors {
				files[i] = os.NewFile(uintptr(fd), "taken back")
			}
			p.adopt(t.message, files, release)
		})
	}()
}

// abandonTransfers ends the connections that no process has confirmed to hold when this one must end: their clients are asked
// to reconnect. Both connections are shut down, so that a successor that still gets them ends them, too.
func (p *Proxy) abandonTransfers() {
	if p.handover == nil {
		return
	}
	for number, t := range p.handover.transfers.unconfirmed {
		finalLine := protocol.MoveLine
		if t.message.Established == nil {
			finalLine = protocol.BusyLine(0)
		}
		_, _ = syscall.Write(t.descriptors[0], finalLine) // fails if the client has left or does not read
		discardInput(t.descriptors[0])                    // closing with unread input would send a reset
		for _, fd := range t.descriptors {
			_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
		}
		p.forgetTransfer(number)
		t.closeDescriptors()
	}
}
