// Package rogue holds small proxies for the rig itself. Rogue breaks one rule on purpose, so that each judge can be
// seen to convict; with no sin it is sound, and is to be acquitted. Relay copies bytes and decides nothing: what any
// proxy on this machine must cost.
package rogue

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sin is what a rogue does wrong.
type Sin string

const (
	None       Sin = ""
	NoAnswer   Sin = "no-answer"       // the client never hears of it
	TwoAnswers Sin = "two-answers"     // BUSY, and then ERR
	SendsAfter Sin = "sends-after"     // sends on what it has pushed back
	StaysOut   Sin = "stays-out"       // leaves the dispatch out after its answer
	Late       Sin = "late"            // answers after the hard limit
	Withholds  Sin = "withholds"       // sits on what it has given up
	Both       Sin = "both"            // has two dispatches out at once
	Repeats    Sin = "repeats"         // sends again what may have run, anywhere
	Invents    Sin = "invents"         // says UP for nobody
	ToDrained  Sin = "to-drained"      // goes on sending to the first server whatever the list says
	Cuts       Sin = "cuts"            // cuts standing connections off
	KeepsOpen  Sin = "keeps-open"      // does not pass the server's end on
	KeepsMute  Sin = "keeps-mute"      // never moves the clients of a silent server
	Holds      Sin = "holds"           // keeps lines back
	Loses      Sin = "loses"           // drops every third line
	Doubles    Sin = "doubles"         // passes every third line on twice
	Changes    Sin = "changes"         // changes every third line
	Floods     Sin = "floods"          // sends everything to a cold server
	Insists    Sin = "insists"         // tries more often than allowed
	PushesRan  Sin = "pushes-back-ran" // pushes back what may have run
)

// Rogue is a proxy of few lines: a goroutine for each connection, servers in turn, one try.
type Rogue struct {
	Address string
	sin     Sin
	servers func() []string
	l       net.Listener
	turn    atomic.Int64
	mu      sync.Mutex
	conns   []net.Conn
	wait    time.Duration // for a server's answer
}

// Open starts one before servers; they are asked for anew for each connection, in an order that is always the same.
func Open(sin Sin, servers func() []string) (*Rogue, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Rogue{Address: l.Addr().String(), sin: sin, servers: servers, l: l, wait: 400 * time.Millisecond}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.keep(c)
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *Rogue) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

// Close ends it with all its connections.
func (r *Rogue) Close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func say(c net.Conn, word string) { _, _ = c.Write([]byte(word + "\r\n")) }

func (r *Rogue) serve(c net.Conn) {
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	if err != nil {
		_ = c.Close()
		return
	}
	switch r.sin {
	case NoAnswer:
		return
	case Invents:
		say(c, "UP nobody-1")
		return
	case TwoAnswers:
		say(c, "BUSY")
		time.Sleep(50 * time.Millisecond)
		say(c, "ERR")
		_ = c.Close()
		return
	case SendsAfter:
		say(c, "BUSY")
		time.Sleep(150 * time.Millisecond)
		_, _, _ = r.try(line, 0)
		return
	case StaysOut:
		go func() { _, _, _ = r.tryFor(line, 0, time.Hour) }()
		time.Sleep(50 * time.Millisecond)
		say(c, "BUSY")
		return
	case Both:
		go func() { _, _, _ = r.tryFor(line, 0, time.Hour) }()
		time.Sleep(100 * time.Millisecond)
	}
	first := int(r.turn.Add(1))
	if r.sin == ToDrained || r.sin == Floods {
		first = 0
	}
	tries := 1
	switch r.sin {
	case Repeats:
		tries = 2
	case Insists:
		tries = 5
	}
	var up string
	var s net.Conn
	var back *bufio.Reader
	for i := range tries {
		if s, back, up = r.try(line, first+i); s != nil {
			break
		}
	}
	if s == nil {
		if r.sin == Late {
			time.Sleep(800 * time.Millisecond)
		} else if r.sin == Withholds {
			time.Sleep(450 * time.Millisecond)
		}
		if r.sin == PushesRan || up == "BUSY" {
			say(c, "BUSY")
		} else {
			say(c, "ERR")
		}
		time.Sleep(20 * time.Millisecond)
		_ = c.Close()
		return
	}
	say(c, up)
	r.relay(c, s, in, back)
}

// try asks a server. It returns its connection if that stands, and the word that came.
func (r *Rogue) try(line string, number int) (net.Conn, *bufio.Reader, string) {
	return r.tryFor(line, number, r.wait)
}

func (r *Rogue) tryFor(line string, number int, wait time.Duration) (net.Conn, *bufio.Reader, string) {
	servers := r.servers()
	s, err := net.DialTimeout("tcp", servers[number%len(servers)], time.Second)
	if err != nil {
		return nil, nil, "BUSY"
	}
	r.keep(s)
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

// heldFor is well over the second for which a line may be held.
const heldFor = 1300 * time.Millisecond

func (r *Rogue) relay(c, s net.Conn, fromClient, fromServer *bufio.Reader) {
	if r.sin == Cuts {
		time.AfterFunc(300*time.Millisecond, func() { _, _ = c.Close(), s.Close() })
	}
	var silence *time.Timer
	moved := make(chan struct{})
	if r.sin != KeepsMute {
		silence = time.AfterFunc(time.Hour, func() {
			close(moved)
			say(c, "MOVE")
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
			if r.sin == KeepsOpen {
				time.Sleep(2 * time.Second)
			}
			_ = c.Close()
			return
		}
		if r.sin == Holds {
			time.Sleep(heldFor)
		}
		if n%3 == 0 {
			switch r.sin {
			case Loses:
				continue
			case Doubles:
				_, _ = c.Write([]byte(line))
			case Changes:
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
