// Package proxy implements the load balancer on real sockets. It accepts clients, reads one request from each, asks the
// balancer of package logic which server to use, dials that server and relays bytes between the two connections. It
// also moves clients off servers, probes servers, hands connections over to a successor process, and leaves in an
// orderly way. A single gnet event loop owns the balancer, all requests and all sockets; dials, the server list, timers
// and signals run in goroutines of their own and post their results to the loop.
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

// Proxy is one proxy process: its listener, its event loop and everything that it holds. The fields from host on belong
// to the event loop; once the loop runs, only calls on it may use them.
type Proxy struct {
	gnet.BuiltinEventEngine
	log         *slog.Logger
	listenAddr  string
	discovery   *discovery.Client
	ctx         context.Context
	cancel      context.CancelFunc
	loop        gnet.EventLoop
	fatalErr    error         // why Run fails; nil after an orderly end
	runEnded    chan struct{} // closed when Run is to return
	endRunOnce  sync.Once     // guards the closing of runEnded
	startPhase  atomic.Int32  // phaseStarting, phaseServing or phaseAborted
	acceptor    *acceptor     // accepts clients; nil until there is a listener
	loopStarted chan struct{} // closed once loop is set
	startTime   time.Time
	startMicros logic.Micros                       // startTime as Unix time
	metrics     atomic.Pointer[telemetry.Snapshot] // the last published copy of the counters

	reloadMu sync.Mutex // serializes calls of readConfig, which run outside the event loop

	host           *host.Host
	instance       *host.Instance
	classes        map[string]classConfig // by name
	zones          map[string]logic.ZoneID
	models         map[string]logic.ModelID
	dialTimeout    logic.Micros
	lateThreshold  logic.Micros // messages that take at least this long make a server late
	delaysReported bool         // by the settings, servers report message delays in addition to loads
	delayEvidence  int          // series of delays less figures wrongly taken for one; from -1 to maxDelayEvidence
	maxSockets     int          // limit on openSockets

	clients           map[logic.AttachmentID]*client
	openIDs           map[uint64]bool // the request IDs that the present clients use
	sentIDs           sentIDs
	awaitingRequest   list.List // clients that have not sent a whole request, oldest first
	lingering         list.List // clients that have been sent their final line and are about to close, oldest first
	protocolErrors    int       // since the last tick
	socketRefusals    int       // clients refused since the last tick because all sockets were in use for requests
	lastProtocolError error     // the most recent of protocolErrors
	lastID            logic.AttachmentID
	servers           map[logic.ServerID]*server
	limiter           *limits.Limiter // nil if all clients are admitted
	loggedRefusals    uint64          // how many refusals of the limiter have been logged
	orders            *orders.Registry
	info              Info
	readConfig        func() (ReloadedConfig, error)
	listReceivedAt    logic.Micros // when the server list last arrived; 0 if never
	listVersion       int64
	listTold          bool // the list is of the discovery service, or of the other process of a replacement
	listCallFailed    bool // a call for the list has failed, or is overdue
	listFreshness     listFreshness
	listOutdated      bool // as the balancer was last told
	watching          bool // a watch is under way: a call is open, or the next one is about to be made
	cancelWatch       context.CancelFunc
	watchNumber       int  // identifies the current watch; answers of earlier ones are ignored
	ready             bool // a list has been received, or could not be while cached servers are known
	unsent            unsentOutput
	unsentGivenUp     int                                                          // connections given up since the last tick because their peers do not read
	openSockets       int                                                          // descriptors of client and server connections
	unregistered      atomic.Int32                                                 // descriptors set aside for connections until the event loop has them
	takeoverSlots     chan struct{}                                                // holds an element for each connection that is being taken over
	dialFunc          func(ctx context.Context, endpoint string) (net.Conn, error) // connects to a server
	scheduledCalls    callHeap
	wakeTimer         *time.Timer
	mode              mode
	modeGeneration    int  // counts changes of mode; actions begun under an earlier mode stop
	refuseRequests    bool // new requests are refused, since the proxy leaves or evacuates
	inAfterEvent      bool // a call of afterEvent is under way
	counters          telemetry.Counters
	metricsCopiedAt   logic.Micros // when metrics was last updated
	metricsEnabled    bool         // metrics are copied for the admin interface
	movedGeneration   int          // the modeGeneration in which moving clients away was begun
	quitting          bool         // the acceptor is closed and the proxy is about to end
	handover          *handover    // nil if the proxy opened its listener itself
}

