package proxy

import (
	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// pendingMove is a move that waits until the server has completed the line that it is sending.
type pendingMove struct {
	outcome     logic.Outcome // how the attempt ends
	by          string        // one of the reasons in trace.go
	requestedAt logic.Micros
}

const (
	// partialLineTimeout is how long a server that is within a line may leave a message unanswered before its client is
	// cut off without MOVE. The protocol allows 7 s from the server's last line, and the message may come 2 s after that
	// line; partialLineSilence and a second for delays are subtracted as well.
	partialLineTimeout = 3 * second
	// partialLineSilence is how long a server that is within a line counts as still sending it after its latest bytes.
	partialLineSilence = second
	// batchMoveDelay is how long a move waits for the end of all that the server has sent. After that the end of any line
	// will do, since a server that sends without a pause may never be between two lines at the end of a read.
	batchMoveDelay = second
)

// Move asks the client of an established connection to reconnect, and closes the connection. It implements
// host.Executor.
func (p *Proxy) Move(id logic.AttachmentID) {
	c := p.clients[id]
	if c == nil || !c.request.WasEstablished() {
		return
	}
	by := byChoice
	if status, known := p.instance.ServerStatus(p.now(), c.attempt.server.id); known && status.State != logic.Ready {
		by = byDrain
	}
	p.moveClient(c, logic.Cancelled, by)
}

// moveClient asks the client of an established connection to reconnect and closes both of its connections. If the server
// is within a line, that happens at the end of the line, for which it waits as long as the server goes on sending. It
// does nothing if the client is to be moved already.
func (p *Proxy) moveClient(c *client, outcome logic.Outcome, by string) {
	if c.request.HasEnded() || c.pendingMove != nil {
		return
	}
	c.pendingMove = &pendingMove{outcome, by, p.now()}
	p.continueMove(c, false)
	p.checkPendingMove(c)
}

// continueMove completes a pending move if the server is between two lines. more tells whether further bytes of the server
// have been received already: they are relayed first, unless the move has been pending for batchMoveDelay.
func (p *Proxy) continueMove(c *client, more bool) {
	m := c.pendingMove
	if m == nil || c.request.HasEnded() || c.conn == nil || !c.attempt.parser.AtLineStart() {
		return
	}
	if more && p.now() < m.requestedAt+batchMoveDelay {
		return
	}
	_, _ = c.conn.Write(protocol.MoveLine) // a failure is reported as the end of the connection
	p.finishMove(c)
}

// checkPendingMove cuts a client off whose server has fallen silent within a line, and otherwise checks again later.
func (p *Proxy) checkPendingMove(c *client) {
	if c.request.HasEnded() {
		return
	}
	waitingSince := c.pendingMove.requestedAt
	if len(c.unansweredAt) > 0 {
		waitingSince = min(waitingSince, c.unansweredAt[0])
	}
	end := max(waitingSince+partialLineTimeout, c.attempt.receivedAt+partialLineSilence)
	if c.conn == nil { // the event loop is about to register its socket, which a predecessor process has handed over
		end = max(end, p.now()+partialLineSilence)
	}
	if p.now() < end {
		p.scheduleAt(end, func() { p.checkPendingMove(c) })
		return
	}
	p.finishMove(c)
}

// finishPendingMoves cuts off the clients whose server is still within a line: they may be held no longer.
func (p *Proxy) finishPendingMoves() {
	for _, c := range p.establishedClients() {
		if c.pendingMove != nil && c.conn != nil {
			p.finishMove(c)
		}
	}
}

// finishMove ends an established connection that was to be moved. A client that has not been sent MOVE by now is cut off
// within a line, since no MOVE may be sent there.
func (p *Proxy) finishMove(c *client) {
	if c.request.HasEnded() {
		return
	}
	a, m := c.attempt, c.pendingMove
	if !a.parser.AtLineStart() {
		p.counters.CutWithinLine++
		p.log.Warn("cutting a client off within a line of its server", "server", a.server.endpoint, "by", m.by,
			"pending_us", int64(p.now()-m.requestedAt), "silent_us", int64(p.now()-a.receivedAt))
	}
	p.endEstablished(c, m.by)
	p.instance.DispatchEnded(p.now(), c.id, m.outcome, true)
	p.closeConn(a.conn, a.blocked)
	p.closeAnswered(c)
}
