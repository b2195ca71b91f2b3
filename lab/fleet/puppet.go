package fleet

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"

	"hatchproxy/lab/ledger"
)

// Puppet is a server that answers what a test says, and then echoes.
type Puppet struct {
	Address string

	answer   func(line string) string
	listener net.Listener
	mu       sync.Mutex
	lines    []string
	probes   int
	prober   net.Conn // where the last one came
	conns    []net.Conn
}

// NewPuppet starts one. What answer returns for a first line is said; a word after UP or in its place ends the talk:
// FIN, RESET, "UP MUTE" for one that says no more, NONE for silence at once. Nil stands for "UP puppet".
func NewPuppet(answer func(line string) string) (*Puppet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Puppet{Address: l.Addr().String(), answer: answer, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			go p.talk(c)
		}
	}()
	return p, nil
}

func (p *Puppet) talk(c net.Conn) {
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	for err == nil && line == "PING\r\n" {
		_, _ = c.Write([]byte("PONG\r\n"))
		p.mu.Lock()
		p.probes++
		p.prober = c
		p.mu.Unlock()
		line, err = r.ReadString('\n')
	}
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.lines = append(p.lines, strings.TrimSuffix(line, "\r\n"))
	p.mu.Unlock()
	word := "UP puppet"
	if p.answer != nil {
		word = p.answer(line)
	}
	switch word {
	case "NONE":
		return
	case "FIN":
		_ = c.Close()
		return
	case "RESET":
		Reset(c)
		return
	}
	_, _ = fmt.Fprintf(c, "%s\r\n", word)
	if word == "UP MUTE" {
		return
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			_ = c.Close()
			return
		}
		if _, err := c.Write([]byte(line)); err != nil {
			return
		}
	}
}

// Lines are the first lines that have come.
func (p *Puppet) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// Probes tells how many probes were answered; Prober is the connection on which the last one came.
func (p *Puppet) Probes() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes
}

func (p *Puppet) Prober() net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.prober
}

// Conns tells how many connections have come; Last is the one that came last.
func (p *Puppet) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *Puppet) Last() net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[len(p.conns)-1]
}

// Stop takes no more connections; those that stand go on.
func (p *Puppet) Stop() { _ = p.listener.Close() }

// Reset ends a connection with a reset.
func Reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Hand is a list of servers that a test writes by hand, with the front at which it is asked.
type Hand struct {
	*Front
	numbers map[string]int
}

// ByHand opens an empty list.
func ByHand() (*Hand, error) {
	list := NewList(ledger.Open())
	front, err := list.Open(0, 0)
	return &Hand{front, map[string]int{}}, err
}

// Set puts a server on the list, or changes it: ready, draining or gone.
func (h *Hand) Set(uid, endpoint, word string) {
	number, known := h.numbers[uid]
	if !known {
		number = len(h.numbers)
		h.numbers[uid] = number
	}
	e := entry{UID: uid, AZ: "a", Model: "m", Weight: 1, server: number, endpoints: []string{endpoint}}
	for st, w := range stateWords {
		if w == word {
			e.state = state(st)
		}
	}
	h.list.set(e)
}
