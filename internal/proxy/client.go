package proxy

import (
	"cmp"
	"container/list"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/limits"
	"hatchproxy/logic"
)

// client is an accepted connection, with its request and its current attempt. It owns its socket and the attempt.
type client struct {
	conn         gnet.Conn
	parser       protocol.Client
	id           logic.AttachmentID // 0 until its request is accepted
	class        string             // the class it asked for; "" until that is known to be configured
	attachment   *logic.Attachment
	attempt      *attempt // under way or established; nil if there is none
	request      lifecycle.Request
	lastOutcome  logic.Outcome // of its last attempt that ended
	queue        *list.List    // the proxy's awaitingRequest or lingering while it is in one of them
	queueElement *list.Element
	requestTimer *scheduledCall // rejects it if it does not send its whole request in time
	admitted     bool           // the limiter counts it and must be called when it ends
	unansweredAt []logic.Micros // arrival times of its messages that the server has not answered yet
	pendingMove  *pendingMove   // nil unless it is to be moved once its server's line has ended
	connectedAt  logic.Micros   // when it was accepted, also if a predecessor process did so
	takeover     *takeover      // while the event loop does not have its socket from a predecessor process yet
	pendingInput []byte         // bytes from its server or from itself that came before the event loop had its socket

	reports loadreports.Conn // its reported loads
}

const (
	// requestTimeout is how long a client may take to send its whole first line, counted from accept: an answer is due
	// within 3 s.
	requestTimeout = 2500 * millisecond
	// deadlineMargin is subtracted from a client's timeout, which the client counts from when it sent the request: the
	// request and the answer take time on the network.
	deadlineMargin = 20 * millisecond
)

// clientOpened starts serving a client whose socket the event loop has just registered. The connection was accepted by
// this process or taken over from a predecessor.
func (p *Proxy) clientOpened(c *client, conn gnet.Conn) gnet.Action {
	c.conn = conn
	if c.request.HasEnded() {
		return gnet.Close // its server has closed the connection meanwhile
	}
	pending := c.pendingInput
	c.pendingInput = nil
	switch {
	case c.request.WasEstablished():
		p.serverDataReceived(c.attempt, pending)
		p.continueMove(c, false)
	case !p.ensureDescriptors(0):
		p.socketRefusals++
		p.refuse(c, reasonNoDescriptors)
	default:
		p.awaitRequest(c)
		p.clientDataReceived(c, pending)
	}
	return gnet.None
}

// awaitRequest waits for a client's first line and rejects the client after requestTimeout.
func (p *Proxy) awaitRequest(c *client) {
	p.joinQueue(c, &p.awaitingRequest)
	c.requestTimer = p.scheduleAt(c.connectedAt+requestTimeout, func() {
		p.answerAndClose(c, telemetry.Errored, protocol.ErrorLine(errNoRequest), "nothing asked")
	})
}

// joinQueue moves a client to the end of a queue; it is in one queue at most.
func (p *Proxy) joinQueue(c *client, queue *list.List) {
	p.leaveQueue(c)
	c.queue, c.queueElement = queue, queue.PushBack(c)
}

// leaveQueue removes a client from its queue, if it is in one. The time for its request ends with that.
func (p *Proxy) leaveQueue(c *client) {
	p.cancelCall(c.requestTimer)
	if c.queue != nil {
		c.queue.Remove(c.queueElement)
		c.queue, c.queueElement = nil, nil
	}
}

// ensureDescriptors makes room for n more descriptors by closing idle clients: first those that were answered and have
// not left, then those that have not sent a whole request, the oldest first. This keeps hundreds of idle connections from
// blocking requests. It returns false if all descriptors are in use for requests.
func (p *Proxy) ensureDescriptors(n int) bool {
	for p.openSockets+int(p.unregistered.Load())+n > p.maxSockets {
		oldest := p.lingering.Front()
		if oldest == nil {
			oldest = p.awaitingRequest.Front()
		}
		if oldest == nil {
			return false
		}
		c := oldest.Value.(*client)
		p.leaveQueue(c)
		if !c.request.HasEnded() {
			p.sendAnswer(c, telemetry.Deferred, protocol.BusyLine(0), reasonNoDescriptors)
		}
		if isOpen(c.conn) {
			discardInput(c.conn.Fd())
			// Closes at once; conn.Close would wait for the loop's next iteration. The error does not matter here.
			_ = p.loop.Close(c.conn)
		}
	}
	return true
}

// discardInput reads and drops the input of a connection that is about to be closed. Closing a socket with unread input
// resets the connection, and the reset may overtake the final answer. It reads 64 KiB at most.
func discardInput(fd int) {
	var buf [16 << 10]byte
	for range 4 {
		if n, err := syscall.Read(fd, buf[:]); n <= 0 || err != nil {
			return
		}
	}
}

