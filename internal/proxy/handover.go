package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/succession"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// handover is the state of a proxy whose listening socket was inherited. During a restart two processes share that socket:
// the predecessor hands its connections over to the successor.
type handover struct {
	folder            string               // holds the Unix socket by which the two find each other; "" for no handover
	successorListener *succession.Listener // accepts a successor; nil while there is none
	predecessor       *succession.Conn     // to the process that ran before; nil if there is none
	successor         *succession.Conn     // to the process that is to replace this one; nil if there is none
	successorReady    bool                 // the successor accepts clients and can be handed connections
	successorConfirms bool                 // the successor confirms the connections that it is sent
	transfers         transfers            // connections that were sent to the successor and are not confirmed
	lastOrder         modeOrder            // to evacuate or to rejoin, whichever process was given it

	listLinks            map[*succession.Conn]*listLink
	predecessorListKnown bool // the predecessor has told the list that it had, or that it had none
}

// InheritListener makes the proxy accept on an inherited listening TCP socket and, when it leaves, hand its clients over to
// the next process, which finds it through the folder ("" for no handover). It takes over the descriptor, fails if that
// is not a listening TCP socket, and must be called before Run.
func (p *Proxy) InheritListener(fd int, folder string) error {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return fmt.Errorf("descriptor %d is not valid", fd)
	}
	defer f.Close()
	var l net.Listener
	ctx, cancel := context.WithTimeout(context.Background(), loopStartTimeout)
	defer cancel()
	backoff := transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	err := transient.Retry(ctx, backoff, transient.IsResourceShortage, func() (err error) {
		l, err = net.FileListener(f)
		return err
	})
	if err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return fmt.Errorf("descriptor %d listens on %s, not on TCP", fd, l.Addr().Network())
	}
	p.handover = &handover{folder: folder}
	return p.createAcceptor(tcp)
}

// startAccepting accepts clients on the inherited socket, once the proxy is ready, and reports this to a predecessor.
// Connections that arrive while neither process accepts wait in the socket's backlog. It does nothing if the listener
// is the proxy's own.
func (p *Proxy) startAccepting() {
	h := p.handover
	// This runs after each answer with the server list; without the check both processes would accept.
	if h == nil || !p.acceptor.Paused() || h.successorReady || p.mode == leaving || !p.ready {
		return
	}
	if h.predecessor != nil {
		p.listFreshness.takenOver(p.now())
		p.reviewFreshness()
	}
	p.acceptor.Resume()
	p.listenForSuccessor()
	if h.predecessor != nil {
		p.sendPacket(h.predecessor, packet{Ready: true, Confirms: true})
	}
}

// listenForSuccessor lets the next process find this one through the handover folder.
func (p *Proxy) listenForSuccessor() {
	h := p.handover
	if h.successorListener != nil || h.folder == "" || p.mode == leaving || p.acceptor.Paused() {
		return
	}
	listener, err := succession.Listen(h.folder, p.log, func(c *succession.Conn) { p.post(func() { p.successorConnected(c) }) })
	if err != nil {
		// Retried, so that a successor finds this process once the folder works again.
		p.log.Warn("cannot listen for a successor process; retrying", "error", err)
		p.scheduleAfter(successorListenRetryDelay, p.listenForSuccessor)
		return
	}
	h.successorListener = listener
}

// successorListenRetryDelay is the wait before listening for a successor is tried again after an error.
const successorListenRetryDelay = 2 * second

// stopAccepting leaves new connections on an inherited socket to the successor.
func (p *Proxy) stopAccepting() {
	if p.handover != nil {
		p.acceptor.Pause()
	}
}

// close releases the listener for a successor and the connections to the other processes.
func (h *handover) close() {
	if h.successorListener != nil {
		h.successorListener.Close()
	}
	for _, c := range []*succession.Conn{h.predecessor, h.successor} {
		if c != nil {
			c.Close()
		}
	}
}

// packet is the JSON message between predecessor and successor; each carries one field, and what is said to come with it. The
// processes may be of different versions, so the JSON names must not change.
type packet struct {
	Ready             bool               `json:",omitempty"`        // from the successor: it accepts clients
	Confirms          bool               `json:",omitempty"`        // with Ready: it answers each numbered packet by Confirmed or Refused
	Confirmed         uint64             `json:",omitempty"`        // from the successor: the number of a packet whose connection it holds
	Refused           uint64             `json:",omitempty"`        // from the successor: the number of a packet that came without its descriptors
	Number            uint64             `json:",omitempty"`        // identifies a packet with descriptors, from 1 on
	Established       *establishedConn   `json:"Stands,omitempty"`  // comes with the client's socket and the server's
	IncompleteRequest *incompleteRequest `json:"Unasked,omitempty"` // comes with the client's socket

	Memory      *logic.Snapshot `json:",omitempty"` // the balancer's state, with a part of its servers
	Evacuating  bool            `json:",omitempty"` // the sender was ordered to evacuate: to move its clients away
	Rejoined    bool            `json:",omitempty"` // the sender was ordered to rejoin, which ends an evacuation
	OrderNumber uint64          `json:",omitempty"` // with Evacuating or Rejoined: the order's number, from 1 on
	List        *listPacket     `json:",omitempty"` // a part of the server list or of its changes
	SentIDs     []sentID        `json:",omitempty"` // ids of requests that the sender has sent to servers
}

// maxServersPerPacket is how many servers a packet describes at most, with some 300 bytes each.
const maxServersPerPacket = 40

// establishedConn describes an established connection that is handed over.
type establishedConn struct {
	ID            uint64 // the client's request id
	Key           logic.ClientKey
	Group         logic.GroupID
	Class         string
	Server        string         // its name in the server list
	Load          float64        // as last reported by the server; 0 if it was not
	EstablishedAt logic.Micros   `json:"Since"`
	UnansweredAt  []logic.Micros `json:"Sent"` // arrival times of the client's messages without an answer yet
}

