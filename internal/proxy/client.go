package proxy

import (
	"cmp"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/limits"
	"hatchproxy/logic"
)

// client is an accepted connection and what came of it. It owns its socket and its attempt.
type client struct {
	conn            gnet.Conn
	parser          protocol.Client
	id              logic.AttachmentID // 0 until it has asked
	class           string             // what it asked for, once that is known to be offered
	attachment      *logic.Attachment
	attempt         *attempt // on its way, or where the connection stands
	request         lifecycle.Request
	lastOutcome     logic.Outcome // of its last attempt that ended
	queue           *list.List    // the proxy's silent or done, while it stands in one of them
	queueElement    *list.Element
	admitted        bool           // the gate has let it in, and is to be told when it leaves
	unansweredAt    []logic.Micros // when the messages came that have not been answered
	connectedAt     logic.Micros   // when it connected
	inheritedSocket *os.File       // its socket as another process passed it on, until the loop has it
	pendingInput    []byte         // what came for it from its server, or from itself, before the loop had it

	reports loadreports.Conn
}

const (
	// requestTimeout is how long a connection may take for its whole first line, counted from accept: within 3 s it is
	// owed an answer.
	requestTimeout = 2500 * millisecond
	// deadlineMargin is kept of a client's wait, which it counts from its sending: its line has been on the way, and
	// the answer will be.
	deadlineMargin = 20 * millisecond
)

// clientOpened has a client's connection, which was accepted, or which the other process passed on.
func (p *Proxy) clientOpened(c *client, conn gnet.Conn) gnet.Action {
	c.conn = conn
	if c.request.HasEnded() {
		return gnet.Close // its server has ended it meanwhile
	}
	early := c.pendingInput
	c.pendingInput = nil
	switch {
	case c.request.WasEstablished():
		p.serverDataReceived(c.attempt, early)
	case !p.ensureDescriptors(0):
		p.socketRefusals++
		p.refuse(c, reasonNoDescriptors)
	default:
		p.awaitRequest(c)
		p.clientDataReceived(c, early)
	}
	return gnet.None
}

func (p *Proxy) awaitRequest(c *client) {
	c.joinQueue(&p.awaitingRequest)
	p.scheduleAt(c.connectedAt+requestTimeout, func() {
		if c.queue == &p.awaitingRequest {
			p.answerAndClose(c, telemetry.Errored, protocol.ErrorLine(errNoRequest), "nothing asked")
		}
	})
}

// joinQueue puts a client at the end of a queue; it stands in one at most.
func (c *client) joinQueue(queue *list.List) {
	c.leaveQueue()
	c.queue, c.queueElement = queue, queue.PushBack(c)
}

func (c *client) leaveQueue() {
	if c.queue != nil {
		c.queue.Remove(c.queueElement)
		c.queue, c.queueElement = nil, nil
	}
}

// ensureDescriptors sees to it that n more descriptors are left. Guards against the hundreds that connect and say nothing, or do
// not leave once they were answered: those that were answered first go first, then those that have been silent
// longest. False where all descriptors are in use for requests.
func (p *Proxy) ensureDescriptors(n int) bool {
	for p.openSockets+n > p.maxSockets {
		first := p.lingering.Front()
		if first == nil {
			first = p.awaitingRequest.Front()
		}
		if first == nil {
			return false
		}
		c := first.Value.(*client)
		c.leaveQueue()
		if !c.request.HasEnded() {
			p.sendAnswer(c, telemetry.Deferred, protocol.BusyLine(0), reasonNoDescriptors)
		}
		if isOpen(c.conn) {
			discardInput(c.conn.Fd())
			// At once, where gnet's own Close would wait for the loop's next turn. What ends here has nothing to tell.
			_ = p.loop.Close(c.conn)
		}
	}
	return true
}

// discardInput reads what has come on a connection that is about to be closed, and nobody will hear. Guards against a close over
// unread bytes, which is a reset and may overtake the last word. A flood is not read to its end.
func discardInput(fd int) {
	var unheard [16 << 10]byte
	for range 4 {
		if n, err := syscall.Read(fd, unheard[:]); n <= 0 || err != nil {
			return
		}
	}
}

