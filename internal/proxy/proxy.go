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
	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/telemetry"
	"hatchproxy/limits"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// Proxy is one real proxy. Everything below the gap belongs to the loop.
type Proxy struct {
	gnet.BuiltinEventEngine
	log         *slog.Logger
	listenAddr  string
	discovery   *discovery.Client
	ctx         context.Context
	cancel      context.CancelFunc
	loop        gnet.EventLoop
	fatalErr    error         // why it could not go on
	runEnded    chan struct{} // closed once it is to end
	endRunOnce  sync.Once     // guards ended
	startPhase  atomic.Int32  // of the start
	acceptor    *acceptor     // of clients; nil until its address is had
	loopStarted chan struct{} // closed once the loop is known
	startTime   time.Time
	startMicros logic.Micros
	metrics     atomic.Pointer[telemetry.Snapshot] // the last copy of the counts

	reloadMu sync.Mutex // guards reread, which is called beside the loop

	host           *host.Host
	instance       *host.Instance
	classes        map[string]classConfig // the classes
	maxHardLimit   logic.Micros           // the longest hard limit that has held
	zones          map[string]logic.ZoneID
	models         map[string]logic.ModelID
	dialTimeout    logic.Micros
	lateThreshold  logic.Micros // what a message takes at a server that is told to be late
	delaysReported bool         // the settings say that servers tell delays beside loads
	delayEvidence  int          // series of them heard, less figures that were wrongly taken for one; -1 at least
	maxSockets     int          // sockets

	clients           map[logic.AttachmentID]*client
	openIDs           map[uint64]bool // that clients in hand came with
	awaitingRequest   list.List       // clients that have asked nothing yet, oldest first
	lingering         list.List       // clients that have had their last word, oldest first
	protocolErrors    int             // since the last pulse
	socketRefusals    int             // turned away since then, as all descriptors were in use for requests
	lastProtocolError error           // of the last one
	lastID            logic.AttachmentID
	servers           map[logic.ServerID]*server
	limiter           *limits.Limiter // nil: everybody is let in
	loggedRefusals    uint64          // how many it had turned away when that was logged
	orders            *orders.Registry
	info              Info
	readConfig        func() (ReloadedConfig, error)
	listReceivedAt    logic.Micros // when the list was last told
	listVersion       int64
	listFreshness     listFreshness
	cancelWatch       context.CancelFunc
	watchNumber       int // the number of the watch whose answers count
	ready             bool
	openSockets       int                                                          // descriptors of clients and dispatches
	dialFunc          func(ctx context.Context, endpoint string) (net.Conn, error) // dials a server
	scheduledCalls    callHeap
	wakeTimer         *time.Timer
	mode              mode
	modeGeneration    int // the number of the duty: what was begun under an earlier one ends
	refuseRequests    bool
	inAfterEvent      bool
	counters          telemetry.Counters
	metricsCopiedAt   logic.Micros // when the counts were copied last
	metricsEnabled    bool         // somebody may fetch them
	movedGeneration   int          // the turn in which clients were begun to be sent away
	quitting          bool         // the acceptor is closed, and the end is a moment off
	handover          *handover    // nil: the listener is its own
}

// Options are what a proxy is made of. Spans are in microseconds.
type Options struct {
	Log            *slog.Logger
	Balancer       *logic.Balancer // decides
	Listen         string          // the clients' address
	Discovery      *discovery.Client
	CachedList     []byte // the server list that the proxy had before, in discovery's form; may be nil
	Classes        []string
	HardLimits     []logic.Micros // of the classes, in their order
	Zones          []string       // in the order of the settings
	Models         []string
	DialTimeout    logic.Micros
	LateThreshold  logic.Micros // what a message takes at a server that is told to be late
	MaxDescriptors int64        // the most that the process may hold
}

