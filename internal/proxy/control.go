package proxy

import (
	"context"
	"errors"
	"log/slog"
	"os"

	"hatchproxy/internal/control"
	"hatchproxy/internal/discovery"
	"hatchproxy/limits"
	"hatchproxy/logic"
	"hatchproxy/orders"
)

// Info is what the proxy reports in its status that does not come from serving.
type Info struct {
	Name, Version, ConfigHash string
	LogLevel                  *slog.LevelVar
}

// Initialize sets what the proxy reports about itself and applies the stored orders. It must be called before Run.
func (p *Proxy) Initialize(info Info, stored []orders.Order) {
	p.info = info
	for _, o := range stored {
		if ans := p.applyOrder(o); ans.Verdict != orders.Obeyed && ans.Verdict != orders.Unknown {
			p.log.Warn("cannot apply a stored order", "order", o.ID, "verdict", ans.Verdict, "why", ans.Reason)
		}
	}
}

// SetLimiter sets the limiter that decides which clients are admitted. It must be called before Run.
func (p *Proxy) SetLimiter(limiter *limits.Limiter) { p.limiter = limiter }

// logRefusals logs how many clients the limiter has refused since the last such line, if any.
func (p *Proxy) logRefusals() {
	if p.limiter == nil {
		return
	}
	total := uint64(0)
	for _, n := range p.limiter.Refused() {
		total += n
	}
	if total > p.loggedRefusals {
		p.log.Info("refused clients by limits", "count", total-p.loggedRefusals, "since_start", p.limiter.Refused())
		p.loggedRefusals = total
	}
}

// errProxyStopped is returned for calls that reach a proxy after its end.
var errProxyStopped = errors.New("the proxy has left")

// callOnLoop runs a call on the event loop and returns its result. If the context ends first, the call is still run. It
// fails with errProxyStopped after the proxy's end.
func callOnLoop[T any](ctx context.Context, p *Proxy, call func() T) (none T, err error) {
	select {
	case <-p.loopStarted:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	result := make(chan T, 1)
	p.post(func() { result <- call() })
	select {
	case x := <-result:
		return x, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-p.ctx.Done():
		return none, errProxyStopped
	}
}

// ApplyOrder applies an order and returns the verdict.
func (p *Proxy) ApplyOrder(ctx context.Context, o orders.Order) (orders.Answer, error) {
	return callOnLoop(ctx, p, func() orders.Answer { return p.applyOrder(o) })
}

// applyOrder applies an order on the event loop, or before the loop runs.
func (p *Proxy) applyOrder(o orders.Order) orders.Answer {
	o.ServerID = discovery.ServerID(o.ServerUID)
	ans, changed := p.orders.Apply(p.now(), o)
	if changed {
		p.refreshServer(o.ServerID)
	}
	p.log.Info("order received", "order", o.ID, "verb", o.Verb, "server", o.ServerUID, "verdict", ans.Verdict, "why", ans.Reason)
	return ans
}

// refreshServer gives the balancer a server's state again after its orders have changed.
func (p *Proxy) refreshServer(id logic.ServerID) {
	if s := p.servers[id]; s != nil {
		state, _ := p.orders.State(p.now(), id)
		p.updateServer(s, state)
		p.instance.EndList(p.now(), true)
	}
}

// expireOrders ends the orders whose time is over.
func (p *Proxy) expireOrders(now logic.Micros) {
	for _, id := range p.orders.Expire(now) {
		p.log.Info("order expired", "server", p.servers[id].displayName())
		p.refreshServer(id)
	}
}

// displayName returns the server's UID. It may be called on nil, for a server that is not on the list.
func (s *server) displayName() string {
	if s == nil {
		return "not listed"
	}
	return s.uid
}

// Leave makes the proxy leave in an orderly way. It does not wait for the end.
func (p *Proxy) Leave(ctx context.Context) error {
	_, err := callOnLoop(ctx, p, func() bool {
		p.leave()
		return true
	})
	return err
}

// SetLogLevel sets the log level.
func (p *Proxy) SetLogLevel(_ context.Context, level slog.Level) error {
	if p.info.LogLevel == nil {
		return errors.New("the level cannot be changed")
	}
	p.info.LogLevel.Set(level)
	return nil
}

// Status returns the state of the proxy and of the servers that it knows.
func (p *Proxy) Status(ctx context.Context) (control.Status, error) {
	return callOnLoop(ctx, p, p.status)
}

// status does the work of Status on the event loop.
func (p *Proxy) status() control.Status {
	now := p.now()
	st := control.Status{
		ProtocolVersion: control.ProtocolVersion, Name: p.info.Name, Version: p.info.Version, PID: os.Getpid(), StartedMicros: int64(p.startMicros),
		NowMicros: int64(now), ConfigHash: p.info.ConfigHash, ListenAddress: p.listenAddr, Ready: p.ready, Leaving: p.mode == leaving, ListVersion: p.listVersion,
		ListAgeMicros: -1, Clients: len(p.clients), Sockets: p.openSockets, Term: p.orders.Term(), Orders: []control.HeldOrder{}, Servers: []control.ServerStatus{},
	}
	if p.listReceivedAt > 0 {
		st.ListAgeMicros = int64(now - p.listReceivedAt)
	}
	if p.limiter != nil {
		st.RefusedByLimit = map[string]uint64{}
		for reason, n := range p.limiter.Refused() {
			st.RefusedByLimit[string(reason)] = n
		}
	}
	for _, o := range p.orders.Orders() {
		state, _ := p.orders.State(now, o.ServerID)
		st.Orders = append(st.Orders, control.HeldOrder{Order: o, State: orders.StateName(state)})
	}
	zones := make([]string, len(p.zones))
	for name, n := range p.zones {
		zones[n] = name
	}
	for _, id := range p.sortedServerIDs() {
		s := p.servers[id]
		status, known := p.instance.ServerStatus(now, id)
		if !known {
			continue
		}
		state, ordered := p.orders.State(now, id)
		reported := control.ServerStatus{UID: s.uid, Endpoint: s.endpoint, Zone: zones[s.zone], State: orders.StateName(state), Listed: orders.StateName(state),
			Ordered: ordered, EstablishedConnections: status.Connections, Pending: status.Pending, FailureShare: status.FailureShare, SpeedFactor: status.SpeedFactor,
			ProbeMicros: int64(status.LastProbe), Cold: status.Cold}
		if ordered {
			reported.Listed = orders.StateName(logic.Ready) // orders only apply to servers that are ready by the list
		}
		switch {
		case state != logic.Ready:
			reported.PassedOverReason = reported.State
		case status.AvoidUntil > 0:
			reported.PassedOverReason = "its share of failures"
		case status.Stuck:
			reported.PassedOverReason = "a set-up has been pending for too long"
		case status.Late:
			reported.PassedOverReason = "messages are late: who comes again is not sent there"
		}
		st.EstablishedConnections += status.Connections
		st.Servers = append(st.Servers, reported)
	}
	return st
}

var _ control.Instance = (*Proxy)(nil)
