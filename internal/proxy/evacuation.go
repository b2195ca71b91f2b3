package proxy

import (
	"context"

	"hatchproxy/internal/succession"
)

const (
	// An evacuating proxy must have moved all its clients within 4 s. Established connections are moved within the
	// first second: a longer span lowers the gain, and a shorter one does not raise it. Requests that are still pending
	// are expired in time for their clients to be moved. The times are counted from the start of the evacuation; new
	// requests are refused from evacuationMovesEnd on.
	evacuationDelay    = 250 * millisecond
	evacuationMovesEnd = 1000 * millisecond
	evacuationExpireAt = 3400 * millisecond
	evacuationEnd      = 3800 * millisecond // a client whose server is still within a line is cut off then
)

// modeOrder is the last order to evacuate or to rejoin that any process of the handover chain was given. The processes are
// one proxy to its operators, who may call each of them.
type modeOrder struct {
	number   uint64 // counts the orders of all processes; 0 if there was none
	evacuate bool   // whether the order was to evacuate
}

// Evacuate makes the proxy move all of its clients to other proxies while it keeps running. It returns once the event
// loop has begun, or with an error if ctx ends or the proxy stops first.
func (p *Proxy) Evacuate(ctx context.Context) error {
	return p.runOnLoop(ctx, func() { p.orderGiven(true) })
}

// Rejoin ends an evacuation: the proxy serves again. Its errors are those of Evacuate.
func (p *Proxy) Rejoin(ctx context.Context) error {
	return p.runOnLoop(ctx, func() { p.orderGiven(false) })
}

// orderGiven carries out an operator's order and passes it on to the processes that this one replaces and is replaced by.
func (p *Proxy) orderGiven(evacuate bool) {
	if h := p.handover; h != nil {
		h.lastOrder = modeOrder{h.lastOrder.number + 1, evacuate}
		p.sendLastOrder(h.predecessor)
		p.sendLastOrder(h.successor)
	}
	p.followOrder(evacuate)
}

// orderReceived carries out an order that another process was given, and passes it on to the one on the other side. An order
// that is older than the last one has no effect. Of two that were given at the same time, that of the successor counts.
func (p *Proxy) orderReceived(message packet, from *succession.Conn) {
	h := p.handover
	number := message.OrderNumber
	if number == 0 { // from an older version, which does not number its orders
		number = h.lastOrder.number + 1
	}
	if number < h.lastOrder.number || number == h.lastOrder.number && from == h.predecessor {
		return
	}
	h.lastOrder = modeOrder{number, message.Evacuating}
	if from == h.predecessor {
		p.sendLastOrder(h.successor)
	} else {
		p.sendLastOrder(h.predecessor)
	}
	p.followOrder(message.Evacuating)
}

// sendLastOrder sends the last order, if there is one, to another process, if it is connected.
func (p *Proxy) sendLastOrder(to *succession.Conn) {
	if order := p.handover.lastOrder; to != nil && order.number > 0 {
		p.sendPacket(to, packet{Evacuating: order.evacuate, Rejoined: !order.evacuate, OrderNumber: order.number})
	}
}

// followOrder carries out an order to evacuate or to rejoin.
func (p *Proxy) followOrder(evacuate bool) {
	if evacuate {
		p.evacuate()
	} else {
		p.rejoin()
	}
}

// evacuate moves all clients to other proxies while this one goes on running. Late arrivals are accepted, since the
// load balancer in front notices only a moment later, and are moved like the others.
func (p *Proxy) evacuate() {
	if p.mode != serving {
		return
	}
	generation, now := p.setMode(evacuating), p.now()
	p.log.Info("evacuating", "attachments", len(p.clients))
	p.scheduleAfter(evacuationDelay, func() { p.moveClients(generation, now+evacuationMovesEnd) })
	p.scheduleAfter(evacuationMovesEnd, func() { p.refuseRequests = p.refuseRequests || p.modeGeneration == generation })
	p.scheduleAfter(evacuationExpireAt, func() {
		if p.modeGeneration == generation {
			p.expirePending()
		}
	})
	p.scheduleAfter(evacuationEnd, func() {
		if p.modeGeneration == generation {
			p.finishPendingMoves()
		}
	})
}

// rejoin makes an evacuating proxy serve again. What it has learnt about the servers is kept.
func (p *Proxy) rejoin() {
	if p.mode == evacuating {
		p.setMode(serving)
		p.log.Info("serving again after evacuation", "attachments", len(p.clients))
	}
}
