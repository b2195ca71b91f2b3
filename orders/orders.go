// Package orders joins what the server list says with what operators ordered. It decides which orders count, and what
// state the decisions hear of each server; it is free of I/O and handed the time.
package orders

import (
	"cmp"
	"fmt"
	"slices"

	"hatchproxy/logic"
)

// Verb is what an order wants.
type Verb string

const (
	Drain   Verb = "drain"   // nothing new to the server, and who stands there is moved
	Undrain Verb = "undrain" // what the list says counts again
)

// Order is one order. Its place among all is its author's term and its number: a number belongs to one order, and a
// higher one is newer; a higher term is an author that has taken over from all of lower ones.
type Order struct {
	ID          string         `json:"id"`
	Term        uint64         `json:"term"`
	Number      uint64         `json:"number"`
	Verb        Verb           `json:"verb"`
	ServerUID   string         `json:"server"`           // its uid
	ExpiresAt   logic.Micros   `json:"until,omitempty"`  // Unix time in microseconds at which it ends by itself; 0 for never
	ServerStart logic.Micros   `json:"launch,omitempty"` // it counts only for a server that started then; 0 for any start
	ServerID    logic.ServerID `json:"-"`                // the uid's number, set by who reads the order
}

// Verdict is what became of an order.
type Verdict string

const (
	Obeyed   Verdict = "obeyed"
	Repeated Verdict = "repeated" // it was obeyed before; nothing changes
	Stale    Verdict = "stale"    // a newer order on this server, or a newer author, has been heard
	Refused  Verdict = "refused"  // it makes no sense
	Unknown  Verdict = "unknown"  // nobody knows the server; it is kept, and counts should the server come
)

// Answer is a verdict with its reason. State is what the decisions hear of the server now.
type Answer struct {
	Verdict    Verdict      `json:"verdict"`
	Reason     string       `json:"why,omitempty"`
	State      string       `json:"state,omitempty"`
	ReceivedAt logic.Micros `json:"at"` // Unix time in microseconds at which it was heard first
}

const (
	// maxOrders bounds the orders that are kept: far more than servers that drain at once.
	maxOrders = 4096
	// maxNameLength bounds ids and uids.
	maxNameLength = 200
)

// serverEntry is what is known of a server.
type serverEntry struct {
	listed     bool // on the list that is being told, or on the last
	everListed bool // it has been on a list
	listState  logic.State
	startedAt  logic.Micros
	order      *Order // the newest order on it
	receivedAt logic.Micros
	drained    bool // by that order
}

// Registry keeps the orders of an instance beside its list.
type Registry struct {
	term       uint64
	servers    map[logic.ServerID]*serverEntry
	fullList   bool
	orderCount int // posts that have an order
}

// New makes a desk without orders.
func New() *Registry { return &Registry{servers: map[logic.ServerID]*serverEntry{}} }

func (d *Registry) entry(id logic.ServerID) *serverEntry {
	p := d.servers[id]
	if p == nil {
		p = &serverEntry{listState: logic.Gone}
		d.servers[id] = p
	}
	return p
}

// BeginFullList begins a whole list, Done ends a list or a change. Done returns the servers that are gone by that, in order.
func (d *Registry) BeginFullList() {
	d.fullList = true
	for _, p := range d.servers {
		p.listed = false
	}
}

func (d *Registry) EndList() {
	if !d.fullList {
		return
	}
	d.fullList = false
	for id, p := range d.servers {
		if p.listed {
			continue
		}
		p.listState = logic.Gone
		if p.order == nil {
			delete(d.servers, id) // guards against a memory of all servers that ever were
		}
	}
}

// UpdateServer takes what the list says of a server and returns what the decisions are to hear.
func (d *Registry) UpdateServer(now logic.Micros, id logic.ServerID, state logic.State, launched logic.Micros) logic.State {
	p := d.entry(id)
	p.listed, p.everListed, p.listState, p.startedAt = true, true, state, launched
	return p.effectiveState(now)
}

// effectiveState is the state under the order in force. An order never makes a server readier than the list has it.
func (p *serverEntry) effectiveState(now logic.Micros) logic.State {
	if p.listState == logic.Ready && p.drained && p.orderInForce(now) {
		return logic.Draining
	}
	return p.listState
}