// Options configures a Proxy. Durations are in microseconds.
type Options struct {
	Log            *slog.Logger
	Balancer       *logic.Balancer // makes the decisions
	Listen         string          // address for clients
	Discovery      *discovery.Client
	CachedList     []byte // of an earlier run, as discovery.Decode takes it; may be nil
	Classes        []string
	HardLimits     []logic.Micros // of the classes, in the same order
	Zones          []string       // indexed by zone ID
	Models         []string
	DialTimeout    logic.Micros
	LateThreshold  logic.Micros // messages that take at least this long make a server late
	MaxDescriptors int64        // limit on the open descriptors of the process
}

// New returns a proxy that does not run yet. An invalid cached server list is logged and ignored.
func New(o Options) *Proxy {
	now := time.Now()
	p := &Proxy{
		log: o.Log, listenAddr: o.Listen, discovery: o.Discovery,
		loopStarted: make(chan struct{}), runEnded: make(chan struct{}),
		startTime: now, startMicros: logic.Micros(now.UnixMicro()),
		zones: map[string]logic.ZoneID{}, models: map[string]logic.ModelID{},
		dialTimeout: o.DialTimeout, lateThreshold: o.LateThreshold, maxSockets: int(o.MaxDescriptors) - reservedSockets,
		clients: map[logic.AttachmentID]*client{}, openIDs: map[uint64]bool{}, servers: map[logic.ServerID]*server{}, listVersion: discovery.NoVersion,
		orders: orders.New(), takeoverSlots: make(chan struct{}, maxTakeovers),
		dialFunc: func(ctx context.Context, endpoint string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", endpoint)
		},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	ids := make([]logic.ProductID, len(o.Classes))
	for i := range o.Classes {
		ids[i] = logic.ProductID(i)
	}
	p.setClasses(o.Classes, o.HardLimits, ids)
	for i, name := range o.Zones {
		p.zones[name] = logic.ZoneID(i)
	}
	for i, name := range o.Models {
		p.models[name] = logic.ModelID(i)
	}
	p.host = host.New(p)
	p.instance = p.host.Open(0, o.Balancer)
	if len(o.CachedList) > 0 {
		if version, apply, err := discovery.Decode(o.CachedList); err != nil {
			o.Log.Warn("cannot decode the cached server list; starting without it", "error", err)
		} else {
			p.listVersion = version
			apply(&listUpdate{p, true})
		}
	}
	return p
}

// ExpectDelays makes the proxy expect servers to report message delays in the same form as loads. It must be called
// before Run.
func (p *Proxy) ExpectDelays() { p.delaysReported = true }

// reservedSockets is the number of descriptors set aside for purposes other than client and server connections: the
// listener, two pollers, calls to the discovery service (for a short time to two of them), the configuration file and
// the standard streams. It also covers dials that were cancelled or have just been registered, which hold their
// descriptor slightly longer than it is counted.
const reservedSockets = 32

// now returns the current Unix time. It follows the monotonic clock, so that it never jumps.
func (p *Proxy) now() logic.Micros {
	return p.startMicros + logic.Micros(time.Since(p.startTime).Microseconds())
}

// post runs a call on the event loop. It does not wait for the call.
func (p *Proxy) post(call func()) {
	err := p.loop.Execute(p.ctx, gnet.RunnableFunc(func(context.Context) error {
		call()
		p.afterEvent()
		return nil
	}))
	if err != nil && p.ctx.Err() == nil {
		p.log.Error("event loop rejected a call", "error", err)
	}
}

// afterEvent lets the instance do its due work after an event on the loop, as the simulator's adapter does after each
// batch, and publishes the metrics. This work may close connections, which are events themselves; the nested calls do
// nothing.
func (p *Proxy) afterEvent() {
	if p.inAfterEvent || p.ctx.Err() != nil {
		return
	}
	p.inAfterEvent = true
	p.instance.RunDue(p.now())
	p.inAfterEvent = false
	p.publishMetrics()
}

// onLoopStarted is the first call on the event loop.
func (p *Proxy) onLoopStarted(loop gnet.EventLoop) {
	p.loop = loop
	close(p.loopStarted)
	p.log.Info("serving", "listen", p.listenAddr, "servers", len(p.servers))
	p.scheduleAfter(second, p.tick)
	p.afterEvent()
}

// OnOpen handles a connection that the loop has registered: a client's, one to a server, or the loop's own.
func (p *Proxy) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if r, ok := c.Context().(*registration); ok {
		c.SetContext(r.owner)
		r.opened.Store(true)
	}
	defer p.afterEvent()
	switch owner := c.Context().(type) {
	case *loopConn:
		p.onLoopStarted(c.EventLoop())
	case *client:
		p.openSockets++
		return nil, p.clientOpened(owner, c)
	case *attempt:
		return nil, p.serverConnected(owner, c)
	case *probe:
		p.probeConnected(owner, c)
	}
	return nil, gnet.None
}

