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

// About is what a proxy tells of itself that it does not know from serving.
type About struct {
	Name, Version, Config string
	Level                 *slog.LevelVar
}

// Introduce tells the proxy about itself, and the orders with which it starts. It is to be called before Run.
func (p *Proxy) Introduce(about About, held []orders.Order) {
	p.about = about
	for _, o := range held {
		if ans := p.obey(o); ans.Verdict != orders.Obeyed && ans.Verdict != orders.Unknown {
			p.log.Warn("an order from before", "order", o.ID, "verdict", ans.Verdict, "why", ans.Why)
		}
	}
}

// Limit has a gate decide whom the proxy lets in. It is to be called before Run.
func (p *Proxy) Limit(g *limits.Gate) { p.gate = g }

// tellTurnedAway logs, once a second at most, how many the gate has turned away.
func (p *Proxy) tellTurnedAway() {
	if p.gate == nil {
		return
	}
	sum := uint64(0)
	for _, n := range p.gate.Refused() {
		sum += n
	}
	if sum > p.told {
		p.log.Info("turned away by limits", "count", sum-p.told, "since_start", p.gate.Refused())
		p.told = sum
	}
}

var errGone = errors.New("the proxy has left")

// asked has the loop run a call and returns its result. A call whose asker has given up waiting runs all the same.
func asked[T any](ctx context.Context, p *Proxy, call func() T) (none T, err error) {
	select {
	case <-p.started:
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
		return none, errGone
	}
}

// Order hears an order.
func (p *Proxy) Order(ctx context.Context, o orders.Order) (orders.Answer, error) {
	return asked(ctx, p, func() orders.Answer { return p.obey(o) })
}

func (p *Proxy) obey(o orders.Order) orders.Answer {
	o.At = discovery.ID(o.Server)
	ans, changed := p.desk.Take(p.now(), o)
	if changed {
		p.changed(o.At)
	}
	p.log.Info("an order", "order", o.ID, "verb", o.Verb, "server", o.Server, "verdict", ans.Verdict, "why", ans.Why)
	return ans
}

// changed tells the decisions a server's state anew, outside of any list.
func (p *Proxy) changed(id logic.ServerID) {
	if s := p.servers[id]; s != nil {
		state, _ := p.desk.State(p.now(), id)
		p.hear(s, state)
		p.in.ListDone(p.now(), true)
	}
}

func (p *Proxy) expire(now logic.Micros) {
	for _, id := range p.desk.Expire(now) {
		p.log.Info("an order has ended by its time", "server", p.servers[id].name())
		p.changed(id)
	}
}

func (s *server) name() string {
	if s == nil {
		return "not listed"
	}
	return s.uid
}

// Leave has the proxy go in good order.
func (p *Proxy) Leave(ctx context.Context) error {
	_, err := asked(ctx, p, func() bool {
		p.leave()
		return true
	})
	return err
}

// Level changes what is logged.
func (p *Proxy) Level(_ context.Context, level slog.Level) error {
	if p.about.Level == nil {
		return errors.New("the level cannot be changed")
	}
	p.about.Level.Set(level)
	return nil
}

// Status tells what the proxy sees.
func (p *Proxy) Status(ctx context.Context) (control.Status, error) {
	return asked(ctx, p, p.status)
}

func (p *Proxy) status() control.Status {
	now := p.now()
	st := control.Status{
		Control: control.Version, Name: p.about.Name, Version: p.about.Version, PID: os.Getpid(), Started: int64(p.epoch),
		Now: int64(now), Config: p.about.Config, Listen: p.listen, Ready: p.ready, Leaving: p.duty == leaving, List: p.version,
		ListAge: -1, Clients: len(p.clients), Sockets: p.sockets, Term: p.desk.Term(), Orders: []control.Held{}, Servers: []control.Server{},
	}
	if p.listAt > 0 {
		st.ListAge = int64(now - p.listAt)
	}
	if p.gate != nil {
		st.Limits = map[string]uint64{}
		for why, n := range p.gate.Refused() {
			st.Limits[string(why)] = n
		}
	}
	for _, o := range p.desk.Held() {
		state, _ := p.desk.State(now, o.At)
		st.Orders = append(st.Orders, control.Held{Order: o, State: orders.Word(state)})
	}
	zones := make([]string, len(p.zones))
	for name, n := range p.zones {
		zones[n] = name
	}
	for _, id := range p.inOrder() {
		s := p.servers[id]
		seen, known := p.in.See(now, id)
		if !known {
			continue
		}
		state, ordered := p.desk.State(now, id)
		told := control.Server{UID: s.uid, Endpoint: s.endpoint, Zone: zones[s.zone], State: orders.Word(state), Listed: orders.Word(state),
			Ordered: ordered, Standing: seen.Standing, Pending: seen.Pending, Failures: seen.Failures, Pace: seen.Pace,
			ProbeUS: int64(seen.Probe), Cold: seen.Cold}
		if ordered {
			told.Listed = orders.Word(logic.Ready) // an order only ever takes a ready one away
		}
		switch {
		case state != logic.Ready:
			told.Passed = told.State
		case seen.Shunned > 0:
			told.Passed = "its share of failures"
		case seen.Stuck:
			told.Passed = "a set-up has been pending for too long"
		case seen.Late:
			told.Passed = "messages are late: who comes again is not sent there"
		}
		st.Standing += seen.Standing
		st.Servers = append(st.Servers, told)
	}
	return st
}

var _ control.Surface = (*Proxy)(nil)
