// Package testproxy provides small proxies that test and calibrate the lab. A FaultyProxy breaks one rule on purpose, which
// shows that the lab's check of that rule reports it; without a violation it keeps the rules, and no check may report it. Relay
// only copies bytes, and so shows what any proxy costs on this machine.
package testproxy

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Violation is the way in which a FaultyProxy breaks the rules.
type Violation string

// The violations. Each but NoViolation breaks one rule.
const (
	NoViolation        Violation = ""
	NoAnswer           Violation = "no-answer"       // never answers the client
	TwoAnswers         Violation = "two-answers"     // answers BUSY, and then ERR
	SendsAfterAnswer   Violation = "sends-after"     // sends a request to a server after it has answered BUSY
	LeavesAttemptOpen  Violation = "stays-out"       // answers BUSY while an attempt is still open
	AnswersLate        Violation = "late"            // answers after the client's hard limit
	WithholdsAnswer    Violation = "withholds"       // answers a request late that it has already given up
	TwoAttemptsAtOnce  Violation = "both"            // has two attempts open at once
	RepeatsUnsafely    Violation = "repeats"         // repeats at any server a request that may have been executed
	InventsAnswer      Violation = "invents"         // answers UP without a server
	SendsToDrained     Violation = "to-drained"      // keeps sending to the first server, whatever the list says
	CutsConnections    Violation = "cuts"            // closes established connections
	KeepsClientOpen    Violation = "keeps-open"      // does not close the client's connection when the server closes its own
	KeepsSilentServer  Violation = "keeps-mute"      // never sends MOVE to the clients of a silent server
	DelaysLines        Violation = "holds"           // delays every line
	DropsLines         Violation = "loses"           // drops every third line
	DuplicatesLines    Violation = "doubles"         // sends every third line twice
	AltersLines        Violation = "changes"         // alters every third line
	FloodsColdServer   Violation = "floods"          // sends all requests to the first server, even while it is cold
	TooManyAttempts    Violation = "insists"         // makes more attempts than allowed
	PushesBackExecuted Violation = "pushes-back-ran" // answers BUSY to a request that may have been executed
)

// FaultyProxy is a minimal proxy: it has a goroutine for each connection, takes the servers in turn and makes one attempt per
// request, except as its violation has it.
type FaultyProxy struct {
	Address       string
	violation     Violation
	servers       func() []string
	listener      net.Listener
	serverTurn    atomic.Int64
	mu            sync.Mutex
	conns         []net.Conn
	answerTimeout time.Duration // how long a server may take to answer
}

// StartFaultyProxy starts a proxy on a loopback address. It calls servers, which returns the servers' addresses in a fixed order,
// for each attempt.
func StartFaultyProxy(violation Violation, servers func() []string) (*FaultyProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &FaultyProxy{Address: l.Addr().String(), violation: violation, servers: servers, listener: l, answerTimeout: 400 * time.Millisecond}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.trackConn(c)
			go p.serve(c)
		}
	}()
	return p, nil
}

// trackConn adds a connection to those that Close closes.
func (p *FaultyProxy) trackConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

