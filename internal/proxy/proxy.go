// Package proxy drives the decisions on real sockets. One event loop of gnet owns the balancer, all
// attachments and all sockets; dials, the server list, timers and signals hand their results to it.
package proxy

import (
	"container/list"
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/discovery"
	"hatchproxy/internal/host"
	"hatchproxy/internal/notes"
	"hatchproxy/internal/telemetry"
	"hatchproxy/limits"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// Proxy is one real proxy. Everything below the gap belongs to the loop.
type Proxy struct {
	gnet.BuiltinEventEngine
	log      *slog.Logger
	listen   string
	service  *discovery.Service
	ctx      context.Context
	stop     context.CancelFunc
	loop     gnet.EventLoop
	fault    error         // why it could not go on
	ended    chan struct{} // closed once it is to end
	finished sync.Once     // guards ended
	phase    atomic.Int32  // of the start
	acceptor *acceptor     // of clients; nil until its address is had
	started  chan struct{} // closed once the loop is known
	begin    time.Time
	epoch    logic.Micros
	figures  atomic.Pointer[telemetry.Figures] // the last copy of the counts

	rereading sync.Mutex // guards reread, which is called beside the loop

	host        *host.Host
	in          *host.Instance
	offers      map[string]offer // the classes
	longest     logic.Micros     // the longest hard limit that has held
	zones       map[string]logic.ZoneID
	models      map[string]logic.ModelID
	dialing     logic.Micros
	late        logic.Micros // what a message takes at a server that is told to be late
	delays      bool         // the settings say that servers tell delays beside loads
	delaysHeard int          // series of them heard, less figures that were wrongly taken for one; -1 at least
	most        int          // sockets

	clients  map[logic.AttachmentID]*client
	ids      map[uint64]bool // that clients in hand came with
	silent   list.List       // clients that have asked nothing yet, oldest first
	done     list.List       // clients that have had their last word, oldest first
	refused  int             // since the last pulse
	full     int             // turned away since then, as all descriptors were in use for requests
	why      error           // of the last one
	lastID   logic.AttachmentID
	servers  map[logic.ServerID]*server
	gate     *limits.Gate // nil: everybody is let in
	told     uint64       // how many it had turned away when that was logged
	desk     *orders.Desk
	about    About
	reread   func() (Renewal, error)
	listAt   logic.Micros // when the list was last told
	version  int64
	age      age
	watch    context.CancelFunc
	watching int // the number of the watch whose answers count
	ready    bool
	sockets  int                                                          // descriptors of clients and dispatches
	connect  func(ctx context.Context, endpoint string) (net.Conn, error) // dials a server
	due      dueTimes
	timer    *time.Timer
	duty     duty
	turn     int // the number of the duty: what was begun under an earlier one ends
	refusing bool
	resting  bool
	counts   telemetry.Counts
	copied   logic.Micros // when the counts were copied last
	telling  bool         // somebody may fetch them
	swept    int          // the turn in which clients were begun to be sent away
	quitting bool         // the acceptor is closed, and the end is a moment off
	handover *handover    // nil: the listener is its own
}

// Options are what a proxy is made of. Spans are in microseconds.
type Options struct {
	Log         *slog.Logger
	Balancer    *logic.Balancer // decides
	Listen      string          // the clients' address
	Discovery   *discovery.Service
	Known       []byte // the server list that the proxy had before, in discovery's form; may be nil
	Classes     []string
	Deadlines   []logic.Micros // of the classes, in their order
	Zones       []string       // in the order of the settings
	Models      []string
	DialTimeout logic.Micros
	Late        logic.Micros // what a message takes at a server that is told to be late
	Descriptors int64        // the most that the process may hold
}

// New makes a proxy.
func New(o Options) *Proxy {
	now := time.Now()
	p := &Proxy{
		log: o.Log, listen: o.Listen, service: o.Discovery,
		started: make(chan struct{}), ended: make(chan struct{}),
		begin: now, epoch: logic.Micros(now.UnixMicro()),
		zones: map[string]logic.ZoneID{}, models: map[string]logic.ModelID{},
		dialing: o.DialTimeout, late: o.Late, most: int(o.Descriptors) - ownSockets,
		clients: map[logic.AttachmentID]*client{}, ids: map[uint64]bool{}, servers: map[logic.ServerID]*server{}, version: discovery.None,
		desk: orders.New(),
		connect: func(ctx context.Context, endpoint string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", endpoint)
		},
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	numbers := make([]logic.ProductID, len(o.Classes))
	for i := range o.Classes {
		numbers[i] = logic.ProductID(i)
	}
	p.offer(o.Classes, o.Deadlines, numbers)
	for i, name := range o.Zones {
		p.zones[name] = logic.ZoneID(i)
	}
	for i, name := range o.Models {
		p.models[name] = logic.ModelID(i)
	}
	p.host = host.New(p)
	p.in = p.host.Open(0, o.Balancer)
	if len(o.Known) > 0 {
		if version, tell, err := discovery.Decode(o.Known); err != nil {
			o.Log.Warn("the list from before is of no use", "error", err)
		} else {
			p.version = version
			tell(&listed{p, true})
		}
	}
	return p
}

// HearDelays says, before it runs, that servers tell how long messages take, in the form in which they tell loads.
func (p *Proxy) HearDelays() { p.delays = true }

// ownSockets are descriptors that are neither a client's nor a server's: the listener, two pollers, the calls for
// the list (of two services for a moment), the configuration, the standard streams; and what dials that were broken
// off, or have just been handed over, hold a moment longer than they are counted.
const ownSockets = 32

func (p *Proxy) now() logic.Micros { return p.epoch + logic.Micros(time.Since(p.begin).Microseconds()) }

// post has the loop run a call.
func (p *Proxy) post(call func()) {
	err := p.loop.Execute(p.ctx, gnet.RunnableFunc(func(context.Context) error {
		call()
		p.rest()
		return nil
	}))
	if err != nil && p.ctx.Err() == nil {
		p.log.Error("the loop takes no calls", "error", err)
	}
}

// rest lets the instance do what is due after an event, as the simulator's adapter does after a batch.
// What it does then may end connections, which are events too.
func (p *Proxy) rest() {
	if p.resting || p.ctx.Err() != nil {
		return
	}
	p.resting = true
	p.in.Rest(p.now())
	p.resting = false
	p.publish()
}

// start is the loop's first call.
func (p *Proxy) start(loop gnet.EventLoop) {
	p.loop = loop
	close(p.started)
	p.log.Info("serving", "listen", p.listen, "servers", len(p.servers))
	p.after(second, p.pulse)
	p.rest()
}

// OnOpen takes a connection in: a client's, or one to a server that a dial has brought.
func (p *Proxy) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if r, is := c.Context().(*registration); is {
		c.SetContext(r.side)
		r.opened.Store(true)
	}
	defer p.rest()
	switch side := c.Context().(type) {
	case *anchor:
		p.start(c.EventLoop())
	case *client:
		p.sockets++
		return nil, p.clientOpened(side, c)
	case *attempt:
		return nil, p.connected(side, c)
	case *probe:
		p.probeConnected(side, c)
	}
	return nil, gnet.None
}

// OnTraffic feeds what has come to the machine of its side.
func (p *Proxy) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	switch side := c.Context().(type) {
	case *client:
		p.clientSays(side, b)
	case *attempt:
		p.serverSays(side, b)
	case *probe:
		p.probeSays(side, b)
	}
	p.rest()
	return gnet.None
}

