package fleet

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"

	"hatchproxy/lab/ledger"
)

// ScriptedServer is a server that answers requests as a test tells it, and then echoes what it receives. It answers probes.
type ScriptedServer struct {
	Address string

	answer        func(line string) string
	listener      net.Listener
	mu            sync.Mutex
	firstLines    []string
	probeCount    int
	lastProbeConn net.Conn // the connection of the last probe
	conns         []net.Conn
}

// StartScriptedServer starts a server on a loopback address. It calls answer with the first line of a connection, line end
// included, and sends the result, except for these words: FIN closes the connection, RESET resets it, and NONE sends nothing
// and leaves it open. After "UP MUTE" the server sends no more. If answer is nil, the answer is "UP puppet".
func StartScriptedServer(answer func(line string) string) (*ScriptedServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &ScriptedServer{Address: l.Addr().String(), answer: answer, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// serve answers probes and the first line of a connection, and then echoes lines.
func (s *ScriptedServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	for err == nil && line == "PING\r\n" {
		_, _ = c.Write([]byte("PONG\r\n"))
		s.mu.Lock()
		s.probeCount++
		s.lastProbeConn = c
		s.mu.Unlock()
		line, err = r.ReadString('\n')
	}
	if err != nil {
		_ = c.Close()
		return
	}
	s.mu.Lock()
	s.firstLines = append(s.firstLines, strings.TrimSuffix(line, "\r\n"))
	s.mu.Unlock()
	answer := "UP puppet"
	if s.answer != nil {
		answer = s.answer(line)
	}
	switch answer {
	case "NONE":
		return
	case "FIN":
		_ = c.Close()
		return
	case "RESET":
		ResetConn(c)
		return
	}
	_, _ = fmt.Fprintf(c, "%s\r\n", answer)
	if answer == "UP MUTE" {
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

// FirstLines returns the connections' first lines other than probes, in the order of their arrival and without line ends.
func (s *ScriptedServer) FirstLines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.firstLines...)
}

// ProbeCount returns the number of answered probes.
func (s *ScriptedServer) ProbeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probeCount
}

// LastProbeConn returns the connection of the last probe, or nil.
func (s *ScriptedServer) LastProbeConn() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastProbeConn
}

// ConnCount returns the number of accepted connections.
func (s *ScriptedServer) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// LastConn returns the connection that was accepted last. It panics if there is none.
func (s *ScriptedServer) LastConn() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[len(s.conns)-1]
}

// CloseListener makes the server refuse new connections; open connections stay.
func (s *ScriptedServer) CloseListener() { _ = s.listener.Close() }

// ResetConn closes a TCP connection with a reset.
func ResetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// ManualDiscovery is a discovery server whose list of servers a test writes itself.
type ManualDiscovery struct {
	*DiscoveryServer
	serverNumbers map[string]int
}

// StartManualDiscovery starts a discovery server with an empty list on a loopback address.
func StartManualDiscovery() (*ManualDiscovery, error) {
	list := NewServerList(ledger.NewEventLog())
	discovery, err := list.StartDiscovery(0, 0)
	return &ManualDiscovery{discovery, map[string]int{}}, err
}

// SetServer adds a server to the list or changes it. The state is "ready", "draining" or "gone".
func (d *ManualDiscovery) SetServer(uid, endpoint, state string) {
	number, known := d.serverNumbers[uid]
	if !known {
		number = len(d.serverNumbers)
		d.serverNumbers[uid] = number
	}
	e := listEntry{UID: uid, AZ: "a", Model: "m", Weight: 1, serverNumber: number, endpoints: []string{endpoint}}
	for value, name := range stateNames {
		if name == state {
			e.state = serverState(value)
		}
	}
	d.list.set(e)
}
