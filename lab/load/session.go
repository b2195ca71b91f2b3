package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
	"hatchproxy/lab/precisetimer"
)

// Route returns the address that a client of a zone connects to now, and the number of the proxy there, or ledger.None where
// the address is a server's own. found is false where there is nothing to connect to.
type Route func(rng *rand.Rand, zone int, group uint64) (address string, proxy int, found bool)

// Habits describes how clients behave. Shares are from 0 to 1.
type Habits struct {
	MaxRetries      int     // retries of one set-up, before the client gives up
	MeanRetryDelay  Micros  // before a retry
	HeedShare       float64 // of clients that wait before a retry as long as a BUSY answer tells them
	MaxRejoinDelay  Micros  // bound of the random delay after a disconnect or a MOVE, before the client connects again
	MeanReturnDelay Micros  // after a client has given up, before it tries again; 0 if it never does
	MessageInterval Micros  // between two messages of a client
	LeaveShare      float64 // of requests that the client abandons early, by closing its connection
	IdleShare       float64 // of requests on connections that are idle for a while first
	MarkRetries     bool    // retries carry r=1
	FirstZoneShare  float64 // of clients in the first zone; the other zones share the rest evenly
	ZoneCount       int
}

// Clients plays the clients of one run.
type Clients struct {
	eventLog *ledger.EventLog
	tally    *Tally
	products []Product
	route    Route
	habits   Habits
	length   Micros        // of the run, from its start
	start    Micros        // of the run, by the event log's clock
	started  chan struct{} // closed once start is set
	seed     uint64
	sessions sync.WaitGroup
}

// NewClients returns the clients of a run of the given length. They are started by Play and Carry.
func NewClients(eventLog *ledger.EventLog, tally *Tally, products []Product, route Route, habits Habits, length Micros, seed uint64) *Clients {
	return &Clients{eventLog: eventLog, tally: tally, products: products, route: route, habits: habits, length: length,
		started: make(chan struct{}), seed: seed}
}

// Play starts the run and has each arrival's client connect on schedule, until all have done so or ctx ends. It never waits
// for an answer.
func (c *Clients) Play(ctx context.Context, arrivals []Arrival) {
	c.start = c.eventLog.Now()
	close(c.started)
	for i, a := range arrivals {
		if !precisetimer.WaitUntil(c.eventLog.WallTime(c.start+a.At), ctx.Done()) || ctx.Err() != nil {
			return
		}
		c.startSession(ctx, a, uint64(i), nil)
	}
}

// Carry has clients ask for connections that were established before the run, each with at= and its server's UID, and waits
// until each has its answer. It returns how many were not established within the 40 s that the protocol allows for this.
func (c *Clients) Carry(ctx context.Context, arrivals []Arrival, servers func(i int) string) int {
	results := make(chan bool, len(arrivals))
	for i, a := range arrivals {
		c.startSession(ctx, a, 1<<40+uint64(i), &carriedConnection{servers(i), results})
		time.Sleep(time.Millisecond) // spaced, so that no listener's queue overflows
	}
	lost := 0
	for range arrivals {
		if !<-results {
			lost++
		}
	}
	return lost
}

// carriedConnection is a connection that was established before the run: its server's UID, and the channel that is told whether
// it is established again.
type carriedConnection struct {
	server      string
	established chan<- bool
}

// Wait blocks until all clients have ended.
func (c *Clients) Wait() { c.sessions.Wait() }

// Start blocks until the run has started and returns when that was, by the event log's clock.
func (c *Clients) Start() Micros {
	<-c.started
	return c.start
}

// startSession starts a client in the background. The client's random decisions depend on the seed and its number alone.
func (c *Clients) startSession(ctx context.Context, a Arrival, number uint64, carried *carriedConnection) {
	c.sessions.Add(1)
	go func() {
		defer c.sessions.Done()
		s := &session{Clients: c, Arrival: a, ctx: ctx, start: c.start, carried: carried, rng: rand.New(rand.NewPCG(c.seed, number))}
		s.zone = s.drawZone()
		s.heedsDelay = s.rng.Float64() < c.habits.HeedShare
		s.run()
	}()
}

// session is one client, which keeps itself connected for its lifetime over as many connections as that takes.
type session struct {
	*Clients
	Arrival
	ctx        context.Context
	start      Micros // of the run; 0, the event log's start, for a carried connection until the run has started
	rng        *rand.Rand
	zone       int
	heedsDelay bool               // waits as long as a BUSY answer tells it
	carried    *carriedConnection // until its first request; nil for an arrival of the run
}

