package proxy

import (
	"maps"
	"slices"

	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/logic"
)

// mode is what a proxy is there for now. All that new clients are told follows from it.
type mode uint8

const (
	serving mode = iota
	evacuating
	leaving
)

const (
	// lateArrivalWindow is how long the front may go on sending new connections after the word to leave.
	lateArrivalWindow = 400 * millisecond
	// maxLeaveSpan is the most that the longest hard limit counts for: SIGKILL comes soon after.
	maxLeaveSpan = 3 * second
	// moveSpanShare is the part of that time over which standing clients are told to come again,
	// so that they do not all reach the other proxies at once. The rest is for those still being set up.
	moveSpanShare = 0.5
	// minMoveSpan is for products with very short limits.
	minMoveSpan = 300 * millisecond
	// A proxy that sends its clients away must have moved them all within 4 s: what stands goes within the first
	// second (over 2.25 s it cost 0.04 of G, within half a second it brought no more), and what is still pending is
	// settled in time for its client to be moved.
	evacuationDelay    = 250 * millisecond
	evacuationMovesEnd = 1000 * millisecond
	evacuationExpireAt = 3400 * millisecond
)

// setMode takes up a duty; what was begun under the one before ends.
func (p *Proxy) setMode(d mode) (turn int) {
	p.mode, p.refuseRequests = d, false
	p.modeGeneration++
	return p.modeGeneration
}

// leave has the proxy go: it takes what still comes for a while, settles what is pending, tells all standing
// clients to come again, and ends.
func (p *Proxy) leave() {
	if p.mode == leaving {
		return
	}
	turn := p.setMode(leaving)
	p.log.Info("leaving", "attachments", len(p.clients), "successor", p.hasSuccessor())
	span, sweep := p.leaveSpans()
	p.stopAccepting()
	if p.hasSuccessor() {
		p.handOverAll(turn, sweep)
	}
	p.scheduleAfter(lateArrivalWindow, func() {
		if !p.hasSuccessor() {
			p.startMoving(turn, sweep)
		}
	})
	p.scheduleAfter(lateArrivalWindow+sweep, func() { p.startMoving(turn, 0) }) // what could not be passed on
	p.scheduleAfter(lateArrivalWindow+span, p.expirePending)
	p.scheduleAfter(lateArrivalWindow+span+50*millisecond, p.quit)
}

// leaveSpans is how long a proxy that leaves stays for those that are pending, and over what part of it the others are moved.
func (p *Proxy) leaveSpans() (span, sweep logic.Micros) {
	span = min(p.maxHardLimit, maxLeaveSpan)
	return span, max(minMoveSpan, logic.Micros(moveSpanShare*float64(span)))
}

// startMoving refuses who still comes and sends the others away, once in a turn.
func (p *Proxy) startMoving(turn int, span logic.Micros) {
	if p.modeGeneration == turn && p.movedGeneration != turn {
		p.refuseRequests, p.movedGeneration = true, turn
		p.moveClients(turn, p.now()+span)
	}
}

// evacuate has the proxy send its clients away and go on running. Late comers are taken, as the front notices
// a moment later, and are moved like the others.
func (p *Proxy) evacuate() {
	if p.mode != serving {
		return
	}
	turn, now := p.setMode(evacuating), p.now()
	p.tellSuccessor(packet{Evacuating: true})
	p.log.Info("evacuating", "attachments", len(p.clients))
	p.scheduleAfter(evacuationDelay, func() { p.moveClients(turn, now+evacuationMovesEnd) })
	p.scheduleAfter(evacuationMovesEnd, func() { p.refuseRequests = p.refuseRequests || p.modeGeneration == turn })
	p.scheduleAfter(evacuationExpireAt, func() {
		if p.modeGeneration == turn {
			p.expirePending()
		}
	})
}

// rejoin takes a proxy that evacuates back to work. It knows what it knew.
func (p *Proxy) rejoin() {
	if p.mode == evacuating {
		p.setMode(serving)
		p.tellSuccessor(packet{Rejoined: true})
		p.log.Info("back to work", "attachments", len(p.clients))
	}
}

