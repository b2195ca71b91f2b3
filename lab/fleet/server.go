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

	"hatchproxy/lab/ledger"
	"hatchproxy/lab/precisetimer"
)

// Server is a stand-in for one server: a listener for each zone, since the way differs, and a machine behind them.
type Server struct {
	Number             int
	UID                string
	Zone               int
	Kind               string
	eventLog           *ledger.EventLog
	zoneDelays         []Micros // one way, by the zone that it is asked from
	reportsLoad        bool     // it tells connections' load
	answersProbes      bool     // it answers probes
	setUpWork          float64  // of a set-up
	probeWork          float64  // of a probe
	loadChangeInterval Micros   // how often a connection's load changes
	drawLoad           func(*rand.Rand) float64
	weight             float64 // as the list tells it

	mu        sync.Mutex
	machine   *Machine
	rng       *rand.Rand
	addresses []string
	listeners []net.Listener
	conns     map[*conn]bool
	faults    serverFaults
	collapsed bool
	down      bool
	upCount   int
	draining  bool // it drains, and says MOVE to who stands here
}

// serverFaults is what is wrong with a server now.
type serverFaults struct {
	hang       bool    // lines are taken, and no UP comes
	mute       bool    // silent halfway through a line
	errorShare float64 // the share of lines that is answered ERR at once
	resetShare float64 // the share of lines that is answered by a reset
	vanished   bool    // the machine has vanished: it takes no packets
}

// conn is a connection at a server. Its fields are guarded by the server's lock.
type conn struct {
	net.Conn
	server       *Server
	zone         int
	id           ledger.AttachmentID
	established  bool
	ended        bool
	load         float64
	group        uint64
	lastReceived int64 // the client's last number
	repliesSent  int64 // the own last number
	lastReplyAt  Micros
	unanswered   []int64 // the numbers that have no answer yet, in their order
	silent       bool
	timers       []*precisetimer.Timer
}