// incompleteRequest describes a client that has not sent its whole first line.
type incompleteRequest struct {
	Received    []byte       `json:"Said"` // the part of the line that has arrived
	ConnectedAt logic.Micros `json:"Came"`
}

// sendPacket sends a packet with descriptors, which stay the caller's. It logs an error and returns false.
func (p *Proxy) sendPacket(to *succession.Conn, message packet, files ...int) bool {
	text, err := json.Marshal(message)
	if err == nil {
		err = to.Send(text, files...)
	}
	if err != nil {
		p.log.Warn("cannot send to the other process", "error", err)
	}
	return err == nil
}

// inform sends a packet that the other process can do without, and does not wait for a process that does not read. After an error
// nothing more of the kind is sent to it.
func (p *Proxy) inform(to *succession.Conn, message packet) bool {
	link := p.handover.listLink(to)
	if link.broken {
		return false
	}
	text, err := json.Marshal(message)
	if err == nil {
		err = to.SendWithin(informTimeout, text)
	}
	if err != nil {
		p.log.Warn("cannot inform the other process", "error", err)
		link.broken, link.toSend = true, nil
	}
	return err == nil
}

// informTimeout is how long inform waits for the other process to read.
const informTimeout = 5 * time.Millisecond

// successorConnected handles a process that is to replace this one, and receives its packets. If another successor was
// connected before, the last one counts, unless connections are on their way to the other one.
func (p *Proxy) successorConnected(c *succession.Conn) {
	h := p.handover
	if len(h.transfers.unconfirmed) > 0 {
		c.Close()
		return
	}
	if h.successor != nil {
		h.successor.Close()
	}
	h.successor, h.successorReady = c, false
	p.log.Info("a successor process connected")
	p.sendLastOrder(c)
	p.sendAllIDs(c)
	p.sendWholeList(c)
	go func() {
		for {
			text, files, err := c.Receive()
			var message packet
			if err == nil {
				err = json.Unmarshal(text, &message)
			}
			for _, f := range files {
				_ = f.Close() // a successor hands over no sockets
			}
			if err != nil {
				p.post(func() { p.successorGone(c) })
				return
			}
			p.post(func() { p.successorSent(c, message) })
		}
	}()
}

// successorSent handles a packet from a successor.
func (p *Proxy) successorSent(c *succession.Conn, message packet) {
	if p.handover.successor != c {
		return
	}
	switch {
	case message.Ready:
		p.handover.successorConfirms = message.Confirms
		p.successorReady(c)
	case message.Confirmed != 0:
		p.transferConfirmed(message.Confirmed)
	case message.Evacuating || message.Rejoined:
		p.orderReceived(message, c)
	case message.List != nil:
		p.listReceived(*message.List, c)
	case message.SentIDs != nil:
		p.idsReceived(message.SentIDs, c)
	case message.Refused != 0:
		p.log.Warn("the successor process did not get a connection's descriptors; taking it back", "number", message.Refused)
		p.takeBack(message.Refused)
	}
}

// successorReady leaves new clients to the successor, and sends it the balancer's state. If both
// processes placed requests at once, each would use the whole budget for cold servers.
func (p *Proxy) successorReady(c *succession.Conn) {
	if h := p.handover; h.successor == c {
		h.successorReady = true
		p.stopAccepting()
		p.log.Info("the successor process is ready")
		snapshot := p.instance.Snapshot()
		for rest := snapshot.Servers; ; rest = rest[len(snapshot.Servers):] {
			snapshot.Servers = rest[:min(maxServersPerPacket, len(rest))]
			if !p.sendPacket(c, packet{Memory: &snapshot}) || len(snapshot.Servers) == len(rest) {
				break
			}
		}
		if p.mode == leaving {
			// The signal to leave may arrive before the successor is ready; the clients are still handed over instead of moved.
			_, moveSpan := p.leaveSpans()
			p.handOverAll(p.modeGeneration, moveSpan)
		}
	}
}

// successorGone makes this process serve on, or leave as if there had been no successor.
func (p *Proxy) successorGone(c *succession.Conn) {
	c.Close()
	h := p.handover
	delete(h.listLinks, c)
	if h.successor != c {
		return
	}
	h.successor, h.successorReady = nil, false
	p.log.Warn("the successor process disconnected", "unconfirmed", len(h.transfers.unconfirmed))
	for _, number := range slices.Sorted(maps.Keys(h.transfers.unconfirmed)) {
		p.takeBack(number)
	}
	oldListener := h.successorListener // the name of its socket may belong to the successor now
	h.successorListener = nil
	p.startAccepting()
	if !p.acceptor.Paused() {
		// A successor that ends before it is ready may have taken over the socket's name, so that the next successor would
		// find no process. The new listener starts before the old one closes, so that there always is one.
		p.listenForSuccessor()
	}
	if oldListener != nil {
		oldListener.CloseGracefully()
	}
}

// hasSuccessor reports whether a successor is ready to take over this process's connections.
func (p *Proxy) hasSuccessor() bool { return p.handover != nil && p.handover.successorReady }

// closeLocally closes this process's descriptor of a connection that another process continues.
func (p *Proxy) closeLocally(conn gnet.Conn) { _ = p.loop.Close(conn) }

// findPredecessor connects to a process that runs already. It must be called before this process listens for a successor.
func (p *Proxy) findPredecessor() {
	h := p.handover
	if h.folder == "" {
		return
	}
	c, err := succession.Dial(h.folder)
	if err != nil {
		p.log.Info("found no predecessor process to take over from", "why", err)
		return
	}
	h.predecessor = c
}