// OnTraffic passes received bytes to the connection's owner: a client, an attempt or a probe.
func (p *Proxy) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	switch owner := c.Context().(type) {
	case *client:
		p.clientDataReceived(owner, b)
	case *attempt:
		p.serverDataReceived(owner, b)
	case *probe:
		p.probeDataReceived(owner, b)
	}
	p.afterEvent()
	return gnet.None
}

// OnClose handles the end of a connection and closes the opposite one.
func (p *Proxy) OnClose(c gnet.Conn, err error) gnet.Action {
	if err == nil && !isFinished(c.Context()) {
		p.onLoopFailure()
	}
	p.unsent.forget(c)
	switch owner := c.Context().(type) {
	case *client:
		p.openSockets--
		p.leaveQueue(owner)
		p.clientClosed(owner, isReset(err))
	case *attempt:
		p.openSockets--
		p.serverClosed(owner, isReset(err))
	case *probe:
		p.openSockets--
		p.probeClosed(owner)
	default:
		return gnet.None
	}
	p.afterEvent()
	return gnet.None
}

// isFinished reports whether the owner of a connection is finished with it. The proxy closes connections itself only in
// this case, so any other local close means that the event loop is ending.
func isFinished(owner any) bool {
	switch owner := owner.(type) {
	case *client:
		return owner.request.HasEnded()
	case *attempt:
		return owner.finished
	case *loopConn:
		return false
	}
	return true
}

// listUpdate applies a server list, or the changes of one, to the proxy's servers and the balancer. It implements
// discovery.ListVisitor.
type listUpdate struct {
	*Proxy
	fromCache bool // the list is the cached one of an earlier run, not an answer of the discovery service
}

// BeginFullList starts a full list: servers that have no entry in it are no longer listed.
func (l *listUpdate) BeginFullList() {
	l.instance.BeginFullList(l.now())
	l.orders.BeginFullList()
}

// Entry adds or updates a server. An empty endpoint leaves the known one.
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

// EndList completes the list.
func (l *listUpdate) EndList() {
	l.orders.EndList()
	l.instance.EndList(l.now(), l.fromCache)
	l.listReceivedAt = l.now()
}

// updateServer gives the balancer a server's state, which follows from the list and the orders together.
func (p *Proxy) updateServer(s *server, state logic.State) {
	p.instance.UpdateServer(p.now(), s.id, s.zone, s.model, s.cell, state, s.weight, s.launchedAt)
}

// idForName returns the ID of a name. A name that is not in the settings gets the next free ID.
func idForName[N ~uint16](ids map[string]N, name string) N {
	id, known := ids[name]
	if !known {
		id = N(len(ids))
		ids[name] = id
	}
	return id
}

// SelectInstance implements host.Executor. It does nothing, since there is only one instance.
func (p *Proxy) SelectInstance(host.InstanceID) {}

// WakeAt has the instance called at the given time.
func (p *Proxy) WakeAt(at logic.Micros) { p.scheduleAt(at, func() {}) }

// Log writes a message of the balancer to the log.
func (p *Proxy) Log(message string) { p.log.Info(message) }

// gnetLogger writes gnet's messages to the program's log.
type gnetLogger struct{ log *slog.Logger }

func (l gnetLogger) Debugf(format string, a ...any) { l.log.Debug(fmt.Sprintf(format, a...)) }
func (l gnetLogger) Infof(format string, a ...any)  { l.log.Debug(fmt.Sprintf(format, a...)) }
func (l gnetLogger) Warnf(format string, a ...any)  { l.log.Warn(fmt.Sprintf(format, a...)) }
func (l gnetLogger) Errorf(format string, a ...any) { l.log.Error(fmt.Sprintf(format, a...)) }
func (l gnetLogger) Fatalf(format string, a ...any) { l.log.Error(fmt.Sprintf(format, a...)) }

var _ host.Executor = (*Proxy)(nil)
