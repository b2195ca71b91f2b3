package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"hatchproxy/lab/beat"
	"hatchproxy/lab/ledger"
)

// Server is a stand-in for one server: a listener for each zone, since the way differs, and a machine behind them.
type Server struct {
	Number  int
	UID     string
	Zone    int
	Kind    string
	book    *ledger.Book
	way     []Micros // one way, by the zone that it is asked from
	tells   bool     // it tells connections' load
	probes  bool     // it answers probes
	work    float64  // of a set-up
	probing float64  // of a probe
	changes Micros   // how often a connection's load changes
	loads   func(*rand.Rand) float64
	weight  float64 // as the list tells it

	mu        sync.Mutex
	machine   *Machine
	rng       *rand.Rand
	addresses []string
	listeners []net.Listener
	conns     map[*conn]bool
	fault     fault
	tipped    bool
	down      bool
	receipts  int
	sitting   bool // it drains, and says MOVE to who stands here
}

// fault is what is wrong with a server now.
type fault struct {
	hang   bool    // lines are taken, and no UP comes
	mute   bool    // silent halfway through a line
	fails  float64 // the share of lines that is answered ERR at once
	resets float64 // the share of lines that is answered by a reset
	gone   bool    // the machine has vanished: it takes no packets
}

// conn is a connection at a server. Its fields are guarded by the server's lock.
type conn struct {
	net.Conn
	s      *Server
	zone   int
	id     ledger.ID
	stands bool
	over   bool
	load   float64
	group  uint64
	heard  int64 // the client's last number
	said   int64 // the own last number
	last   Micros
	owed   []int64 // the numbers that have no answer yet, in their order
	silent bool
	timers []*beat.Timer
}

// open starts the listeners: every zone's at an address of its own, so that an address can be told, taken away and
// had again while others go on.
func (s *Server) open() error {
	for zone := range s.way {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 10+zone, s.Number/200, 1+s.Number%200))
		if err != nil {
			return err
		}
		s.addresses = append(s.addresses, l.Addr().String())
		s.listeners = append(s.listeners, l)
		go s.accept(l, zone)
	}
	return nil
}

// reopen listens again where it did, unless it does already: troubles may overlap.
func (s *Server) reopen() error {
	if len(s.listeners) > 0 {
		return nil
	}
	for zone, at := range s.addresses {
		l, err := net.Listen("tcp", at)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
		go s.accept(l, zone)
	}
	return nil
}

func (s *Server) shutListeners() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
}

func (s *Server) accept(l net.Listener, zone int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		k := &conn{Conn: c, s: s, zone: zone}
		s.mu.Lock()
		s.conns[k] = true
		s.mu.Unlock()
		go k.talk()
	}
}

// later runs a call after a while, unless the connection is over by then. The server's lock is held.
func (c *conn) later(wait Micros, call func()) {
	c.timers = append(c.timers, beat.At(time.Now().Add(wait.Span()), func() {
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		if !c.over {
			call()
		}
	}))
	if len(c.timers) > 16 {
		c.timers = append(c.timers[:0:0], c.timers[8:]...)
	}
}