var (
	errNoRequest    = errors.New("nothing was asked")
	errUnknownClass = errors.New("the class is unknown")
	errDuplicateID  = errors.New("this id is open")
)

func (p *Proxy) clientDataReceived(c *client, b []byte) {
	for len(b) > 0 && !c.request.HasEnded() && !c.request.WasEstablished() {
		var ev protocol.ClientEvent
		ev, b = c.parser.Feed(b)
		c.request.SetPartialLine(c.parser.PartialLine() != nil)
		switch ev {
		case protocol.ClientProbe:
			word := protocol.NotReadyLine
			if p.ready && (p.mode == serving || p.mode == leaving && p.hasSuccessor()) {
				word = protocol.ReadyLine
			}
			_, _ = c.conn.Write(word) // a failure comes as the end of the connection
		case protocol.ClientOpen:
			p.requestArrived(c)
		case protocol.ClientInvalid:
			p.abandon(c)
			p.rejectInvalid(c, c.parser.Err)
		}
	}
	if len(b) > 0 && c.request.WasEstablished() && !c.request.HasEnded() {
		p.relayToServer(c, b)
	}
}

// rejectInvalid answers a client that does not keep to the protocol. Guards against a log that grows with each: the pulse
// tells how many there were.
func (p *Proxy) rejectInvalid(c *client, why error) {
	p.protocolErrors, p.lastProtocolError = p.protocolErrors+1, why
	p.answerAndClose(c, telemetry.Errored, protocol.ErrorLine(why), "not the protocol")
}

// requestArrived takes an attachment in hand.
func (p *Proxy) requestArrived(c *client) {
	now := p.now()
	offered, known := p.classes[c.parser.Product]
	if known {
		c.class = c.parser.Product
	}
	c.leaveQueue()
	switch {
	case !known:
		p.rejectInvalid(c, errUnknownClass)
		return
	case p.openIDs[c.parser.ID]:
		// Guards against one that comes with another's id: servers turn it away, and would be judged by that.
		p.rejectInvalid(c, errDuplicateID)
		return
	case p.refuseRequests:
		p.refuse(c, reasonLeaving)
		return
	case !p.ensureDescriptors(2): // a attempt takes two descriptors for a moment
		p.socketRefusals++
		p.refuse(c, reasonNoDescriptors)
		return
	}
	if why, wait := p.admit(now, c); why != limits.Admitted {
		p.answerAndClose(c, telemetry.Deferred, protocol.BusyLine(wait), "limit "+string(why))
		return
	}
	most := offered.hardLimit
	if c.parser.ResumeServer != "" {
		most = maxRestoreTime
	}
	wait := min(cmp.Or(c.parser.Timeout, most), most)
	p.lastID++
	c.id = p.lastID
	p.openIDs[c.parser.ID] = true
	c.attachment = &logic.Attachment{
		ID: c.id, Product: offered.product, Group: c.parser.Group, Key: c.parser.Key, LoadHint: c.parser.LoadHint, Returning: c.parser.Returning,
		ArrivedAt: now, HardLimit: now + max(wait-deadlineMargin, wait/2),
	}
	p.clients[c.id] = c
	effect := p.instance.Idempotency(offered.product)
	if c.parser.ResumeServer != "" {
		effect = logic.Harmless // what established before goes back to where it was
	}
	if err := c.request.Accept(effect, c.attachment.HardLimit); err != nil {
		p.reportViolation(c, err)
		return
	}
	p.trace("asked", c, "key", uint64(c.parser.Key), "class", c.class, "group", uint64(c.parser.Group), "back", c.parser.Returning,
		"wait_us", int64(wait))
	if c.parser.ResumeServer != "" {
		p.restoreConnection(c)
		return
	}
	p.instance.Arrived(now, c.attachment)
}

// admit asks the gate whether an attachment is let in. Connections that established before this proxy did always are.
func (p *Proxy) admit(now logic.Micros, c *client) (limits.Reason, logic.Micros) {
	if p.limiter == nil || c.parser.ResumeServer != "" {
		return limits.Admitted, 0
	}
	why, wait := p.limiter.Admit(now, c.tenant(), addressKey(c.conn.RemoteAddr()), c.parser.Retry)
	c.admitted = why == limits.Admitted
	return why, wait
}