// drawZone draws the client's zone by FirstZoneShare.
func (s *session) drawZone() int {
	if s.habits.ZoneCount < 2 {
		return 0
	}
	if s.rng.Float64() < s.habits.FirstZoneShare {
		return 0
	}
	return 1 + s.rng.IntN(s.habits.ZoneCount-1)
}

// now returns the time since the run's start.
func (s *session) now() Micros { return s.eventLog.Now() - s.start }

// sleepUntil waits until a time of the run. It returns false if the run is over by then or is broken off.
func (s *session) sleepUntil(until Micros) bool {
	if until >= s.length {
		return false
	}
	return precisetimer.WaitUntil(s.eventLog.WallTime(s.start+until), s.ctx.Done())
}

// run connects, again and again, until the client's lifetime or the run is over or the client has given up.
func (s *session) run() {
	late := s.now() - s.At
	if s.carried == nil {
		s.tally.ArrivalLateness.Add(late)
		if second := int(s.At / ledger.Second); second < len(s.tally.arrivalsBySecond) {
			s.tally.arrivalsBySecond[second].Add(1)
		}
	}
	gain := s.products[s.Product].Gain
	until := min(s.At+s.Lifetime, s.length)
	s.tally.AddWanted(s.At, until, gain)
	due := s.At // when the client was scheduled to ask
	for again := false; ; again = true {
		connected := s.connect(due, until, again)
		if !connected && s.habits.MeanReturnDelay <= 0 {
			return
		}
		wait := Micros(s.rng.Float64() * float64(s.habits.MaxRejoinDelay))
		if !connected {
			wait = Micros(s.rng.ExpFloat64() * float64(s.habits.MeanReturnDelay))
		}
		if due = s.now() + wait; due >= until || !s.sleepUntil(due) {
			return
		}
	}
}

// connect sends requests until one has established a connection and that has ended. It returns false if the retries were used
// up or the time was over before. again tells that the client was connected or had given up before.
func (s *session) connect(due, until Micros, again bool) bool {
	firstDue := due
	for try := 0; ; try++ {
		carried := s.carried
		s.carried = nil
		answer, wait := s.sendRequest(due, firstDue, until, try, again, carried)
		if answer == established {
			return true
		}
		if carried != nil {
			carried.established <- false
		}
		if try >= s.habits.MaxRetries {
			s.tally.GivenUp.Add(1)
			return false
		}
		if !s.heedsDelay || wait == 0 {
			wait = Micros(s.rng.ExpFloat64() * float64(s.habits.MeanRetryDelay))
		}
		if due = s.now() + wait; due >= until || !s.sleepUntil(due) {
			return false
		}
		s.tally.Retries.Add(1)
	}
}

// outcome is the result of a request.
type outcome uint8

const (
	established outcome = iota // the connection was established, and has ended since
	refused                    // answered with BUSY
	failed                     // any other end
)

// lateAnswerWait is how long after the hard limit a client still waits for its answer, so that a late one is recorded. It is
// longer than the tolerance by which the rules extend a limit.
const lateAnswerWait = 500 * ledger.Millisecond

