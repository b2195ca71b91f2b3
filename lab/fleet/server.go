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

// Server is a stand-in for one server: a simulated machine behind one listener per zone, since the network delay depends on the zone
// that a request comes from.
type Server struct {
	Number             int
	UID                string
	Zone               int
	Kind               string
	eventLog           *ledger.EventLog
	zoneDelays         []Micros                 // one-way delay, by the zone that a request comes from
	reportsLoad        bool                     // it sends LOAD lines
	answersProbes      bool                     // it answers PING and STATS
	setUpWork          float64                  // mean work of a set-up
	probeWork          float64                  // work of a probe
	loadChangeInterval Micros                   // mean time between changes of a connection's load; 0 for none
	drawLoad           func(*rand.Rand) float64 // draws a connection's load
	weight             float64                  // as the list shows it

	mu        sync.Mutex // guards the fields below
	machine   *Machine
	rng       *rand.Rand
	addresses []string       // by zone
	listeners []net.Listener // by zone; none while it refuses connections
	conns     map[*conn]bool
	faults    serverFaults
	collapsed bool // it has collapsed under overload and stays down
	down      bool
	upCount   int // UP answers so far, for their texts
	draining  bool
}

// serverFaults are the faults that a server has now, by troubles.
type serverFaults struct {
	hang       bool    // it accepts requests and never answers UP
	mute       bool    // it falls silent halfway through a line
	errorShare float64 // share of requests that it answers with ERR at once
	resetShare float64 // share of requests at which it resets the connection
	vanished   bool    // it is unreachable, as if its machine had vanished
}

// conn is a server's end of a connection. Its fields are guarded by the server's lock.
type conn struct {
	net.Conn
	server       *Server
	zone         int
	id           ledger.AttachmentID // 0 before the request
	established  bool
	ended        bool
	load         float64 // work per second while established
	group        uint64  // the request's group; 0 for none
	lastReceived int64   // number of the client's last message
	repliesSent  int64   // number of the last reply
	lastReplyAt  Micros
	unanswered   []int64 // numbers of the messages without a reply yet, ascending
	silent       bool    // nothing is sent any more
	timers       []*precisetimer.Timer
}

// listen starts a listener for each zone. Each has a loopback IP address of its own, so that the server can close it and listen
// at the same address again while other servers run.
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

// listenAgain listens at the same addresses again after closeListeners. It does nothing if the server listens already, since
// troubles may overlap.
func (s *Server) listenAgain() error {
	if len(s.listeners) > 0 {
		return nil
	}
	for zone, address := range s.addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
		go s.accept(l, zone)
	}
	return nil
}

// closeListeners makes the server refuse new connections. Its lock is held.
func (s *Server) closeListeners() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
}

// accept serves the connections of a listener until it is closed.
func (s *Server) accept(l net.Listener, zone int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		accepted := &conn{Conn: c, server: s, zone: zone}
		s.mu.Lock()
		s.conns[accepted] = true
		s.mu.Unlock()
		go accepted.serve()
	}
}

// afterDelay calls callback after a delay, with the server's lock held, unless the connection has ended by then. The caller holds the
// lock, too.
func (c *conn) afterDelay(delay Micros, callback func()) {
	c.timers = append(c.timers, precisetimer.RunAt(time.Now().Add(delay.Duration()), func() {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		if !c.ended {
			callback()
		}
	}))
	if len(c.timers) > 16 {
		c.timers = append(c.timers[:0:0], c.timers[8:]...)
	}
}

// send writes to the connection at once, unless the server is silent or unreachable. It ignores errors, which show as the
// connection's end in serve.
func (c *conn) send(line string) {
	if c.silent || c.server.faults.vanished {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = c.Write([]byte(line))
}

// record records an event of this connection.
func (c *conn) record(kind ledger.Kind, value int64, note string) {
	c.server.eventLog.Record(ledger.Event{Kind: kind, ID: c.id, Server: c.server.Number, Proxy: ledger.None, Product: ledger.None, Value: value, Note: note})
}

// end closes the connection from the server's side, with a reset if asked to. The server's lock is held.
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
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok && reset {
		_ = tcpConn.SetLinger(0)
	}
	_ = c.Close()
}