// New makes a proxy.
func New(o Options) *Proxy {
	now := time.Now()
	p := &Proxy{
		log: o.Log, listenAddr: o.Listen, discovery: o.Discovery,
		loopStarted: make(chan struct{}), runEnded: make(chan struct{}),
		startTime: now, startMicros: logic.Micros(now.UnixMicro()),
		zones: map[string]logic.ZoneID{}, models: map[string]logic.ModelID{},
		dialTimeout: o.DialTimeout, lateThreshold: o.LateThreshold, maxSockets: int(o.MaxDescriptors) - reservedSockets,
		clients: map[logic.AttachmentID]*client{}, openIDs: map[uint64]bool{}, servers: map[logic.ServerID]*server{}, listVersion: discovery.NoVersion,
		orders: orders.New(),
		dialFunc: func(ctx context.Context, endpoint string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", endpoint)
		},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	numbers := make([]logic.ProductID, len(o.Classes))
	for i := range o.Classes {
		numbers[i] = logic.ProductID(i)
	}
	p.setClasses(o.Classes, o.HardLimits, numbers)
	for i, name := range o.Zones {
		p.zones[name] = logic.ZoneID(i)
	}
	for i, name := range o.Models {
		p.models[name] = logic.ModelID(i)
	}
	p.host = host.New(p)
	p.instance = p.host.Open(0, o.Balancer)
	if len(o.CachedList) > 0 {
		if version, tell, err := discovery.Decode(o.CachedList); err != nil {
			o.Log.Warn("the list from before is of no use", "error", err)
		} else {
			p.listVersion = version
			tell(&listUpdate{p, true})
		}
	}
	return p
}

// ExpectDelays says, before it runs, that servers tell how long messages take, in the form in which they tell loads.
func (p *Proxy) ExpectDelays() { p.delaysReported = true }

// reservedSockets are descriptors that are neither a client's nor a server's: the listener, two pollers, the calls for
// the list (of two services for a moment), the configuration, the standard streams; and what dials that were broken
// off, or have just been handed over, hold a moment longer than they are counted.
const reservedSockets = 32

func (p *Proxy) now() logic.Micros {
	return p.startMicros + logic.Micros(time.Since(p.startTime).Microseconds())
}

// post has the loop run a call.
func (p *Proxy) post(call func()) {
	err := p.loop.Execute(p.ctx, gnet.RunnableFunc(func(context.Context) error {
		call()
		p.afterEvent()
		return nil
	}))
	if err != nil && p.ctx.Err() == nil {
		p.log.Error("the loop takes no calls", "error", err)
	}
}

// afterEvent lets the instance do what is due after an event, as the simulator's adapter does after a batch.
// What it does then may end connections, which are events too.
func (p *Proxy) afterEvent() {
	if p.inAfterEvent || p.ctx.Err() != nil {
		return
	}
	p.inAfterEvent = true
	p.instance.RunDue(p.now())
	p.inAfterEvent = false
	p.publishMetrics()
}

// onLoopStarted is the loop's first call.
func (p *Proxy) onLoopStarted(loop gnet.EventLoop) {
	p.loop = loop
	close(p.loopStarted)
	p.log.Info("serving", "listen", p.listenAddr, "servers", len(p.servers))
	p.scheduleAfter(second, p.tick)
	p.afterEvent()
}

// OnOpen takes a connection in: a client's, or one to a server that a dial has brought.
func (p *Proxy) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if r, is := c.Context().(*registration); is {
		c.SetContext(r.side)
		r.opened.Store(true)
	}
	defer p.afterEvent()
	switch side := c.Context().(type) {
	case *loopConn:
		p.onLoopStarted(c.EventLoop())
	case *client:
		p.openSockets++
		return nil, p.clientOpened(side, c)
	case *attempt:
		return nil, p.serverConnected(side, c)
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
		p.clientDataReceived(side, b)
	case *attempt:
		p.serverDataReceived(side, b)
	case *probe:
		p.probeDataReceived(side, b)
	}
	p.afterEvent()
	return gnet.None
}

// OnClose tells the other side.
func (p *Proxy) OnClose(c gnet.Conn, err error) gnet.Action {
	if err == nil && !isOver(c.Context()) {
		p.onLoopFailure()
	}
	switch side := c.Context().(type) {
	case *client:
		p.openSockets--
		side.leaveQueue()
		p.clientClosed(side, isReset(err))
	case *attempt:
		p.openSockets--
		p.serverClosed(side, isReset(err))
	case *probe:
		p.openSockets--
		p.probeClosed(side)
	default:
		return gnet.None
	}
	p.afterEvent()
	return gnet.None
}

// isOver tells whether a connection's side has ended what it had to do: only then does the proxy close it itself.
func isOver(side any) bool {
	switch side := side.(type) {
	case *client:
		return side.request.HasEnded()
	case *attempt:
		return side.finished
	case *loopConn:
		return false
	}
	return true
}

// listUpdate passes the server list on to the decisions.
type listUpdate struct {
	*Proxy
	fromCache bool
}

func (l *listUpdate) BeginFullList() {
	l.instance.BeginFullList(l.now())
	l.orders.BeginFullList()
}

func (l *listUpdate) Entry(uid, endpoint, zone, model string, cell logic.CellID, state logic.State,
	weight float64, launched logic.Micros) {
	id := discovery.ServerID(uid)
	s := l.servers[id]
	if s == nil {
		s = &server{id: id, reports: loadreports.New(l.lateThreshold)}
		l.servers[id] = s
	}
	if endpoint != "" {
		s.endpoint = endpoint
	}
	s.uid, s.zone, s.model, s.cell, s.weight, s.launchedAt = uid, idForName(l.zones, zone), idForName(l.models, model), cell, weight, launched
	l.updateServer(s, l.orders.UpdateServer(l.now(), id, state, launched))
}

func (l *listUpdate) EndList() {
	l.orders.EndList()
	l.instance.EndList(l.now(), l.fromCache)
	l.listReceivedAt = l.now()
}

// updateServer tells the decisions a server's state, as list and orders have it together.
func (p *Proxy) updateServer(s *server, state logic.State) {
	p.instance.UpdateServer(p.now(), s.id, s.zone, s.model, s.cell, state, s.weight, s.launchedAt)
}

// idForName finds a name's number; one that the settings did not name gets the next.
func idForName[N ~uint16](names map[string]N, name string) N {
	n, known := names[name]
	if !known {
		n = N(len(names))
		names[name] = n
	}
	return n
}

// SelectInstance is for lines that carry many instances.
func (p *Proxy) SelectInstance(host.InstanceID) {}

// WakeAt sees to it that the instance is called at that time.
func (p *Proxy) WakeAt(at logic.Micros) { p.scheduleAt(at, func() {}) }

// Log writes the decisions' words into the log.
func (p *Proxy) Log(words string) { p.log.Info(words) }

// gnetLogger writes gnet's words into the program's log.
type gnetLogger struct{ log *slog.Logger }

func (l gnetLogger) Debugf(f string, a ...any) { l.log.Debug(fmt.Sprintf(f, a...)) }
func (l gnetLogger) Infof(f string, a ...any)  { l.log.Debug(fmt.Sprintf(f, a...)) }
func (l gnetLogger) Warnf(f string, a ...any)  { l.log.Warn(fmt.Sprintf(f, a...)) }
func (l gnetLogger) Errorf(f string, a ...any) { l.log.Error(fmt.Sprintf(f, a...)) }
func (l gnetLogger) Fatalf(f string, a ...any) { l.log.Error(fmt.Sprintf(f, a...)) }

var _ host.Executor = (*Proxy)(nil)