// orderInForce tells whether the newest order still counts.
func (p *serverEntry) orderInForce(now logic.Micros) bool {
	o := p.order
	return o != nil && (o.ExpiresAt == 0 || now < o.ExpiresAt) && (o.ServerStart == 0 || !p.everListed || o.ServerStart == p.startedAt)
}

// Apply hears an order. Changed tells that the decisions are to hear the server's state anew.
func (d *Registry) Apply(now logic.Micros, o Order) (ans Answer, changed bool) {
	refuse := func(v Verdict, format string, a ...any) (Answer, bool) {
		return Answer{Verdict: v, Reason: fmt.Sprintf(format, a...), ReceivedAt: now}, false
	}
	switch {
	case o.Verb != Drain && o.Verb != Undrain:
		return refuse(Refused, "the verb %.40q is unknown", o.Verb)
	case o.ID == "" || len(o.ID) > maxNameLength || o.ServerUID == "" || len(o.ServerUID) > maxNameLength:
		return refuse(Refused, "an order needs an id and a server, of %d bytes at most", maxNameLength)
	case o.ExpiresAt != 0 && o.ExpiresAt <= now:
		return refuse(Refused, "it had ended before it was heard")
	case o.Term < d.term:
		return refuse(Stale, "its author's term is %d, and one of term %d has been heard", o.Term, d.term)
	}
	d.term = o.Term
	p := d.servers[o.ServerID]
	if p == nil {
		p = &serverEntry{listState: logic.Gone}
	}
	if last := p.order; last != nil {
		switch {
		case o.Number < last.Number:
			return refuse(Stale, "number %d is older than %d, %q", o.Number, last.Number, last.ID)
		case o.Number == last.Number && o.ID != last.ID:
			return refuse(Refused, "number %d is that of another order, %q", o.Number, last.ID)
		case o.Number == last.Number:
			return Answer{Verdict: Repeated, State: StateName(p.effectiveState(now)), ReceivedAt: p.receivedAt}, false
		}
	} else if d.orderCount == maxOrders {
		return refuse(Refused, "%d orders are kept already", maxOrders)
	} else {
		d.orderCount++
	}
	d.servers[o.ServerID] = p
	before := p.effectiveState(now)
	p.order, p.receivedAt, p.drained = &o, now, o.Verb == Drain
	after := p.effectiveState(now)
	ans = Answer{Verdict: Obeyed, State: StateName(after), ReceivedAt: now}
	switch {
	case !p.everListed:
		ans.Verdict, ans.Reason = Unknown, "no list has named this server; the order counts when one does"
	case o.Verb == Undrain && after != logic.Ready:
		ans.Reason = "the list itself says so"
	case o.Verb == Drain && o.ServerStart != 0 && !p.orderInForce(now):
		ans.Reason = "the server has been started anew since"
	}
	return ans, before != after
}

// Expire returns the servers whose order has ended by time since it was last asked, in order: the decisions are to
// hear their state anew.
func (d *Registry) Expire(now logic.Micros) []logic.ServerID {
	var over []logic.ServerID
	for id, p := range d.servers {
		if p.drained && p.order.ExpiresAt != 0 && now >= p.order.ExpiresAt {
			p.drained = false
			over = append(over, id)
		}
	}
	slices.Sort(over)
	return over
}

// State is what the decisions hear of a server, and whether that is by an order.
func (d *Registry) State(now logic.Micros, id logic.ServerID) (state logic.State, ordered bool) {
	p := d.servers[id]
	if p == nil {
		return logic.Gone, false
	}
	return p.effectiveState(now), p.effectiveState(now) != p.listState
}

// Orders are the newest orders on each server, oldest first: what an instance goes on with, also alone.
func (d *Registry) Orders() []Order {
	var held []Order
	for _, p := range d.servers {
		if p.order != nil {
			held = append(held, *p.order)
		}
	}
	slices.SortFunc(held, func(a, b Order) int { return cmp.Compare(a.Number, b.Number) })
	return held
}

// Term is the highest author's term that was heard.
func (d *Registry) Term() uint64 { return d.term }

// StateName is a state's name.
func StateName(s logic.State) string { return [...]string{"ready", "draining", "gone"}[s] }
