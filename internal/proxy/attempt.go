package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"hatchproxy/internal/discovery"
	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/notes"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// server is where a server of the list is found, and how it answers messages.
type server struct {
	id       logic.ServerID
	uid      string
	endpoint string
	zone     logic.ZoneID
	model    logic.ModelID
	cell     logic.CellID
	weight   float64
	launched logic.Micros
	standing int
	took     []answered
	late     bool // its messages were told to be late
	figures  notes.Server
	probe    *probe
}

// attempt is one try at a server. It owns the connection to it, from the dial on.
type attempt struct {
	client *client
	server *server
	talk   protocol.Server
	conn   gnet.Conn // nil while it is dialled
	hang   context.CancelFunc
	began  logic.Micros
	until  logic.Micros
	sent   bool // its line was handed over for writing
	over   bool
	ending logic.Outcome // what the server's last word says of the end of a standing connection
}

// written tells whether the last byte of the line may have gone to the server. The kernel takes a line in parts, or later:
// what it has not taken is still in the connection's buffer, and goes out on its own time.
func (d *attempt) written() bool { return d.sent && d.conn.OutboundBuffered() == 0 }

// unsent is the outcome of a attempt that ends before the server has said anything: one whose line is not out whole has
// never run, and never will, as drop and serverEnded see to.
func (d *attempt) unsent(otherwise logic.Outcome) logic.Outcome {
	if d.written() {
		return otherwise
	}
	return logic.NoConnection
}

// Send starts a attempt.
func (p *Proxy) Send(id logic.AttachmentID, to logic.ServerID, wait logic.Micros) {
	c := p.clients[id]
	if c == nil {
		return
	}
	p.attempt(c, to, wait)
}

func (p *Proxy) attempt(c *client, to logic.ServerID, wait logic.Micros) {
	now := p.now()
	if err := c.request.Start(now); err != nil {
		p.violated(c, err)
		p.in.Ended(now, c.id, logic.Cancelled, true)
		p.answer(c, telemetry.Errored, protocol.Failed, "no further attempt")
		return
	}
	if c.request.Attempts() > 1 {
		p.counts.Retried(c.last.String())
	}
	d := &attempt{client: c, server: p.servers[to], began: now, until: now + wait, ending: logic.Reset}
	c.out = d
	p.trace("sent", c, "server", d.server.uid)
	var ctx context.Context
	ctx, d.hang = context.WithCancel(p.ctx)
	p.makeRoom(2) // those in use for requests leave room for what is not had here
	p.sockets += 2
	p.at(d.until, func() {
		if !d.over && !c.request.Stood() {
			p.failed(d, d.unsent(logic.TimedOut))
		}
	})
	go p.dial(ctx, d, d.server.endpoint, min(wait, p.dialing))
}

// dial runs beside the loop and hands it the connection, or word that there is none.
func (p *Proxy) dial(ctx context.Context, d *attempt, endpoint string, wait logic.Micros) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Microsecond)
	defer cancel()
	if err := p.reach(ctx, d, endpoint); err != nil {
		p.post(func() {
			p.sockets -= 2
			if !d.over {
				p.log.Debug("no connection", "server", endpoint, "error", err)
				p.failed(d, logic.NoConnection)
			}
		})
	}
}

// mostUnreachable is how often a dial is made again that finds no way: some 7 ms in all.
const mostUnreachable = 3

// reach dials a server and has the loop take the connection for a side. While this machine has no socket to spare, or the
// loop's poller no room, it goes on trying until the context ends: that says nothing of the server, and uses up no attempt.
func (p *Proxy) reach(ctx context.Context, side any, endpoint string) error {
	wait := transient.Backoff{First: time.Millisecond, Longest: 50 * time.Millisecond}
	unreachable := 0
	passes := func(err error) bool {
		local := transient.OfResources(err) || errors.Is(err, errNotRegistered)
		if errors.Is(err, unix.ENETUNREACH) {
			// A route of this machine that is missing for a moment, or the server's own: then another one is the better try.
			unreachable++
			local = unreachable <= mostUnreachable
		}
		if local && ctx.Err() == nil {
			p.post(func() { p.counts.DialRetries++ })
			p.log.Debug("a dial is made again", "server", endpoint, "error", err)
		}
		return local
	}
	return transient.Retry(ctx, wait, passes, func() error {
		conn, err := p.connect(ctx, endpoint)
		if err != nil {
			return err
		}
		return p.register(side, conn)
	})
}

// connected sends the line. A connection for what is over by now is closed.
func (p *Proxy) connected(d *attempt, conn gnet.Conn) gnet.Action {
	if c := d.client; c.request.Stood() {
		return p.serverResumed(c, conn)
	}
	p.sockets-- // the dial closes its own descriptor
	if d.over {
		return gnet.Close
	}
	if !p.maySend(d) {
		return gnet.Close
	}
	d.conn = conn
	line := d.client.talk.Line(d.until - p.now())
	if _, err := conn.Write(line); err != nil {
		return gnet.None // the end of the connection has been told, with the line unsent
	}
	d.sent = true
	d.client.request.Sent()
	p.counts.Sends++
	return gnet.None
}

// maySend decides, in the instant before a line would be written, whether it may be. The world may have changed since the
// attempt began: the client may have left, its time be up, the server drain, a repeat be out of its window. An attempt
// that may not be sent ends here, and has never run.
func (p *Proxy) maySend(d *attempt) bool {
	c, now := d.client, p.now()
	if err := c.request.Send(now, isPresent(c.conn)); err != nil {
		var v *lifecycle.Violation
		if errors.As(err, &v) && v.Rule == lifecycle.ClientPresent {
			// Its end is about to be read. Should that look have been wrong, it has its one answer all the same.
			p.abandon(c)
			p.answer(c, telemetry.Errored, protocol.Failed, "client left")
			return false
		}
		p.trace("unsent", c, "server", d.server.uid, "why", err.Error())
		p.failed(d, logic.Moot)
		return false
	}
	if c.talk.Stands == "" && !p.in.MaySend(now, c.at) {
		p.failed(d, logic.Moot)
		return false
	}
	return true
}

