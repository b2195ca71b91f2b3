package proxy

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// probe is the connection on which a server is probed. It is kept between probes, so that they cost the server no new
// connections.
type probe struct {
	server  *server
	parser  protocol.Prober
	conn    gnet.Conn // nil while it is being dialled
	sentAt  logic.Micros
	pending bool // a probe has been sent and not been answered
}

// Probe probes a server. If the previous probe has not been answered, its age is reported as the result instead, so
// that a hung server appears ever slower. It implements host.Executor.
func (p *Proxy) Probe(id logic.ServerID) {
	s := p.servers[id]
	switch {
	case s == nil || p.mode == leaving:
	case s.probe == nil && p.ensureDescriptors(2):
		s.probe = &probe{server: s, sentAt: p.now(), pending: true}
		p.openSockets += 2
		go p.dialProbe(s.probe, s.endpoint, p.dialTimeout)
	case s.probe == nil:
	case s.probe.pending:
		p.instance.RecordProbe(p.now(), id, p.now()-s.probe.sentAt)
	default:
		p.sendProbe(s.probe)
	}
}

// sendProbe sends a probe on the open connection.
func (p *Proxy) sendProbe(pr *probe) {
	pr.sentAt, pr.pending = p.now(), true
	_, _ = pr.conn.Write(protocol.ProbeLine) // a failure is reported as the end of the connection
}

// dialProbe connects to a server within a time. It runs outside the event loop, on which a reload may change the dial timeout.
func (p *Proxy) dialProbe(pr *probe, endpoint string, wait logic.Micros) {
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(wait)*time.Microsecond)
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

// probeDataReceived reports the duration of a probe once it is answered, and closes the connection if the server
// refuses it.
func (p *Proxy) probeDataReceived(pr *probe, data []byte) {
	switch pr.parser.Feed(data) {
	case protocol.ProbeAnswered:
		if pr.pending {
			pr.pending = false
			p.instance.RecordProbe(p.now(), pr.server.id, p.now()-pr.sentAt)
		}
	case protocol.ProbeRefused:
		p.closeConn(pr.conn, false)
	}
}

// probeClosed forgets the connection; the next probe opens a new one.
func (p *Proxy) probeClosed(pr *probe) {
	pr.parser.Release()
	if pr.server.probe == pr {
		pr.server.probe = nil
	}
}
