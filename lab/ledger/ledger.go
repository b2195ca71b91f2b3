// Package ledger keeps one record of what clients, servers and discovery of a run saw, and judges it by the
// rules that every proxy owes. Recording is cheap and may be done from anywhere; judging is free of I/O.
package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Micros is a time since the run's start, or a span, in whole microseconds.
type Micros int64

const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Of turns a span of the standard library into one of the ledger.
func Of(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Span is the other way round.
func (m Micros) Span() time.Duration { return time.Duration(m) * time.Microsecond }

func (m Micros) String() string { return fmt.Sprintf("%d.%06d s", m/Second, m%Second) }

// Clock is the one clock of a run.
type Clock struct{ begin time.Time }

// Start makes a clock that begins now.
func Start() Clock { return Clock{time.Now()} }

// Now is the time since the run's start.
func (c Clock) Now() Micros { return Micros(time.Since(c.begin).Microseconds()) }

// Time is the wall's time of a time of the run.
func (c Clock) Time(at Micros) time.Time { return c.begin.Add(at.Span()) }

// Kind says what was seen.
type Kind uint8

const (
	// Asked: a client's line has gone out whole. Value is its limit, as a time of the run.
	Asked Kind = iota
	HeardUp
	HeardBusy
	HeardFailed
	HeardNothing // the connection ended without a final answer
	HeardMore    // something came after the final answer
	HeardMove
	Ended // the client's standing connection was ended by the other side
	Left  // the client closed by itself

	// Arrived: the first byte of a dispatch came to a server; Taken: its line was whole.
	Arrived
	Taken
	Ran // the server gave it its effect
	SaidUp
	SaidBusy
	SaidErr
	SaidMove
	ServerEnded // by a close, or a reset
	ServerReset
	Dropped // the proxy ended the connection to the server
	FellSilent
	SpokeAgain

	LineHeld
	LineLost
	LineDoubled
	LineChanged

	// Told: discovery wrote to a proxy what a server's state is. Value is 0 for ready, 1 for draining, 2 for gone.
	Told
	TippedOver
	ProxyKilled
	ProxyBack
	ProxyStopped
	ProxyWoken
	Trouble // one began or ended; Note tells which
	CarriedAsk
	// WayCut: nothing passes between a proxy and the servers of a zone, whose number is the Value; WayBack: it does again.
	WayCut
	WayBack
	// Connected: the client's connection came up, where it rested before it asked.
	Connected
)

var words = [...]string{
	Asked: "the client has asked", HeardUp: "the client heard UP", HeardBusy: "the client was pushed back",
	HeardFailed: "the client heard that it failed", HeardNothing: "the client's connection ended with no answer",
	HeardMore: "the client heard more after its final answer", HeardMove: "the client heard MOVE",
	Ended: "the client's connection was ended", Left: "the client left",
	Arrived: "the first byte came", Taken: "the line came whole", Ran: "it ran",
	SaidUp: "the server said UP", SaidBusy: "the server said BUSY", SaidErr: "the server said ERR",
	SaidMove: "the server said MOVE", ServerEnded: "the server ended it", ServerReset: "the server reset it",
	Dropped: "the proxy ended it", FellSilent: "the server fell silent", SpokeAgain: "the server spoke again",
	LineHeld: "a line was held", LineLost: "a line was lost", LineDoubled: "a line came twice",
	LineChanged: "a line was changed", Told: "discovery told", TippedOver: "a cold server tipped over",
	ProxyKilled: "the proxy was killed", ProxyBack: "the proxy is back", ProxyStopped: "the proxy was stopped",
	ProxyWoken: "the proxy was woken", Trouble: "trouble", CarriedAsk: "it stood before the run",
	Connected: "the client connected, and rested",
	WayCut:    "the proxy's ways to a zone were cut", WayBack: "the proxy's ways to a zone were back",
}

func (k Kind) String() string { return words[k] }

// ID is an attachment's, new with every connection; 0 where an event is of none.
type ID uint64

// None stands for no server, proxy or product.
const None = -1

// Event is one thing seen. Server, Proxy and Product are numbers of the run, or None.
type Event struct {
	At                     Micros
	Kind                   Kind
	ID                     ID
	Server, Proxy, Product int
	Value                  int64
	Note                   string
}

func (e Event) String() string {
	text := fmt.Sprintf("%12s  %s", e.At, e.Kind)
	if e.Proxy != None {
		text += fmt.Sprintf(", proxy %d", e.Proxy)
	}
	if e.Server != None {
		text += fmt.Sprintf(", server %d", e.Server)
	}
	switch e.Kind {
	case Asked:
		text += fmt.Sprintf(", product %d, limit at %s", e.Product, Micros(e.Value))
	case Told:
		text += ": " + [...]string{"ready", "draining", "gone"}[e.Value]
	}
	if e.Note != "" {
		text += ": " + e.Note
	}
	return text
}

// Book is the record of a run. It may be written from anywhere.
type Book struct {
	Clock
	mu     sync.Mutex
	events []Event
}

// Open starts a record and its clock.
func Open() *Book { return &Book{Clock: Start()} }

// Write records an event; one without a time is as of now.
func (b *Book) Write(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.At == 0 {
		e.At = b.Now()
	}
	b.events = append(b.events, e)
}

// Events are all so far, in the order of time.
func (b *Book) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := slices.Clone(b.events)
	slices.SortStableFunc(events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return events
}
