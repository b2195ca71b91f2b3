package fleet

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"

	"hatchproxy/lab/ledger"
)

// ScriptedServer is a server that answers what a test says, and then echoes.
type ScriptedServer struct {
	Address string

	answer        func(line string) string
	listener      net.Listener
	mu            sync.Mutex
	firstLines    []string
	probeCount    int
	lastProbeConn net.Conn // where the last one came
	conns         []net.Conn
}

// StartScriptedServer starts one. What answer returns for a first line is said; a word after UP or in its place ends the talk:
// FIN, RESET, "UP MUTE" for one that says no more, NONE for silence at once. Nil stands for "UP puppet".
func StartScriptedServer(answer func(line string) string) (*ScriptedServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &ScriptedServer{Address: l.Addr().String(), answer: answer, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *ScriptedServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	for err == nil && line == "PING\r\n" {
		_, _ = c.Write([]byte("PONG\r\n"))
		p.mu.Lock()
		p.probeCount++
		p.lastProbeConn = c
		p.mu.Unlock()
		line, err = r.ReadString('\n')
	}
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.firstLines = append(p.firstLines, strings.TrimSuffix(line, "\r\n"))
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
		ResetConn(c)
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

// FirstLines are the first lines that have come.
func (p *ScriptedServer) FirstLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.firstLines...)
}

// ProbeCount tells how many probes were answered; Prober is the connection on which the last one came.
func (p *ScriptedServer) ProbeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probeCount
}

func (p *ScriptedServer) LastProbeConn() net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastProbeConn
}

// ConnCount tells how many connections have come; Last is the one that came last.
func (p *ScriptedServer) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

func (p *ScriptedServer) LastConn() net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[len(p.conns)-1]
}

// CloseListener takes no more connections; those that stand go on.
func (p *ScriptedServer) CloseListener() { _ = p.listener.Close() }

// ResetConn ends a connection with a reset.
func ResetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// ManualDiscovery is a list of servers that a test writes by hand, with the front at which it is asked.
type ManualDiscovery struct {
	*DiscoveryServer
	serverNumbers map[string]int
}

// StartManualDiscovery opens an empty list.
func StartManualDiscovery() (*ManualDiscovery, error) {
	list := NewServerList(ledger.NewEventLog())
	front, err := list.StartDiscovery(0, 0)
	return &ManualDiscovery{front, map[string]int{}}, err
}

// SetServer puts a server on the list, or changes it: ready, draining or gone.
func (h *ManualDiscovery) SetServer(uid, endpoint, word string) {
	number, known := h.serverNumbers[uid]
	if !known {
		number = len(h.serverNumbers)
		h.serverNumbers[uid] = number
	}
	e := listEntry{UID: uid, AZ: "a", Model: "m", Weight: 1, serverNumber: number, endpoints: []string{endpoint}}
	for st, w := range stateNames {
		if w == word {
			e.state = serverState(st)
		}
	}
	h.list.set(e)
}