// isPresent tells whether a client's connection has neither ended nor been reset, also where the loop has not come to read
// that yet. A look that fails for any other reason says nothing of the client.
func isPresent(conn gnet.Conn) bool {
	if !isOpen(conn) {
		return false
	}
	var next [1]byte
	n, _, err := unix.Recvfrom(conn.Fd(), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	ended := n == 0 && err == nil
	return !ended && !errors.Is(err, unix.ECONNRESET)
}

func (p *Proxy) serverSays(d *attempt, b []byte) {
	if c := d.client; c.request.Stood() && c.conn == nil {
		c.early = append(c.early, b...)
		return
	}
	for len(b) > 0 && !d.over {
		var ev protocol.ServerEvent
		var pass []byte
		ev, pass, b = d.talk.Feed(b)
		if d.client.request.Stood() {
			p.passDown(d, ev, pass)
			continue
		}
		switch ev {
		case protocol.Up:
			p.established(d, pass)
		case protocol.Full:
			p.failed(d, logic.Full)
		case protocol.Erred:
			p.failed(d, logic.Failure)
		case protocol.SentAway:
			p.failed(d, logic.Cancelled)
		case protocol.ServerDumb:
			p.log.Warn("a server's answer means nothing", "server", d.server.endpoint, "why", d.talk.Why)
			p.failed(d, logic.Failure)
		}
	}
}

// established passes the server's word on: the connection stands.
func (p *Proxy) established(d *attempt, pass []byte) {
	c, now := d.client, p.now()
	if err := c.request.Establish(); err != nil {
		p.violated(c, err)
		p.failed(d, logic.Failure)
		return
	}
	c.figures.Since = now
	p.trace("up", c, "server", d.server.uid, "took_us", int64(now-d.began))
	d.hang()
	d.server.standing++
	p.counts.Count(c.class, telemetry.Answered)
	if c.talk.Stands != "" {
		p.in.CarriedOver(now, c.at, d.server.id)
	} else {
		p.in.SetUp(now, c.id)
	}
	p.passOn(c, pass)
}

// failed ends a attempt that never established and asks what to do now.
func (p *Proxy) failed(d *attempt, o logic.Outcome) {
	c := d.client
	p.trace("failed", c, "server", d.server.uid, "took_us", int64(p.now()-d.began), "outcome", uint8(o), "why", o.String())
	p.drop(d)
	c.last = o
	c.request.Finish(!o.NeverRan())
	if c.talk.Stands != "" {
		p.after(restoring, func() { p.restore(c) })
		return
	}
	p.in.Ended(p.now(), c.id, o, false)
}

// drop is where a attempt that never established gives back what it has. A dial that is still under way ends, and
// gives its socket back when it does.
func (p *Proxy) drop(d *attempt) {
	d.over = true
	d.client.out = nil
	d.hang()
	d.talk.Drop()
	if d.conn != nil {
		p.shut(d.conn, d.cutUnsent())
	}
}

// cutUnsent sees to it that no more of the line goes out. Guards against a attempt that runs after it was given up: its
// client may be gone, or another be out. A half line is none, and what is still in the buffer would be written at the close.
func (d *attempt) cutUnsent() (cut bool) {
	if cut = d.conn.OutboundBuffered() > 0; cut {
		_ = syscall.Shutdown(d.conn.Fd(), syscall.SHUT_WR) // writes fail from now on; a failure says that they do
	}
	return cut
}

// serverEnded tells how a attempt or a standing connection ended, and ends the client's side in the same way.
func (p *Proxy) serverEnded(d *attempt, reset bool) {
	if d.over {
		return
	}
	c := d.client
	switch {
	case c.request.Stood():
		by := byServer
		if d.ending == logic.OK {
			by = byService
		}
		p.endEstablished(c, by)
		p.in.Ended(p.now(), c.id, d.ending, true)
		if reset {
			p.shut(c.conn, true)
		} else {
			p.closeAnswered(c)
		}
	default:
		p.failed(d, d.unsent(logic.Reset))
	}
}

// endEstablished is where a standing connection gives back what it has, but for the two sockets, which the caller
// shuts.
func (p *Proxy) endEstablished(c *client, by string) {
	d := c.out
	p.trace("ended", c, "by", by)
	p.counts.Closed(by)
	d.over = true
	d.server.standing--
	d.server.figures.Left(&c.figures)
	d.talk.Drop()
	p.release(c)
}

// restoring is the wait before a connection that established before this proxy did is tried again at its server.
const (
	restoring = 100 * millisecond
	// longestRestore is as long as the protocol has all such connections come up at the start.
	longestRestore = 40 * second
)

// restore takes a connection back to the server where it was open before this proxy was.
func (p *Proxy) restore(c *client) {
	now := p.now()
	switch {
	case c.request.Over():
	case now >= c.at.Limit:
		p.answer(c, telemetry.Errored, protocol.Failed, c.lately())
	case p.servers[discovery.ID(c.talk.Stands)] == nil && p.ready && now-c.at.Came > asking:
		p.answer(c, telemetry.Errored, protocol.Failed, "not listed") // the list has been had, and such a server is not on it
	case p.servers[discovery.ID(c.talk.Stands)] == nil:
		p.after(restoring, func() { p.restore(c) })
	default:
		p.attempt(c, discovery.ID(c.talk.Stands), c.at.Limit-now)
	}
}
