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
	ID     string         `json:"id"`
	Term   uint64         `json:"term"`
	Number uint64         `json:"number"`
	Verb   Verb           `json:"verb"`
	Server string         `json:"server"`           // its uid
	Until  logic.Micros   `json:"until,omitempty"`  // Unix time in microseconds at which it ends by itself; 0 for never
	Launch logic.Micros   `json:"launch,omitempty"` // it counts only for a server that started then; 0 for any start
	At     logic.ServerID `json:"-"`                // the uid's number, set by who reads the order
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
	Verdict Verdict      `json:"verdict"`
	Why     string       `json:"why,omitempty"`
	State   string       `json:"state,omitempty"`
	At      logic.Micros `json:"at"` // Unix time in microseconds at which it was heard first
}

const (
	// mostHeld bounds the orders that are kept: far more than servers that drain at once.
	mostHeld = 4096
	// longestName bounds ids and uids.
	longestName = 200
)

// post is what is known of a server.
type post struct {
	listed   bool // on the list that is being told, or on the last
	known    bool // it has been on a list
	state    logic.State
	launched logic.Micros
	last     *Order // the newest order on it
	heard    logic.Micros
	drained  bool // by that order
}

// Desk keeps the orders of an instance beside its list.
type Desk struct {
	term  uint64
	posts map[logic.ServerID]*post
	whole bool
	held  int // posts that have an order
}

// New makes a desk without orders.
func New() *Desk { return &Desk{posts: map[logic.ServerID]*post{}} }

func (d *Desk) post(id logic.ServerID) *post {
	p := d.posts[id]
	if p == nil {
		p = &post{state: logic.Gone}
		d.posts[id] = p
	}
	return p
}

// Whole begins a whole list, Done ends a list or a change. Done returns the servers that are gone by that, in order.
func (d *Desk) Whole() {
	d.whole = true
	for _, p := range d.posts {
		p.listed = false
	}
}

func (d *Desk) Done() {
	if !d.whole {
		return
	}
	d.whole = false
	for id, p := range d.posts {
		if p.listed {
			continue
		}
		p.state = logic.Gone
		if p.last == nil {
			delete(d.posts, id) // guards against a memory of all servers that ever were
		}
	}
}

// Listed takes what the list says of a server and returns what the decisions are to hear.
func (d *Desk) Listed(now logic.Micros, id logic.ServerID, state logic.State, launched logic.Micros) logic.State {
	p := d.post(id)
	p.listed, p.known, p.state, p.launched = true, true, state, launched
	return p.joined(now)
}

// joined is the state under the order in force. An order never makes a server readier than the list has it.
func (p *post) joined(now logic.Micros) logic.State {
	if p.state == logic.Ready && p.drained && p.holds(now) {
		return logic.Draining
	}
	return p.state
}

// holds tells whether the newest order still counts.
func (p *post) holds(now logic.Micros) bool {
	o := p.last
	return o != nil && (o.Until == 0 || now < o.Until) && (o.Launch == 0 || !p.known || o.Launch == p.launched)
}

// Take hears an order. Changed tells that the decisions are to hear the server's state anew.
func (d *Desk) Take(now logic.Micros, o Order) (ans Answer, changed bool) {
	refuse := func(v Verdict, format string, a ...any) (Answer, bool) {
		return Answer{Verdict: v, Why: fmt.Sprintf(format, a...), At: now}, false
	}
	switch {
	case o.Verb != Drain && o.Verb != Undrain:
		return refuse(Refused, "the verb %.40q is unknown", o.Verb)
	case o.ID == "" || len(o.ID) > longestName || o.Server == "" || len(o.Server) > longestName:
		return refuse(Refused, "an order needs an id and a server, of %d bytes at most", longestName)
	case o.Until != 0 && o.Until <= now:
		return refuse(Refused, "it had ended before it was heard")
	case o.Term < d.term:
		return refuse(Stale, "its author's term is %d, and one of term %d has been heard", o.Term, d.term)
	}
	d.term = o.Term
	p := d.posts[o.At]
	if p == nil {
		p = &post{state: logic.Gone}
	}
	if last := p.last; last != nil {
		switch {
		case o.Number < last.Number:
			return refuse(Stale, "number %d is older than %d, %q", o.Number, last.Number, last.ID)
		case o.Number == last.Number && o.ID != last.ID:
			return refuse(Refused, "number %d is that of another order, %q", o.Number, last.ID)
		case o.Number == last.Number:
			return Answer{Verdict: Repeated, State: Word(p.joined(now)), At: p.heard}, false
		}
	} else if d.held == mostHeld {
		return refuse(Refused, "%d orders are kept already", mostHeld)
	} else {
		d.held++
	}
	d.posts[o.At] = p
	before := p.joined(now)
	p.last, p.heard, p.drained = &o, now, o.Verb == Drain
	after := p.joined(now)
	ans = Answer{Verdict: Obeyed, State: Word(after), At: now}
	switch {
	case !p.known:
		ans.Verdict, ans.Why = Unknown, "no list has named this server; the order counts when one does"
	case o.Verb == Undrain && after != logic.Ready:
		ans.Why = "the list itself says so"
	case o.Verb == Drain && o.Launch != 0 && !p.holds(now):
		ans.Why = "the server has been started anew since"
	}
	return ans, before != after
}

// Expire returns the servers whose order has ended by time since it was last asked, in order: the decisions are to
// hear their state anew.
func (d *Desk) Expire(now logic.Micros) []logic.ServerID {
	var over []logic.ServerID
	for id, p := range d.posts {
		if p.drained && p.last.Until != 0 && now >= p.last.Until {
			p.drained = false
			over = append(over, id)
		}
	}
	slices.Sort(over)
	return over
}

// State is what the decisions hear of a server, and whether that is by an order.
func (d *Desk) State(now logic.Micros, id logic.ServerID) (state logic.State, ordered bool) {
	p := d.posts[id]
	if p == nil {
		return logic.Gone, false
	}
	return p.joined(now), p.joined(now) != p.state
}

// Held are the newest orders on each server, oldest first: what an instance goes on with, also alone.
func (d *Desk) Held() []Order {
	var held []Order
	for _, p := range d.posts {
		if p.last != nil {
			held = append(held, *p.last)
		}
	}
	slices.SortFunc(held, func(a, b Order) int { return cmp.Compare(a.Number, b.Number) })
	return held
}

// Term is the highest author's term that was heard.
func (d *Desk) Term() uint64 { return d.term }

// Word is a state's name.
func Word(s logic.State) string { return [...]string{"ready", "draining", "gone"}[s] }