// tenant is whom a client's connections are counted for: its group, or itself.
func (c *client) tenant() uint64 {
	if c.parser.Group != 0 {
		return uint64(c.parser.Group)
	}
	return uint64(c.parser.Key)
}

// addressKey is a number for where a client comes from, its port apart.
func addressKey(a net.Addr) uint64 {
	if at, tcp := a.(*net.TCPAddr); tcp {
		return protocol.HashName(string(at.IP))
	}
	return 0
}

// closeAnswered has a client leave that has had its last word.
func (p *Proxy) closeAnswered(c *client) {
	if isOpen(c.conn) {
		c.joinQueue(&p.lingering)
		p.closeGracefully(c.conn, p.now()+second)
	}
}

// releaseClient is where a client's resources are given back, but for its socket, which the caller shuts.
func (p *Proxy) releaseClient(c *client) {
	c.request.End()
	c.parser.Release()
	if c.admitted {
		c.admitted = false
		p.limiter.Release(c.tenant())
	}
	if c.id != 0 {
		delete(p.clients, c.id)
		delete(p.openIDs, c.parser.ID)
	}
}

// abandon tells the decisions that a client is gone, and ends its attempt if one is out.
func (p *Proxy) abandon(c *client) {
	if c.id == 0 {
		return
	}
	now := p.now()
	p.instance.ClientLeft(now, c.id)
	if d := c.attempt; d != nil {
		p.dropAttempt(d)
		p.instance.DispatchEnded(now, c.id, logic.Cancelled, true)
	}
}

// clientClosed ends the server's side in the same way.
func (p *Proxy) clientClosed(c *client, reset bool) {
	if c.request.HasEnded() {
		return
	}
	if c.request.WasEstablished() {
		p.endEstablished(c, byClient)
		p.instance.ClientLeft(p.now(), c.id)
		if reset {
			p.closeConn(c.attempt.conn, true)
		} else {
			p.closeGracefully(c.attempt.conn, p.now()+second)
		}
		return
	}
	p.trace("answered", c, "ending", "left")
	p.releaseClient(c)
	p.abandon(c)
}

// PushBack answers that trying again is harmless.
func (p *Proxy) PushBack(id logic.AttachmentID, in logic.Micros) {
	if c := p.clients[id]; c != nil {
		p.answerAndClose(c, telemetry.Deferred, protocol.BusyLine(in), c.failureReason())
	}
}

// GiveUp answers with no promise.
func (p *Proxy) GiveUp(id logic.AttachmentID) {
	if c := p.clients[id]; c != nil {
		p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, c.failureReason())
	}
}

// closeConn ends a connection: what is still to be written goes out first, unless it is to be reset.
func (p *Proxy) closeConn(conn gnet.Conn, reset bool) {
	p.closeConnBy(conn, reset, p.now()+second)
}

func (p *Proxy) closeConnBy(conn gnet.Conn, reset bool, latest logic.Micros) {
	if !isOpen(conn) {
		return
	}
	if reset {
		_ = conn.SetLinger(0)
	} else if conn.OutboundBuffered() > 0 && p.now() < latest {
		p.scheduleAfter(10*millisecond, func() { p.closeConnBy(conn, false, latest) })
		return
	}
	_ = conn.Close()
}

// closeGracefully ends a connection after the last word to the other side: it ends the sending, and closes once that side has, or
// after a second. Guards against a reset for what that side still sends, which may overtake the word.
func (p *Proxy) closeGracefully(conn gnet.Conn, latest logic.Micros) {
	switch {
	case !isOpen(conn):
	case conn.OutboundBuffered() > 0 && p.now() < latest:
		p.scheduleAfter(10*millisecond, func() { p.closeGracefully(conn, latest) })
	default:
		_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR) // a failure comes as the end of the connection
		p.scheduleAfter(second, func() { p.closeConn(conn, false) })
	}
}

// isOpen tells whether gnet still holds a connection: it forgets the context of one that it has closed.
func isOpen(conn gnet.Conn) bool { return conn != nil && conn.Context() != nil }

// isReset tells whether a connection broke: by a reset, or since nothing reaches the other side (ETIMEDOUT, EHOSTUNREACH).
func isReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF)
}