// moveClients moves one of those that stand after the other, evenly until the time is up, and then at once all that
// come to stand. It ends with the duty under which it was begun.
func (p *Proxy) moveClients(turn int, until logic.Micros) {
	if p.modeGeneration != turn {
		return
	}
	now := p.now()
	standing := p.establishedClients()
	if p.mode == leaving && len(p.clients) == 0 && now >= until {
		p.quit()
		return
	}
	const step = 20 * millisecond
	steps := int(max(1, (until-now)/step))
	wait := step
	if n := len(standing); n > 0 && n < steps && p.mode == evacuating {
		// Few are as spread as many where the process stays. One that leaves lets them go at 50 a second at the
		// least: spread over all there is, it cost 0.04 of G where proxies are restarted in trouble.
		wait = (until - now) / logic.Micros(n)
	}
	for _, c := range standing[:(len(standing)+steps-1)/steps] {
		p.moveClient(c, logic.Cancelled, byLeaving)
	}
	p.scheduleAfter(wait, func() { p.moveClients(turn, until) })
}

// establishedClients lists the clients whose connections stand, in the order in which they came.
func (p *Proxy) establishedClients() []*client {
	var standing []*client
	for _, c := range p.clients {
		if c.request.WasEstablished() {
			standing = append(standing, c)
		}
	}
	slices.SortFunc(standing, func(a, b *client) int { return int(a.id) - int(b.id) })
	return standing
}

// expirePending has the decisions answer at once what is still pending: it is as if its hard limit had come. Guards
// against attachments that wait longer than the proxy may stay.
func (p *Proxy) expirePending() {
	now := p.now()
	for _, id := range slices.Sorted(maps.Keys(p.clients)) {
		c := p.clients[id]
		if c == nil || c.request.WasEstablished() {
			continue
		}
		c.attachment.HardLimit = now
		c.request.Expire(now)
		d, ended := c.attempt, logic.Cancelled
		if d != nil {
			ended = d.outcomeIfWritten(logic.Cancelled)
			p.dropAttempt(d)
			c.lastOutcome = ended
			c.request.FinishAttempt(!ended.NeverRan())
		}
		switch {
		case c.parser.ResumeServer != "":
			p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, reasonLeaving)
		case d != nil:
			p.instance.DispatchEnded(now, id, ended, false)
		default:
			p.instance.Arrived(now, c.attachment)
		}
	}
}

// partialLineWait is how long the end waits for lines that are half through: SIGKILL comes 0.2 s after it at the soonest.
const partialLineWait = 100 * millisecond

// quit has Run return, once those that stand have been told to come again and all others have a last word.
func (p *Proxy) quit() { p.quitBy(p.now() + partialLineWait) }

// quitBy guards against a client that is cut off without a word: since its server was within a line just then, its last
// word is still on the way, or its request came in this moment.
func (p *Proxy) quitBy(latest logic.Micros) {
	if p.quitting || p.ctx.Err() != nil {
		return
	}
	for _, c := range p.establishedClients() {
		if c.conn != nil && c.attempt.parser.AtLineStart() {
			p.moveClient(c, logic.Cancelled, byLeaving)
		}
	}
	if p.handover == nil { // else they wait in the socket that the next process has, too
		p.refuseAwaitingRequest()
	}
	if (len(p.establishedClients()) > 0 || p.lingering.Len() > 0) && p.now() < latest {
		p.scheduleAfter(10*millisecond, func() { p.quitBy(latest) })
		return
	}
	p.quitting = true
	p.acceptor.Close()
	p.scheduleAfter(lastRegistrationWait, p.completeLeave)
}

// lastRegistrationWait is how long a connection that was accepted last may take until the loop has it.
const lastRegistrationWait = 5 * millisecond

// completeLeave is the last turn of a proxy that leaves.
func (p *Proxy) completeLeave() {
	p.refuseAwaitingRequest()
	for e := p.lingering.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); isOpen(c.conn) {
			discardInput(c.conn.Fd()) // or its close would be a reset
		}
	}
	p.log.Info("gone", "attachments", len(p.clients))
	if p.handover != nil {
		p.handover.close()
	}
	p.endRun()
}
