// Package rogue holds small proxies for the rig itself. Rogue breaks one rule on purpose, so that each judge can be
// seen to convict; with no sin it is sound, and is to be acquitted. Relay copies bytes and decides nothing: what any
// proxy on this machine must cost.
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

// Violation is what a rogue does wrong.
type Violation string

const (
	NoViolation        Violation = ""
	NoAnswer           Violation = "no-answer"       // the client never hears of it
	TwoAnswers         Violation = "two-answers"     // BUSY, and then ERR
	SendsAfterAnswer   Violation = "sends-after"     // sends on what it has pushed back
	LeavesAttemptOpen  Violation = "stays-out"       // leaves the dispatch out after its answer
	AnswersLate        Violation = "late"            // answers after the hard limit
	WithholdsAnswer    Violation = "withholds"       // sits on what it has given up
	TwoAttemptsAtOnce  Violation = "both"            // has two dispatches out at once
	RepeatsUnsafely    Violation = "repeats"         // sends again what may have run, anywhere
	InventsAnswer      Violation = "invents"         // says UP for nobody
	SendsToDrained     Violation = "to-drained"      // goes on sending to the first server whatever the list says
	CutsConnections    Violation = "cuts"            // cuts standing connections off
	KeepsClientOpen    Violation = "keeps-open"      // does not pass the server's end on
	KeepsSilentServer  Violation = "keeps-mute"      // never moves the clients of a silent server
	DelaysLines        Violation = "holds"           // keeps lines back
	DropsLines         Violation = "loses"           // drops every third line
	DuplicatesLines    Violation = "doubles"         // passes every third line on twice
	AltersLines        Violation = "changes"         // changes every third line
	FloodsColdServer   Violation = "floods"          // sends everything to a cold server
	TooManyAttempts    Violation = "insists"         // tries more often than allowed
	PushesBackExecuted Violation = "pushes-back-ran" // pushes back what may have run
)

// FaultyProxy is a proxy of few lines: a goroutine for each connection, servers in turn, one try.
type FaultyProxy struct {
	Address       string
	violation     Violation
	servers       func() []string
	listener      net.Listener
	serverTurn    atomic.Int64
	mu            sync.Mutex
	conns         []net.Conn
	answerTimeout time.Duration // for a server's answer
}

