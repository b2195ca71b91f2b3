package proxy

import (
	"encoding/json"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/discovery"
	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/succession"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// takeover is what an established client has until the event loop holds its socket, which another process handed over.
type takeover struct {
	clientFile *os.File
	release    func() // gives back what reserveTakeover set aside
}

const (
	// maxTakeovers bounds the connections that are taken over at the same time.
	maxTakeovers = 8
	// takeoverDescriptors is how many descriptors are set aside for one of them: it has a client's socket and a server's.
	takeoverDescriptors = 2 * registrationDescriptors
)

// receiveFromPredecessor receives the predecessor's packets in the background, if there is one.
func (p *Proxy) receiveFromPredecessor() {
	c := p.handover.predecessor
	if c == nil {
		return
	}
	go func() {
		defer c.Close()
		for p.receivePacket(c) {
		}
		p.post(func() {
			delete(p.handover.listLinks, c)
			p.handover.predecessor = nil
			p.serveByCachedList()
		})
	}()
}

// receivePacket receives a packet from the predecessor and has it handled. Before that it waits until there is room for the
// descriptors that may come with it: the kernel drops those for which the process has none left. It returns false once the
// connection to the predecessor or this process has ended.
func (p *Proxy) receivePacket(c *succession.Conn) bool {
	release := p.reserveTakeover()
	if release == nil {
		return false
	}
	text, files, err := c.Receive()
	if err != nil && !errors.Is(err, succession.ErrTruncated) {
		release()
		p.log.Info("the predecessor process disconnected", "why", err)
		return false
	}
	var message packet
	if err := errors.Join(err, json.Unmarshal(text, &message)); err != nil {
		release()
		closeFiles(files)
		p.log.Warn("cannot use a packet from the predecessor process", "number", message.Number, "error", err)
		p.post(func() { p.answerTransfer(message.Number, false) })
		return true
	}
	p.post(func() { p.takeOver(message, files, release) })
	return true
}

// reserveTakeover waits until a connection may be taken over and sets descriptors aside for it, for which idle clients make
// room. The caller gives them back by a call of release, once the event loop holds the connection. It returns nil if
// the process ends.
func (p *Proxy) reserveTakeover() (release func()) {
	select {
	case p.takeoverSlots <- struct{}{}:
	case <-p.ctx.Done():
		return nil
	}
	backoff := transient.Backoff{Initial: time.Millisecond, Max: 20 * time.Millisecond}
	for {
		reserved, err := callOnLoop(p.ctx, p, func() bool {
			free := p.ensureDescriptors(takeoverDescriptors)
			if free {
				p.unregistered.Add(takeoverDescriptors)
			}
			return free
		})
		if err != nil || !reserved && backoff.Wait(p.ctx) != nil {
			<-p.takeoverSlots
			return nil
		}
		if reserved {
			break
		}
	}
	return sync.OnceFunc(func() {
		p.unregistered.Add(-takeoverDescriptors)
		<-p.takeoverSlots
	})
}

// takeOver handles a packet from the predecessor. It owns the files and what was reserved for them.
func (p *Proxy) takeOver(message packet, files []*os.File, release func()) {
	switch {
	case message.IncompleteRequest != nil || message.Established != nil:
		p.answerTransfer(message.Number, p.adopt(message, files, release))
		return
	case message.Memory != nil:
		p.instance.Restore(*message.Memory)
	case message.Evacuating || message.Rejoined:
		p.orderReceived(message, p.handover.predecessor)
	case message.List != nil:
		p.listReceived(*message.List, p.handover.predecessor)
	case message.SentIDs != nil:
		p.idsReceived(message.SentIDs, p.handover.predecessor)
	}
	closeFiles(files)
	release()
}

// answerTransfer tells the predecessor whether this process holds the connection of a packet. Predecessors of older versions
// do not number their packets, and expect no answer.
func (p *Proxy) answerTransfer(number uint64, held bool) {
	c := p.handover.predecessor
	switch {
	case number == 0 || c == nil:
	case held:
		p.sendPacket(c, packet{Confirmed: number})
	default:
		p.sendPacket(c, packet{Refused: number})
	}
}

// adopt continues a connection that another process handed over, or that this one has taken back. It owns the files and what
// was reserved for them. It returns false if the files are not those of the connection.
func (p *Proxy) adopt(message packet, files []*os.File, release func()) bool {
	switch {
	case message.IncompleteRequest != nil && len(files) == 1:
		c := &client{connectedAt: message.IncompleteRequest.ConnectedAt, pendingInput: message.IncompleteRequest.Received}
		p.registerInBackground(c, files[0], protocol.BusyLine(0), release)
	case message.Established != nil && len(files) == 2:
		p.resumeEstablished(message.Established, &takeover{files[0], release}, files[1])
	default:
		closeFiles(files)
		release()
		return false
	}
	return true
}

// closeFiles closes files that came with a packet and are not used.
func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}

