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

	"hatchproxy/lab/beat"
	"hatchproxy/lab/fleet"
	"hatchproxy/lab/ledger"
)

// Route says where a client of a zone connects now, and which proxy that is; ledger.None for a server itself. False
// where nobody is there.
type Route func(rng *rand.Rand, zone int, group uint64) (address string, proxy int, found bool)

// Habits are how clients behave.
type Habits struct {
	Retries int     // of one wish to be connected, at most
	Wait    Micros  // before a retry, on average
	Heed    float64 // the share of clients that stay away as long as they are told
	Rejoin  Micros  // after a break or a move clients come again within this
	Return  Micros  // one that has used its retries up comes again after this, on average; 0 for never
	Every   Micros  // how often a client sends a line
	Leave   float64 // the share of requests that the client gives up early, by closing
	Rest    float64 // the share of requests on connections that rested first
	Marks   bool    // retries are marked r=1
	Skew    float64 // the share of clients in the first zone; the others' are equal
	Zones   int
}

// Clients are the clients of a run.
type Clients struct {
	book     *ledger.Book
	tally    *Tally
	products []Product
	route    Route
	habits   Habits
	length   Micros // of the run, from its start
	start    Micros // of the run, by the record's clock
	begun    chan struct{}
	seed     uint64
	playing  sync.WaitGroup
}

// NewClients makes the clients of a run of a length; they begin with Play.
func NewClients(book *ledger.Book, tally *Tally, products []Product, route Route, habits Habits, length Micros, seed uint64) *Clients {
	return &Clients{book: book, tally: tally, products: products, route: route, habits: habits, length: length,
		begun: make(chan struct{}), seed: seed}
}

// Play sends arrivals on schedule, from now on, until all have come or ctx ends. It never waits for an answer.
func (c *Clients) Play(ctx context.Context, arrivals []Arrival) {
	c.start = c.book.Now()
	close(c.begun)
	for i, a := range arrivals {
		if !beat.Until(c.book.Time(c.start+a.At), ctx.Done()) || ctx.Err() != nil {
			return
		}
		c.begin(ctx, a, uint64(i), nil)
	}
}