// Errors that are sent to a client in an `ERR` line.
var (
	errNoRequest    = errors.New("nothing was asked")
	errUnknownClass = errors.New("the class is unknown")
	errDuplicateID  = errors.New("this id is open")
	errRepeatedID   = errors.New("this id has been sent to a server before")
)

// clientDataReceived parses bytes from a client: health checks and its request, and afterwards what is relayed to the
// server.
func (p *Proxy) clientDataReceived(c *client, data []byte) {
	for len(data) > 0 && !c.request.HasEnded() && !c.request.WasEstablished() {
		var event protocol.ClientEvent
		event, data = c.parser.Feed(data)
		c.request.SetPartialLine(c.parser.PartialLine() != nil)
		switch event {
		case protocol.ClientProbe:
			line := protocol.NotReadyLine
			if p.ready && (p.mode == serving || p.mode == leaving && p.hasSuccessor()) {
				line = protocol.ReadyLine
			}
			_, _ = c.conn.Write(line) // a failed write is reported through OnClose
		case protocol.ClientOpen:
			p.requestArrived(c)
		case protocol.ClientInvalid:
			p.abandon(c)
			p.rejectInvalid(c, c.parser.Err)
		}
	}
	if len(data) > 0 && c.request.WasEstablished() && !c.request.HasEnded() {
		p.relayToServer(c, data)
	}
}

// rejectInvalid answers a client that violates the protocol. Such clients are only counted here, and tick logs the count
// once a second, so that they cannot flood the log.
func (p *Proxy) rejectInvalid(c *client, err error) {
	p.protocolErrors, p.lastProtocolError = p.protocolErrors+1, err
	p.answerAndClose(c, telemetry.Errored, protocol.ErrorLine(err), "not the protocol")
}

