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

// Route says where a client of a zone connects now, and which proxy that is; ledger.None for a server itself. False
// where nobody is there.
type Route func(rng *rand.Rand, zone int, group uint64) (address string, proxy int, found bool)

// Habits are how clients behave.
type Habits struct {
	MaxRetries      int     // of one wish to be connected, at most
	MeanRetryDelay  Micros  // before a retry, on average
	HeedShare       float64 // the share of clients that stay away as long as they are told
	MaxRejoinDelay  Micros  // after a break or a move clients come again within this
	MeanReturnDelay Micros  // one that has used its retries up comes again after this, on average; 0 for never
	MessageInterval Micros  // how often a client sends a line
	LeaveShare      float64 // the share of requests that the client gives up early, by closing
	IdleShare       float64 // the share of requests on connections that rested first
	MarkRetries     bool    // retries are marked r=1
	FirstZoneShare  float64 // the share of clients in the first zone; the others' are equal
	ZoneCount       int
}

// Clients are the clients of a run.
type Clients struct {
	eventLog *ledger.EventLog
	tally    *Tally
	products []Product
	route    Route
	habits   Habits
	length   Micros // of the run, from its start
	start    Micros // of the run, by the record's clock
	started  chan struct{}
	seed     uint64
	sessions sync.WaitGroup
}

// NewClients makes the clients of a run of a length; they begin with Play.
func NewClients(book *ledger.EventLog, tally *Tally, products []Product, route Route, habits Habits, length Micros, seed uint64) *Clients {
	return &Clients{eventLog: book, tally: tally, products: products, route: route, habits: habits, length: length,
		started: make(chan struct{}), seed: seed}
}

// Play sends arrivals on schedule, from now on, until all have come or ctx ends. It never waits for an answer.
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

// Carry brings clients whose connections stood before the run back to their servers, and waits until all are up; it
// returns how many were not within the protocol's 40 s.
func (c *Clients) Carry(ctx context.Context, arrivals []Arrival, servers func(i int) string) int {
	up := make(chan bool, len(arrivals))
	for i, a := range arrivals {
		c.startSession(ctx, a, 1<<40+uint64(i), &carriedConnection{servers(i), up})
		time.Sleep(time.Millisecond) // a stagger, so that no queue at a listener overflows
	}
	lost := 0
	for range arrivals {
		if !<-up {
			lost++
		}
	}
	return lost
}

// carriedConnection is where a connection stood before the run, and who waits to hear whether it does again.
type carriedConnection struct {
	server      string
	established chan<- bool
}

// Wait waits until all clients have ended.
func (c *Clients) Wait() { c.sessions.Wait() }

// Start is when the run began, once it has.
func (c *Clients) Start() Micros {
	<-c.started
	return c.start
}

func (c *Clients) startSession(ctx context.Context, a Arrival, number uint64, from *carriedConnection) {
	c.sessions.Add(1)
	go func() {
		defer c.sessions.Done()
		s := &session{Clients: c, Arrival: a, ctx: ctx, start: c.start, carried: from, rng: rand.New(rand.NewPCG(c.seed, number))}
		s.zone = s.drawZone()
		s.heedsDelay = s.rng.Float64() < c.habits.HeedShare
		s.run()
	}()
}

// session is one client's wish to be connected, over as many connections as it takes.
type session struct {
	*Clients
	Arrival
	ctx        context.Context
	start      Micros // the run's; that of carrying before it
	rng        *rand.Rand
	zone       int
	heedsDelay bool
	carried    *carriedConnection
}

func (s *session) drawZone() int {
	if s.habits.ZoneCount < 2 {
		return 0
	}
	if s.rng.Float64() < s.habits.FirstZoneShare {
		return 0
	}
	return 1 + s.rng.IntN(s.habits.ZoneCount-1)
}

// now is the time since the run's start.
func (s *session) now() Micros { return s.eventLog.Now() - s.start }

// sleepUntil waits until a time of the run; false if the run is over by then.
func (s *session) sleepUntil(until Micros) bool {
	if until >= s.length {
		return false
	}
	return precisetimer.WaitUntil(s.eventLog.WallTime(s.start+until), s.ctx.Done())
}

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
	meant := s.At // when this wish to be connected began
	for back := false; ; back = true {
		stood := s.connect(meant, until, back)
		if !stood && s.habits.MeanReturnDelay <= 0 {
			return
		}
		wait := Micros(s.rng.Float64() * float64(s.habits.MaxRejoinDelay))
		if !stood {
			wait = Micros(s.rng.ExpFloat64() * float64(s.habits.MeanReturnDelay))
		}
		if meant = s.now() + wait; meant >= until || !s.sleepUntil(meant) {
			return
		}
	}
}

// connect tries until a connection has stood and ended, or the retries are used up.
func (s *session) connect(meant, until Micros, back bool) bool {
	first := meant
	for try := 0; ; try++ {
		at := s.carried
		s.carried = nil
		answer, wait := s.attempt(meant, first, until, try, back, at)
		if answer == established {
			return true
		}
		if at != nil {
			at.established <- false
		}
		if try >= s.habits.MaxRetries {
			s.tally.GivenUp.Add(1)
			return false
		}
		if !s.heedsDelay || wait == 0 {
			wait = Micros(s.rng.ExpFloat64() * float64(s.habits.MeanRetryDelay))
		}
		if meant = s.now() + wait; meant >= until || !s.sleepUntil(meant) {
			return false
		}
		s.tally.Retries.Add(1)
	}
}

type outcome uint8

const (
	established outcome = iota
	refused
	failed
)

// lateAnswerWait is how long past its limit a client stays to see whether its answer is late: longer than what the rules
// add to a limit.
const lateAnswerWait = 500 * ledger.Millisecond

