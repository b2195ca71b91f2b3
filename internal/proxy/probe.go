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
	server *server
	talk   protocol.Prober
	conn   gnet.Conn // nil while it is dialled
	asked  logic.Micros
	out    bool // a probe waits for its answer
}

// Probe asks a server, unless an earlier probe is still out: then that one's age is told. A hung server is
// thus seen to take ever longer.
func (p *Proxy) Probe(id logic.ServerID) {
	s := p.servers[id]
	switch {
	case s == nil || p.duty == leaving:
	case s.probe == nil && p.makeRoom(2):
		s.probe = &probe{server: s, asked: p.now(), out: true}
		p.sockets += 2
		go p.dialProbe(s.probe, s.endpoint)
	case s.probe == nil:
	case s.probe.out:
		p.in.Probed(p.now(), id, p.now()-s.probe.asked)
	default:
		p.ask(s.probe)
	}
}

func (p *Proxy) ask(pr *probe) {
	pr.asked, pr.out = p.now(), true
	_, _ = pr.conn.Write(protocol.Ask) // a failure comes as the end of the connection
}

func (p *Proxy) dialProbe(pr *probe, endpoint string) {
	ctx, cancel := context.WithTimeout(p.ctx, time.Duration(p.dialing)*time.Microsecond)
	defer cancel()
	if err := p.reach(ctx, pr, endpoint); err != nil {
		p.post(func() {
			p.sockets -= 2
			pr.server.probe = nil
		})
	}
}

// probeConnected sends the first probe.
func (p *Proxy) probeConnected(pr *probe, conn gnet.Conn) {
	p.sockets-- // the dial closes its own descriptor
	pr.conn = conn
	p.ask(pr)
}

func (p *Proxy) probeSays(pr *probe, b []byte) {
	switch pr.talk.Feed(b) {
	case protocol.Answered:
		if pr.out {
			pr.out = false
			p.in.Probed(p.now(), pr.server.id, p.now()-pr.asked)
		}
	case protocol.Refused:
		p.shut(pr.conn, false)
	}
}

// probeEnded forgets the connection; the next probe opens another.
func (p *Proxy) probeEnded(pr *probe) {
	pr.talk.Drop()
	if pr.server.probe == pr {
		pr.server.probe = nil
	}
}
