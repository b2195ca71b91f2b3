// Package orders combines the server list with the operators' orders to drain servers. It decides which orders are in
// force, and which state of each server the balancer sees. It does no I/O, and its callers pass in the time.
package orders

import (
	"cmp"
	"fmt"
	"slices"

	"hatchproxy/logic"
)

// Verb is the kind of an order.
type Verb string

const (
	Drain   Verb = "drain"   // the server gets no new connections, and its connections are moved
	Undrain Verb = "undrain" // ends a drain: the state of the list applies again
)

// Order is an operator's order on one server. Its author is the agent that sends it. Orders are sequenced by the term of
// their author and by their number: a number belongs to one order, and a higher number is newer; an author with a higher
// term has replaced those of all lower ones.
type Order struct {
	ID               string         `json:"id"`
	Term             uint64         `json:"term"` // of the author
	Number           uint64         `json:"number"`
	Verb             Verb           `json:"verb"`
	ServerUID        string         `json:"server"`           // as in the server list
	ExpiresAt        logic.Micros   `json:"until,omitempty"`  // Unix time in microseconds at which the order expires; 0 for never
	ServerLaunchedAt logic.Micros   `json:"launch,omitempty"` // the start time of the server process that the order is for, as in the server list; 0 for any
	ServerID         logic.ServerID `json:"-"`                // derived from ServerUID by the reader of the order
}

// Verdict is the result of applying an order.
type Verdict string

const (
	Obeyed   Verdict = "obeyed"   // it is in force
	Repeated Verdict = "repeated" // it was applied before; nothing changes
	Stale    Verdict = "stale"    // a newer order on this server, or one of a newer author, was received before
	Refused  Verdict = "refused"  // it is invalid
	Unknown  Verdict = "unknown"  // no list has named the server; the order is kept, and applies when one does
)

// Answer is the response to an order: the verdict with its reason, and the state of the server that the balancer sees now.
type Answer struct {
	Verdict    Verdict      `json:"verdict"`
	Reason     string       `json:"why,omitempty"`
	State      string       `json:"state,omitempty"`
	ReceivedAt logic.Micros `json:"at"` // Unix time in microseconds at which the order was first received
}

const (
	// maxOrders bounds the orders that are kept. It is far above the number of servers that drain at once.
	maxOrders = 4096
	// maxNameLength bounds order ids and server uids, in bytes.
	maxNameLength = 200
)

// serverEntry is what a Registry knows of one server.
type serverEntry struct {
	listed     bool         // named by the current list, or so far by the full list in progress
	everListed bool         // named by some list
	listState  logic.State  // according to the list
	launchedAt logic.Micros // start time of its process, according to the list
	order      *Order       // the newest order on it; nil if there is none
	receivedAt logic.Micros // when order was first received
	drained    bool         // order drains it, and its expiry has not been reported by Expire
}

// Registry keeps the server list of an instance and the newest order on each server.
type Registry struct {
	term       uint64
	servers    map[logic.ServerID]*serverEntry
	fullList   bool // a full list is in progress
	orderCount int  // servers that have an order
}

// New returns an empty Registry.
func New() *Registry { return &Registry{servers: map[logic.ServerID]*serverEntry{}} }

// entry returns the entry of a server, a new one if there is none.
func (r *Registry) entry(id logic.ServerID) *serverEntry {
	s := r.servers[id]
	if s == nil {
		s = &serverEntry{listState: logic.Gone}
		r.servers[id] = s
	}
	return s
}

// BeginFullList begins a full list. UpdateServer is then called for each server on it, and EndList at the end.
func (r *Registry) BeginFullList() {
	r.fullList = true
	for _, s := range r.servers {
		s.listed = false
	}
}

// EndList ends a full list, or a change of the list. The servers that a full list does not name are gone.
func (r *Registry) EndList() {
	if !r.fullList {
		return
	}
	r.fullList = false
	for id, s := range r.servers {
		if s.listed {
			continue
		}
		s.listState = logic.Gone
		if s.order == nil {
			delete(r.servers, id) // otherwise all servers that have ever been listed would be kept
		}
	}
}