// resumeEstablished takes over an established connection, its server side first.
func (p *Proxy) resumeEstablished(info *establishedConn, t *takeover, serverFile *os.File) {
	server := p.servers[discovery.ServerID(info.Server)]
	if server == nil || p.openIDs[info.ID] {
		// The server is not on this process's list, or the id is in use.
		t.moveClient()
		_ = serverFile.Close()
		return
	}
	now := p.now()
	c := &client{class: info.Class, unansweredAt: info.UnansweredAt, connectedAt: now, takeover: t}
	c.request.Resume(p.instance.Idempotency(p.classes[info.Class].product))
	c.parser.ID, c.parser.Key, c.parser.Group, c.parser.Product = info.ID, info.Key, info.Group, info.Class
	c.reports = loadreports.Conn{EstablishedAt: info.EstablishedAt, Load: info.Load}
	a := &attempt{client: c, server: server, startedAt: now, deadline: now, closeOutcome: logic.Reset, cancelDial: func() {}}
	a.parser.Resume()
	c.attempt = a
	p.lastID++
	c.id = p.lastID
	p.openIDs[info.ID] = true
	c.attachment = &logic.Attachment{ID: c.id, Product: p.classes[info.Class].product, Group: info.Group, Key: info.Key, Returning: true, ArrivedAt: now, HardLimit: now}
	p.clients[c.id] = c
	server.establishedCount++
	p.instance.ConnectionResumed(now, c.attachment, server.id)
	if info.Load > 0 {
		p.instance.LoadChanged(now, c.id, info.Load)
	}
	p.registerInBackground(a, serverFile, nil, func() {})
}

// moveClient asks a client to reconnect whose socket the event loop does not hold.
func (t *takeover) moveClient() {
	sendFinalLine(t.clientFile, protocol.MoveLine)
	_ = t.clientFile.Close()
	t.release()
}

// registerInBackground registers a connection that was taken over with the event loop, and then calls done. If that fails, the
// connection is closed after finalLine, which is nil for a server's. The file is closed in any case.
func (p *Proxy) registerInBackground(owner any, file *os.File, finalLine []byte, done func()) {
	go func() {
		defer done()
		if p.registerFile(owner, file) == nil {
			_ = file.Close()
			return
		}
		if err := p.registerWithRetry(owner, file, finalLine); err != nil && p.ctx.Err() == nil {
			p.post(func() { p.registrationFailed(owner, errors.Is(err, errPeerGone)) })
		}
	}()
}

// registrationFailed ends the other side of a connection that could not be registered with the event loop, or that its peer had
// reset before.
func (p *Proxy) registrationFailed(owner any, reset bool) {
	switch owner := owner.(type) {
	case *client:
		p.clientClosed(owner, reset)
	case *attempt:
		if t := owner.client.takeover; t != nil {
			owner.client.takeover = nil
			t.moveClient()
		}
		p.serverClosed(owner, false)
	}
}

// serverResumed completes the server side of a connection that was taken over, and then registers the client's socket, so
// that the client's bytes have somewhere to go.
func (p *Proxy) serverResumed(c *client, conn gnet.Conn) gnet.Action {
	t := c.takeover
	c.takeover = nil
	if c.request.HasEnded() {
		t.moveClient()
		return gnet.Close
	}
	p.openSockets++
	c.attempt.conn = conn
	p.registerInBackground(c, t.clientFile, protocol.MoveLine, t.release)
	return gnet.None
}