// requestArrived validates a client's request, applies the limits and hands it to the balancer as an attachment.
func (p *Proxy) requestArrived(c *client) {
	now := p.now()
	class, known := p.classes[c.parser.Product]
	if known {
		c.class = c.parser.Product
	}
	p.leaveQueue(c)
	switch {
	case !known:
		p.rejectInvalid(c, errUnknownClass)
		return
	case p.openIDs[c.parser.ID]:
		// Servers reject a duplicate id, and the failure would be counted against them.
		p.rejectInvalid(c, errDuplicateID)
		return
	case p.sentIDs.contains(now, c.parser.ID) && c.parser.ResumeServer == "":
		p.rejectRepeated(c, class)
		return
	case p.refuseRequests:
		p.refuse(c, reasonLeaving)
		return
	case !p.ensureDescriptors(2): // an attempt needs two descriptors for a moment
		p.socketRefusals++
		p.refuse(c, reasonNoDescriptors)
		return
	}
	if reason, wait := p.admit(now, c); reason != limits.Admitted {
		p.answerAndClose(c, telemetry.Deferred, protocol.BusyLine(wait), "limit "+string(reason))
		return
	}
	maxWait := class.hardLimit
	if c.parser.ResumeServer != "" {
		maxWait = maxRestoreTime
	}
	wait := min(cmp.Or(c.parser.Timeout, maxWait), maxWait)
	age := min(ageOfInput(c.conn), wait)
	p.lastID++
	c.id = p.lastID
	p.openIDs[c.parser.ID] = true
	c.attachment = &logic.Attachment{
		ID: c.id, Product: class.product, Group: c.parser.Group, Key: c.parser.Key, LoadHint: c.parser.LoadHint, Returning: c.parser.Returning,
		ArrivedAt: now, HardLimit: now + max(max(wait-deadlineMargin, wait/2)-age, 0),
	}
	p.clients[c.id] = c
	idempotency := p.instance.Idempotency(class.product)
	if c.parser.ResumeServer != "" {
		idempotency = logic.Harmless // a restored connection may be tried again at its server
	}
	if err := c.request.Accept(idempotency, c.attachment.HardLimit); err != nil {
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

// ageOfInput returns how long ago this machine received the last bytes of a connection. They may have waited for the connection to be
// accepted or for the event loop, while the client's time ran. It returns 0 if the kernel does not tell.
func ageOfInput(conn gnet.Conn) logic.Micros {
	info, err := unix.GetsockoptTCPInfo(conn.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return logic.Micros(info.Last_data_recv) * millisecond
}

// rejectRepeated answers a request whose id has been sent to a server before. One that may run once only may have run; any other
// may be tried again.
func (p *Proxy) rejectRepeated(c *client, class classConfig) {
	if p.instance.Idempotency(class.product) == logic.OneShot {
		p.rejectInvalid(c, errRepeatedID)
		return
	}
	p.refuse(c, reasonRepeatedID)
}

// admit asks the limiter whether a request may come in and, if not, returns the reason and after how long the client
// may try again. Connections that are restored are always admitted.
func (p *Proxy) admit(now logic.Micros, c *client) (limits.Reason, logic.Micros) {
	if p.limiter == nil || c.parser.ResumeServer != "" {
		return limits.Admitted, 0
	}
	reason, wait := p.limiter.Admit(now, c.tenant(), addressKey(c.conn.RemoteAddr()), c.parser.Retry)
	c.admitted = reason == limits.Admitted
	return reason, wait
}

// tenant returns the key under which the limiter counts a client: its group, or its own key if it has no group.
func (c *client) tenant() uint64 {
	if c.parser.Group != 0 {
		return uint64(c.parser.Group)
	}
	return uint64(c.parser.Key)
}

// addressKey returns a hash of a client's IP address, without the port; 0 if it is not a TCP address.
func addressKey(addr net.Addr) uint64 {
	if tcpAddr, isTCP := addr.(*net.TCPAddr); isTCP {
		return protocol.HashName(string(tcpAddr.IP))
	}
	return 0
}

// closeAnswered closes the connection of a client that has its final answer.
func (p *Proxy) closeAnswered(c *client) {
	if isOpen(c.conn) {
		p.joinQueue(c, &p.lingering)
		p.closeGracefully(c.conn, p.now()+second)
	}
}

// releaseClient ends a request and releases its resources except for the socket, which the caller closes.
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

// abandon reports to the balancer that a client has left, and cancels its attempt if there is one.
func (p *Proxy) abandon(c *client) {
	if c.id == 0 {
		return
	}
	now := p.now()
	p.instance.ClientLeft(now, c.id)
	if a := c.attempt; a != nil {
		p.dropAttempt(a)
		p.instance.DispatchEnded(now, c.id, logic.Cancelled, true)
	}
}

// clientClosed handles the end of a client's connection: an established connection ends on the server's side in the
// same way, by a reset or an ordinary close, and a pending request is abandoned.
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

// PushBack answers a client that it may safely try again after the given time. It implements host.Executor.
func (p *Proxy) PushBack(id logic.AttachmentID, retryAfter logic.Micros) {
	if c := p.clients[id]; c != nil {
		p.answerAndClose(c, telemetry.Deferred, protocol.BusyLine(retryAfter), c.failureReason())
	}
}

// GiveUp fails a request without promising that it has not run. It implements host.Executor.
func (p *Proxy) GiveUp(id logic.AttachmentID) {
	if c := p.clients[id]; c != nil {
		p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, c.failureReason())
	}
}

// closeConn closes a connection after its buffered output is written, for which it waits up to a second, or resets it.
func (p *Proxy) closeConn(conn gnet.Conn, reset bool) {
	p.closeConnBy(conn, reset, p.now()+second)
}

// closeConnBy is closeConn with the time at which it stops waiting for the output.
func (p *Proxy) closeConnBy(conn gnet.Conn, reset bool, deadline logic.Micros) {
	if !isOpen(conn) {
		return
	}
	if reset {
		_ = conn.SetLinger(0)
	} else if conn.OutboundBuffered() > 0 && p.now() < deadline {
		p.scheduleAfter(10*millisecond, func() { p.closeConnBy(conn, false, deadline) })
		return
	}
	_ = conn.Close()
}

// closeGracefully closes a connection after the final line to the peer: it shuts down writing once the output is written
// or the deadline has passed, and closes when the peer has closed or after a second. An immediate close would reset the
// connection if the peer still sends, and the reset may overtake the final line.
func (p *Proxy) closeGracefully(conn gnet.Conn, deadline logic.Micros) {
	switch {
	case !isOpen(conn):
	case conn.OutboundBuffered() > 0 && p.now() < deadline:
		p.scheduleAfter(10*millisecond, func() { p.closeGracefully(conn, deadline) })
	default:
		_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR) // a failure is reported through OnClose
		p.scheduleAfter(second, func() { p.closeConn(conn, false) })
	}
}

// isOpen reports whether gnet still holds a connection: it clears the context of a connection that it has closed.
func isOpen(conn gnet.Conn) bool { return conn != nil && conn.Context() != nil }

// isReset reports whether a connection broke rather than ended: by a reset, or because the peer cannot be reached
// (ETIMEDOUT, EHOSTUNREACH).
func isReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF)
}