// listen starts the listeners: every zone's at an address of its own, so that an address can be told, taken away and
// had again while others go on.
func (s *Server) listen() error {
	for zone := range s.zoneDelays {
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

// listenAgain listens again where it did, unless it does already: troubles may overlap.
func (s *Server) listenAgain() error {
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

func (s *Server) closeListeners() {
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
		k := &conn{Conn: c, server: s, zone: zone}
		s.mu.Lock()
		s.conns[k] = true
		s.mu.Unlock()
		go k.serve()
	}
}

// afterDelay runs a call after a while, unless the connection is over by then. The server's lock is held.
func (c *conn) afterDelay(wait Micros, call func()) {
	c.timers = append(c.timers, precisetimer.RunAt(time.Now().Add(wait.Duration()), func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		if !c.ended {
			call()
		}
	}))
	if len(c.timers) > 16 {
		c.timers = append(c.timers[:0:0], c.timers[8:]...)
	}
}

// send sends a line at once, unless the server has fallen silent. A failure comes as the end of the connection.
func (c *conn) send(line string) {
	if c.silent || c.server.faults.vanished {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = c.Write([]byte(line))
}

func (c *conn) record(k ledger.Kind, value int64, note string) {
	c.server.eventLog.Record(ledger.Event{Kind: k, ID: c.id, Server: c.server.Number, Proxy: ledger.None, Product: ledger.None, Value: value, Note: note})
}

// end ends a connection from the server's side. The server's lock is held.
func (c *conn) end(reset bool) {
	if c.ended {
		return
	}
	if c.id != 0 {
		kind := ledger.ServerClosed
		if reset {
			kind = ledger.ServerReset
		}
		c.record(kind, 0, "")
	}
	c.release()
	if t, tcp := c.Conn.(*net.TCPConn); tcp && reset {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// moveClient says MOVE and ends the connection. The sending ends at once, the rest a second later: a reset for what the
// other side still sends would overtake the word. The server's lock is held.
func (c *conn) moveClient() {
	c.record(ledger.ServerSentMove, 0, "")
	c.send("MOVE\r\n")
	c.record(ledger.ServerClosed, 0, "")
	c.release()
	if t, tcp := c.Conn.(*net.TCPConn); tcp {
		_ = t.CloseWrite()
	}
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// release is where what a connection holds is given back. The server's lock is held.
func (c *conn) release() {
	c.ended = true
	delete(c.server.conns, c)
	for _, t := range c.timers {
		t.Stop()
	}
	c.timers = nil
	if c.established {
		c.server.machine.RemoveConn(c.load, c.group)
	}
}

// arrivalReader notes when the first byte of a line came.
type arrivalReader struct {
	net.Conn
	eventLog   *ledger.EventLog
	lastReadAt Micros
}

func (r *arrivalReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.lastReadAt = r.eventLog.Now()
	}
	return n, err
}

func (c *conn) serve() {
	watch := &arrivalReader{Conn: c.Conn, eventLog: c.server.eventLog}
	in := bufio.NewReaderSize(watch, 512)
	for {
		line, err := readLine(in)
		c.server.mu.Lock()
		if err != nil {
			c.peerClosed()
			c.server.mu.Unlock()
			return
		}
		if !c.ended {
			c.handleLine(line, watch.lastReadAt)
		}
		over := c.ended
		c.server.mu.Unlock()
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
func (c *conn) peerClosed() {
	if c.ended {
		return
	}
	if c.id != 0 {
		c.record(ledger.ProxyClosed, 0, "")
	}
	c.release()
	_ = c.Close()
}

func (c *conn) handleLine(line string, first Micros) {
	s := c.server
	switch {
	case s.faults.vanished:
	case c.established:
		c.handleMessage(line)
	case c.id != 0:
		c.record(ledger.LineChanged, 0, "a line came before UP: "+line)
	case line == "PING" || line == "STATS":
		c.answerProbe(line)
	case strings.HasPrefix(line, "OPEN "):
		c.handleOpen(line, first)
	default:
		c.send("SYNTAX\r\n")
		s.eventLog.Record(ledger.Event{Kind: ledger.LineChanged, Server: s.Number, Proxy: ledger.None, Product: ledger.None, Note: "no such line: " + line})
		c.end(false)
	}
}

func (c *conn) answerProbe(line string) {
	s := c.server
	now := s.eventLog.Now()
	if !s.answersProbes {
		c.send("NO\r\n")
		return
	}
	if s.faults.hang || s.faults.mute {
		return
	}
	done := now + s.machine.MessageTime(now) + Micros(s.probeWork/s.machine.Speed)
	answer := "PONG\r\n"
	if line == "STATS" {
		answer = fmt.Sprintf("PONG use=%.3f standing=%d\r\n", s.machine.Utilization(now), s.machine.established)
	}
	c.afterDelay(done-now+2*s.zoneDelays[c.zone], func() { c.send(answer) })
}

// openParam finds a value in the list of an OPEN line.
func openParam(list, name string) string {
	for item := range strings.SplitSeq(list, ",") {
		if key, value, found := strings.Cut(item, "="); found && key == name {
			return value
		}
	}
	return ""
}

func (c *conn) handleOpen(line string, first Micros) {
	s := c.server
	words := strings.Split(line, " ")
	id, err := strconv.ParseUint(words[min(1, len(words)-1)], 16, 64)
	if err != nil || len(words) != 4 {
		s.eventLog.Record(ledger.Event{Kind: ledger.LineChanged, Server: s.Number, Proxy: ledger.None, Product: ledger.None, Note: "no such line: " + line})
		c.end(false)
		return
	}
	now := s.eventLog.Now()
	c.id = ledger.AttachmentID(id)
	s.eventLog.Record(ledger.Event{At: first, Kind: ledger.DispatchArrived, ID: c.id, Server: s.Number, Proxy: ledger.None, Product: ledger.None})
	c.record(ledger.DispatchComplete, 0, "")
	c.group, _ = strconv.ParseUint(openParam(words[3], "g"), 16, 64)
	way := 2 * s.zoneDelays[c.zone]
	switch x := s.rng.Float64(); {
	case x < s.faults.resetShare:
		c.end(true)
		return
	case x < s.faults.resetShare+s.faults.errorShare:
		c.afterDelay(way, func() { c.answerAndEnd(ledger.ServerSentErr, "ERR") })
		return
	}
	work := s.setUpWork * s.rng.ExpFloat64()
	done, room := now, true
	if carried := openParam(words[3], "at") != ""; !carried {
		done, room = s.machine.QueueSetUp(now, work)
	}
	if !room {
		c.afterDelay(way, func() { c.answerAndEnd(ledger.ServerSentBusy, "BUSY") })
		return
	}
	if s.faults.hang {
		return
	}
	// The way there, its answer, and the round that connecting takes.
	c.afterDelay(done-now+2*way, c.establish)
}

// answerAndEnd gives an answer that is no UP, and ends the connection.
func (c *conn) answerAndEnd(k ledger.Kind, word string) {
	if c.server.faults.vanished {
		return
	}
	c.record(k, 0, "")
	c.send(word + "\r\n")
	c.release()
	_ = c.Close()
}

func (c *conn) establish() {
	s := c.server
	if s.faults.hang || s.faults.vanished {
		return
	}
	s.upCount++
	receipt := fmt.Sprintf("UP %s-%d", s.UID, s.upCount)
	c.record(ledger.DispatchRan, 0, "")
	if s.faults.mute {
		c.send(receipt[:len(receipt)/2])
		return
	}
	c.record(ledger.ServerSentUp, 0, receipt)
	c.established = true
	c.load = s.drawLoad(s.rng)
	s.machine.AddConn(c.load, c.group)
	c.send(receipt + "\r\n")
	if s.reportsLoad {
		c.reportLoad()
	}
}

// reportLoad says what load the connection has, now and whenever it changes.
func (c *conn) reportLoad() {
	c.send(fmt.Sprintf("LOAD %.0f\r\n", c.load))
	if c.server.loadChangeInterval <= 0 {
		return
	}
	c.afterDelay(Micros(c.server.rng.ExpFloat64()*float64(c.server.loadChangeInterval)), func() {
		next := c.server.drawLoad(c.server.rng)
		c.server.machine.ChangeLoad(c.load, next)
		c.load = next
		c.reportLoad()
	})
}

const maxLineDelay = ledger.Second

// handleMessage takes a client's line "M n sent sum" and answers "R n m sent sum": its own count m shows lost and
// doubled lines, the times held ones, the sums changed ones.
func (c *conn) handleMessage(line string) {
	s := c.server
	now := s.eventLog.Now()
	n, sent, ok := ParseClientLine(line, "M")
	switch {
	case !ok:
		c.record(ledger.LineChanged, 0, "at the server: "+line)
		return
	case n <= c.lastReceived:
		c.record(ledger.LineDuplicated, 0, "at the server: "+line)
		return
	case n > c.lastReceived+1:
		c.record(ledger.LineLost, 0, fmt.Sprintf("at the server: %q after number %d", line, c.lastReceived))
	}
	c.lastReceived = n
	if now-sent > maxLineDelay {
		c.record(ledger.LineDelayed, int64(now-sent), fmt.Sprintf("on the way to the server, for %s", now-sent))
	}
	if s.faults.mute {
		if !c.silent {
			c.record(ledger.ServerSilent, 0, "halfway through a line")
			c.send(fmt.Sprintf("R %d", n))
			c.silent = true
		}
		return
	}
	at := max(now+s.machine.MessageTime(now)+2*s.zoneDelays[c.zone], c.lastReplyAt)
	c.lastReplyAt = at
	c.unanswered = append(c.unanswered, n)
	c.afterDelay(at-now, c.sendReply)
}

// sendReply answers the oldest line: timers that are due at the same time run in any order.
func (c *conn) sendReply() {
	n := c.unanswered[0]
	c.unanswered = c.unanswered[1:]
	if c.silent || c.server.faults.vanished {
		return
	}
	c.repliesSent++
	c.send(FormatLine("R", n, c.repliesSent, int64(c.server.eventLog.Now())))
}

// FormatLine makes a line of a verb and numbers, with a sum that shows whether it was changed.
func FormatLine(verb string, numbers ...int64) string {
	text := verb
	for _, n := range numbers {
		text += " " + strconv.FormatInt(n, 10)
	}
	return text + fmt.Sprintf(" %08x\r\n", crc32.ChecksumIEEE([]byte(text)))
}

// ParseClientLine reads a client's line.
func ParseClientLine(line, verb string) (n int64, sent Micros, ok bool) {
	numbers, ok := ParseLine(line, verb, 2)
	if !ok {
		return 0, 0, false
	}
	return numbers[0], Micros(numbers[1]), true
}

// ParseLine reads a sealed line of so many numbers.
func ParseLine(line, verb string, count int) ([]int64, bool) {
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