// OnClose tells the other side.
func (p *Proxy) OnClose(c gnet.Conn, err error) gnet.Action {
	if err == nil && !isOver(c.Context()) {
		p.loopEnds()
	}
	switch side := c.Context().(type) {
	case *client:
		p.sockets--
		side.leaveQueue()
		p.clientEnded(side, isReset(err))
	case *attempt:
		p.sockets--
		p.serverEnded(side, isReset(err))
	case *probe:
		p.sockets--
		p.probeEnded(side)
	default:
		return gnet.None
	}
	p.rest()
	return gnet.None
}

// isOver tells whether a connection's side has ended what it had to do: only then does the proxy close it itself.
func isOver(side any) bool {
	switch side := side.(type) {
	case *client:
		return side.request.Over()
	case *attempt:
		return side.over
	case *anchor:
		return false
	}
	return true
}

// listed passes the server list on to the decisions.
type listed struct {
	*Proxy
	cached bool
}

func (l *listed) Whole() {
	l.in.ListWhole(l.now())
	l.desk.Whole()
}

func (l *listed) Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State,
	weight float64, launched logic.Micros) {
	id := discovery.ID(uid)
	s := l.servers[id]
	if s == nil {
		s = &server{id: id, figures: notes.New(l.late)}
		l.servers[id] = s
	}
	if endpoint != "" {
		s.endpoint = endpoint
	}
	s.uid, s.zone, s.model, s.cell, s.weight, s.launched = uid, numbered(l.zones, zone), numbered(l.models, model), cell, weight, launched
	l.hear(s, l.desk.Listed(l.now(), id, state, launched))
}

func (l *listed) Done() {
	l.desk.Done()
	l.in.ListDone(l.now(), l.cached)
	l.listAt = l.now()
}

// hear tells the decisions a server's state, as list and orders have it together.
func (p *Proxy) hear(s *server, state logic.State) {
	p.in.Listed(p.now(), s.id, s.zone, s.model, s.cell, state, s.weight, s.launched)
}

// numbered finds a name's number; one that the settings did not name gets the next.
func numbered[N ~uint16](names map[string]N, name string) N {
	n, known := names[name]
	if !known {
		n = N(len(names))
		names[name] = n
	}
	return n
}

// Speak is for lines that carry many instances.
func (p *Proxy) Speak(host.InstanceID) {}

// Remind sees to it that the instance is called at that time.
func (p *Proxy) Remind(at logic.Micros) { p.at(at, func() {}) }

// Log writes the decisions' words into the log.
func (p *Proxy) Log(words string) { p.log.Info(words) }

// gnetLog writes gnet's words into the program's log.
type gnetLog struct{ log *slog.Logger }

func (l gnetLog) Debugf(f string, a ...any) { l.log.Debug(fmt.Sprintf(f, a...)) }
func (l gnetLog) Infof(f string, a ...any)  { l.log.Debug(fmt.Sprintf(f, a...)) }
func (l gnetLog) Warnf(f string, a ...any)  { l.log.Warn(fmt.Sprintf(f, a...)) }
func (l gnetLog) Errorf(f string, a ...any) { l.log.Error(fmt.Sprintf(f, a...)) }
func (l gnetLog) Fatalf(f string, a ...any) { l.log.Error(fmt.Sprintf(f, a...)) }

var _ host.Line = (*Proxy)(nil)