// Close stops the proxy and closes all its connections.
func (p *FaultyProxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// writeLine writes a line with its end, and ignores errors.
func writeLine(c net.Conn, line string) { _, _ = c.Write([]byte(line + "\r\n")) }

// serve handles a client's connection, up to its end.
func (p *FaultyProxy) serve(c net.Conn) {
	fromClient := bufio.NewReader(c)
	line, err := fromClient.ReadString('\n')
	if err != nil {
		_ = c.Close()
		return
	}
	switch p.violation {
	case NoAnswer:
		return
	case InventsAnswer:
		writeLine(c, "UP nobody-1")
		return
	case TwoAnswers:
		writeLine(c, "BUSY")
		time.Sleep(50 * time.Millisecond)
		writeLine(c, "ERR")
		_ = c.Close()
		return
	case SendsAfterAnswer:
		writeLine(c, "BUSY")
		time.Sleep(150 * time.Millisecond)
		_, _, _ = p.attempt(line, 0)
		return
	case LeavesAttemptOpen:
		go func() { _, _, _ = p.attemptWithin(line, 0, time.Hour) }()
		time.Sleep(50 * time.Millisecond)
		writeLine(c, "BUSY")
		return
	case TwoAttemptsAtOnce:
		go func() { _, _, _ = p.attemptWithin(line, 0, time.Hour) }()
		time.Sleep(100 * time.Millisecond)
	}
	first := int(p.serverTurn.Add(1))
	if p.violation == SendsToDrained || p.violation == FloodsColdServer {
		first = 0
	}
	attempts := 1
	switch p.violation {
	case RepeatsUnsafely:
		attempts = 2
	case TooManyAttempts:
		attempts = 5
	}
	var answer string
	var server net.Conn
	var fromServer *bufio.Reader
	for i := range attempts {
		if server, fromServer, answer = p.attempt(line, first+i); server != nil {
			break
		}
	}
	if server == nil {
		if p.violation == AnswersLate {
			time.Sleep(800 * time.Millisecond)
		} else if p.violation == WithholdsAnswer {
			time.Sleep(450 * time.Millisecond)
		}
		if p.violation == PushesBackExecuted || answer == "BUSY" {
			writeLine(c, "BUSY")
		} else {
			writeLine(c, "ERR")
		}
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
		return
	}
	writeLine(c, answer)
	p.relayLines(c, server, fromClient, fromServer)
}

// attempt sends a request line to a server and waits for the answer. It returns the connection to the server and its reader if
// the answer is UP, and the answer itself: "BUSY" if the server can't be reached, "" if it doesn't answer in time.
func (p *FaultyProxy) attempt(line string, serverIndex int) (net.Conn, *bufio.Reader, string) {
	return p.attemptWithin(line, serverIndex, p.answerTimeout)
}

// attemptWithin is attempt with a timeout for the server's answer.
func (p *FaultyProxy) attemptWithin(line string, serverIndex int, timeout time.Duration) (net.Conn, *bufio.Reader, string) {
	servers := p.servers()
	server, err := net.DialTimeout("tcp", servers[serverIndex%len(servers)], time.Second)
	if err != nil {
		return nil, nil, "BUSY"
	}
	p.trackConn(server)
	_, _ = server.Write([]byte(line))
	fromServer := bufio.NewReader(server)
	_ = server.SetReadDeadline(time.Now().Add(timeout))
	answer, err := fromServer.ReadString('\n')
	answer = strings.TrimRight(answer, "\r\n")
	if err != nil || !strings.HasPrefix(answer, "UP ") {
		_ = server.Close()
		return nil, nil, answer
	}
	_ = server.SetReadDeadline(time.Time{})
	return server, fromServer, answer
}

// lineDelay is well over the second by which a proxy may delay a line.
const lineDelay = 1300 * time.Millisecond

// relayLines passes lines between a client and a server until one of them closes its connection. It sends MOVE to the client if the
// server sends no line within 1.5 seconds of a client's line.
func (p *FaultyProxy) relayLines(client, server net.Conn, fromClient, fromServer *bufio.Reader) {
	if p.violation == CutsConnections {
		time.AfterFunc(300*time.Millisecond, func() { _, _ = client.Close(), server.Close() })
	}
	var silence *time.Timer
	moved := make(chan struct{})
	if p.violation != KeepsSilentServer {
		silence = time.AfterFunc(time.Hour, func() {
			close(moved)
			writeLine(client, "MOVE")
			_, _ = client.Close(), server.Close()
		})
	}
	go func() {
		for {
			line, err := fromClient.ReadString('\n')
			if err != nil {
				_ = server.Close()
				return
			}
			if silence != nil {
				silence.Reset(1500 * time.Millisecond)
			}
			_, _ = server.Write([]byte(line))
		}
	}()
	for n := 1; ; n++ {
		line, err := fromServer.ReadString('\n')
		if silence != nil && err == nil {
			silence.Reset(time.Hour)
		}
		if err != nil {
			if p.violation == KeepsClientOpen {
				time.Sleep(2 * time.Second)
			}
			_ = client.Close()
			return
		}
		if p.violation == DelaysLines {
			time.Sleep(lineDelay)
		}
		if n%3 == 0 {
			switch p.violation {
			case DropsLines:
				continue
			case DuplicatesLines:
				_, _ = client.Write([]byte(line))
			case AltersLines:
				line = strings.Replace(line, "R", "Q", 1)
			}
		}
		if _, err := client.Write([]byte(line)); err != nil {
			_ = server.Close()
			return
		}
	}
}

// Relay accepts connections from a listener and copies bytes between each and a server, taking the servers in turn. It returns the
// error of Accept when the listener is closed.
func Relay(l net.Listener, servers func() []string) error {
	for turn := 0; ; turn++ {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			addresses := servers()
			if len(addresses) == 0 {
				_ = c.Close()
				return
			}
			server, err := net.Dial("tcp", addresses[turn%len(addresses)])
			if err != nil {
				fmt.Fprintln(c, "BUSY\r")
				_ = c.Close()
				return
			}
			go func() { copyAndClose(server, c) }()
			copyAndClose(c, server)
		}()
	}
}

// copyAndClose copies bytes until an error, then closes the destination. It doesn't use io.Copy, which would splice the sockets
// through pipes and so need four more descriptors per connection.
func copyAndClose(to, from net.Conn) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
}
