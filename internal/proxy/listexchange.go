package proxy

import (
	"hatchproxy/internal/discovery"
	"hatchproxy/internal/succession"
	"hatchproxy/logic"
)

// A process and the one that replaces it are one proxy: what the discovery service tells one of them binds both. Each passes on
// what it is told, and the predecessor first tells the whole list that it has.

const (
	// listPacketsPerStep and listPacketInterval bound the packets that are sent at once, so that they fit into the buffers of the
	// connection and the event loop does not wait for the other process to read.
	listPacketsPerStep = 8
	listPacketInterval = 10 * millisecond
	// predecessorListTimeout is how long a new process waits for the predecessor's list before it serves by the list of an
	// earlier run. A predecessor of an older version sends none.
	predecessorListTimeout = second
)

// listPacket is a part of a server list, or of its changes, that one process passes on to the other.
type listPacket struct {
	Service   string             // address of the service that told it
	Whole     bool               // the parts are a whole list
	After     int64              // the version that the changes follow, unless the parts are a whole list
	Version   int64              // the version of the list with all parts; discovery.NoVersion if it is not known
	Told      bool               // the sender has been told a list
	AgeMicros logic.Micros       // for how long the sender has not been sure to have all changes
	Targets   []discovery.Target // this part of them
	Last      bool               // it is the last part
}

// listLink is the exchange of lists with one other process.
type listLink struct {
	broken   bool // the other process does not read what it is informed of
	toSend   []listPacket
	received []discovery.Target // the parts of the list that is being received
}

// sendWholeList passes on the list that this process has been told, or that it has been told none.
func (p *Proxy) sendWholeList(to *succession.Conn) {
	list := listPacket{Service: p.discovery.Address(), Whole: true, Version: discovery.NoVersion}
	if list.Told = p.listTold; list.Told {
		list.Version, list.AgeMicros, list.Targets = p.listVersion, p.now()-p.listFreshness.receivedUntil, p.listTargets()
	}
	p.sendList(to, list)
}

// listTargets returns the servers of the list, in the form of the discovery service's answers.
func (p *Proxy) listTargets() []discovery.Target {
	zones, models := namesByID(p.zones), namesByID(p.models)
	var collector discovery.Collector
	for _, id := range p.sortedServerIDs() {
		s := p.servers[id]
		if state := p.orders.ListState(id); state != logic.Gone {
			collector.Entry(s.uid, s.endpoint, zones[s.zone], models[s.model], s.cell, state, s.weight, s.launchedAt)
		}
	}
	return collector.Targets
}

// namesByID returns the names that idForName has given IDs, indexed by the IDs.
func namesByID[N ~uint16](ids map[string]N) []string {
	names := make([]string, len(ids))
	for name, id := range ids {
		names[id] = name
	}
	return names
}

// passOnAnswer passes an answer of the discovery service on to the other processes.
func (p *Proxy) passOnAnswer(after, version int64, answer discovery.Collector) {
	h := p.handover
	if h == nil || h.predecessor == nil && h.successor == nil {
		return
	}
	list := listPacket{Service: p.discovery.Address(), Whole: answer.Full, After: after, Version: version, Told: true, Targets: answer.Targets}
	p.sendList(h.predecessor, list)
	p.sendList(h.successor, list)
}

// sendList sends a list in parts, if the other process is connected.
func (p *Proxy) sendList(to *succession.Conn, list listPacket) {
	if to == nil {
		return
	}
	link := p.handover.listLink(to)
	idle := len(link.toSend) == 0
	list.Last = false
	for rest := list.Targets; !list.Last; rest = rest[len(list.Targets):] {
		list.Targets = rest[:min(maxServersPerPacket, len(rest))]
		list.Last = len(list.Targets) == len(rest)
		link.toSend = append(link.toSend, list)
	}
	if idle {
		p.sendListPackets(to, link)
	}
}

// sendListPackets sends the next packets that wait for a process, and schedules those after them.
func (p *Proxy) sendListPackets(to *succession.Conn, link *listLink) {
	if p.handover.listLinks[to] != link {
		return // the other process has gone
	}
	n := min(listPacketsPerStep, len(link.toSend))
	for i := range n {
		if !p.inform(to, packet{List: &link.toSend[i]}) {
			return
		}
	}
	if link.toSend = link.toSend[n:]; len(link.toSend) > 0 {
		p.scheduleAfter(listPacketInterval, func() { p.sendListPackets(to, link) })
	}
}

// listLink returns the exchange of lists with another process.
func (h *handover) listLink(with *succession.Conn) *listLink {
	if h.listLinks == nil {
		h.listLinks = map[*succession.Conn]*listLink{}
	}
	if h.listLinks[with] == nil {
		h.listLinks[with] = &listLink{}
	}
	return h.listLinks[with]
}

// listReceived handles a part of a list from another process, and applies the list with its last part.
func (p *Proxy) listReceived(part listPacket, from *succession.Conn) {
	link := p.handover.listLink(from)
	link.received = append(link.received, part.Targets...)
	if !part.Last {
		return
	}
	part.Targets, link.received = link.received, nil
	if from == p.handover.predecessor {
		p.handover.predecessorListKnown = true
	}
	if part.Told && p.isNews(part) {
		p.applyListFromPeer(part, from)
	}
	p.serveByCachedList()
}

// isNews reports whether a list is newer than that of this process, and complete. A list whose version cannot be compared with the
// own one is used only until this process has been told a list.
func (p *Proxy) isNews(list listPacket) bool {
	switch {
	case list.Service != p.discovery.Address() || list.Version == discovery.NoVersion:
		return list.Whole && !p.listTold
	case list.Whole && !p.listTold:
		return list.Version >= p.listVersion
	}
	return list.Version > p.listVersion && (list.Whole || list.After <= p.listVersion)
}

// applyListFromPeer applies a list from another process, and passes it on to the process on the other side.
func (p *Proxy) applyListFromPeer(list listPacket, from *succession.Conn) {
	visit, err := discovery.Visit(list.Whole, list.Targets)
	if err != nil {
		p.log.Warn("cannot use the server list of the other process", "error", err)
		return
	}
	visit(&listUpdate{p, true})
	p.log.Info("the other process told the server list", "version", list.Version, "servers", len(list.Targets))
	p.listTold, p.listVersion = true, discovery.NoVersion
	if list.Service == p.discovery.Address() {
		p.listVersion = list.Version
	}
	p.listFreshness.toldByPeer(p.now(), list.AgeMicros)
	p.reviewFreshness()
	for _, other := range []*succession.Conn{p.handover.predecessor, p.handover.successor} {
		if other != from {
			p.sendList(other, list)
		}
	}
}

// awaitsPredecessorList reports whether a predecessor may still tell this process the list that it has.
func (p *Proxy) awaitsPredecessorList() bool {
	h := p.handover
	return h != nil && h.predecessor != nil && !h.predecessorListKnown && p.now() < p.startMicros+predecessorListTimeout
}