// UpdateServer sets the state and the process start time of a server from the list, and returns its effective state.
func (r *Registry) UpdateServer(now logic.Micros, id logic.ServerID, state logic.State, launchedAt logic.Micros) logic.State {
	s := r.entry(id)
	s.listed, s.everListed, s.listState, s.launchedAt = true, true, state, launchedAt
	return s.effectiveState(now)
}

// effectiveState returns the state under the order in force, if there is one. An order never makes a server available that
// the list has as draining or gone.
func (s *serverEntry) effectiveState(now logic.Micros) logic.State {
	if s.listState == logic.Ready && s.drained && s.orderInForce(now) {
		return logic.Draining
	}
	return s.listState
}

// orderInForce reports whether the newest order still applies: it has not expired, and it is not for an earlier process.
func (s *serverEntry) orderInForce(now logic.Micros) bool {
	o := s.order
	return o != nil && (o.ExpiresAt == 0 || now < o.ExpiresAt) && (o.ServerLaunchedAt == 0 || !s.everListed || o.ServerLaunchedAt == s.launchedAt)
}

// Apply applies an order. It reports whether the effective state of the server has changed, so that the balancer must be
// told of it.
func (r *Registry) Apply(now logic.Micros, o Order) (ans Answer, changed bool) {
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
	case o.Term < r.term:
		return refuse(Stale, "its author's term is %d, and one of term %d has been heard", o.Term, r.term)
	}
	r.term = o.Term
	s := r.servers[o.ServerID]
	if s == nil {
		s = &serverEntry{listState: logic.Gone}
	}
	if last := s.order; last != nil {
		switch {
		case o.Number < last.Number:
			return refuse(Stale, "number %d is older than %d, %q", o.Number, last.Number, last.ID)
		case o.Number == last.Number && o.ID != last.ID:
			return refuse(Refused, "number %d is that of another order, %q", o.Number, last.ID)
		case o.Number == last.Number:
			return Answer{Verdict: Repeated, State: StateName(s.effectiveState(now)), ReceivedAt: s.receivedAt}, false
		}
	} else if r.orderCount == maxOrders {
		return refuse(Refused, "%d orders are kept already", maxOrders)
	} else {
		r.orderCount++
	}
	r.servers[o.ServerID] = s
	before := s.effectiveState(now)
	s.order, s.receivedAt, s.drained = &o, now, o.Verb == Drain
	after := s.effectiveState(now)
	ans = Answer{Verdict: Obeyed, State: StateName(after), ReceivedAt: now}
	switch {
	case !s.everListed:
		ans.Verdict, ans.Reason = Unknown, "no list has named this server; the order counts when one does"
	case o.Verb == Undrain && after != logic.Ready:
		ans.Reason = "the list itself says so"
	case o.Verb == Drain && o.ServerLaunchedAt != 0 && !s.orderInForce(now):
		ans.Reason = "the server has been started anew since"
	}
	return ans, before != after
}

// Expire returns the sorted servers whose drain has expired since the last call. The balancer must be told their state.
func (r *Registry) Expire(now logic.Micros) []logic.ServerID {
	var expired []logic.ServerID
	for id, s := range r.servers {
		if s.drained && s.order.ExpiresAt != 0 && now >= s.order.ExpiresAt {
			s.drained = false
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// State returns the effective state of a server, and whether an order has changed it from that of the list.
func (r *Registry) State(now logic.Micros, id logic.ServerID) (state logic.State, ordered bool) {
	s := r.servers[id]
	if s == nil {
		return logic.Gone, false
	}
	return s.effectiveState(now), s.effectiveState(now) != s.listState
}

// ListState returns the state of a server by the list alone.
func (r *Registry) ListState(id logic.ServerID) logic.State {
	if s := r.servers[id]; s != nil {
		return s.listState
	}
	return logic.Gone
}

// Orders returns the newest order on each server, sorted by number. An instance keeps to these orders, even while no author
// of orders can reach it.
func (r *Registry) Orders() []Order {
	var newest []Order
	for _, s := range r.servers {
		if s.order != nil {
			newest = append(newest, *s.order)
		}
	}
	slices.SortFunc(newest, func(a, b Order) int { return cmp.Compare(a.Number, b.Number) })
	return newest
}

// Term returns the highest author's term of the valid orders received.
func (r *Registry) Term() uint64 { return r.term }

// StateName returns the name of a state.
func StateName(s logic.State) string { return [...]string{"ready", "draining", "gone"}[s] }