// StartFaultyProxy starts one before servers; they are asked for anew for each connection, in an order that is always the same.
func StartFaultyProxy(sin Violation, servers func() []string) (*FaultyProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &FaultyProxy{Address: l.Addr().String(), violation: sin, servers: servers, listener: l, answerTimeout: 400 * time.Millisecond}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.trackConn(c)
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *FaultyProxy) trackConn(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

// Close ends it with all its connections.
func (r *FaultyProxy) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func writeLine(c net.Conn, word string) { _, _ = c.Write([]byte(word + "\r\n")) }

func (r *FaultyProxy) serve(c net.Conn) {
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	if err != nil {
		_ = c.Close()
		return
	}
	switch r.violation {
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
		_, _, _ = r.attempt(line, 0)
		return
	case LeavesAttemptOpen:
		go func() { _, _, _ = r.attemptWithin(line, 0, time.Hour) }()
		time.Sleep(50 * time.Millisecond)
		writeLine(c, "BUSY")
		return
	case TwoAttemptsAtOnce:
		go func() { _, _, _ = r.attemptWithin(line, 0, time.Hour) }()
		time.Sleep(100 * time.Millisecond)
	}
	first := int(r.serverTurn.Add(1))
	if r.violation == SendsToDrained || r.violation == FloodsColdServer {
		first = 0
	}
	tries := 1
	switch r.violation {
	case RepeatsUnsafely:
		tries = 2
	case TooManyAttempts:
		tries = 5
	}
	var up string
	var s net.Conn
	var back *bufio.Reader
	for i := range tries {
		if s, back, up = r.attempt(line, first+i); s != nil {
			break
		}
	}
	if s == nil {
		if r.violation == AnswersLate {
			time.Sleep(800 * time.Millisecond)
		} else if r.violation == WithholdsAnswer {
			time.Sleep(450 * time.Millisecond)
		}
		if r.violation == PushesBackExecuted || up == "BUSY" {
			writeLine(c, "BUSY")
		} else {
			writeLine(c, "ERR")
		}
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
		return
	}
	writeLine(c, up)
	r.relayLines(c, s, in, back)
}

// attempt asks a server. It returns its connection if that stands, and the word that came.
func (r *FaultyProxy) attempt(line string, number int) (net.Conn, *bufio.Reader, string) {
	return r.attemptWithin(line, number, r.answerTimeout)
}

func (r *FaultyProxy) attemptWithin(line string, number int, wait time.Duration) (net.Conn, *bufio.Reader, string) {
	servers := r.servers()
	s, err := net.DialTimeout("tcp", servers[number%len(servers)], time.Second)
	if err != nil {
		return nil, nil, "BUSY"
	}
	r.trackConn(s)
	_, _ = s.Write([]byte(line))
	back := bufio.NewReader(s)
	_ = s.SetReadDeadline(time.Now().Add(wait))
	word, err := back.ReadString('\n')
	word = strings.TrimRight(word, "\r\n")
	if err != nil || !strings.HasPrefix(word, "UP ") {
		_ = s.Close()
		return nil, nil, word
	}
	_ = s.SetReadDeadline(time.Time{})
	return s, back, word
}

// lineDelay is well over the second for which a line may be held.
const lineDelay = 1300 * time.Millisecond

func (r *FaultyProxy) relayLines(c, s net.Conn, fromClient, fromServer *bufio.Reader) {
	if r.violation == CutsConnections {
		time.AfterFunc(300*time.Millisecond, func() { _, _ = c.Close(), s.Close() })
	}
	var silence *time.Timer
	moved := make(chan struct{})
	if r.violation != KeepsSilentServer {
		silence = time.AfterFunc(time.Hour, func() {
			close(moved)
			writeLine(c, "MOVE")
			_, _ = c.Close(), s.Close()
		})
	}
	go func() {
		for {
			line, err := fromClient.ReadString('\n')
			if err != nil {
				_ = s.Close()
				return
			}
			if silence != nil {
				silence.Reset(1500 * time.Millisecond)
			}
			_, _ = s.Write([]byte(line))
		}
	}()
	for n := 1; ; n++ {
		line, err := fromServer.ReadString('\n')
		if silence != nil && err == nil {
			silence.Reset(time.Hour)
		}
		if err != nil {
			if r.violation == KeepsClientOpen {
				time.Sleep(2 * time.Second)
			}
			_ = c.Close()
			return
		}
		if r.violation == DelaysLines {
			time.Sleep(lineDelay)
		}
		if n%3 == 0 {
			switch r.violation {
			case DropsLines:
				continue
			case DuplicatesLines:
				_, _ = c.Write([]byte(line))
			case AltersLines:
				line = strings.Replace(line, "R", "Q", 1)
			}
		}
		if _, err := c.Write([]byte(line)); err != nil {
			_ = s.Close()
			return
		}
	}
}

// Relay copies bytes between a listener and servers in turn until the listener is closed.
func Relay(l net.Listener, servers func() []string) error {
	for turn := 0; ; turn++ {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			at := servers()
			if len(at) == 0 {
				_ = c.Close()
				return
			}
			s, err := net.Dial("tcp", at[turn%len(at)])
			if err != nil {
				fmt.Fprintln(c, "BUSY\r")
				_ = c.Close()
				return
			}
			go func() { copyAndClose(s, c) }()
			copyAndClose(c, s)
		}()
	}
}

// copyAndClose reads and writes, and no more. io.Copy would splice the sockets through pipes, which costs four more
// descriptors a connection.
func copyAndClose(to, from net.Conn) {
	b := make([]byte, 4<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
}
