package proxy

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// probe is the one connection on which a server is asked whether it answers. It is kept from one probe to the
// next, so that probes cost the server no new connections.
type probe struct {
	server  *server
	parser  protocol.Prober
	conn    gnet.Conn // nil while it is dialled
	sentAt  logic.Micros
	pending bool // a probe waits for its answer
}

// Probe asks a server, unless an earlier probe is still out: then that one's age is told. A hung server is
// thus seen to take ever longer.
func (p *Proxy) Probe(id logic.ServerID) {
	s := p.servers[id]
	switch {
	case s == nil || p.mode == leaving:
	case s.probe == nil && p.ensureDescriptors(2):
		s.probe = &probe{server: s, sentAt: p.now(), pending: true}
		p.openSockets += 2
		go p.dialProbe(s.probe, s.endpoint)
	case s.probe == nil:
	case s.probe.pending:
		p.instance.RecordProbe(p.now(), id, p.now()-s.probe.sentAt)
	default:
		p.sendProbe(s.probe)
	}
}

func (p *Proxy) sendProbe(pr *probe) {
	pr.sentAt, pr.pending = p.now(), true
	_, _ = pr.conn.Write(protocol.ProbeLine) // a failure comes as the end of the connection
}

func (p *Proxy) dialProbe(pr *probe, endpoint string) {
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(p.dialTimeout)*time.Microsecond)
	defer cancel()
	if err := p.dialAndRegister(ctx, pr, endpoint); err != nil {
		p.post(func() {
			p.openSockets -= 2
			pr.server.probe = nil
		})
	}
}

// probeConnected sends the first probe.
func (p *Proxy) probeConnected(pr *probe, conn gnet.Conn) {
	p.openSockets-- // the dial closes its own descriptor
	pr.conn = conn
	p.sendProbe(pr)
}

func (p *Proxy) probeDataReceived(pr *probe, b []byte) {
	switch pr.parser.Feed(b) {
	case protocol.ProbeAnswered:
		if pr.pending {
			pr.pending = false
			p.instance.RecordProbe(p.now(), pr.server.id, p.now()-pr.sentAt)
		}
	case protocol.ProbeRefused:
		p.closeConn(pr.conn, false)
	}
}

// probeClosed forgets the connection; the next probe opens another.
func (p *Proxy) probeClosed(pr *probe) {
	pr.parser.Release()
	if pr.server.probe == pr {
		pr.server.probe = nil
	}
}