// Carry brings clients whose connections stood before the run back to their servers, and waits until all are up; it
// returns how many were not within the protocol's 40 s.
func (c *Clients) Carry(ctx context.Context, arrivals []Arrival, servers func(i int) string) int {
	up := make(chan bool, len(arrivals))
	for i, a := range arrivals {
		c.begin(ctx, a, 1<<40+uint64(i), &carried{servers(i), up})
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

// carried is where a connection stood before the run, and who waits to hear whether it does again.
type carried struct {
	server string
	up     chan<- bool
}

// Wait waits until all clients have ended.
func (c *Clients) Wait() { c.playing.Wait() }

// Start is when the run began, once it has.
func (c *Clients) Start() Micros {
	<-c.begun
	return c.start
}

func (c *Clients) begin(ctx context.Context, a Arrival, number uint64, from *carried) {
	c.playing.Add(1)
	go func() {
		defer c.playing.Done()
		s := &session{Clients: c, Arrival: a, ctx: ctx, start: c.start, carried: from, rng: rand.New(rand.NewPCG(c.seed, number))}
		s.zone = s.drawZone()
		s.heeds = s.rng.Float64() < c.habits.Heed
		s.play()
	}()
}

// session is one client's wish to be connected, over as many connections as it takes.
type session struct {
	*Clients
	Arrival
	ctx     context.Context
	start   Micros // the run's; that of carrying before it
	rng     *rand.Rand
	zone    int
	heeds   bool
	carried *carried
}

func (s *session) drawZone() int {
	if s.habits.Zones < 2 {
		return 0
	}
	if s.rng.Float64() < s.habits.Skew {
		return 0
	}
	return 1 + s.rng.IntN(s.habits.Zones-1)
}

// now is the time since the run's start.
func (s *session) now() Micros { return s.book.Now() - s.start }

// sleep waits until a time of the run; false if the run is over by then.
func (s *session) sleep(until Micros) bool {
	if until >= s.length {
		return false
	}
	return beat.Until(s.book.Time(s.start+until), s.ctx.Done())
}

func (s *session) play() {
	late := s.now() - s.At
	if s.carried == nil {
		s.tally.Late.Add(late)
		if second := int(s.At / ledger.Second); second < len(s.tally.arrived) {
			s.tally.arrived[second].Add(1)
		}
	}
	gain := s.products[s.Product].Gain
	until := min(s.At+s.Life, s.length)
	s.tally.Wanted(s.At, until, gain)
	meant := s.At // when this wish to be connected began
	for back := false; ; back = true {
		stood := s.connect(meant, until, back)
		if !stood && s.habits.Return <= 0 {
			return
		}
		wait := Micros(s.rng.Float64() * float64(s.habits.Rejoin))
		if !stood {
			wait = Micros(s.rng.ExpFloat64() * float64(s.habits.Return))
		}
		if meant = s.now() + wait; meant >= until || !s.sleep(meant) {
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
		if answer == stoodUp {
			return true
		}
		if at != nil {
			at.up <- false
		}
		if try >= s.habits.Retries {
			s.tally.GivenUp.Add(1)
			return false
		}
		if !s.heeds || wait == 0 {
			wait = Micros(s.rng.ExpFloat64() * float64(s.habits.Wait))
		}
		if meant = s.now() + wait; meant >= until || !s.sleep(meant) {
			return false
		}
		s.tally.Retries.Add(1)
	}
}

type outcome uint8

const (
	stoodUp outcome = iota
	pushedBack
	failed
)

// patience is how long past its limit a client stays to see whether its answer is late: longer than what the rules
// add to a limit.
const patience = 500 * ledger.Millisecond

// attempt asks once. meant is when this line was to be sent, first when the first of this wish was.
func (s *session) attempt(meant, first, until Micros, try int, back bool, at *carried) (outcome, Micros) {
	p := s.products[s.Product]
	address, proxy, found := s.route(s.rng, s.zone, s.Group)
	limit := p.Limit
	if at != nil {
		limit = 40 * ledger.Second
	}
	s.tally.Asks.Add(1)
	if !found {
		s.tally.Refused.Add(1)
		return failed, 0
	}
	conn, err := net.DialTimeout("tcp", address, limit.Span())
	if err != nil {
		s.tally.Refused.Add(1)
		return failed, 0
	}
	leaves := at == nil && s.rng.Float64() < s.habits.Leave
	id := ledger.ID(s.rng.Uint64() | 1)
	if at == nil && s.rng.Float64() < s.habits.Rest {
		connected := s.book.Now()
		if !s.rest() {
			_ = conn.Close()
			return failed, 0
		}
		s.book.Write(ledger.Event{At: connected, Kind: ledger.Connected, ID: id, Server: ledger.None, Proxy: proxy, Product: ledger.None})
	}
	text := fmt.Sprintf("OPEN %016x %016x c=%s,d=%d", uint64(id), s.Key, p.Name, limit/ledger.Millisecond)
	if s.Group != 0 {
		text += fmt.Sprintf(",g=%x", s.Group)
	}
	if try > 0 && s.habits.Marks {
		text += ",r=1"
	}
	if back {
		text += ",again=1"
	}
	asked := ledger.Event{Kind: ledger.Asked, ID: id, Server: ledger.None, Proxy: proxy, Product: s.Product}
	if at != nil {
		text += ",at=" + at.server
		s.note(ledger.CarriedAsk, id, "")
	}
	asked.At = s.book.Now()
	asked.Value = int64(asked.At + limit)
	if _, err := conn.Write([]byte(text + "\r\n")); err != nil {
		_ = conn.Close()
		s.tally.Refused.Add(1)
		return failed, 0
	}
	s.book.Write(asked)
	_ = conn.SetReadDeadline(s.book.Time(Micros(asked.Value) + patience))
	if leaves {
		_ = conn.SetReadDeadline(s.book.Time(asked.At + Micros(s.rng.Float64()*float64(limit)/2)))
	}
	in := &lines{in: bufio.NewReaderSize(conn, 512)}
	line, err := in.next()
	took := s.now() - meant
	if at == nil {
		s.tally.Answer.Add(took)
	}
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			_ = conn.Close()
			s.note(ledger.Left, id, "no answer had come")
		} else {
			s.note(ledger.HeardNothing, id, err.Error())
		}
		s.tally.Nothing.Add(1)
		_ = conn.Close()
		return failed, 0
	}
	if strings.HasPrefix(line, "UP ") {
		s.note(ledger.HeardUp, id, line)
		s.tally.Ups.Add(1)
		if at == nil {
			s.tally.SetUp.Add(s.now() - first)
			s.stand(conn, in, id, until, s.now()-first <= p.Quoted)
			return stoodUp, 0
		}
		at.up <- true
		select {
		case <-s.begun:
			s.start = s.Clients.start
			s.stand(conn, in, id, until, true)
		case <-s.ctx.Done():
			_ = conn.Close()
		}
		return stoodUp, 0
	}
	s.linger(conn, in, id)
	if word, rest, _ := strings.Cut(line, " "); word == "BUSY" {
		s.note(ledger.HeardBusy, id, "")
		s.tally.Busy.Add(1)
		ms, _ := strconv.ParseInt(rest, 10, 32)
		return pushedBack, Micros(ms) * ledger.Millisecond
	}
	s.note(ledger.HeardFailed, id, line)
	s.tally.Failed.Add(1)
	return failed, 0
}

// longestRest is a little more than a proxy waits for a first line.
const longestRest = 2700 * ledger.Millisecond

// rest waits before a request is sent on a connection; false if the run is over by then.
func (s *session) rest() bool {
	return s.sleep(s.now() + Micros(s.rng.Float64()*float64(longestRest)))
}

func (s *session) note(k ledger.Kind, id ledger.ID, note string) {
	s.book.Write(ledger.Event{Kind: k, ID: id, Server: ledger.None, Proxy: ledger.None, Product: ledger.None, Note: note})
}

// lingering is how long a client that has its final answer listens on: long enough for a second one to be seen.
const lingering = 400 * time.Millisecond

func (s *session) linger(conn net.Conn, in *lines, id ledger.ID) {
	s.playing.Add(1)
	go func() {
		defer s.playing.Done()
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(lingering))
		if line, err := in.next(); err == nil {
			s.note(ledger.HeardMore, id, line)
		}
	}()
}

