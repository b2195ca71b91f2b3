package protocol

import (
	"bytes"
	"math"
	"strconv"
)

// ServerEvent is what a server's bytes came to.
type ServerEvent uint8

const (
	ServerSilent ServerEvent = iota // more bytes are needed
	Up                              // the connection stands; the line is to be passed on
	Full
	Erred
	SentAway   // a draining server sends the client away
	ServedOut  // served to its end
	LoadTold   // Load tells it
	Message    // any other whole line of a standing connection
	MiddleOf   // bytes of a line that goes on
	ServerDumb // Why tells what is wrong with its first line
)

// Server is the state machine of a connection to a server.
type Server struct {
	Load float64 // microseconds of work a second, as last told
	Why  error

	in     lines
	stands bool

	word   [48]byte // the beginning of the line that is being passed on, enough to tell its verb and figure
	length int      // bytes of that line so far
}

// Feed takes bytes up to the end of the first line or, on a standing connection, of a line that is being
// passed on. It returns the event, the bytes to pass on, and those that are left to feed.
func (s *Server) Feed(b []byte) (ev ServerEvent, pass, rest []byte) {
	if len(b) == 0 {
		return ServerSilent, nil, nil
	}
	if s.stands {
		return s.relay(b)
	}
	line, rest, whole, err := s.in.next(b)
	if err != nil {
		s.Why = err
		return ServerDumb, nil, nil
	}
	if !whole {
		return ServerSilent, nil, nil
	}
	verb, _, more := bytes.Cut(line, []byte(" "))
	switch {
	case string(verb) == "UP" && more:
		s.stands = true
		pass = append(append(make([]byte, 0, len(line)+2), line...), "\r\n"...)
		s.in.drop()
		return Up, pass, rest
	case string(line) == "BUSY":
		return Full, nil, nil
	case string(verb) == "ERR":
		return Erred, nil, nil
	case string(line) == "MOVE":
		return SentAway, nil, nil
	}
	s.Why = errDumb
	return ServerDumb, nil, nil
}

// relay passes bytes on as they come, so that no line is held back, and tells the lines by their beginnings.
func (s *Server) relay(b []byte) (ServerEvent, []byte, []byte) {
	end := bytes.IndexByte(b, '\n') + 1
	if end == 0 {
		s.note(b)
		return MiddleOf, b, nil
	}
	s.note(b[:end])
	line := bytes.TrimRight(s.word[:min(s.length, len(s.word))], "\r\n")
	s.length = 0
	return s.meaning(line), b[:end], b[end:]
}

func (s *Server) note(b []byte) {
	if s.length < len(s.word) {
		copy(s.word[s.length:], b)
	}
	s.length += len(b)
}

func (s *Server) meaning(line []byte) ServerEvent {
	switch {
	case string(line) == "MOVE":
		return SentAway
	case string(line) == "BYE":
		return ServedOut
	}
	if figure, found := bytes.CutPrefix(line, []byte("LOAD ")); found {
		x, err := strconv.ParseFloat(string(figure), 64)
		if err != nil || !(x >= 0) || math.IsInf(x, 0) {
			return MiddleOf // not an answer to a message either
		}
		s.Load = x
		return LoadTold
	}
	return Message
}

// Resume has the machine go on with a connection that stands, between two lines.
func (s *Server) Resume() { s.stands = true }

// Between tells that the last line that was passed on has come whole.
func (s *Server) Between() bool { return s.length == 0 }

// Drop gives back what the machine holds.
func (s *Server) Drop() { s.in.drop() }