// sendRequest connects, sends one request and handles the answer; a connection that is established lasts until the call returns.
// due is when this request was scheduled, firstDue when the first one of this set-up was, and try is the number of those before
// it. With the outcome it returns how long a BUSY answer told the client to wait.
func (s *session) sendRequest(due, firstDue, until Micros, try int, again bool, carried *carriedConnection) (outcome, Micros) {
	p := s.products[s.Product]
	address, proxy, found := s.route(s.rng, s.zone, s.Group)
	limit := p.HardLimit
	if carried != nil {
		limit = 40 * ledger.Second
	}
	s.tally.Requests.Add(1)
	if !found {
		s.tally.ConnectFailures.Add(1)
		return failed, 0
	}
	conn, err := net.DialTimeout("tcp", address, limit.Duration())
	if err != nil {
		s.tally.ConnectFailures.Add(1)
		return failed, 0
	}
	leaves := carried == nil && s.rng.Float64() < s.habits.LeaveShare
	id := ledger.AttachmentID(s.rng.Uint64() | 1)
	if carried == nil && s.rng.Float64() < s.habits.IdleShare {
		connected := s.eventLog.Now()
		if !s.idle() {
			_ = conn.Close()
			return failed, 0
		}
		s.eventLog.Record(ledger.Event{At: connected, Kind: ledger.ClientConnected, ID: id, Server: ledger.None, Proxy: proxy, Product: ledger.None})
	}
	text := fmt.Sprintf("OPEN %016x %016x c=%s,d=%d", uint64(id), s.Key, p.Name, limit/ledger.Millisecond)
	if s.Group != 0 {
		text += fmt.Sprintf(",g=%x", s.Group)
	}
	if try > 0 && s.habits.MarkRetries {
		text += ",r=1"
	}
	if again {
		text += ",again=1"
	}
	request := ledger.Event{Kind: ledger.RequestSent, ID: id, Server: ledger.None, Proxy: proxy, Product: s.Product}
	if carried != nil {
		text += ",at=" + carried.server
		s.record(ledger.CarriedOver, id, "")
	}
	request.At = s.eventLog.Now()
	request.Value = int64(request.At + limit)
	if _, err := conn.Write([]byte(text + "\r\n")); err != nil {
		_ = conn.Close()
		s.tally.ConnectFailures.Add(1)
		return failed, 0
	}
	s.eventLog.Record(request)
	_ = conn.SetReadDeadline(s.eventLog.WallTime(Micros(request.Value) + lateAnswerWait))
	if leaves {
		_ = conn.SetReadDeadline(s.eventLog.WallTime(request.At + Micros(s.rng.Float64()*float64(limit)/2)))
	}
	in := &lineReader{in: bufio.NewReaderSize(conn, 512)}
	line, err := in.next()
	took := s.now() - due
	if carried == nil {
		s.tally.AnswerLatency.Add(took)
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = conn.Close()
			s.record(ledger.ClientLeft, id, "no answer was received")
		} else {
			s.record(ledger.ClientUnanswered, id, err.Error())
		}
		s.tally.Unanswered.Add(1)
		_ = conn.Close()
		return failed, 0
	}
	if strings.HasPrefix(line, "UP ") {
		s.record(ledger.ClientReceivedUp, id, line)
		s.tally.Established.Add(1)
		if carried == nil {
			s.tally.SetUpLatency.Add(s.now() - firstDue)
			s.maintain(conn, in, id, until, s.now()-firstDue <= p.QuotedSetUpTime)
			return established, 0
		}
		carried.established <- true
		select {
		case <-s.started:
			s.start = s.Clients.start
			s.maintain(conn, in, id, until, true)
		case <-s.ctx.Done():
			_ = conn.Close()
		}
		return established, 0
	}
	s.watchForExtra(conn, in, id)
	if word, rest, _ := strings.Cut(line, " "); word == "BUSY" {
		s.record(ledger.ClientReceivedBusy, id, "")
		s.tally.Busy.Add(1)
		ms, _ := strconv.ParseInt(rest, 10, 32)
		return refused, Micros(ms) * ledger.Millisecond
	}
	s.record(ledger.ClientReceivedFailure, id, line)
	s.tally.Failed.Add(1)
	return failed, 0
}

// maxIdle bounds how long a connection is idle before its request. It is a little longer than a proxy waits for the first line.
const maxIdle = 2700 * ledger.Millisecond

// idle waits for a random time of at most maxIdle. It returns false if the run is over by then.
func (s *session) idle() bool {
	return s.sleepUntil(s.now() + Micros(s.rng.Float64()*float64(maxIdle)))
}

// record records an event of an attachment that names no server, proxy or product.
func (s *session) record(k ledger.Kind, id ledger.AttachmentID, note string) {
	s.eventLog.Record(ledger.Event{Kind: k, ID: id, Server: ledger.None, Proxy: ledger.None, Product: ledger.None, Note: note})
}

// extraAnswerWait is how long a client keeps reading after its final answer: long enough to see a second one.
const extraAnswerWait = 400 * time.Millisecond

// watchForExtra records, in the background, whether anything follows the final answer, and closes the connection.
func (s *session) watchForExtra(conn net.Conn, in *lineReader, id ledger.AttachmentID) {
	s.sessions.Add(1)
	go func() {
		defer s.sessions.Done()
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(extraAnswerWait))
		if line, err := in.next(); err == nil {
			s.record(ledger.ClientReceivedExtra, id, line)
		}
	}()
}

// readDeadlineLead is by how many microseconds a read's deadline precedes the time at which the next message is due: the
// runtime's deadlines can be late by up to a millisecond.
const readDeadlineLead = 1200

