package proxy

import (
	"maps"
	"slices"

	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/logic"
)

// mode is what the proxy does with its clients. It decides how new clients and health checks are answered.
type mode uint8

const (
	serving    mode = iota // accepts requests
	evacuating             // moves its clients to other proxies and goes on running
	leaving                // hands its clients over or moves them, and ends
)

const (
	// lateArrivalWindow is how long new connections may still arrive after the order to leave, until the load balancer
	// in front has noticed.
	lateArrivalWindow = 400 * millisecond
	// maxLeaveSpan bounds the time for pending requests, which otherwise is the largest hard limit of the classes in
	// force: SIGKILL follows soon after.
	maxLeaveSpan = 3 * second
	// moveSpanShare is the part of the time to leave over which established connections are moved, so that the clients
	// do not all reach the other proxies at once. The rest is for connections that are still being set up.
	moveSpanShare = 0.5
	// minMoveSpan applies where the hard limits are very short.
	minMoveSpan = 300 * millisecond
)

// setMode changes the mode and returns its generation. Actions begun under the previous mode stop.
func (p *Proxy) setMode(m mode) (generation int) {
	p.mode, p.refuseRequests = m, false
	p.modeGeneration++
	return p.modeGeneration
}

// leave makes the proxy end in an orderly way: it accepts late arrivals for a while, hands its connections over to a
// successor or moves its clients to other proxies, answers pending requests, and quits.
func (p *Proxy) leave() {
	if p.mode == leaving {
		return
	}
	generation := p.setMode(leaving)
	p.log.Info("leaving", "attachments", len(p.clients), "successor", p.hasSuccessor())
	span, moveSpan := p.leaveSpans()
	p.stopAccepting()
	if p.hasSuccessor() {
		p.handOverAll(generation, moveSpan)
	}
	p.scheduleAfter(lateArrivalWindow, func() {
		if !p.hasSuccessor() {
			p.startMoving(generation, moveSpan)
		}
	})
	p.scheduleAfter(lateArrivalWindow+moveSpan, func() { p.startMoving(generation, 0) }) // for what could not be handed over
	p.scheduleAfter(lateArrivalWindow+span, func() {
		p.expirePending()
		p.finishPendingMoves()
	})
	p.scheduleAfter(lateArrivalWindow+span+50*millisecond, p.quit)
}

// leaveSpans returns how long a leaving proxy waits for its pending requests, and the part of that time over which it
// moves its established connections.
func (p *Proxy) leaveSpans() (span, moveSpan logic.Micros) {
	for _, class := range p.classes {
		span = max(span, class.hardLimit)
	}
	span = min(span, maxLeaveSpan)
	return span, max(minMoveSpan, logic.Micros(moveSpanShare*float64(span)))
}

// startMoving refuses new requests from now on and moves the established connections over the given span. It does so
// once per mode generation.
func (p *Proxy) startMoving(generation int, span logic.Micros) {
	if p.modeGeneration == generation && p.movedGeneration != generation {
		p.refuseRequests, p.movedGeneration = true, generation
		p.moveClients(generation, p.now()+span)
	}
}

// moveClients moves established connections one after the other, evenly until the given time, and after that each one
// as soon as it is established. It stops when the mode changes.
func (p *Proxy) moveClients(generation int, until logic.Micros) {
	if p.modeGeneration != generation {
		return
	}
	now := p.now()
	established := slices.DeleteFunc(p.establishedClients(), func(c *client) bool { return c.pendingMove != nil })
	if p.mode == leaving && len(p.clients) == 0 && p.unconfirmedTransfers() == 0 && now >= until {
		p.quit()
		return
	}
	const step = 20 * millisecond
	steps := int(max(1, (until-now)/step))
	wait := step
	if n := len(established); n > 0 && n < steps && p.mode == evacuating {
		// An evacuating proxy spreads even a few clients over the whole span. A leaving one moves at least one client
		// per step, 50 a second: spreading them over the whole span lowers the gain when proxies are restarted in the
		// midst of other trouble.
		wait = (until - now) / logic.Micros(n)
	}
	for _, c := range established[:(len(established)+steps-1)/steps] {
		p.moveClient(c, logic.Cancelled, byLeaving)
	}
	p.scheduleAfter(wait, func() { p.moveClients(generation, until) })
}

// establishedClients returns the clients with an established connection, in the order of their arrival.
func (p *Proxy) establishedClients() []*client {
	var established []*client
	for _, c := range p.clients {
		if c.request.WasEstablished() {
			established = append(established, c)
		}
	}
	slices.SortFunc(established, func(a, b *client) int { return int(a.id) - int(b.id) })
	return established
}

// expirePending has the balancer answer all pending requests at once, as if their hard limits had been reached.
// Otherwise requests with a longer limit would outlast the process.
func (p *Proxy) expirePending() {
	now := p.now()
	for _, id := range slices.Sorted(maps.Keys(p.clients)) {
		c := p.clients[id]
		if c == nil || c.request.WasEstablished() {
			continue
		}
		c.attachment.HardLimit = now
		c.request.Expire(now)
		a, outcome := c.attempt, logic.Cancelled
		if a != nil {
			outcome = a.outcomeIfWritten(logic.Cancelled)
			p.dropAttempt(a)
			c.lastOutcome = outcome
			c.request.FinishAttempt(!outcome.NeverRan())
		}
		switch {
		case c.parser.ResumeServer != "":
			p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, reasonLeaving)
		case a != nil:
			p.instance.DispatchEnded(now, id, outcome, false)
		default:
			p.instance.Arrived(now, c.attachment)
		}
	}
}

// partialLineWait is how long quit waits for lines that have been relayed only in part. SIGKILL comes 0.2 s after quit
// begins at the earliest.
const partialLineWait = 100 * millisecond

// quit makes Run return, once established clients have been asked to reconnect and all others have their final line.
func (p *Proxy) quit() { p.quitBy(p.now() + partialLineWait) }

// quitBy does the work of quit. Until the deadline it waits for clients that would otherwise be cut off without a final
// line: their server has sent only part of a line, or their final line is still being written. Clients whose request may
// be arriving just then are refused.
func (p *Proxy) quitBy(deadline logic.Micros) {
	if p.quitting || p.ctx.Err() != nil {
		return
	}
	for _, c := range p.establishedClients() {
		p.moveClient(c, logic.Cancelled, byLeaving)
	}
	if p.handover == nil { // otherwise new clients wait in the backlog of the listening socket, which a successor shares
		p.refuseAwaitingRequest()
	}
	if (len(p.establishedClients()) > 0 || p.lingering.Len() > 0 || p.unconfirmedTransfers() > 0) && p.now() < deadline {
		p.scheduleAfter(10*millisecond, func() { p.quitBy(deadline) })
		return
	}
	p.abandonTransfers()
	p.quitting = true
	p.acceptor.Close()
	p.scheduleAfter(lastRegistrationWait, p.completeLeave)
}

// lastRegistrationWait allows for the registration of the connections that were accepted last.
const lastRegistrationWait = 5 * millisecond

// completeLeave is the last call of a leaving proxy on the event loop.
func (p *Proxy) completeLeave() {
	p.refuseAwaitingRequest()
	for e := p.lingering.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); isOpen(c.conn) {
			discardInput(c.conn.Fd()) // closing with unread input would send a reset
		}
	}
	p.log.Info("gone", "attachments", len(p.clients))
	if p.handover != nil {
		p.handover.close()
	}
	p.endRun()
}
