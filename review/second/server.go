package main

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request line that has come to a server whole.
type arrival struct {
	at     time.Time
	server string
	id     string
	answer string
}

// server is a stand-in of a server: it answers UP at once and each line with a line. While it drains it answers BUSY.
type server struct {
	rec      *record
	uid      string
	listener net.Listener
	draining atomic.Bool

	mu       sync.Mutex
	arrivals []arrival
	receipts int
}

func newServer(rec *record, uid, ip string) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{rec: rec, uid: uid, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *server) target(zone string) target {
	return target{UID: s.uid, Endpoint: s.listener.Addr().String(), AZ: zone, Model: "fast", PodGroup: 1, State: "ready", CapacityHint: 1}
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	up := false
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		answer := "M " + line
		switch {
		case up:
		case line == "PING":
			answer = "PONG"
		case strings.HasPrefix(line, "OPEN ") && len(strings.Split(line, " ")) == 4:
			now := time.Now()
			s.mu.Lock()
			s.receipts++
			answer = "UP " + s.uid + "-" + strconv.Itoa(s.receipts)
			if s.draining.Load() {
				answer = "BUSY"
			}
			s.arrivals = append(s.arrivals, arrival{at: now, server: s.uid, id: strings.Split(line, " ")[1], answer: answer})
			s.mu.Unlock()
			s.rec.logAt(now, "%s: gets %q, answers %q", s.uid, line, answer)
			up = answer != "BUSY"
		default:
			answer = "SYNTAX"
		}
		if _, err := conn.Write([]byte(answer + "\r\n")); err != nil || !up && line != "PING" {
			return
		}
	}
}

// after returns the arrivals later than a time.
func (s *server) after(t time.Time) (late []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}