// maintain keeps an established connection until it ends or the client's time, until, is over. It sends a message whenever
// one is due, whether or not the last one was answered. setUpInTime tells that the set-up took no longer than the quoted time.
func (s *session) maintain(conn net.Conn, in *lineReader, id ledger.AttachmentID, until Micros, setUpInTime bool) {
	defer conn.Close()
	p := s.products[s.Product]
	gain := p.Gain
	answers := &answerTracker{session: s, id: id, inTime: setUpInTime}
	countedTo := s.now() // service is counted up to this time
	count := func(to Micros) {
		if answers.inTime {
			s.tally.AddServed(countedTo, to, gain)
		}
		countedTo = to
	}
	next := s.now() + Micros(s.rng.Float64()*float64(s.habits.MessageInterval))
	sent := int64(0)
	for {
		_ = conn.SetReadDeadline(s.eventLog.WallTime(s.start + min(next, until) - readDeadlineLead))
		line, err := in.next()
		switch {
		case err == nil && line == "MOVE":
			s.record(ledger.ClientReceivedMove, id, "")
			s.tally.Moves.Add(1)
			count(s.now())
			return
		case err == nil:
			answers.lineReceived(line, p.QuotedMessageTime)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			why := "by a reset"
			if errors.Is(err, io.EOF) {
				why = "by a close"
			}
			s.record(ledger.ClientDisconnected, id, why)
			s.tally.Disconnects.Add(1)
			count(s.now())
			return
		case s.now()+readDeadlineLead >= until || s.ctx.Err() != nil:
			precisetimer.WaitUntil(s.eventLog.WallTime(s.start+until), s.ctx.Done()) // returning early would leave time to connect again
			s.record(ledger.ClientLeft, id, "")
			count(s.now())
			return
		case s.now()+readDeadlineLead >= next:
			precisetimer.WaitUntil(s.eventLog.WallTime(s.start+next), s.ctx.Done())
			s.tally.MessageLateness.Add(s.now() - next)
			count(s.now())
			sent++
			answers.messageSent(next)
			s.tally.Messages.Add(1)
			// The error is not needed: after a failed write the next read reports the end of the connection.
			_, _ = conn.Write([]byte(fleet.FormatLine("M", sent, int64(s.eventLog.Now()))))
			next += s.habits.MessageInterval
		}
	}
}

// answerTracker checks the lines that an established connection brings back and tells whether the service is in time.
type answerTracker struct {
	*session
	id                      ledger.AttachmentID
	unanswered              []Micros // when each message without an answer was scheduled, oldest first
	lastMessage, lastAnswer int64    // the number of the last answered message, and the server's number of its answer
	inTime                  bool     // all messages were answered and the last one in time; before the first message: the set-up was in time
}

// messageSent notes a message that was scheduled for a time.
func (r *answerTracker) messageSent(due Micros) {
	r.unanswered = append(r.unanswered, due)
	r.inTime = false
}

// lineReceived handles a line from the server: an answer, which is recorded if it was changed, duplicated, lost or delayed on its
// way, or a report of the server's load, which is skipped. quoted is the time within which an answer is in time.
func (r *answerTracker) lineReceived(line string, quoted Micros) {
	if strings.HasPrefix(line, "LOAD ") {
		return
	}
	numbers, ok := fleet.ParseLine(line, "R", 3)
	switch {
	case !ok:
		r.record(ledger.LineChanged, r.id, "at the client: "+line)
		return
	case numbers[1] <= r.lastAnswer || numbers[0] <= r.lastMessage:
		r.record(ledger.LineDuplicated, r.id, "at the client: "+line)
		return
	case numbers[1] > r.lastAnswer+1:
		r.record(ledger.LineLost, r.id, fmt.Sprintf("at the client: %q after number %d", line, r.lastAnswer))
	}
	r.lastMessage, r.lastAnswer = numbers[0], numbers[1]
	if delay := r.eventLog.Now() - Micros(numbers[2]); delay > ledger.Second {
		r.eventLog.Record(ledger.Event{Kind: ledger.LineDelayed, ID: r.id, Server: ledger.None, Proxy: ledger.None, Product: ledger.None,
			Value: int64(delay), Note: fmt.Sprintf("on the way to the client, for %s", delay)})
	}
	if len(r.unanswered) == 0 {
		r.record(ledger.LineDuplicated, r.id, "an answer without a message: "+line)
		return
	}
	took := r.now() - r.unanswered[0]
	r.unanswered = r.unanswered[1:]
	r.tally.MessageLatency.Add(took)
	r.inTime = took <= quoted && len(r.unanswered) == 0
}

// lineReader reads lines. What was read of a line before a deadline passed is kept for the next call.
type lineReader struct {
	in      *bufio.Reader
	partial []byte
}

// next returns the next line without its line ending.
func (l *lineReader) next() (string, error) {
	part, err := l.in.ReadSlice('\n')
	l.partial = append(l.partial, part...)
	if err == bufio.ErrBufferFull {
		return l.next()
	}
	if err != nil {
		return "", err
	}
	line := strings.TrimRight(string(l.partial), "\r\n")
	l.partial = l.partial[:0]
	return line, nil
}
