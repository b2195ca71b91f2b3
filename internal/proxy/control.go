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

// Info is what a proxy tells of itself that it does not know from serving.
type Info struct {
	Name, Version, ConfigChecksum string
	LogLevel                      *slog.LevelVar
}

// Initialize tells the proxy about itself, and the orders with which it starts. It is to be called before Run.
func (p *Proxy) Initialize(about Info, held []orders.Order) {
	p.info = about
	for _, o := range held {
		if ans := p.applyOrder(o); ans.Verdict != orders.Obeyed && ans.Verdict != orders.Unknown {
			p.log.Warn("an order from before", "order", o.ID, "verdict", ans.Verdict, "why", ans.Reason)
		}
	}
}

// SetLimiter has a gate decide whom the proxy lets in. It is to be called before Run.
func (p *Proxy) SetLimiter(g *limits.Limiter) { p.limiter = g }

// logRefusals logs, once a second at most, how many the gate has turned away.
func (p *Proxy) logRefusals() {
	if p.limiter == nil {
		return
	}
	sum := uint64(0)
	for _, n := range p.limiter.Refused() {
		sum += n
	}
	if sum > p.loggedRefusals {
		p.log.Info("turned away by limits", "count", sum-p.loggedRefusals, "since_start", p.limiter.Refused())
		p.loggedRefusals = sum
	}
}

var errProxyStopped = errors.New("the proxy has left")

// callOnLoop has the loop run a call and returns its result. A call whose asker has given up waiting runs all the same.
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

// ApplyOrder hears an order.
func (p *Proxy) ApplyOrder(ctx context.Context, o orders.Order) (orders.Answer, error) {
	return callOnLoop(ctx, p, func() orders.Answer { return p.applyOrder(o) })
}

func (p *Proxy) applyOrder(o orders.Order) orders.Answer {
	o.ServerID = discovery.ServerID(o.ServerUID)
	ans, changed := p.orders.Apply(p.now(), o)
	if changed {
		p.refreshServer(o.ServerID)
	}
	p.log.Info("an order", "order", o.ID, "verb", o.Verb, "server", o.ServerUID, "verdict", ans.Verdict, "why", ans.Reason)
	return ans
}

// refreshServer tells the decisions a server's state anew, outside of any list.
func (p *Proxy) refreshServer(id logic.ServerID) {
	if s := p.servers[id]; s != nil {
		state, _ := p.orders.State(p.now(), id)
		p.updateServer(s, state)
		p.instance.EndList(p.now(), true)
	}
}

func (p *Proxy) expireOrders(now logic.Micros) {
	for _, id := range p.orders.Expire(now) {
		p.log.Info("an order has ended by its time", "server", p.servers[id].displayName())
		p.refreshServer(id)
	}
}

func (s *server) displayName() string {
	if s == nil {
		return "not listed"
	}
	return s.uid
}

// Leave has the proxy go in good order.
func (p *Proxy) Leave(ctx context.Context) error {
	_, err := callOnLoop(ctx, p, func() bool {
		p.leave()
		return true
	})
	return err
}

// SetLogLevel changes what is logged.
func (p *Proxy) SetLogLevel(_ context.Context, level slog.Level) error {
	if p.info.LogLevel == nil {
		return errors.New("the level cannot be changed")
	}
	p.info.LogLevel.Set(level)
	return nil
}

// Status tells what the proxy sees.
func (p *Proxy) Status(ctx context.Context) (control.Status, error) {
	return callOnLoop(ctx, p, p.status)
}

func (p *Proxy) status() control.Status {
	now := p.now()
	st := control.Status{
		ProtocolVersion: control.ProtocolVersion, Name: p.info.Name, Version: p.info.Version, PID: os.Getpid(), StartedMicros: int64(p.startMicros),
		NowMicros: int64(now), ConfigHash: p.info.ConfigChecksum, ListenAddress: p.listenAddr, Ready: p.ready, Leaving: p.mode == leaving, ListVersion: p.listVersion,
		ListAgeMicros: -1, Clients: len(p.clients), Sockets: p.openSockets, Term: p.orders.Term(), Orders: []control.HeldOrder{}, Servers: []control.ServerStatus{},
	}
	if p.listReceivedAt > 0 {
		st.ListAgeMicros = int64(now - p.listReceivedAt)
	}
	if p.limiter != nil {
		st.RefusedByLimit = map[string]uint64{}
		for why, n := range p.limiter.Refused() {
			st.RefusedByLimit[string(why)] = n
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
		seen, known := p.instance.ServerStatus(now, id)
		if !known {
			continue
		}
		state, ordered := p.orders.State(now, id)
		told := control.ServerStatus{UID: s.uid, Endpoint: s.endpoint, Zone: zones[s.zone], State: orders.StateName(state), Listed: orders.StateName(state),
			Ordered: ordered, Standing: seen.Connections, Pending: seen.Pending, Failures: seen.FailureShare, Pace: seen.SpeedFactor,
			ProbeMicros: int64(seen.LastProbe), Cold: seen.Cold}
		if ordered {
			told.Listed = orders.StateName(logic.Ready) // an order only ever takes a ready one away
		}
		switch {
		case state != logic.Ready:
			told.PassedOverReason = told.State
		case seen.AvoidUntil > 0:
			told.PassedOverReason = "its share of failures"
		case seen.Stuck:
			told.PassedOverReason = "a set-up has been pending for too long"
		case seen.Late:
			told.PassedOverReason = "messages are late: who comes again is not sent there"
		}
		st.Standing += seen.Connections
		st.Servers = append(st.Servers, told)
	}
	return st
}

var _ control.Instance = (*Proxy)(nil)