// write sends a line at once, unless the server has fallen silent. A failure comes as the end of the connection.
func (c *conn) write(line string) {
	if c.silent || c.s.fault.gone {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = c.Write([]byte(line))
}

func (c *conn) note(k ledger.Kind, value int64, note string) {
	c.s.book.Write(ledger.Event{Kind: k, ID: c.id, Server: c.s.Number, Proxy: ledger.None, Product: ledger.None, Value: value, Note: note})
}

// end ends a connection from the server's side. The server's lock is held.
func (c *conn) end(reset bool) {
	if c.over {
		return
	}
	if c.id != 0 {
		kind := ledger.ServerEnded
		if reset {
			kind = ledger.ServerReset
		}
		c.note(kind, 0, "")
	}
	c.release()
	if t, tcp := c.Conn.(*net.TCPConn); tcp && reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// sendAway says MOVE and ends the connection. The sending ends at once, the rest a second later: a reset for what the
// other side still sends would overtake the word. The server's lock is held.
func (c *conn) sendAway() {
	c.note(ledger.SaidMove, 0, "")
	c.write("MOVE\r\n")
	c.note(ledger.ServerEnded, 0, "")
	c.release()
	if t, tcp := c.Conn.(*net.TCPConn); tcp {
		_ = t.CloseWrite()
	}
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// release is where what a connection holds is given back. The server's lock is held.
func (c *conn) release() {
	c.over = true
	delete(c.s.conns, c)
	for _, t := range c.timers {
		t.Stop()
	}
	c.timers = nil
	if c.stands {
		c.s.machine.Leave(c.load, c.group)
	}
}

// arrivalReader notes when the first byte of a line came.
type arrivalReader struct {
	net.Conn
	book  *ledger.Book
	first Micros
}

func (r *arrivalReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.first = r.book.Now()
	}
	return n, err
}

func (c *conn) talk() {
	watch := &arrivalReader{Conn: c.Conn, book: c.s.book}
	in := bufio.NewReaderSize(watch, 512)
	for {
		line, err := readLine(in)
		c.s.mu.Lock()
		if err != nil {
			c.gone()
			c.s.mu.Unlock()
			return
		}
		if !c.over {
			c.hears(line, watch.first)
		}
		over := c.over
		c.s.mu.Unlock()
		if over {
			return
		}
	}
}

// readLine reads a line of any length up to the protocol's 4096 bytes.
func readLine(in *bufio.Reader) (string, error) {
	var whole []byte
	for {
		part, err := in.ReadSlice('\n')
		whole = append(whole, part...)
		if err == nil {
			return string(bytes.TrimRight(whole, "\r\n")), nil
		}
		if err != bufio.ErrBufferFull || len(whole) > 4096 {
			return "", err
		}
	}
}

// gone: the other side has ended it.
func (c *conn) gone() {
	if c.over {
		return
	}
	if c.id != 0 {
		c.note(ledger.Dropped, 0, "")
	}
	c.release()
	_ = c.Close()
}

func (c *conn) hears(line string, first Micros) {
	s := c.s
	switch {
	case s.fault.gone:
	case c.stands:
		c.message(line)
	case c.id != 0:
		c.note(ledger.LineChanged, 0, "a line came before UP: "+line)
	case line == "PING" || line == "STATS":
		c.probed(line)
	case strings.HasPrefix(line, "OPEN "):
		c.opened(line, first)
	default:
		c.write("SYNTAX\r\n")
		s.book.Write(ledger.Event{Kind: ledger.LineChanged, Server: s.Number, Proxy: ledger.None, Product: ledger.None, Note: "no such line: " + line})
		c.end(false)
	}
}

func (c *conn) probed(line string) {
	s := c.s
	now := s.book.Now()
	if !s.probes {
		c.write("NO\r\n")
		return
	}
	if s.fault.hang || s.fault.mute {
		return
	}
	done := now + s.machine.Message(now) + Micros(s.probing/s.machine.Speed)
	answer := "PONG\r\n"
	if line == "STATS" {
		answer = fmt.Sprintf("PONG use=%.3f standing=%d\r\n", s.machine.Use(now), s.machine.standing)
	}
	c.later(done-now+2*s.way[c.zone], func() { c.write(answer) })
}

// field finds a value in the list of an OPEN line.
func field(list, name string) string {
	for item := range strings.SplitSeq(list, ",") {
		if key, value, found := strings.Cut(item, "="); found && key == name {
			return value
		}
	}
	return ""
}

func (c *conn) opened(line string, first Micros) {
	s := c.s
	words := strings.Split(line, " ")
	id, err := strconv.ParseUint(words[min(1, len(words)-1)], 16, 64)
	if err != nil || len(words) != 4 {
		s.book.Write(ledger.Event{Kind: ledger.LineChanged, Server: s.Number, Proxy: ledger.None, Product: ledger.None, Note: "no such line: " + line})
		c.end(false)
		return
	}
	now := s.book.Now()
	c.id = ledger.ID(id)
	s.book.Write(ledger.Event{At: first, Kind: ledger.Arrived, ID: c.id, Server: s.Number, Proxy: ledger.None, Product: ledger.None})
	c.note(ledger.Taken, 0, "")
	c.group, _ = strconv.ParseUint(field(words[3], "g"), 16, 64)
	way := 2 * s.way[c.zone]
	switch x := s.rng.Float64(); {
	case x < s.fault.resets:
		c.end(true)
		return
	case x < s.fault.resets+s.fault.fails:
		c.later(way, func() { c.says(ledger.SaidErr, "ERR") })
		return
	}
	work := s.work * s.rng.ExpFloat64()
	done, room := now, true
	if carried := field(words[3], "at") != ""; !carried {
		done, room = s.machine.SetUp(now, work)
	}
	if !room {
		c.later(way, func() { c.says(ledger.SaidBusy, "BUSY") })
		return
	}
	if s.fault.hang {
		return
	}
	// The way there, its answer, and the round that connecting takes.
	c.later(done-now+2*way, c.up)
}

// says gives an answer that is no UP, and ends the connection.
func (c *conn) says(k ledger.Kind, word string) {
	if c.s.fault.gone {
		return
	}
	c.note(k, 0, "")
	c.write(word + "\r\n")
	c.release()
	_ = c.Close()
}

func (c *conn) up() {
	s := c.s
	if s.fault.hang || s.fault.gone {
		return
	}
	s.receipts++
	receipt := fmt.Sprintf("UP %s-%d", s.UID, s.receipts)
	c.note(ledger.Ran, 0, "")
	if s.fault.mute {
		c.write(receipt[:len(receipt)/2])
		return
	}
	c.note(ledger.SaidUp, 0, receipt)
	c.stands = true
	c.load = s.loads(s.rng)
	s.machine.Stand(c.load, c.group)
	c.write(receipt + "\r\n")
	if s.tells {
		c.tell()
	}
}

// tell says what load the connection has, now and whenever it changes.
func (c *conn) tell() {
	c.write(fmt.Sprintf("LOAD %.0f\r\n", c.load))
	if c.s.changes <= 0 {
		return
	}
	c.later(Micros(c.s.rng.ExpFloat64()*float64(c.s.changes)), func() {
		next := c.s.loads(c.s.rng)
		c.s.machine.Change(c.load, next)
		c.load = next
		c.tell()
	})
}

const heldTooLong = ledger.Second

// message takes a client's line "M n sent sum" and answers "R n m sent sum": its own count m shows lost and
// doubled lines, the times held ones, the sums changed ones.
func (c *conn) message(line string) {
	s := c.s
	now := s.book.Now()
	n, sent, ok := Unseal(line, "M")
	switch {
	case !ok:
		c.note(ledger.LineChanged, 0, "at the server: "+line)
		return
	case n <= c.heard:
		c.note(ledger.LineDoubled, 0, "at the server: "+line)
		return
	case n > c.heard+1:
		c.note(ledger.LineLost, 0, fmt.Sprintf("at the server: %q after number %d", line, c.heard))
	}
	c.heard = n
	if now-sent > heldTooLong {
		c.note(ledger.LineHeld, int64(now-sent), fmt.Sprintf("on the way to the server, for %s", now-sent))
	}
	if s.fault.mute {
		if !c.silent {
			c.note(ledger.FellSilent, 0, "halfway through a line")
			c.write(fmt.Sprintf("R %d", n))
			c.silent = true
		}
		return
	}
	at := max(now+s.machine.Message(now)+2*s.way[c.zone], c.last)
	c.last = at
	c.owed = append(c.owed, n)
	c.later(at-now, c.reply)
}

// reply answers the oldest line: timers that are due at the same time run in any order.
func (c *conn) reply() {
	n := c.owed[0]
	c.owed = c.owed[1:]
	if c.silent || c.s.fault.gone {
		return
	}
	c.said++
	c.write(Seal("R", n, c.said, int64(c.s.book.Now())))
}

// Seal makes a line of a verb and numbers, with a sum that shows whether it was changed.
func Seal(verb string, numbers ...int64) string {
	text := verb
	for _, n := range numbers {
		text += " " + strconv.FormatInt(n, 10)
	}
	return text + fmt.Sprintf(" %08x\r\n", crc32.ChecksumIEEE([]byte(text)))
}

// Unseal reads a client's line.
func Unseal(line, verb string) (n int64, sent Micros, ok bool) {
	numbers, ok := Open(line, verb, 2)
	if !ok {
		return 0, 0, false
	}
	return numbers[0], Micros(numbers[1]), true
}

// Open reads a sealed line of so many numbers.
func Open(line, verb string, count int) ([]int64, bool) {
	at := strings.LastIndexByte(line, ' ')
	if at < 0 || fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(line[:at]))) != line[at+1:] {
		return nil, false
	}
	words := strings.Split(line[:at], " ")
	if len(words) != count+1 || words[0] != verb {
		return nil, false
	}
	numbers := make([]int64, count)
	for i, word := range words[1:] {
		n, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return nil, false
		}
		numbers[i] = n
	}
	return numbers, true
}