// early is how long before a message is due the read is broken off: the runtime's deadlines are late by up to a
// millisecond.
const early = 1200

// stand keeps a connection until the client's time is over, or the connection's. It sends a line whenever one is
// due, whether or not the last was answered.
func (s *session) stand(conn net.Conn, in *lines, id ledger.ID, until Micros, quick bool) {
	defer conn.Close()
	p := s.products[s.Product]
	gain := p.Gain
	seen := &reader{session: s, id: id, well: quick}
	counted := s.now() // since when the present stretch goes on
	count := func(to Micros) {
		if seen.well {
			s.tally.Served(counted, to, gain)
		}
		counted = to
	}
	next := s.now() + Micros(s.rng.Float64()*float64(s.habits.Every))
	sent := int64(0)
	for {
		_ = conn.SetReadDeadline(s.book.Time(s.start + min(next, until) - early))
		line, err := in.next()
		switch {
		case err == nil && line == "MOVE":
			s.note(ledger.HeardMove, id, "")
			s.tally.Moves.Add(1)
			count(s.now())
			return
		case err == nil:
			seen.hears(line, p.Message)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			why := "by a reset"
			if errors.Is(err, io.EOF) {
				why = "by a close"
			}
			s.note(ledger.Ended, id, why)
			s.tally.Breaks.Add(1)
			count(s.now())
			return
		case s.now()+early >= until || s.ctx.Err() != nil:
			beat.Until(s.book.Time(s.start+until), s.ctx.Done()) // or there would be time left to come again
			s.note(ledger.Left, id, "")
			count(s.now())
			return
		case s.now()+early >= next:
			beat.Until(s.book.Time(s.start+next), s.ctx.Done())
			s.tally.LateSend.Add(s.now() - next)
			count(s.now())
			sent++
			seen.sends(next)
			s.tally.Messages.Add(1)
			// A failure comes as the end of the connection.
			_, _ = conn.Write([]byte(fleet.Seal("M", sent, int64(s.book.Now()))))
			next += s.habits.Every
		}
	}
}

// reader follows what a standing connection brings back.
type reader struct {
	*session
	id          ledger.ID
	meant       []Micros // when messages were meant to be sent that have no answer yet
	last, count int64    // the last message answered, and the server's own count
	well        bool     // the last message was answered in time, or none has been sent yet
}

func (r *reader) sends(meant Micros) {
	r.meant = append(r.meant, meant)
	r.well = false
}

func (r *reader) hears(line string, quoted Micros) {
	if strings.HasPrefix(line, "LOAD ") {
		return
	}
	numbers, ok := fleet.Open(line, "R", 3)
	switch {
	case !ok:
		r.note(ledger.LineChanged, r.id, "at the client: "+line)
		return
	case numbers[1] <= r.count || numbers[0] <= r.last:
		r.note(ledger.LineDoubled, r.id, "at the client: "+line)
		return
	case numbers[1] > r.count+1:
		r.note(ledger.LineLost, r.id, fmt.Sprintf("at the client: %q after number %d", line, r.count))
	}
	r.last, r.count = numbers[0], numbers[1]
	if held := r.book.Now() - Micros(numbers[2]); held > ledger.Second {
		r.book.Write(ledger.Event{Kind: ledger.LineHeld, ID: r.id, Server: ledger.None, Proxy: ledger.None, Product: ledger.None,
			Value: int64(held), Note: fmt.Sprintf("on the way to the client, for %s", held)})
	}
	if len(r.meant) == 0 {
		r.note(ledger.LineDoubled, r.id, "an answer to nothing: "+line)
		return
	}
	took := r.now() - r.meant[0]
	r.meant = r.meant[1:]
	r.tally.Line.Add(took)
	r.well = took <= quoted && len(r.meant) == 0
}

// lines reads lines and keeps what has come of one when a deadline comes between.
type lines struct {
	in   *bufio.Reader
	part []byte
}

func (l *lines) next() (string, error) {
	part, err := l.in.ReadSlice('\n')
	l.part = append(l.part, part...)
	if err == bufio.ErrBufferFull {
		return l.next()
	}
	if err != nil {
		return "", err
	}
	line := strings.TrimRight(string(l.part), "\r\n")
	l.part = l.part[:0]
	return line, nil
}