// moveClient sends MOVE and ends the connection. It closes only the sending direction at once and the whole socket a second later:
// if the other side still sent something, a closed socket would answer with a reset, which could overtake the MOVE. The server's
// lock is held.
func (c *conn) moveClient() {
	c.record(ledger.ServerSentMove, 0, "")
	c.send("MOVE\r\n")
	c.record(ledger.ServerClosed, 0, "")
	c.release()
	if tcpConn, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcpConn.CloseWrite()
	}
	time.AfterFunc(time.Second, func() { _ = c.Close() })
}

// release marks the connection as ended, stops its timers and removes it from the server and its machine. The server's lock is held.
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

// arrivalReader is a connection that remembers when it last received bytes.
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

// serve reads and handles lines until the connection ends.
func (c *conn) serve() {
	arrivals := &arrivalReader{Conn: c.Conn, eventLog: c.server.eventLog}
	reader := bufio.NewReaderSize(arrivals, 512)
	for {
		line, err := readLine(reader)
		c.server.mu.Lock()
		if err != nil {
			c.peerClosed()
			c.server.mu.Unlock()
			return
		}
		if !c.ended {
			c.handleLine(line, arrivals.lastReadAt)
		}
		ended := c.ended
		c.server.mu.Unlock()
		if ended {
			return
		}
	}
}

// readLine reads a line of up to 4096 bytes, the protocol's limit, and returns it without its end.
func readLine(reader *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return string(bytes.TrimRight(line, "\r\n")), nil
		}
		if err != bufio.ErrBufferFull || len(line) > 4096 {
			return "", err
		}
	}
}

// peerClosed ends the connection after the proxy has closed it or a line was too long. The server's lock is held.
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

// handleLine handles a line that arrived at the given time. The server's lock is held.
func (c *conn) handleLine(line string, arrivedAt Micros) {
	s := c.server
	switch {
	case s.faults.vanished:
	case c.established:
		c.handleMessage(line)
	case c.id != 0:
		c.record(ledger.LineChanged, 0, "line received before UP: "+line)
	case line == "PING" || line == "STATS":
		c.answerProbe(line)
	case strings.HasPrefix(line, "OPEN "):
		c.handleOpen(line, arrivedAt)
	default:
		c.send("SYNTAX\r\n")
		s.eventLog.Record(ledger.Event{Kind: ledger.LineChanged, Server: s.Number, Proxy: ledger.None, Product: ledger.None, Note: "unknown line: " + line})
		c.end(false)
	}
}

// answerProbe answers a PING or STATS line. The server's lock is held.
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

// openParam returns the value of a parameter of an OPEN line, or "". The parameters have the form "name=value,name=value".
func openParam(params, name string) string {
	for item := range strings.SplitSeq(params, ",") {
		if key, value, found := strings.Cut(item, "="); found && key == name {
			return value
		}
	}
	return ""
}

// handleOpen handles a request, an OPEN line that arrived at the given time. The server's lock is held.
func (c *conn) handleOpen(line string, arrivedAt Micros) {
	s := c.server
	fields := strings.Split(line, " ")
	id, err := strconv.ParseUint(fields[min(1, len(fields)-1)], 16, 64)
	if err != nil || len(fields) != 4 {
		s.eventLog.Record(ledger.Event{Kind: ledger.LineChanged, Server: s.Number, Proxy: ledger.None, Product: ledger.None, Note: "malformed request: " + line})
		c.end(false)
		return
	}
	now := s.eventLog.Now()
	c.id = ledger.AttachmentID(id)
	s.eventLog.Record(ledger.Event{At: arrivedAt, Kind: ledger.DispatchArrived, ID: c.id, Server: s.Number, Proxy: ledger.None, Product: ledger.None})
	c.record(ledger.DispatchComplete, 0, "")
	c.group, _ = strconv.ParseUint(openParam(fields[3], "g"), 16, 64)
	roundTrip := 2 * s.zoneDelays[c.zone]
	switch x := s.rng.Float64(); {
	case x < s.faults.resetShare:
		c.end(true)
		return
	case x < s.faults.resetShare+s.faults.errorShare:
		c.afterDelay(roundTrip, func() { c.answerAndEnd(ledger.ServerSentErr, "ERR") })
		return
	}
	work := s.setUpWork * s.rng.ExpFloat64()
	done, accepted := now, true
	if carried := openParam(fields[3], "at") != ""; !carried {
		done, accepted = s.machine.QueueSetUp(now, work)
	}
	if !accepted {
		c.afterDelay(roundTrip, func() { c.answerAndEnd(ledger.ServerSentBusy, "BUSY") })
		return
	}
	if s.faults.hang {
		return
	}
	// One round trip for the request and its answer, and one for connecting.
	c.afterDelay(done-now+2*roundTrip, c.establish)
}

