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

// FromDuration turns a span of the standard library into one of the ledger.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Duration is the other way round.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

func (m Micros) String() string { return fmt.Sprintf("%d.%06d s", m/Second, m%Second) }

// Clock is the one clock of a run.
type Clock struct{ start time.Time }

// StartClock makes a clock that begins now.
func StartClock() Clock { return Clock{time.Now()} }

// Now is the time since the run's start.
func (c Clock) Now() Micros { return Micros(time.Since(c.start).Microseconds()) }

// WallTime is the wall's time of a time of the run.
func (c Clock) WallTime(at Micros) time.Time { return c.start.Add(at.Duration()) }

// Kind says what was seen.
type Kind uint8

const (
	// Asked: a client's line has gone out whole. Value is its limit, as a time of the run.
	RequestSent Kind = iota
	ClientReceivedUp
	ClientReceivedBusy
	ClientReceivedFailure
	ClientUnanswered    // the connection ended without a final answer
	ClientReceivedExtra // something came after the final answer
	ClientReceivedMove
	ClientDisconnected // the client's standing connection was ended by the other side
	ClientLeft         // the client closed by itself

	// Arrived: the first byte of a dispatch came to a server; Taken: its line was whole.
	DispatchArrived
	DispatchComplete
	DispatchRan // the server gave it its effect
	ServerSentUp
	ServerSentBusy
	ServerSentErr
	ServerSentMove
	ServerClosed // by a close, or a reset
	ServerReset
	ProxyClosed // the proxy ended the connection to the server
	ServerSilent
	ServerResumed

	LineDelayed
	LineLost
	LineDuplicated
	LineChanged

	// Told: discovery wrote to a proxy what a server's state is. Value is 0 for ready, 1 for draining, 2 for gone.
	StateAnnounced
	ColdServerOverloaded
	ProxyKilled
	ProxyRestarted
	ProxyPaused
	ProxyResumed
	Trouble // one began or ended; Note tells which
	CarriedOver
	// WayCut: nothing passes between a proxy and the servers of a zone, whose number is the Value; WayBack: it does again.
	LinkCut
	LinkRestored
	// Connected: the client's connection came up, where it rested before it asked.
	ClientConnected
)

var kindNames = [...]string{
	RequestSent: "the client has asked", ClientReceivedUp: "the client heard UP", ClientReceivedBusy: "the client was pushed back",
	ClientReceivedFailure: "the client heard that it failed", ClientUnanswered: "the client's connection ended with no answer",
	ClientReceivedExtra: "the client heard more after its final answer", ClientReceivedMove: "the client heard MOVE",
	ClientDisconnected: "the client's connection was ended", ClientLeft: "the client left",
	DispatchArrived: "the first byte came", DispatchComplete: "the line came whole", DispatchRan: "it ran",
	ServerSentUp: "the server said UP", ServerSentBusy: "the server said BUSY", ServerSentErr: "the server said ERR",
	ServerSentMove: "the server said MOVE", ServerClosed: "the server ended it", ServerReset: "the server reset it",
	ProxyClosed: "the proxy ended it", ServerSilent: "the server fell silent", ServerResumed: "the server spoke again",
	LineDelayed: "a line was held", LineLost: "a line was lost", LineDuplicated: "a line came twice",
	LineChanged: "a line was changed", StateAnnounced: "discovery told", ColdServerOverloaded: "a cold server tipped over",
	ProxyKilled: "the proxy was killed", ProxyRestarted: "the proxy is back", ProxyPaused: "the proxy was stopped",
	ProxyResumed: "the proxy was woken", Trouble: "trouble", CarriedOver: "it stood before the run",
	ClientConnected: "the client connected, and rested",
	LinkCut:         "the proxy's ways to a zone were cut", LinkRestored: "the proxy's ways to a zone were back",
}

func (k Kind) String() string { return kindNames[k] }

// AttachmentID is an attachment's, new with every connection; 0 where an event is of none.
type AttachmentID uint64

// None stands for no server, proxy or product.
const None = -1

// Event is one thing seen. Server, Proxy and Product are numbers of the run, or None.
type Event struct {
	At                     Micros
	Kind                   Kind
	ID                     AttachmentID
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
	case RequestSent:
		text += fmt.Sprintf(", product %d, limit at %s", e.Product, Micros(e.Value))
	case StateAnnounced:
		text += ": " + [...]string{"ready", "draining", "gone"}[e.Value]
	}
	if e.Note != "" {
		text += ": " + e.Note
	}
	return text
}

// EventLog is the record of a run. It may be written from anywhere.
type EventLog struct {
	Clock
	mu     sync.Mutex
	events []Event
}

// NewEventLog starts a record and its clock.
func NewEventLog() *EventLog { return &EventLog{Clock: StartClock()} }

// Record records an event; one without a time is as of now.
func (b *EventLog) Record(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.At == 0 {
		e.At = b.Now()
	}
	b.events = append(b.events, e)
}

// Events are all so far, in the order of time.
func (b *EventLog) Events() []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := slices.Clone(b.events)
	slices.SortStableFunc(events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return events
}