// attempt asks once. meant is when this line was to be sent, first when the first of this wish was.
func (s *session) attempt(meant, first, until Micros, try int, back bool, at *carriedConnection) (outcome, Micros) {
	p := s.products[s.Product]
	address, proxy, found := s.route(s.rng, s.zone, s.Group)
	limit := p.HardLimit
	if at != nil {
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
	leaves := at == nil && s.rng.Float64() < s.habits.LeaveShare
	id := ledger.AttachmentID(s.rng.Uint64() | 1)
	if at == nil && s.rng.Float64() < s.habits.IdleShare {
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
	if back {
		text += ",again=1"
	}
	asked := ledger.Event{Kind: ledger.RequestSent, ID: id, Server: ledger.None, Proxy: proxy, Product: s.Product}
	if at != nil {
		text += ",at=" + at.server
		s.record(ledger.CarriedOver, id, "")
	}
	asked.At = s.eventLog.Now()
	asked.Value = int64(asked.At + limit)
	if _, err := conn.Write([]byte(text + "\r\n")); err != nil {
		_ = conn.Close()
		s.tally.ConnectFailures.Add(1)
		return failed, 0
	}
	s.eventLog.Record(asked)
	_ = conn.SetReadDeadline(s.eventLog.WallTime(Micros(asked.Value) + lateAnswerWait))
	if leaves {
		_ = conn.SetReadDeadline(s.eventLog.WallTime(asked.At + Micros(s.rng.Float64()*float64(limit)/2)))
	}
	in := &lineReader{in: bufio.NewReaderSize(conn, 512)}
	line, err := in.next()
	took := s.now() - meant
	if at == nil {
		s.tally.AnswerLatency.Add(took)
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = conn.Close()
			s.record(ledger.ClientLeft, id, "no answer had come")
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
		if at == nil {
			s.tally.SetUpLatency.Add(s.now() - first)
			s.maintain(conn, in, id, until, s.now()-first <= p.QuotedSetUpTime)
			return established, 0
		}
		at.established <- true
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

// maxIdle is a little more than a proxy waits for a first line.
const maxIdle = 2700 * ledger.Millisecond

// idle waits before a request is sent on a connection; false if the run is over by then.
func (s *session) idle() bool {
	return s.sleepUntil(s.now() + Micros(s.rng.Float64()*float64(maxIdle)))
}

func (s *session) record(k ledger.Kind, id ledger.AttachmentID, note string) {
	s.eventLog.Record(ledger.Event{Kind: k, ID: id, Server: ledger.None, Proxy: ledger.None, Product: ledger.None, Note: note})
}

// extraAnswerWait is how long a client that has its final answer listens on: long enough for a second one to be seen.
const extraAnswerWait = 400 * time.Millisecond

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

// readDeadlineLead is how long before a message is due the read is broken off: the runtime's deadlines are late by up to a
// millisecond.
const readDeadlineLead = 1200

// maintain keeps a connection until the client's time is over, or the connection's. It sends a line whenever one is
// due, whether or not the last was answered.
func (s *session) maintain(conn net.Conn, in *lineReader, id ledger.AttachmentID, until Micros, quick bool) {
	defer conn.Close()
	p := s.products[s.Product]
	gain := p.Gain
	seen := &answerTracker{session: s, id: id, inTime: quick}
	counted := s.now() // since when the present stretch goes on
	count := func(to Micros) {
		if seen.inTime {
			s.tally.AddServed(counted, to, gain)
		}
		counted = to
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
			seen.lineReceived(line, p.QuotedMessageTime)
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
			precisetimer.WaitUntil(s.eventLog.WallTime(s.start+until), s.ctx.Done()) // or there would be time left to come again
			s.record(ledger.ClientLeft, id, "")
			count(s.now())
			return
		case s.now()+readDeadlineLead >= next:
			precisetimer.WaitUntil(s.eventLog.WallTime(s.start+next), s.ctx.Done())
			s.tally.MessageLateness.Add(s.now() - next)
			count(s.now())
			sent++
			seen.messageSent(next)
			s.tally.Messages.Add(1)
			// A failure comes as the end of the connection.
			_, _ = conn.Write([]byte(fleet.FormatLine("M", sent, int64(s.eventLog.Now()))))
			next += s.habits.MessageInterval
		}
	}
}

// answerTracker follows what a standing connection brings back.
type answerTracker struct {
	*session
	id                      ledger.AttachmentID
	unanswered              []Micros // when messages were meant to be sent that have no answer yet
	lastMessage, lastAnswer int64    // the last message answered, and the server's own count
	inTime                  bool     // the last message was answered in time, or none has been sent yet
}

func (r *answerTracker) messageSent(meant Micros) {
	r.unanswered = append(r.unanswered, meant)
	r.inTime = false
}

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
	if held := r.eventLog.Now() - Micros(numbers[2]); held > ledger.Second {
		r.eventLog.Record(ledger.Event{Kind: ledger.LineDelayed, ID: r.id, Server: ledger.None, Proxy: ledger.None, Product: ledger.None,
			Value: int64(held), Note: fmt.Sprintf("on the way to the client, for %s", held)})
	}
	if len(r.unanswered) == 0 {
		r.record(ledger.LineDuplicated, r.id, "an answer to nothing: "+line)
		return
	}
	took := r.now() - r.unanswered[0]
	r.unanswered = r.unanswered[1:]
	r.tally.MessageLatency.Add(took)
	r.inTime = took <= quoted && len(r.unanswered) == 0
}

// lineReader reads lines and keeps what has come of one when a deadline comes between.
type lineReader struct {
	in      *bufio.Reader
	partial []byte
}

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