// answerAndEnd sends an answer other than UP, records it as the given kind and ends the connection. The server's lock is held.
func (c *conn) answerAndEnd(kind ledger.Kind, answer string) {
	if c.server.faults.vanished {
		return
	}
	c.record(kind, 0, "")
	c.send(answer + "\r\n")
	c.release()
	_ = c.Close()
}

// establish executes the request, answers UP and makes the connection an established one. The server's lock is held.
func (c *conn) establish() {
	s := c.server
	if s.faults.hang || s.faults.vanished {
		return
	}
	s.upCount++
	upLine := fmt.Sprintf("UP %s-%d", s.UID, s.upCount)
	c.record(ledger.DispatchRan, 0, "")
	if s.faults.mute {
		c.send(upLine[:len(upLine)/2])
		return
	}
	c.record(ledger.ServerSentUp, 0, upLine)
	c.established = true
	c.load = s.drawLoad(s.rng)
	s.machine.AddConn(c.load, c.group)
	c.send(upLine + "\r\n")
	if s.reportsLoad {
		c.reportLoad()
	}
}

// reportLoad sends the connection's load now and whenever it changes. The server's lock is held.
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

// maxLineDelay is how long a line may take from the client; a longer delay is recorded.
const maxLineDelay = ledger.Second

// handleMessage handles a client's message "M n sent checksum". It answers "R n m sent checksum", where n is the message's number
// and m that of the reply. The numbers reveal lost and duplicated lines, the times delayed ones and the checksums altered ones.
// The server's lock is held.
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
	replyAt := max(now+s.machine.MessageTime(now)+2*s.zoneDelays[c.zone], c.lastReplyAt)
	c.lastReplyAt = replyAt
	c.unanswered = append(c.unanswered, n)
	c.afterDelay(replyAt-now, c.sendReply)
}

// sendReply replies to the oldest unanswered message. The message isn't bound to the timer because timers that are due at the same time
// fire in any order. The server's lock is held.
func (c *conn) sendReply() {
	n := c.unanswered[0]
	c.unanswered = c.unanswered[1:]
	if c.silent || c.server.faults.vanished {
		return
	}
	c.repliesSent++
	c.send(FormatLine("R", n, c.repliesSent, int64(c.server.eventLog.Now())))
}

// FormatLine returns a line, with its end, of a verb, numbers and a CRC-32 checksum that shows whether the line was altered.
func FormatLine(verb string, numbers ...int64) string {
	text := verb
	for _, n := range numbers {
		text += " " + strconv.FormatInt(n, 10)
	}
	return text + fmt.Sprintf(" %08x\r\n", crc32.ChecksumIEEE([]byte(text)))
}

// ParseClientLine parses a client's line without its end: the message's number and the time when it was sent. It returns false if the
// line has another form or a wrong checksum.
func ParseClientLine(line, verb string) (n int64, sent Micros, ok bool) {
	numbers, ok := ParseLine(line, verb, 2)
	if !ok {
		return 0, 0, false
	}
	return numbers[0], Micros(numbers[1]), true
}

// ParseLine parses a line of FormatLine without its end, and returns its numbers. It returns false if the verb, the count of numbers
// or the checksum is wrong.
func ParseLine(line, verb string, count int) ([]int64, bool) {
	sumStart := strings.LastIndexByte(line, ' ')
	if sumStart < 0 || fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(line[:sumStart]))) != line[sumStart+1:] {
		return nil, false
	}
	fields := strings.Split(line[:sumStart], " ")
	if len(fields) != count+1 || fields[0] != verb {
		return nil, false
	}
	numbers := make([]int64, count)
	for i, field := range fields[1:] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return nil, false
		}
		numbers[i] = n
	}
	return numbers, true
}
