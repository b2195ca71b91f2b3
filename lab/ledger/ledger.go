// Package ledger records what the clients, the servers and the discovery service of a test run see, in one event log, and
// checks the log against the rules that every proxy must keep. Events may be recorded from any goroutine at little cost;
// the check does no I/O.
package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Micros is a time since the event log's start, or a duration, in whole microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// FromDuration converts a time.Duration, truncated to whole microseconds.
func FromDuration(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Duration converts m to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// String returns the time in seconds, with six decimals.
func (m Micros) String() string { return fmt.Sprintf("%d.%06d s", m/Second, m%Second) }

// Clock counts the time since its start. All events of a run use the same clock.
type Clock struct{ start time.Time }

// StartClock returns a clock that starts now.
func StartClock() Clock { return Clock{time.Now()} }

// Now returns the time since the clock's start.
func (c Clock) Now() Micros { return Micros(time.Since(c.start).Microseconds()) }

// WallTime returns the time of day at a time of the clock.
func (c Clock) WallTime(at Micros) time.Time { return c.start.Add(at.Duration()) }

// Kind says what happened in an event.
type Kind uint8

// The kinds of events. First those that a client sees.
const (
	// RequestSent: a client has sent the whole line of its request. Value is the request's hard limit, as a time of the clock.
	RequestSent           Kind = iota
	ClientReceivedUp           // the final answer UP: its line is the Note
	ClientReceivedBusy         // the final answer BUSY
	ClientReceivedFailure      // any other final answer
	ClientUnanswered           // the connection was ended without a final answer
	ClientReceivedExtra        // something came after the final answer
	ClientReceivedMove
	ClientDisconnected // an established connection was ended by the other side
	ClientLeft         // the client closed its connection

	// What a server sees of a dispatch, which is one attempt of a proxy to place a request there.
	DispatchArrived  // its first byte was received
	DispatchComplete // its whole line was received
	DispatchRan      // the server has executed it
	ServerSentUp
	ServerSentBusy
	ServerSentErr
	ServerSentMove
	ServerClosed  // the server closed the connection
	ServerReset   // the server reset the connection
	ProxyClosed   // the proxy ended the connection to the server
	ServerSilent  // the server stopped sending on an established connection
	ServerResumed // it sends again

	// What client and server see of the lines of an established connection.
	LineDelayed // Value is the delay, in microseconds
	LineLost
	LineDuplicated
	LineChanged // a line is not one that the other side sends

	// StateAnnounced: discovery, or an order, told a proxy a server's state. Value is 0 for ready, 1 for draining, 2 for gone.
	StateAnnounced
	ColdServerCollapsed // a cold server went down because it was sent more than it can bear
	ProxyKilled
	ProxyRestarted
	ProxyPaused // the lab paused the proxy's process
	ProxyResumed
	Trouble     // a trouble of the experiment began or ended; the Note says which
	CarriedOver // the attachment's request is for a connection that was established before the run
	// LinkCut: nothing passes between a proxy and the servers of a zone, whose number is the Value, until LinkRestored.
	LinkCut
	LinkRestored
	// ClientConnected: the client's connection came up. It is recorded only where the connection is idle before its request.
	ClientConnected
)

// kindNames holds the texts of the kinds in the reports of breaches.
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
	LineChanged: "a line was changed", StateAnnounced: "discovery told", ColdServerCollapsed: "a cold server tipped over",
	ProxyKilled: "the proxy was killed", ProxyRestarted: "the proxy is back", ProxyPaused: "the proxy was stopped",
	ProxyResumed: "the proxy was woken", Trouble: "trouble", CarriedOver: "it stood before the run",
	ClientConnected: "the client connected, and rested",
	LinkCut:         "the proxy's ways to a zone were cut", LinkRestored: "the proxy's ways to a zone were back",
}

// String returns the text of the kind in a report.
func (k Kind) String() string { return kindNames[k] }

// AttachmentID identifies an attachment, which is a client's connection with its request. It is 0 in events that belong to none.
type AttachmentID uint64

// None means no server, proxy or product in an event.
const None = -1

// Event is one event of a run. Server, Proxy and Product are indices in the run's lists, or None.
type Event struct {
	At                     Micros
	Kind                   Kind
	ID                     AttachmentID
	Server, Proxy, Product int
	Value                  int64  // its meaning depends on Kind
	Note                   string // details for the report; for UP it is the line, which the rules compare
}

// String returns the event as a line of a report.
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

// EventLog holds the events of a run and its clock. It may be used from several goroutines.
type EventLog struct {
	Clock
	mu     sync.Mutex
	events []Event
}

// NewEventLog returns an empty event log and starts its clock.
func NewEventLog() *EventLog { return &EventLog{Clock: StartClock()} }

// Record adds an event. An event whose time is 0 gets the current time.
func (l *EventLog) Record(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.At == 0 {
		e.At = l.Now()
	}
	l.events = append(l.events, e)
}

// Events returns a copy of all events so far, in the order of time.
func (l *EventLog) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := slices.Clone(l.events)
	slices.SortStableFunc(events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return events
}
