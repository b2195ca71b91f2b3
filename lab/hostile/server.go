package hostile

import (
	"bufio"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Fields of an OPEN line that tell the server what to do. Clients may add fields of their own, which proxies pass on.
const (
	deafField = "x=deaf" // it answers UP and reads no more
	slowField = "x=slow" // it runs the request at once, and answers after thinkTime
)

// thinkTime is how long a server takes to answer a request with slowField.
const thinkTime = 400 * time.Millisecond

// Sizes of the kernel's buffers for what a server has not read, in bytes. They are fixed, since the kernel lets a buffer that it sizes
// itself grow to some megabytes. The small one makes what a deaf server leaves pile up at the proxy.
const deafReadBuffer, ordinaryReadBuffer = 4 << 10, 256 << 10

// server answers requests with UP, echoes what it gets, and counts how often it has run each id.
type server struct {
	listener net.Listener

	mu   sync.Mutex
	runs map[string]int // of requests that may run once only, by id
}

// startServer starts a server on a loopback address.
func startServer() (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{listener: listener, runs: map[string]int{}}
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

// serve handles one connection.
func (s *server) serve(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetReadBuffer(deafReadBuffer)
	reader := bufio.NewReaderSize(conn, 8<<10)
	line, err := reader.ReadString('\n')
	for err == nil && line == "PING\r\n" {
		_, _ = conn.Write([]byte("PONG\r\n"))
		line, err = reader.ReadString('\n')
	}
	words := strings.Fields(line)
	if err != nil || len(words) < 4 {
		_ = conn.Close()
		return
	}
	fields := strings.Split(words[3], ",")
	if slices.Contains(fields, "c=pay") {
		s.mu.Lock()
		s.runs[words[1]]++
		s.mu.Unlock()
	}
	if slices.Contains(fields, slowField) {
		time.Sleep(thinkTime)
	}
	_, _ = conn.Write([]byte("UP a\r\n"))
	if slices.Contains(fields, deafField) {
		return // the connection stays open, and nobody reads it
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(ordinaryReadBuffer)
	defer conn.Close()
	_, _ = io.Copy(conn, reader)
}

// repeated returns how many ids the server has run more than once.
func (s *server) repeated() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, runs := range s.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}
